package schedule

import (
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

// Constraints state which upstreams a request may be sent to. A nil pointer means all.
type Constraints struct {
	// Tried lists the ids of the upstreams that earlier attempts of the request were sent to.
	Tried []string
	// Regions are the regions in which the request may run.
	Regions routetable.Regions
	// Tokens is the number of prompt tokens and the maximum number of output tokens together, 0 if
	// unknown.
	Tokens int
}

// allow reports whether the request may be sent to the upstream, whatever its load. It is asked for
// each upstream in each decision, so the usual case is kept short enough to be inlined.
func (c *Constraints) allow(u *upstream) bool {
	return c == nil || c.Regions == nil && len(c.Tried) == 0 || c.allowListed(u)
}

// allowListed is allow for a request that has lists.
func (c *Constraints) allowListed(u *upstream) bool {
	return c.allowRegion(u) && !slices.Contains(c.Tried, u.ID)
}

// allowRegion reports whether the request may run in the region of the upstream.
func (c *Constraints) allowRegion(u *upstream) bool { return c == nil || c.Regions.Allow(u.region) }

// limitsRegions reports whether the request may not run at all upstreams of its service.
func (c *Constraints) limitsRegions() bool { return c != nil && c.Regions != nil }

// compete reports whether two requests wait for the same slots. One that may run in some regions
// only must not hold up those that may run in others.
func (c *Constraints) compete(o *Constraints) bool {
	return !c.limitsRegions() || slices.Equal(c.Regions, o.Regions)
}

// hasNoRegion reports whether no upstream of the service is in a region that the request allows. It
// is false in the start-up phase of this host, whose list of upstreams is incomplete.
func (s *Scheduler) hasNoRegion(sv *service, c *Constraints, now time.Duration) bool {
	return c.limitsRegions() && now >= s.cfg.StartupUntil &&
		!slices.ContainsFunc(sv.active, func(u *upstream) bool { return c.allowRegion(u) })
}

// HasNoRegion reports whether no upstream of a service is in a region that the request allows.
func (s *Scheduler) HasNoRegion(name string, c *Constraints, now time.Duration) bool {
	return s.hasNoRegion(s.service(name), c, now)
}

// isDownFor reports whether no upstream serves that is in a region which the request allows.
func (sv *service) isDownFor(c *Constraints, now time.Duration) bool {
	if !c.limitsRegions() {
		return sv.isDown(now)
	}
	return !slices.ContainsFunc(sv.active, func(u *upstream) bool { return c.allowRegion(u) && sv.serves(u, now) })
}

// isAhead reports whether a queued request that waits for the same slots and may take one goes
// before w.
func (s *Scheduler) isAhead(w *Waiter, now time.Duration) bool {
	return slices.ContainsFunc(w.service.waiters, func(o *Waiter) bool {
		return !w.precedes(o, now) && o.constraints.compete(&w.constraints) && s.mayAdmit(w.service, o, now)
	})
}

// hasOtherEngine reports whether an attempt's stream could be continued at another engine. It is
// true without a look if any engine with a free slot would do.
func (s *Scheduler) hasOtherEngine(t *Ticket, minRatio float64, now time.Duration) bool {
	if !t.constraints.limitsRegions() && !t.service.limitsTokens(t.constraints) {
		return true
	}
	return slices.ContainsFunc(t.service.active, func(u *upstream) bool {
		return u != t.upstream && t.constraints.allow(u) && t.service.serves(u, now) && s.fitsCache(u, t.constraints, now) &&
			s.estimatedLoad(u, now) < float64(t.service.limitOf(u, minRatio, now))
	})
}
