package peer

import (
	"context"
	"crypto/subtle"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Path is the URL path at which a host's peer listener accepts sessions.
const Path = "/peer"

const (
	// helloTimeout bounds the exchange of Hello messages with a host that dialled.
	helloTimeout = 3 * time.Second
	// maxHelloBytes bounds the first message of a host that dialled. Its texts are names and addresses.
	maxHelloBytes = 16 << 10
	// maxControlSessions bounds the sessions that control hosts have dialled. It is many times their number, since
	// a session that is lost may take a while to end.
	maxControlSessions = 256
	// maxConcurrentHandshakes limits the handshakes in progress. Other hosts wait for a
	// permit, so that each handshake that has begun finishes soon, and a host that gives up
	// while it waits costs nothing.
	maxConcurrentHandshakes = 8
	// maxPermitTime is how long a handshake holds its permit at most while it waits for the host
	// that dialled, since that host may be frozen or disconnected by now. The time that this host
	// needs does not count: if it is slow, more handshakes at once only delay all of them.
	maxPermitTime = 250 * time.Millisecond
	// replicaHeader contains the replica ID of a control host that dials. Control hosts need
	// no permit, because all other hosts depend on the leader that they elect.
	replicaHeader = "Sassafraspost-Replica"
)

// Server accepts sessions. It is an http.Handler for Path.
type Server struct {
	pool *Pool
	// handshakePermits contains an element for each permit in use.
	handshakePermits chan struct{}
	// sessions and controlSessions count the hosts that have dialled, until their sessions end.
	sessions, controlSessions atomic.Int64
}

// NewServer returns a Server that adds its sessions to pool, so that a host that has
// connected to this one is not dialled.
func NewServer(pool *Pool) *Server {
	return &Server{pool: pool, handshakePermits: make(chan struct{}, maxConcurrentHandshakes)}
}

// ServeHTTP implements http.Handler. It rejects a wrong secret with status 401 before the
// upgrade.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !v.pool.secretMatches(r) {
		v.pool.traffic.rejected.Inc(1)
		http.Error(w, "wrong secret", http.StatusUnauthorized)
		return
	}
	leave, ok := v.admit(r)
	if !ok {
		v.pool.traffic.refused.Inc(1)
		http.Error(w, "too many sessions", http.StatusServiceUnavailable)
		return
	}
	defer leave()
	if s := v.handshake(w, r); s != nil {
		v.pool.registerAccepted(s)
		s.run(v.pool.cfg.Handler)
	}
}

// admit counts a host that has dialled until leave is called. It returns false if there are too many.
func (v *Server) admit(r *http.Request) (leave func(), ok bool) {
	count, limit := &v.sessions, v.pool.cfg.MaxSessions
	if r.Header.Get(replicaHeader) != "" {
		count, limit = &v.controlSessions, maxControlSessions
	}
	leave = func() { count.Add(-1) }
	if n := count.Add(1); limit > 0 && n > int64(limit) {
		leave()
		return nil, false
	}
	return leave, true
}

// permit is the permission for one handshake. The zero permit is that of a control host, which
// needs none.
type permit struct {
	server *Server
	once   sync.Once
}

// acquirePermit waits for a permit if the host needs one. It returns false if the host gave up.
func (v *Server) acquirePermit(r *http.Request) (*permit, bool) {
	p := &permit{}
	if r.Header.Get(replicaHeader) == "" {
		select {
		case v.handshakePermits <- struct{}{}:
			p.server = v
		case <-r.Context().Done():
			return nil, false
		}
	}
	if r.Context().Err() != nil {
		p.release()
		return nil, false
	}
	return p, true
}

// release lets the next waiting host begin its handshake. It can be called repeatedly.
func (p *permit) release() {
	p.once.Do(func() {
		if p.server != nil {
			<-p.server.handshakePermits
		}
	})
}

// handshake waits for a permit, upgrades the connection and exchanges Hello messages. It
// returns nil if that fails.
func (v *Server) handshake(w http.ResponseWriter, r *http.Request) *Session {
	permit, ok := v.acquirePermit(r)
	if !ok {
		v.pool.traffic.abandoned.Inc(1)
		return nil
	}
	defer permit.release()
	if v.pool.cfg.BeforeHandshake != nil {
		v.pool.cfg.BeforeHandshake()
	}
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return nil
	}
	defer time.AfterFunc(maxPermitTime, permit.release).Stop()
	conn.SetReadLimit(maxHelloBytes)
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
