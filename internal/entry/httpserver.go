package entry

import (
	"net/http"
	"time"
)

// Bounds of the callers' listener.
const (
	headerTimeout    = 10 * time.Second
	idleTimeout      = 2 * time.Minute
	maxHeaderBytes   = 64 << 10
	maxHTTP2Requests = 256
)

// NewHTTPServer returns a server for callers with bounds on headers, idle time and
// requests of one connection.
func NewHTTPServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxHTTP2Requests},
	}
}
