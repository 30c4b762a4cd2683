package admission

import (
	"slices"
	"time"
)

// Allocator divides the limits of the workspaces that this host owns among the hosts that
// send demands. It is pure and not safe for concurrent use.
//
// Invariant: for each workspace, the sum of all unexpired grants is at most the limit minus
// the floors of all hosts. A grant expires at its owner no earlier than at the host that
// received it, because that host counts the lease from before it sent its demand.
type Allocator struct {
	hosts int
	// ownerSince is when this host became an owner. For one leaseDuration after that,
	// grants of the previous owner may still be valid.
	ownerSince time.Duration
	// shares is indexed by workspace key, then by host name.
	shares map[uint64]map[string]*hostShare
}

// hostShare is the demand of one host for one workspace, with the grants it received.
type hostShare struct {
	demand Amounts
	// runningAboveFloor is how many requests the host runs above its floor. They may
	// outlive the grant under which they started.
	runningAboveFloor float64
	// grants are those that may be valid at the host. A reply can be lost, so an earlier,
	// larger grant may still be the one that the host uses.
	grants []grant
}

type grant struct {
	amounts   Amounts
	expiresAt time.Duration
}

// NewAllocator returns an Allocator for limits that are divided among that many hosts.
func NewAllocator(now time.Duration, hosts int) *Allocator {
	return &Allocator{hosts: max(hosts, 1), ownerSince: now, shares: make(map[uint64]map[string]*hostShare)}
}

// Allocate returns what the host may use of a workspace's limits above its floor, for one
// lease. running is how many requests it runs above its floor now. For one leaseDuration
// after this host became an owner the result is zero.
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
	for _, other := range hosts {
		other.expire(now)
	}
	granted := Amounts{
		Requests:   allocateLimit(hosts, s, l.Requests, func(u Amounts) float64 { return u.Requests }),
		Tokens:     allocateLimit(hosts, s, l.Tokens, func(u Amounts) float64 { return u.Tokens }),
		Concurrent: allocateLimit(hosts, s, float64(l.Concurrent), func(u Amounts) float64 { return u.Concurrent }),
	}
	s.grants = append(s.grants, grant{amounts: granted, expiresAt: now + leaseDuration})
	return granted
}

// allocateLimit computes one host's grant of one limit: its max-min fair share, reduced to
// what the reservations of the other hosts leave. of selects the limit.
func allocateLimit(hosts map[string]*hostShare, self *hostShare, limit float64, of func(Amounts) float64) float64 {
	available := limit * (1 - floorFraction)
	demands := []float64{of(self.demand)}
	reserved := 0.0
	for _, other := range hosts {
		if other == self || len(other.grants) == 0 {
			continue
		}
		demands = append(demands, of(other.demand))
		reserved += of(other.reserved())
	}
	return max(0, min(of(self.demand), maxMinLevel(demands, available), available-reserved))
}

// reserved returns the most that the host may be using above its floor.
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

// maxMinLevel returns the max-min fair level: if every demand is capped at this level, their
// sum is at most total.
func maxMinLevel(demands []float64, total float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		level := total / float64(len(demands)-i)
		if demand >= level {
			return level
		}
		total -= demand
	}
	return total
}

// Expire drops hosts without an unexpired grant.
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
