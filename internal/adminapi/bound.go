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

// bound limits what requests take: their number, their time and their bodies.
func bound(next http.Handler, p *problems, timeout time.Duration, maxConcurrent int) http.Handler {
	slots := make(chan struct{}, maxConcurrent)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		default:
			p.serve(w, r, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many requests in progress").After(overloadRetry))
			return
		}
		defer func() { <-slots }()
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
