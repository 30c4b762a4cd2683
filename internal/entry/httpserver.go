package entry

import (
	"net/http"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/inbound"
)

const (
	headerTimeout    = 10 * time.Second
	maxHTTP2Requests = 256
)

// Defaults of HTTPLimits.
const (
	DefaultMaxHeader   = 64 << 10
	DefaultIdleTimeout = 2 * time.Minute
)

// HTTPLimits are the limits of the listener for callers. Zero values mean the defaults.
type HTTPLimits struct {
	// MaxHeader bounds a request's header, in bytes.
	MaxHeader int
	// IdleTimeout closes a connection that has no request for that long.
	IdleTimeout time.Duration
}

// NewHTTPServer returns a server that passes the requests of callers to h. Its listener bounds the connections; see
// package inbound.
func NewHTTPServer(h http.Handler, limits HTTPLimits) *http.Server {
	setDefault(&limits.MaxHeader, DefaultMaxHeader)
	setDefault(&limits.IdleTimeout, DefaultIdleTimeout)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeader,
		Protocols:         protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxHTTP2Requests, MaxReceiveBufferPerConnection: inbound.HTTP2Window,
			MaxReceiveBufferPerStream: inbound.HTTP2Window / 2,
		},
	}
}
