package admission

import "time"

// Usage is what the load reports say of the upstreams of a pool.
type Usage struct {
	// Capacity is how many requests all ready upstreams run at once.
	Capacity int
	// InUse is how many run or wait there, those of all entry hosts together.
	InUse int
}

// borrowInterval is how often a host takes more than its equal part: load reports are
// sent about as often, and the same report must not be used twice.
const borrowInterval = 2 * time.Second

// CapacityShare is this host's part of the capacity of one pool. The zero value is ready.
//
// Each host may always use an equal part. One that needed all that it had for two
// reports in a row may use more of what they show as free, but takes only its own
// fraction of that a report: hosts that see the same report at once so never take more
// together than was free. It gives back what turns out to be used by others.
type CapacityShare struct {
	limit         int
	wasSaturated  bool
	updatedAt     time.Duration
	isInitialized bool
}

// Update returns how many requests this host may run at once, where own run now and
// hosts entry hosts are alive, this one included. It is at least one if there is any
// capacity.
func (s *CapacityShare) Update(now time.Duration, u Usage, own, hosts int) int {
	hosts = max(hosts, 1)
	equal := (u.Capacity + hosts - 1) / hosts
	if !s.isInitialized || now-s.updatedAt >= borrowInterval {
		s.borrow(u, own, hosts)
		s.updatedAt, s.isInitialized = now, true
	}
	return min(max(equal, s.limit), u.Capacity)
}

// borrow looks at a new report.
func (s *CapacityShare) borrow(u Usage, own, hosts int) {
	equal := (u.Capacity + hosts - 1) / hosts
	wasHungry := s.wasSaturated
	s.wasSaturated = own >= max(equal, s.limit)
	free := u.Capacity - max(u.InUse, own)
	if free < 0 {
		s.limit = max(equal, own+free)
		return
	}
	s.limit = max(equal, own)
	if s.wasSaturated && wasHungry {
		s.limit = own + free/hosts
	}
}
