package admission

import "time"

// Usage is what the load reports say of the upstreams of a pool.
type Usage struct {
	// Capacity is how many requests all ready upstreams run at once.
	Capacity int
	// InUse is how many run or wait there, those of all entry hosts together.
	InUse int
}

// borrowEvery is how often a host takes more than its equal part: load reports are
// sent about as often, and the same report must not be used twice.
const borrowEvery = 2 * time.Second

// Part is this host's part of the capacity of one pool. The zero value is ready.
//
// Each host may always use an equal part. It may use more of what the reports show
// as free, but takes only its own fraction of that a report: hosts that see the same
// report at once so never take more together than was free.
type Part struct {
	borrowed  int
	updatedAt time.Duration
	updated   bool
}

// Update returns how many requests this host may run at once, where own run now and
// hosts entry hosts are alive, this one included. It is at least one if there is any
// capacity.
func (s *Part) Update(now time.Duration, u Usage, own, hosts int) int {
	hosts = max(hosts, 1)
	equal := (u.Capacity + hosts - 1) / hosts
	if !s.updated || now-s.updatedAt >= borrowEvery {
		free := max(0, u.Capacity-max(u.InUse, own))
		s.borrowed = own + free/hosts
		s.updatedAt, s.updated = now, true
	}
	return min(max(equal, s.borrowed), u.Capacity)
}
