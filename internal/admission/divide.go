package admission

import (
	"slices"
	"time"
)

// Allocator divides the limits of the workspaces that a host owns among the hosts that
// ask. It is pure and not safe for concurrent use.
//
// Invariant: for each workspace, what all unexpired grants give away together is no
// more than what the hosts' floors leave of its limit. A grant expires here no
// sooner than at the host that has it, since that one counts from before it asked.
type Allocator struct {
	hosts int
	// ownerSince is when this host began to own; for one lease span after that, grants of
	// the owner before may be in force.
	ownerSince time.Duration
	shares     map[uint64]map[string]*hostShare
}

// hostShare is what one host wants and was given of one workspace.
type hostShare struct {
	demand Amounts
	// runningAboveFloor is what the host still runs at once above its floor, grant or not.
	runningAboveFloor float64
	// grants are those that may be in force at the host: a reply can be lost, so
	// that a larger one before it holds on.
	grants []grant
}

type grant struct {
	amounts   Amounts
	expiresAt time.Duration
}

// NewAllocator returns a Divider at one of that many hosts.
func NewAllocator(now time.Duration, hosts int) *Allocator {
	return &Allocator{hosts: max(hosts, 1), ownerSince: now, shares: make(map[uint64]map[string]*hostShare)}
}

// Allocate returns what the host gets of a workspace above its floor, where running are
// the requests above the floor that it runs now.
func (d *Allocator) Allocate(now time.Duration, host string, workspace uint64, l Limits, demand Amounts, running float64) Amounts {
	if now < d.ownerSince+leaseDuration || d.hosts == 1 {
		return Amounts{}
	}
	hosts := d.shares[workspace]
	if hosts == nil {
		hosts = make(map[string]*hostShare)
		d.shares[workspace] = hosts
	}
	s := hosts[host]
	if s == nil {
		s = &hostShare{}
		hosts[host] = s
	}
	s.demand, s.runningAboveFloor = demand, running
	for _, o := range hosts {
		o.expire(now)
	}
	given := Amounts{
		Requests:   allocateLimit(hosts, s, l.Requests, func(u Amounts) float64 { return u.Requests }),
		Tokens:     allocateLimit(hosts, s, l.Tokens, func(u Amounts) float64 { return u.Tokens }),
		Concurrent: allocateLimit(hosts, s, float64(l.Concurrent), func(u Amounts) float64 { return u.Concurrent }),
	}
	s.grants = append(s.grants, grant{amounts: given, expiresAt: now + leaseDuration})
	return given
}

// allocateLimit divides one limit: a host gets its max-min fair part, as far as what the others
// hold leaves it.
func allocateLimit(hosts map[string]*hostShare, s *hostShare, limit float64, of func(Amounts) float64) float64 {
	left := limit * (1 - floorFraction)
	demands := []float64{of(s.demand)}
	held := 0.0
	for _, o := range hosts {
		if o == s || len(o.grants) == 0 {
			continue
		}
		demands = append(demands, of(o.demand))
		held += of(o.reserved())
	}
	return max(0, min(of(s.demand), maxMinLevel(demands, left), left-held))
}

// reserved is the most that a host may use above its floor.
func (s *hostShare) reserved() Amounts {
	u := Amounts{Concurrent: s.runningAboveFloor}
	for _, g := range s.grants {
		u.Requests = max(u.Requests, g.amounts.Requests)
		u.Tokens = max(u.Tokens, g.amounts.Tokens)
		u.Concurrent = max(u.Concurrent, g.amounts.Concurrent)
	}
	return u
}

func (s *hostShare) expire(now time.Duration) {
	s.grants = slices.DeleteFunc(s.grants, func(g grant) bool { return g.expiresAt <= now })
}

// maxMinLevel returns the level up to which each demand can be met from what there is:
// the max-min fair division.
func maxMinLevel(demands []float64, total float64) float64 {
	slices.Sort(demands)
	for i, x := range demands {
		level := total / float64(len(demands)-i)
		if x >= level {
			return level
		}
		total -= x
	}
	return total
}

// Expire forgets hosts without a grant in force.
func (d *Allocator) Expire(now time.Duration) {
	for workspace, hosts := range d.shares {
		for host, s := range hosts {
			if s.expire(now); len(s.grants) == 0 {
				delete(hosts, host)
			}
		}
		if len(hosts) == 0 {
			delete(d.shares, workspace)
		}
	}
}
