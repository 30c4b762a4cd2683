package dispatch

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBufferBytes is enough for a usual response header or several events. Each connection
	// uses that much memory.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if its upstream states no
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutMargin is how much earlier than its upstream says an idle connection is
	// closed, so that no request is sent just as the upstream closes the connection.
	idleTimeoutMargin = 500 * time.Millisecond
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	address string
	// input limits what reader may read.
	input  *limitedReader
	reader *bufio.Reader
	// requests counts the requests sent on the connection; previousAttempt is the id of the
	// last attempt that was answered on it.
	requests        int
	previousAttempt string
	// expires is when the connection is closed if it stays idle.
	expires time.Time
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newConn(c, address), nil
}

func newConn(c net.Conn, address string) *conn {
	input := &limitedReader{from: c}
	return &conn{Conn: c, address: address, input: input, reader: bufio.NewReaderSize(input, readBufferBytes)}
}

// isReusable reports whether nothing was received on an idle connection: no bytes, which would
// belong to no request, and no close by the upstream.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}

// allowReuse sets how long the connection may stay idle after a response, and reports whether
// it may be reused.
func (c *conn) allowReuse(resp *http.Response, now time.Time) bool {
	if resp.Close || c.reader.Buffered() > 0 {
		return false
	}
	idle := defaultIdleTimeout
	if stated, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		idle = stated - idleTimeoutMargin
	}
	c.expires = now.Add(idle)
	return idle > 0
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for _, parameter := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s >= 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}
