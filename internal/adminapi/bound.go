package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// maxBodyBytes leaves room for a text of the greatest size in JSON's escapes.
const maxBodyBytes = 2*document.MaxSize + 1<<16

// overloadRetryDelay is how long an operator waits when too many requests are in
// progress.
const overloadRetryDelay = time.Second

// limitedHandler limits what requests take: their number, their time and their bodies.
type limitedHandler struct {
	next     http.Handler
	problems *problems
	timeout  time.Duration
	// requestSlots has a slot for each request in progress, bodies one for each request
	// with a body.
	requestSlots chan struct{}
	bodySlots    chan struct{}
}

// ServeHTTP refuses a request where all slots are taken.
func (b *limitedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case b.requestSlots <- struct{}{}:
	default:
		b.refuse(w, r)
		return
	}
	defer func() { <-b.requestSlots }()
	ctx, cancel := context.WithTimeout(r.Context(), b.timeout)
	defer cancel()
	r = r.WithContext(ctx)
	if r.ContentLength == 0 {
		b.next.ServeHTTP(w, r)
		return
	}
	b.serveBody(w, r)
}

// serveBody waits for a slot as long as the request may take.
func (b *limitedHandler) serveBody(w http.ResponseWriter, r *http.Request) {
	select {
	case b.bodySlots <- struct{}{}:
	case <-r.Context().Done():
		b.refuse(w, r)
		return
	}
	defer func() { <-b.bodySlots }()
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	b.next.ServeHTTP(w, r)
}

func (b *limitedHandler) refuse(w http.ResponseWriter, r *http.Request) {
	busy := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many requests in progress")
	b.problems.serve(w, r, busy.WithRetryAfter(overloadRetryDelay))
}
