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
type stalledError struct{ retryAfter time.Duration }

// Error implements error.
func (*stalledError) Error() string { return schedule.Outage.String() }

// verdict is the error of the request that was given up for its group.
func (e *stalledError) verdict() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, e.Error()).After(e.retryAfter)
}

// await takes a place at an engine, and waits for one where there is none. Errors are
// *verdict.Error, always NotRun.
func (c *call) await(ctx context.Context, e *routetable.Engine) (registry.Upstream, *ticket, error) {
	g := c.g
	request := &schedule.Request{
		Service: c.service.Name, Engine: e, Gap: c.route.Gap, OnTimeUntil: c.began.Add(c.route.Target).Sub(g.started),
		Priority: c.priority, Tried: c.tried, MayReturn: c.mayReturn(),
	}
	g.mu.Lock()
	d := g.scheduler.Admit(request, g.now())
	switch {
	case d.Ticket != nil:
		g.mu.Unlock()
		return d.Upstream, &ticket{Ticket: d.Ticket, g: g}, nil
	case d.Waiter == nil:
		c.logRefusal(d.Reason)
		g.mu.Unlock()
		return registry.Upstream{}, nil, refusal(d)
	}
	granted := make(chan schedule.Grant, 1)
	g.waiting[d.Waiter] = granted
	g.mu.Unlock()
	return c.wait(ctx, d.Waiter, granted)
}

// mayReturn reports whether the caller has time to come back.
func (c *call) mayReturn() bool {
	return !c.mayHaveRun() && time.Until(c.deadline) > time.Duration(mayReturn*float64(c.route.Timeout))
}

func refusal(d schedule.Decision) error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, d.Reason.String()).After(d.RetryAfter)
}

// wait waits for the place.
func (c *call) wait(
	ctx context.Context, w *schedule.Waiter, granted <-chan schedule.Grant,
) (registry.Upstream, *ticket, error) {
	c.g.counts.queued.Inc(1)
	began := time.Now()
	defer c.g.counts.queue.AddSince(began)
	timer := time.NewTimer(schedule.LongestWait)
	defer timer.Stop()
	select {
	case got := <-granted:
		return got.Upstream, &ticket{Ticket: got.Ticket, g: c.g}, nil
	case <-timer.C:
	case <-ctx.Done():
	}
	c.g.mu.Lock()
	defer c.g.mu.Unlock()
	select {
	case got := <-granted:
		// It was granted just now.
		return got.Upstream, &ticket{Ticket: got.Ticket, g: c.g}, nil
	default:
	}
	delete(c.g.waiting, w)
	d := c.g.scheduler.GiveUp(c.service.Name, w)
	c.logRefusal(d.Reason)
	return registry.Upstream{}, nil, refusal(d)
}

// logRefusal says by what a request got no place. The caller holds Gateway.mu; writing a
// line does not wait.
func (c *call) logRefusal(why schedule.Reason) {
	c.g.counts.count("refused." + why.Name())
	s := c.g.scheduler.State(c.service.Name, c.g.now())
	c.warn("no place", "reason", why.Name(), "upstreams", s.Upstreams, "loads_heard", s.Heard, "serving", s.Serving,
		"groups", s.Groups, "groups_closed", s.Closed, "load_age_ms", s.OldestLoad.Milliseconds(), "places", s.Places,
		"taken", s.Taken, "late", s.Late, "need", s.Need, "waiting", s.Waiting, "hosts", c.g.scheduler.Hosts(),
		"waited_ms", time.Since(c.began).Milliseconds())
}
