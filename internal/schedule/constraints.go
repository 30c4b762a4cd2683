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

// limitsRegions reports whether the request may run in some regions only.
func (c *Constraints) limitsRegions() bool { return c != nil && c.Regions != nil }

// holdsUp reports whether a request with these constraints goes before a later one with the
// constraints o. One that may run in some regions only must not hold up those that may run in others.
func (c *Constraints) holdsUp(o *Constraints) bool {
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

// isDownFor reports whether no upstream in a region that the request allows serves.
func (sv *service) isDownFor(c *Constraints, now time.Duration) bool {
	if !c.limitsRegions() {
		return sv.isDown(now)
	}
	return !slices.ContainsFunc(sv.active, func(u *upstream) bool { return c.allowRegion(u) && sv.serves(u, now) })
}
