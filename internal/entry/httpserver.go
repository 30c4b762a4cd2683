package entry

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	headerTimeout    = 10 * time.Second
	maxHTTP2Requests = 256
)

// Defaults of HTTPLimits.
const (
	DefaultMaxConns    = 16384
	DefaultMaxHeader   = 64 << 10
	DefaultIdleTimeout = 2 * time.Minute
)

// HTTPLimits are the limits of the listener for callers. Zero values mean the defaults.
type HTTPLimits struct {
	// MaxConns is how many connections may be open; further ones are closed on arrival.
	MaxConns int
	// MaxHeader bounds a request's header, in bytes.
	MaxHeader int
	// IdleTimeout closes a connection that has no request for that long.
	IdleTimeout time.Duration
}

// NewHTTPServer returns a server that passes the requests of callers to h.
func NewHTTPServer(h http.Handler, limits HTTPLimits) *http.Server {
	setDefault(&limits.MaxConns, DefaultMaxConns)
	setDefault(&limits.MaxHeader, DefaultMaxHeader)
	setDefault(&limits.IdleTimeout, DefaultIdleTimeout)
	limit := connLimit{max: int64(limits.MaxConns)}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeader,
		ConnState:         limit.connStateChanged,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxHTTP2Requests},
	}
}

// connLimit closes new connections while max others are open.
type connLimit struct {
	max  int64
	open atomic.Int64
}

func (l *connLimit) connStateChanged(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		if l.open.Add(1) > l.max {
			_ = c.Close()
		}
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}
