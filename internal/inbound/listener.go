package inbound

import (
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/standstill"
)

// minAge is the time after which a connection that has not sent a whole head may make room for a new one before
// others do. It is longer than an ordinary client takes.
const minAge = time.Second

// ListenerConfig holds the parameters of a Listener.
type ListenerConfig struct {
	// Name is the listener's name in logs and metrics.
	Name string
	// Limits returns the limits that are in force.
	Limits func() Limits
	// MakeRoom is called if no connection can be closed for a new one. It ends a request whose client is too slow
	// and reports whether it has found one. It may be nil.
	MakeRoom func() bool
	// ReceiveBuffer replaces the default receive buffer, in bytes, unless it is 0.
	ReceiveBuffer int
	// SessionBuffer is the receive buffer, in bytes, of connections that the server no longer serves because
	// their protocol was upgraded; 0 means that it is left as it is.
	SessionBuffer int
}

// Listener accepts connections within its limits. Its server must call ConnState.
type Listener struct {
	net.Listener
	guard *Guard
	cfg   ListenerConfig

	// mu guards open.
	mu   sync.Mutex
	open map[*conn]struct{}
}

// Connections returns the number of open connections. Those that have become sessions don't count.
func (l *Listener) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Accept implements [net.Listener].
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: standstill.NewConn(raw), raw: raw, listener: l}
		c.enter(phaseHead)
		if l.admit(c) {
			return c, nil
		}
		l.guard.tell(l.cfg.Name, "refused", raw.RemoteAddr())
		_ = raw.Close()
	}
}

// admit adds a connection, and closes another one if there are too many. It returns false if no other one can be
// closed.
func (l *Listener) admit(c *conn) bool {
	limit := l.cfg.Limits().Connections
	l.mu.Lock()
	victim, isFull := (*conn)(nil), limit > 0 && len(l.open) >= limit
	if isFull {
		victim = l.victim(l.guard.cfg.Now())
	}
	if !isFull || victim != nil {
		delete(l.open, victim)
		l.open[c] = struct{}{}
	}
	l.mu.Unlock()
	switch {
	case victim != nil:
		l.end(victim, "displaced")
	case isFull && l.cfg.MakeRoom != nil && l.cfg.MakeRoom():
		l.mu.Lock()
		defer l.mu.Unlock()
		l.open[c] = struct{}{}
	case isFull:
		return false
	}
	return true
}

// victim returns the connection that makes room for a new one: the oldest of those that are about to be closed or
// should have sent a head by now, else of the idle ones, of those whose client accepts nothing, or of the rest that have not sent a head. It
// returns nil if there is none. The caller holds mu.
func (l *Listener) victim(now time.Duration) *conn {
	const classes = 4
	var oldest [classes]*conn
	var since [classes]time.Duration
	for c := range l.open {
		class, began, ok := c.class(now)
		if ok && (oldest[class] == nil || began < since[class]) {
			oldest[class], since[class] = c, began
		}
	}
	for _, c := range oldest {
		if c != nil {
			return c
		}
	}
	return nil
}

// expired returns the connections whose time is over.
func (l *Listener) expired(tick int64) []*conn {
	limits := l.cfg.Limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*conn
	for c := range l.open {
		if c.isExpired(tick, limits) {
			out = append(out, c)
		}
	}
	return out
}

// end closes a connection for the given reason.
func (l *Listener) end(c *conn, reason string) {
	l.guard.tell(l.cfg.Name, reason, c.RemoteAddr())
	_ = c.Close()
}

// remove forgets a connection.
func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// ConnState follows the state of a connection; see [http.Server].
func (l *Listener) ConnState(nc net.Conn, state http.ConnState) {
	secured, isSecured := nc.(*tls.Conn)
	if isSecured {
		nc = secured.NetConn()
	}
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
		c.isOpaque.Store(isSecured)
	case http.StateActive:
		c.enter(phaseActive)
	case http.StateIdle:
		c.enter(phaseIdle)
	case http.StateHijacked:
		c.detach()
	case http.StateClosed:
		c.endHead()
		l.remove(c)
	}
}
