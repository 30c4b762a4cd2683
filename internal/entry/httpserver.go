package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Bounds of the callers' listener.
const (
	headerTimeout    = 10 * time.Second
	idleTimeout      = 2 * time.Minute
	maxHeaderBytes   = 64 << 10
	maxHTTP2Requests = 256
	// DefaultMaxConns is how many connections of callers are held at once.
	DefaultMaxConns = 16384
)

// NewHTTPServer returns a server for callers with bounds on headers, idle time and
// requests of one connection. A connection beyond maxConns is closed at once; zero
// means DefaultMaxConns.
func NewHTTPServer(h http.Handler, maxConns int) *http.Server {
	if maxConns <= 0 {
		maxConns = DefaultMaxConns
	}
	limit := connLimit{max: int64(maxConns)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         limit.change,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxHTTP2Requests},
	}
}

// connLimit counts open connections.
type connLimit struct {
	max  int64
	open atomic.Int64
}

func (l *connLimit) change(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if l.open.Add(1) > l.max {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}
