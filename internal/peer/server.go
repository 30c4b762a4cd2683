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

const (
	helloTimeout = 3 * time.Second
	// maxConcurrentHandshakes is how many hosts are greeted at a time. The others wait in line, so that
	// those who are greeted are through soon, and whoever has given up meanwhile costs nothing.
	maxConcurrentHandshakes = 8
	// maxPermitTime is how long one of them keeps others waiting at most: it may be frozen or cut
	// off by now.
	maxPermitTime = 250 * time.Millisecond
	// replicaHeader names the replica of a control host that dials. Control hosts don't wait
	// in line: the others need the leader that they elect.
	replicaHeader = "Sassafraspost-Replica"
)

// Server accepts sessions. It is an http.Handler for Path.
type Server struct {
	pool *Pool
	// handshakePermits has room for those who are greeted.
	handshakePermits chan struct{}
}

// NewServer returns a Server whose sessions join pool: a host that has dialled
// here is not dialled back.
func NewServer(pool *Pool) *Server {
	return &Server{pool: pool, handshakePermits: make(chan struct{}, maxConcurrentHandshakes)}
}

// ServeHTTP implements http.Handler. A wrong secret gets 401 before the upgrade.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !v.pool.secretMatches(r) {
		v.pool.traffic.rejected.Inc(1)
		http.Error(w, "wrong secret", http.StatusUnauthorized)
		return
	}
	if s := v.handshake(w, r); s != nil {
		v.pool.registerAccepted(s)
		s.run(v.pool.cfg.Handler)
	}
}

// releasePermit lets the next one in line.
func (v *Server) releasePermit() { <-v.handshakePermits }

// handshake exchanges greetings with who has dialled, in its turn. It returns nil where that
// fails.
func (v *Server) handshake(w http.ResponseWriter, r *http.Request) *Session {
	if r.Header.Get(replicaHeader) == "" {
		select {
		case v.handshakePermits <- struct{}{}:
			turn := time.AfterFunc(maxPermitTime, v.releasePermit)
			defer func() {
				if turn.Stop() {
					v.releasePermit()
				}
			}()
		case <-r.Context().Done():
			v.pool.traffic.abandoned.Inc(1)
			return nil
		}
	}
	if v.pool.cfg.BeforeHandshake != nil {
		v.pool.cfg.BeforeHandshake()
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil
	}
	conn.SetReadLimit(wire.MaxMessageBytes)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), helloTimeout)
	defer cancel()
	remote, err := receiveHello(ctx, conn)
	if err == nil {
		err = sendHello(ctx, conn, v.pool.cfg.Hello)
	}
	if err != nil {
		v.pool.traffic.rejected.Inc(1)
		_ = conn.Close(websocket.StatusPolicyViolation, "hello refused")
		return nil
	}
	v.pool.traffic.accepted.Inc(1)
	return v.pool.newSession(conn, remote)
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
