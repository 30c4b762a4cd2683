package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// startRetryAfter is what callers are told by a host that has no configuration yet.
	// Where control hosts start too, it takes their election first.
	startRetryAfter = 1500 * time.Millisecond
	// refusedRetryAfter is what callers are told where upstreams refused: about the time
	// in which a place becomes free.
	refusedRetryAfter = 300 * time.Millisecond
)

// statuses are those of failures that the caller can do something about.
var statuses = map[verdict.Code]int{
	verdict.CodeBadRequest:   http.StatusBadRequest,
	verdict.CodeUnauthorized: http.StatusUnauthorized,
	verdict.CodeNotFound:     http.StatusNotFound,
	verdict.CodeTooLarge:     http.StatusRequestEntityTooLarge,
	verdict.CodeDeadline:     http.StatusGatewayTimeout,
}

// status returns the status for a failure. A 503 promises that the request has not run.
func status(e *verdict.Error) int {
	if s, ok := statuses[e.Code]; ok && (e.Verdict == verdict.NotRun) == (s < http.StatusInternalServerError) {
		return s
	}
	switch {
	case e.Verdict == verdict.NotRun:
		return http.StatusServiceUnavailable
	case e.Code == verdict.CodeDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// giveUp sends the final answer after the last attempt.
func (c *call) giveUp(ctx context.Context) {
	e := verdict.FromError(c.last)
	if c.mayHaveRun() && e.Verdict == verdict.NotRun {
		e = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "an attempt failed, and no other was possible")
	}
	if c.r.Context().Err() != nil {
		c.g.counts.callersGone.Inc(1)
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil && e.Verdict == verdict.MayHaveRun {
		e = verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "no answer in time")
	}
	if e.Verdict == verdict.NotRun && e.RetryAfter == 0 && e.Code != verdict.CodeQuarantined {
		e = e.WithRetryAfter(refusedRetryAfter)
	}
	c.fail(e)
}

// fail sends a failure of this host's own.
func (c *call) fail(err error) {
	e := verdict.FromError(err)
	code := status(e)
	h := c.w.Header()
	h.Set(verdict.Header, e.Verdict.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if code == http.StatusBadRequest || code == http.StatusRequestEntityTooLarge {
		// What is left of the body is not read.
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(code)
	_, _ = c.w.Write([]byte(e.Text + "\n"))
	c.g.counts.failed(e, code)
	level := slog.LevelWarn
	if code == http.StatusNotFound || code == http.StatusUnauthorized {
		level = slog.LevelInfo
	}
	c.write(level, "request failed", "status", code, "code", string(e.Code), "verdict", e.Verdict.String(),
		"sends", c.sends, "elapsed_ms", time.Since(c.began).Milliseconds(), "reason", e.Error())
}

// log writes a line about what became of the request.
func (c *call) log(message string, args ...any) { c.write(slog.LevelInfo, message, args...) }

// warn writes a line about a failure, which goes before other lines where there are too
// many.
func (c *call) warn(message string, args ...any) { c.write(slog.LevelWarn, message, args...) }

func (c *call) write(level slog.Level, message string, args ...any) {
	args = append([]any{"request", c.attempt}, args...)
	if c.route != nil {
		args = append(args, "route", c.route.Name, "configuration", c.table.Number)
	}
	c.g.cfg.Log.Log(context.Background(), level, message, args...)
}
