package adminapi

import (
	"context"
	"net/http"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/document"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// maxBody leaves room for a text of the greatest size in JSON's escapes.
const maxBody = 2*document.MaxSize + 1<<16

// overloadRetry is how long an operator waits when too many requests are in
// progress.
const overloadRetry = time.Second

// bounded limits what requests take: their number, their time and their bodies.
type bounded struct {
	next     http.Handler
	problems *problems
	timeout  time.Duration
	// requests has a slot for each request in progress, bodies one for each request
	// with a body.
	requests chan struct{}
	bodies   chan struct{}
}

// ServeHTTP refuses a request where all slots are taken.
func (b *bounded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case b.requests <- struct{}{}:
	default:
		b.refuse(w, r)
		return
	}
	defer func() { <-b.requests }()
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
func (b *bounded) serveBody(w http.ResponseWriter, r *http.Request) {
	select {
	case b.bodies <- struct{}{}:
	case <-r.Context().Done():
		b.refuse(w, r)
		return
	}
	defer func() { <-b.bodies }()
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	b.next.ServeHTTP(w, r)
}

func (b *bounded) refuse(w http.ResponseWriter, r *http.Request) {
	busy := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many requests in progress")
	b.problems.serve(w, r, busy.WithRetryAfter(overloadRetry))
}
