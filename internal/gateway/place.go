package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// mayReturn is the part of a route's timeout that a caller must have left to be sent
// away during an outage; one with less time waits here.
const mayReturn = 0.8

// stalledError ends an attempt in a group that does not serve.
type stalledError struct {
	// hasOther tells that another group serves.
	hasOther   bool
	retryAfter time.Duration
}

// Error implements error.
func (*stalledError) Error() string { return schedule.Outage.String() }

// verdict is the error of the attempt that was given up for its group: it may run yet.
func (e *stalledError) verdict() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, e.Error()).WithRetryAfter(e.retryAfter)
}

// await takes a place at an engine, and waits for one where there is none. Errors are
// *verdict.Error, always NotRun.
func (c *call) await(ctx context.Context, e *routetable.Engine, isResumed bool) (registry.Upstream, *ticket, error) {
	g := c.g
	request := &schedule.Request{
		Service: c.service.Name, Engine: e, Gap: c.route.Gap, OnTimeUntil: g.at(c.onTimeUntil()),
		Priority: c.priority, Tried: c.tried, TimeLeft: time.Until(c.deadline), CanRetry: c.mayReturn(), IsResumed: isResumed,
	}
	g.mu.Lock()
	d := g.scheduler.Admit(request, g.now())
	var decided chan schedule.Decision
	if d.Waiter != nil {
		decided = make(chan schedule.Decision, 1)
		g.waiting[d.Waiter] = decided
	}
	g.mu.Unlock()
	if d.Waiter != nil {
		d = c.wait(ctx, d.Waiter, decided)
	}
	if d.Ticket == nil {
		c.logRefusal(d.Reason)
		return registry.Upstream{}, nil, refusal(d)
	}
	return d.Upstream, &ticket{Ticket: d.Ticket, g: g}, nil
}

// onTimeUntil is when the first event has to be there to be on time. A caller that has
// been here before is late: its time began with its first try.
func (c *call) onTimeUntil() time.Time {
	if c.hasReturned() {
		return c.began
	}
	return c.began.Add(c.route.TargetLatency)
}

// hasReturned reports whether the caller has spent so much of its time already that it
// must have tried before.
func (c *call) hasReturned() bool {
	return c.deadline.Sub(c.began) < time.Duration(mayReturn*float64(c.route.Timeout))
}

// mayReturn reports whether the caller has time to come back.
func (c *call) mayReturn() bool {
	return !c.mayHaveRun() && time.Until(c.deadline) > time.Duration(mayReturn*float64(c.route.Timeout))
}

func refusal(d schedule.Decision) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, d.Reason.String()).WithRetryAfter(d.RetryAfter)
}

// wait waits for the decision on a request.
func (c *call) wait(ctx context.Context, w *schedule.Waiter, decided <-chan schedule.Decision) schedule.Decision {
	c.g.counts.queued.Inc(1)
	began := time.Now()
	defer c.g.counts.queue.AddSince(began)
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
	delete(c.g.waiting, w)
	return c.g.scheduler.Abandon(w, c.g.now())
}

// logRefusal says by what a request got no place.
func (c *call) logRefusal(why schedule.Reason) {
	c.g.counts.count("refused." + why.Name())
	c.g.mu.Lock()
	s, hosts := c.g.scheduler.State(c.service.Name, c.g.now()), c.g.scheduler.Hosts()
	c.g.mu.Unlock()
	c.warn("no place", "reason", why.Name(), "upstreams", s.Upstreams, "loads_heard", s.Reporting, "serving", s.Serving,
		"groups", s.Groups, "groups_closed", s.ClosedGroups, "load_age_ms", s.OldestReport.Milliseconds(), "places", s.Capacity,
		"taken", s.EstimatedLoad, "late", s.LateAttempts, "need", s.OnTimeDemand, "waiting", s.Waiting, "hosts", hosts,
		"waited_ms", time.Since(c.began).Milliseconds())
}
