package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// callerRetryTimeFraction is the fraction of a route's timeout that a caller must have left to
// be refused during an outage and told to retry. Callers with less time left wait in the queue.
const callerRetryTimeFraction = 0.8

// stalledError is the reason for cancelling an attempt that has no response header.
type stalledError struct{ schedule.StalledAttempt }

// Error implements error.
func (e *stalledError) Error() string { return e.Reason.String() }

// verdict returns the error for an attempt that was cancelled for this reason. The request may still
// run there.
func (e *stalledError) verdict() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, e.Error()).WithRetryAfter(e.RetryAfter)
}

// reserveSlot reserves a slot at an engine, and waits for one if none is free. Errors are
// *verdict.Error and always NotRun.
func (c *call) reserveSlot(ctx context.Context, e *routetable.Engine, isResumed bool) (registry.Upstream, *reservation, error) {
	g := c.g
	request := &schedule.Request{
		Service: c.service.Name, Engine: e, MaxEventGap: c.route.MaxEventGap, OnTimeUntil: g.clockTime(c.onTimeUntil()),
		Priority: c.priority, Workspace: c.workspace, Tried: c.tried, Regions: c.regions, Tokens: c.tokens(),
		TimeLeft: time.Until(c.deadline), CanRetry: c.callerCanRetry(), IsResumed: isResumed,
	}
	g.mu.Lock()
	d := c.admit(request)
	var decided chan schedule.Decision
	if d.Waiter != nil {
		decided = make(chan schedule.Decision, 1)
		g.waiters[d.Waiter] = decided
	}
	g.mu.Unlock()
	if d.Waiter != nil {
		d = c.waitInQueue(ctx, d.Waiter, decided)
	}
	if d.Ticket == nil {
		c.logRefusal(d.Reason)
		return registry.Upstream{}, nil, overloadError(d)
	}
	return d.Upstream, &reservation{Ticket: d.Ticket, g: g}, nil
}

// admit decides on a request for a slot. The caller holds Gateway.mu.
func (c *call) admit(r *schedule.Request) schedule.Decision {
	g := c.g
	if g.evacuations.closedServices[r.Service] {
		return evacuatedDecision(c.deadline)
	}
	d := g.scheduler.Admit(r, g.now())
	g.requestTokens()
	return d
}

// tokens returns the number of prompt tokens and the maximum number of output tokens together, 0 if
// the caller does not state them.
func (c *call) tokens() int {
	if c.g.cfg.Dialect.TokenCounts == nil {
		return 0
	}
	prompt, output, _ := c.g.cfg.Dialect.TokenCounts(c.r.Header)
	return prompt + output
}

// onTimeUntil returns the latest time for the first event to count as on time. A retry by the
// caller is late already, because its time started with the first try.
func (c *call) onTimeUntil() time.Time {
	if c.isCallerRetry() {
		return c.began
	}
	return c.began.Add(c.route.TargetLatency)
}

// isCallerRetry reports whether the caller has so little of the route's timeout left that it
// must have tried before.
func (c *call) isCallerRetry() bool {
	return c.deadline.Sub(c.began) < time.Duration(callerRetryTimeFraction*float64(c.route.Timeout))
}

// callerCanRetry reports whether the caller has enough time left to try again, and may do so
// because no attempt can have run.
func (c *call) callerCanRetry() bool {
	return !c.mayHaveRun() && time.Until(c.deadline) > time.Duration(callerRetryTimeFraction*float64(c.route.Timeout))
}

func overloadError(d schedule.Decision) error {
	if d.Reason == schedule.ExceedsCache {
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, d.Reason.String())
	}
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, d.Reason.String()).WithRetryAfter(d.RetryAfter)
}

// waitInQueue waits for the decision on a queued request.
func (c *call) waitInQueue(ctx context.Context, w *schedule.Waiter, decided <-chan schedule.Decision) schedule.Decision {
	c.g.counts.queued.Inc(1)
	began := time.Now()
	defer c.g.counts.queueWait.AddSince(began)
	timer := time.NewTimer(schedule.MaxQueueWait)
	defer timer.Stop()
	select {
	case d := <-decided:
		return d
	case <-timer.C:
	case <-ctx.Done():
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	select {
	case d := <-decided:
		// The decision arrived together with the timeout or the cancellation.
		return d
	default:
	}
	delete(c.g.waiters, w)
	return c.g.scheduler.Abandon(w, c.g.now())
}

// logRefusal logs and counts why a request got no slot.
func (c *call) logRefusal(reason schedule.Reason) {
	c.g.counts.increment("refused." + reason.Name())
	if c.isCallerRetry() {
		c.g.counts.increment("refused.again")
	}
	c.g.mu.Lock()
	c.g.countColdRefusal(c.service.Name)
	s, hosts := c.g.scheduler.State(c.service.Name, c.g.now()), c.g.scheduler.HostCount()
	c.g.mu.Unlock()
	c.warn("no place", "reason", reason.Name(), "upstreams", s.Upstreams, "loads_heard", s.Reporting, "serving", s.Serving,
		"groups", s.Groups, "groups_closed", s.ClosedGroups, "load_age_ms", s.OldestReport.Milliseconds(), "places", s.Capacity,
		"taken", s.EstimatedLoad, "late", s.LateAttempts, "need", s.OnTimeDemand, "waiting", s.Waiting, "hosts", hosts,
		"priority", c.priority, "first_event_ms", s.FirstEvent.Milliseconds(), "service_ms", s.ServiceTime.Milliseconds(),
		"on_time_ms", time.Until(c.onTimeUntil()).Milliseconds(), "promised_returns", s.PromisedReturns,
		"waited_ms", time.Since(c.began).Milliseconds())
}
