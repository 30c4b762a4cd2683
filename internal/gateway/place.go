package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// callerRetryTimeFraction is the part of a route's timeout that a caller must have left to be sent
// away during an outage; one with less time waits here.
const callerRetryTimeFraction = 0.8

// stalledError ends an attempt in a group that does not serve.
type stalledError struct {
	// hasOtherGroup tells that another group serves.
	hasOtherGroup bool
	retryAfter    time.Duration
}

// Error implements error.
func (*stalledError) Error() string { return schedule.Outage.String() }

// verdict is the error of the attempt that was given up for its group: it may run yet.
func (e *stalledError) verdict() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, e.Error()).After(e.retryAfter)
}

// reserveSlot takes a place at an engine, and waits for one where there is none. Errors are
// *verdict.Error, always NotRun.
func (c *call) reserveSlot(ctx context.Context, e *routetable.Engine, isResumed bool) (registry.Upstream, *reservation, error) {
	g := c.g
	request := &schedule.Request{
		Service: c.service.Name, Engine: e, Gap: c.route.Gap, OnTimeUntil: g.clockTime(c.onTimeUntil()),
		Priority: c.priority, Tried: c.tried, TimeLeft: time.Until(c.deadline), CanRetry: c.callerCanRetry(), IsResumed: isResumed,
	}
	g.mu.Lock()
	d := g.scheduler.Admit(request, g.now())
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

// onTimeUntil is when the first event has to be there to be on time. A caller that has
// been here before is late: its time began with its first try.
func (c *call) onTimeUntil() time.Time {
	if c.isCallerRetry() {
		return c.began
	}
	return c.began.Add(c.route.TargetLatency)
}

// isCallerRetry reports whether the caller has spent so much of its time already that it
// must have tried before.
func (c *call) isCallerRetry() bool {
	return c.deadline.Sub(c.began) < time.Duration(callerRetryTimeFraction*float64(c.route.Timeout))
}

// callerCanRetry reports whether the caller has time to come back.
func (c *call) callerCanRetry() bool {
	return !c.mayHaveRun() && time.Until(c.deadline) > time.Duration(callerRetryTimeFraction*float64(c.route.Timeout))
}

func overloadError(d schedule.Decision) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, d.Reason.String()).After(d.RetryAfter)
}

// waitInQueue waits for the decision on a request.
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
		// It was decided just now.
		return d
	default:
	}
	delete(c.g.waiters, w)
	return c.g.scheduler.Abandon(w, c.g.now())
}

// logRefusal says by what a request got no place.
func (c *call) logRefusal(reason schedule.Reason) {
	c.g.counts.increment("refused." + reason.Name())
	c.g.mu.Lock()
	s, hosts := c.g.scheduler.State(c.service.Name, c.g.now()), c.g.scheduler.Hosts()
	c.g.mu.Unlock()
	c.warn("no place", "reason", reason.Name(), "upstreams", s.Upstreams, "loads_heard", s.Reporting, "serving", s.Serving,
		"groups", s.Groups, "groups_closed", s.ClosedGroups, "load_age_ms", s.OldestReport.Milliseconds(), "places", s.Capacity,
		"taken", s.EstimatedLoad, "late", s.LateAttempts, "need", s.OnTimeDemand, "waiting", s.Waiting, "hosts", hosts,
		"waited_ms", time.Since(c.began).Milliseconds())
}
