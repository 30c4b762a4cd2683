package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// MaxBodyBytes is the size of the largest body of a request. It fits a text of document.MaxSize in JSON with escapes that double its length, and
// 64 KiB more.
const MaxBodyBytes = 2*document.MaxSize + 1<<16

// overloadRetryDelay is the Retry-After of requests that are refused because too many are in
// progress.
const overloadRetryDelay = time.Second

// limitedHandler limits the number, the duration and the bodies of requests.
type limitedHandler struct {
	next     http.Handler
	problems *problems
	timeout  time.Duration
	// requestSlots holds an element for each request in progress, bodySlots one for each
	// request with a body.
	requestSlots chan struct{}
	bodySlots    chan struct{}
}

// ServeHTTP refuses a request if all slots are taken.
func (h *limitedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case h.requestSlots <- struct{}{}:
	default:
		h.refuse(w, r)
		return
	}
	defer func() { <-h.requestSlots }()
	ctx, cancel := context.WithTimeout(r.Context(), h.timeout)
	defer cancel()
	r = r.WithContext(ctx)
	if hasUnexpectedBody(r) {
		h.problems.serve(w, r, unexpectedBody())
		return
	}
	if r.ContentLength == 0 {
		h.next.ServeHTTP(w, r)
		return
	}
	h.serveBody(w, r)
}

// serveBody waits for a body slot until the request's timeout.
func (h *limitedHandler) serveBody(w http.ResponseWriter, r *http.Request) {
	select {
	case h.bodySlots <- struct{}{}:
	case <-r.Context().Done():
		h.refuse(w, r)
		return
	}
	defer func() { <-h.bodySlots }()
	r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
	h.next.ServeHTTP(w, r)
}

func (h *limitedHandler) refuse(w http.ResponseWriter, r *http.Request) {
	overloaded := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many requests in progress")
	h.problems.serve(w, r, overloaded.WithRetryAfter(overloadRetryDelay))
}
