package inbound

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// phase is what a connection does.
type phase int64

const (
	// phaseHead means that the host waits for a head or the rest of it.
	phaseHead phase = iota
	// phaseActive means that a request is served.
	phaseActive
	// phaseIdle means that the host waits for the first byte of another request.
	phaseIdle
	// phaseClosing means that the server has sent its last response and waits for a moment, so that the client can
	// read it.
	phaseClosing
	// phaseDetached means that the server no longer serves the connection.
	phaseDetached
	phaseBits = 3
)

const (
	// preface begins a connection of HTTP/2 without TLS.
	preface = "PRI * HTTP/2.0"
	// refusalTimeout bounds the time to write a refusal.
	refusalTimeout = 50 * time.Millisecond
	// headStep is by how many bytes at a time the memory of a head is counted.
	headStep = 4 << 10
)

var (
	errHeadTooLarge = errors.New("the head is too large")
	errNoMemory     = errors.New("no memory is left for the head")
)

// refusal returns the response to a request whose head is not read to its end.
func refusal(status, more string) string {
	return "HTTP/1.1 " + status + "\r\n" + verdict.Header + ": " + verdict.NotRun.String() + "\r\n" + more +
		"Connection: close\r\nContent-Length: 0\r\n\r\n"
}

var refusalTooLarge = refusal("431 Request Header Fields Too Large", "")

// conn counts the heads that are read from a connection.
type conn struct {
	net.Conn
	raw      net.Conn
	listener *Listener
	// state holds the phase in its lowest phaseBits bits, and above them when it began.
	state atomic.Int64
	// phaseTick is the tick in which the phase began.
	phaseTick atomic.Int64
	// isOpaque is set if the bytes of a head can't be told apart, with TLS or HTTP/2. Their server bounds heads.
	isOpaque atomic.Bool
	// writeBegan and writeTick are when the write that is in progress began, and in which tick, both plus one; 0
	// if there is none.
	writeBegan, writeTick atomic.Int64

	// headBytes and fields count what was read of the head.
	headBytes, fields int64
	// accountMu guards account, which holds counted bytes for the head; nil if the allowance suffices.
	accountMu sync.Mutex
	account   *memory.Connection
	counted   int64
}

// enter begins a phase.
func (c *conn) enter(p phase) {
	if p != phaseHead {
		c.endHead()
	}
	g := c.listener.guard
	c.phaseTick.Store(g.ticks.Load())
	c.state.Store(int64(g.cfg.Now())<<phaseBits | int64(p))
}

func (c *conn) phase() phase { return phase(c.state.Load() & (1<<phaseBits - 1)) }

// class returns in which class of candidates to be closed the connection is, lower ones first, and since when. It
// returns false if it is none.
func (c *conn) class(now time.Duration) (class int, since time.Duration, ok bool) {
	state := c.state.Load()
	began := time.Duration(state >> phaseBits)
	switch phase(state & (1<<phaseBits - 1)) {
	case phaseHead:
		if now-began >= minAge {
			return 0, began, true
		}
		return 3, began, true
	case phaseClosing:
		return 0, began, true
	case phaseIdle:
		return 1, began, true
	case phaseActive:
		began = time.Duration(c.writeBegan.Load() - 1)
		return 2, began, began >= 0 && now-began >= minAge
	}
	return 0, 0, false
}

// isExpired reports whether the connection has been in its phase for too long.
func (c *conn) isExpired(now int64, limits Limits) bool {
	if began := c.writeTick.Load(); began > 0 && exceeds(now-(began-1), limits.WriteTimeout) {
		return true
	}
	age := now - c.phaseTick.Load()
	switch c.phase() {
	case phaseHead:
		return exceeds(age, limits.HeadTimeout)
	case phaseIdle:
		return exceeds(age, limits.IdleTimeout)
	}
	return false
}

// exceeds reports whether something that is that many ticks old is certainly older than a timeout.
func exceeds(ticks int64, timeout time.Duration) bool {
	return timeout > 0 && time.Duration(ticks-1)*tick >= timeout
}

// Read implements [net.Conn].
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.isOpaque.Load() {
		return n, err
	}
	p := c.phase()
	if p == phaseIdle {
		c.enter(phaseHead)
		p = phaseHead
	}
	if p == phaseHead {
		if refused := c.countHead(b[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// countHead counts bytes of a head. It refuses the request if its head is too large or there is no memory for it.
// The error is one after which the server closes the connection without a response of its own.
func (c *conn) countHead(b []byte) error {
	if c.headBytes == 0 && bytes.HasPrefix(b, []byte(preface)) {
		c.isOpaque.Store(true)
		return nil
	}
	c.headBytes += int64(len(b))
	c.fields += int64(bytes.Count(b, []byte{'\n'}))
	if limit := c.listener.cfg.Limits().HeadBytes; limit > 0 && c.headBytes > limit+readAhead {
		return c.refuse("head-too-large", refusalTooLarge, errHeadTooLarge)
	}
	if !c.hold(c.headBytes + c.fields*fieldBytes - HeadAllowance) {
		return c.refuse("no-memory", refusal("503 Service Unavailable", "Retry-After: "+c.listener.guard.retryAfter()+"\r\n"), errNoMemory)
	}
	return nil
}

// hold counts up to n bytes for the head, beside the allowance. It returns false if the host has no memory left.
func (c *conn) hold(n int64) bool {
	if n <= c.counted {
		return true
	}
	g := c.listener.guard
	now := g.cfg.Now()
	c.accountMu.Lock()
	defer c.accountMu.Unlock()
	if c.account == nil {
		c.account = g.cfg.Memory.Open(func() { _ = c.raw.SetReadDeadline(time.Unix(1, 0)) })
		c.account.Progress(now)
	}
	more := (n - c.counted + headStep - 1) / headStep * headStep
	outcome, victim := c.account.Take(memory.Body, more, now)
	if victim != nil && victim != c.account {
		victim.Abort()
	}
	if outcome != memory.Taken {
		return false
	}
	c.counted += more
	c.account.Advance(more, now)
	return true
}

// endHead gives back what is counted for the head.
func (c *conn) endHead() {
	c.accountMu.Lock()
	defer c.accountMu.Unlock()
	if c.account != nil {
		c.account.Close()
		c.account = nil
	}
	c.headBytes, c.fields, c.counted = 0, 0, 0
}

func (c *conn) refuse(reason, response string, err error) error {
	c.listener.guard.tell(c.listener.cfg.Name, reason, c.RemoteAddr())
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, response)
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: err}
}

// Write implements [net.Conn].
func (c *conn) Write(b []byte) (int, error) {
	g := c.listener.guard
	c.writeTick.Store(g.ticks.Load() + 1)
	c.writeBegan.Store(int64(g.cfg.Now()) + 1)
	n, err := c.Conn.Write(b)
	c.writeTick.Store(0)
	c.writeBegan.Store(0)
	return n, err
}

// CloseWrite ends what is written to the connection, before the server closes it.
func (c *conn) CloseWrite() error {
	c.enter(phaseClosing)
	if tcp, ok := c.raw.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.listener.remove(c)
	return err
}

// detach forgets a connection that the server no longer serves.
func (c *conn) detach() {
	c.enter(phaseDetached)
	c.listener.remove(c)
	if tcp, ok := c.raw.(*net.TCPConn); ok && c.listener.cfg.SessionBuffer > 0 {
		_ = tcp.SetReadBuffer(c.listener.cfg.SessionBuffer)
	}
}
