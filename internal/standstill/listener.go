package standstill

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// NewListener returns a listener on l whose connections also read what arrived in time but could not be
// read then: a deadline that passed while the process stood still ends a read even if data has arrived
// long before. An HTTP server would close the connection, and its client's request would get no response.
func NewListener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// NewConn returns a connection as a listener of NewListener returns it.
func NewConn(c net.Conn) net.Conn { return &conn{Conn: c} }

// conn extends each read deadline once, by settleTime, when a read finds that it has passed. A client
// that sends its request too slowly gains no more than that.
type conn struct {
	net.Conn
	// mu guards deadline and changes of the read deadline of Conn.
	mu sync.Mutex
	// deadline is the read deadline; zero if there is none, if it has been extended, or if it had passed
	// when it was set. The last is how a server interrupts a read.
	deadline time.Time
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendDeadline() {
		return c.Conn.Read(b)
	}
	return n, err
}

// extendDeadline reports whether the read deadline has passed and been extended.
func (c *conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.deadline.IsZero() || now.Before(c.deadline) {
		return false
	}
	c.deadline = time.Time{}
	return c.Conn.SetReadDeadline(now.Add(settleTime)) == nil
}

// SetReadDeadline implements [net.Conn].
func (c *conn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(t, c.Conn.SetReadDeadline)
}

// SetDeadline implements [net.Conn].
func (c *conn) SetDeadline(t time.Time) error {
	return c.setDeadline(t, c.Conn.SetDeadline)
}

func (c *conn) setDeadline(t time.Time, set func(time.Time) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = time.Time{}
	if t.After(time.Now()) {
		c.deadline = t
	}
	return set(t)
}
