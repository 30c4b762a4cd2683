package group

import (
	"net"
	"sync"
	"sync/atomic"
)

// cutListener accepts connections that can be cut: a cut connection stays open, and everything
// that is written to either end is lost. So a connection behaves after a network partition,
// until TCP sends again what was lost.
type cutListener struct {
	net.Listener

	// mu guards conns.
	mu    sync.Mutex
	conns []*cutConn
}

// Accept implements net.Listener.
func (l *cutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	cut := &cutConn{Conn: c}
	l.conns = append(l.conns, cut)
	return cut, nil
}

// cut cuts all connections that were accepted so far.
func (l *cutListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		c.isCut.Store(true)
	}
}

type cutConn struct {
	net.Conn
	isCut atomic.Bool
}

// Read implements net.Conn.
func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.isCut.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *cutConn) Write(p []byte) (int, error) {
	if c.isCut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
