package gateway

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// startupRetryAfter is the Retry-After of a host that has no configuration yet. If the
	// control hosts have just started too, they first have to elect a leader.
	startupRetryAfter = 1500 * time.Millisecond
	// RefusedRetryAfter is the Retry-After when upstreams have refused, which is about the time
	// until a slot becomes free.
	RefusedRetryAfter = 300 * time.Millisecond
)

// hasUnreadBody reports whether the body was not read to its end.
func (c *call) hasUnreadBody() bool { return !c.isBodyWhole && c.r.ContentLength != 0 }

// statusByCode holds the status of the failures that the caller can do something about.
var statusByCode = map[verdict.Code]int{
	verdict.CodeBadRequest:   http.StatusBadRequest,
	verdict.CodeUnauthorized: http.StatusUnauthorized,
	verdict.CodeNotFound:     http.StatusNotFound,
	verdict.CodeTooLarge:     http.StatusRequestEntityTooLarge,
	verdict.CodeDeadline:     http.StatusGatewayTimeout,
}

// statusOf returns the HTTP status for a failure. Status 503 promises that the request has not
// run.
func statusOf(e *verdict.Error) int {
	if s, ok := statusByCode[e.Code]; ok && (e.Verdict == verdict.NotRun) == (s < http.StatusInternalServerError) {
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

// giveUp sends the final error after the last attempt.
func (c *call) giveUp(ctx context.Context) {
	e := verdict.FromError(c.last)
	if c.mayHaveRun() && e.Verdict == verdict.NotRun {
		e = verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, "an attempt failed, and no other was possible")
	}
	isDrained := errors.Is(context.Cause(ctx), errDraining)
	if e.Verdict == verdict.NotRun && isDrained {
		e = drainingError()
	}
	// The server takes the end of the reading of a body for a disconnect if the body became whole just then.
	if c.r.Context().Err() != nil && !isDrained {
		c.g.counts.callersGone.Inc(1)
		c.log("caller disconnected", "sends", c.attempts, "elapsed_ms", time.Since(c.began).Milliseconds(), "verdict", e.Verdict.String())
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil && e.Verdict == verdict.MayHaveRun {
		e = verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "no answer in time")
	}
	if e.Verdict == verdict.NotRun && e.RetryAfter == 0 && e.Code != verdict.CodeQuarantined && e.Code != verdict.CodeTooLarge {
		e = e.WithRetryAfter(RefusedRetryAfter)
	}
	c.fail(e)
}

// fail sends an error response on behalf of this host.
func (c *call) fail(err error) {
	_ = c.g.drain.enter(c, stageAnswered)
	e := verdict.FromError(err)
	code := statusOf(e)
	h := c.w.Header()
	h.Set(verdict.Header, e.Verdict.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if c.hasUnreadBody() {
		// The server reads some of the rest, so that the caller can read the response.
		_ = c.control.SetReadDeadline(time.Now().Add(inbound.UnreadBodyTimeout))
		if code != http.StatusNotFound && code != http.StatusUnauthorized {
			h.Set("Connection", "close")
		}
	}
	if code == http.StatusBadRequest || code == http.StatusRequestEntityTooLarge {
		// The rest of the body is not read, so the connection can't be reused.
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(code)
	_, _ = c.w.Write([]byte(e.Text + "\n"))
	c.g.counts.recordFailure(e, code)
	level := slog.LevelWarn
	if code == http.StatusNotFound || code == http.StatusUnauthorized {
		level = slog.LevelInfo
	}
	c.write(level, "request failed", "status", code, "code", string(e.Code), "verdict", e.Verdict.String(),
		"sends", c.attempts, "elapsed_ms", time.Since(c.began).Milliseconds(), "reason", e.Error())
}

// log logs progress of the request.
func (c *call) log(message string, args ...any) { c.write(slog.LevelInfo, message, args...) }

// debug logs a step that operators seldom need.
func (c *call) debug(message string, args ...any) { c.write(slog.LevelDebug, message, args...) }

// warn logs a failure. If there are too many log lines, warnings are kept in preference to
// others.
func (c *call) warn(message string, args ...any) { c.write(slog.LevelWarn, message, args...) }

func (c *call) write(level slog.Level, message string, args ...any) {
	args = append([]any{"request", c.attemptID}, args...)
	if c.route != nil {
		args = append(args, "route", c.route.Name, "configuration", c.table.Number)
	}
	c.g.cfg.Log.Log(context.Background(), level, message, args...)
}
