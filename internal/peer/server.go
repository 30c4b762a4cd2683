package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Path is where a host's peer listener accepts sessions.
const Path = "/peer"

const handshakeTimeout = 3 * time.Second

// Server accepts sessions. It is an http.Handler for Path.
type Server struct {
	pool *Pool
}

// NewServer returns a Server whose sessions join pool: a host that has dialled
// here is not dialled back.
func NewServer(pool *Pool) *Server { return &Server{pool: pool} }

// ServeHTTP implements http.Handler. A wrong secret gets 401 before the upgrade.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !v.pool.secretMatches(r) {
		v.pool.traffic.strangers.Inc(1)
		http.Error(w, "wrong secret", http.StatusUnauthorized)
		return
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	conn.SetReadLimit(wire.MaxMessageBytes)
	ctx, cancel := context.WithTimeout(r.Context(), handshakeTimeout)
	defer cancel()
	remote, err := receiveHello(ctx, conn)
	if err == nil {
		err = sendHello(ctx, conn, v.pool.cfg.Hello)
	}
	if err != nil {
		v.pool.traffic.strangers.Inc(1)
		_ = conn.Close(websocket.StatusPolicyViolation, "hello refused")
		return
	}
	s := v.pool.newSession(conn, remote)
	v.pool.adopt(s)
	s.run(v.pool.cfg.Handler)
}

func (p *Pool) secretMatches(r *http.Request) bool {
	want := []byte("Bearer " + p.cfg.Secret)
	got := []byte(r.Header.Get("Authorization"))
	return subtle.ConstantTimeCompare(want, got) == 1
}

func sendHello(ctx context.Context, conn *websocket.Conn, h wire.Hello) error {
	data, err := wire.Encode(0, false, &h)
	if err != nil {
		return err
	}
	return conn.Write(ctx, websocket.MessageBinary, data)
}

func receiveHello(ctx context.Context, conn *websocket.Conn) (wire.Hello, error) {
	_, data, err := conn.Read(ctx)
	if err != nil {
		return wire.Hello{}, err
	}
	_, m, err := wire.Decode(data)
	if err != nil {
		return wire.Hello{}, err
	}
	h, ok := m.(*wire.Hello)
	if !ok {
		return wire.Hello{}, errors.New("peer: first message is not a hello")
	}
	return *h, nil
}
