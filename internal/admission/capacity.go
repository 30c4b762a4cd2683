package admission

import "time"

// Usage sums the load reports of the upstreams of a pool.
type Usage struct {
	// Capacity is how many requests all ready upstreams can run concurrently.
	Capacity int
	// InUse is how many requests of all entry hosts run or wait at these upstreams.
	InUse int
}

// borrowInterval is how often a host may raise its limit above an equal share. Load
// reports are sent about as often, and a host must not borrow twice on the same report.
const borrowInterval = 2 * time.Second

// CapacityShare computes how many requests this entry host may run in one pool. The zero
// value is ready to use.
//
// Each host may always use an equal share of the capacity. A host that used its whole limit
// in two consecutive reports may borrow from the capacity that the last report shows as
// free. It borrows at most the free capacity divided by the number of hosts, so hosts that
// act on the same report together never borrow more than was free. Otherwise each report
// lowers the limit to what the host runs now, and by the excess if the report shows more
// requests than the pool's capacity, but never below the equal share.
type CapacityShare struct {
	limit         int
	wasSaturated  bool
	updatedAt     time.Duration
	isInitialized bool
}

// Update returns how many requests this host may run concurrently. own is how many it runs
// now, and hosts is the number of live entry hosts including this one. The result is at
// least one if the pool has any capacity.
func (s *CapacityShare) Update(now time.Duration, u Usage, own, hosts int) int {
	hosts = max(hosts, 1)
	equal := (u.Capacity + hosts - 1) / hosts
	if !s.isInitialized || now-s.updatedAt >= borrowInterval {
		s.borrow(u, own, hosts)
		s.updatedAt, s.isInitialized = now, true
	}
	return min(max(equal, s.limit), u.Capacity)
}

// borrow adjusts the limit to a new load report.
func (s *CapacityShare) borrow(u Usage, own, hosts int) {
	equal := (u.Capacity + hosts - 1) / hosts
	saturatedBefore := s.wasSaturated
	s.wasSaturated = own >= max(equal, s.limit)
	free := u.Capacity - max(u.InUse, own)
	if free < 0 {
		s.limit = max(equal, own+free)
		return
	}
	s.limit = max(equal, own)
	if s.wasSaturated && saturatedBefore {
		s.limit = own + free/hosts
	}
}
