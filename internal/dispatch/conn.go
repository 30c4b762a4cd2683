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
	// readBuffer holds a usual answer's head, or several events; a connection costs that
	// much memory.
	readBuffer = 4 << 10
	// defaultIdle is how long a connection is kept whose upstream states no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how much sooner a connection is given up than its upstream says, so
	// that no request crosses its close on the way.
	idleMargin = 500 * time.Millisecond
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	// used counts the requests; previous is the attempt before the present one.
	used     int
	previous string
	// expires is when an idle connection is given up.
	expires time.Time
}

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: timeout, KeepAlive: -1}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, address: address, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// isSound reports whether nothing has come on an idle connection: neither bytes that
// belong to no request, nor its end.
func (c *conn) isSound() bool {
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
	sound := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		sound = err == syscall.EAGAIN
		return true
	})
	return err == nil && sound
}

// keep notes how long the connection may idle after an answer, and reports whether it
// may be used again.
func (c *conn) keep(resp *http.Response, now time.Time) bool {
	if resp.Close || c.reader.Buffered() > 0 {
		return false
	}
	idle := defaultIdle
	if stated, ok := keepAliveTimeout(resp.Header.Get("Keep-Alive")); ok {
		idle = stated - idleMargin
	}
	c.expires = now.Add(idle)
	return idle > 0
}

// keepAliveTimeout reads the timeout of a Keep-Alive header.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for _, part := range strings.Split(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s >= 0 {
			return time.Duration(s) * time.Second, true
		}
	}
	return 0, false
}
