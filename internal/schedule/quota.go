package schedule

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// openingReportDelay is how long load reports may miss requests that were admitted to a group
// after it opened: the engine's own delay plus the report intervals of agent and control host,
// with a margin.
const openingReportDelay = 500 * time.Millisecond

// scarcityDuration is how long slots count as scarce after an engine has reported a queue. It
// is longer than the queue takes to drain, so that hosts don't refill it at once.
const scarcityDuration = 2 * time.Second

// updateQuotas adds to this host's quota its share of the slots that engines have just reported
// free. Unused quota carries over, up to one slot or one share, whichever is more.
//
// All hosts see the same free slots. Without quotas each host would take the one free slot of a
// full group. Ranks would then run more requests than their passes can serve on time, answers
// would take longer and more of them would be in flight, so the overload would sustain itself
// after its cause is gone.
//
// An engine with all of its slots usable admits no more requests than its passes can serve, and
// its own queue avoids idle time between two requests. For such engines quotas apply only while
// slots are scarce, because requests would otherwise wait in the engine's queue for longer than
// callers do.
func (s *Scheduler) updateQuotas(reported []wire.EngineLoad, now time.Duration) {
	for _, sv := range s.services {
		sv.detectScarcity(now)
		if !sv.needsQuota(now) {
			sv.hasQuota, sv.quotaRate = false, averageRate{}
			continue
		}
		free, unallocated := s.reportedFree(sv, reported, now)
		share := free * s.shareOf(sv, now)
		sv.quotaRate.add(share, now)
		sv.hasQuota, sv.quota = true, min(sv.quota+s.ownShare(sv, unallocated, now), max(1, int(math.Ceil(share))))
	}
}

// needsQuota reports whether the free slots of a service are currently shared out among the
// hosts by quota.
func (sv *service) needsQuota(now time.Duration) bool {
	return sv.engineSpec != nil && (sv.limit < sv.engineSpec.Slots || now < sv.scarceUntil)
}

// detectScarcity extends the time for which slots count as scarce if an engine has just
// reported more requests than it has slots.
func (sv *service) detectScarcity(now time.Duration) {
	if sv.engineSpec == nil {
		return
	}
	for _, u := range sv.active {
		if u.load.isKnown && u.load.receivedAt == now && u.load.requests > sv.engineSpec.Slots {
			sv.scarceUntil = now + scarcityDuration
			return
		}
	}
}

// reportedFree counts the free slots of the engines of a service that have just reported and
// neither have a rate limit nor rest, and how many of these are not yet allocated to hosts. After a group opens, its reports show all
// slots as free until they include the first admitted requests; during that time each slot is
// allocated once only.
func (s *Scheduler) reportedFree(sv *service, reported []wire.EngineLoad, now time.Duration) (free, unallocated float64) {
	minRatio := sv.minStepTimeRatio(now)
	byGroup := map[*group]float64{}
	for i := range reported {
		u := s.byAddress[reported[i].Address]
		if u != nil && u.service == sv && !u.isRestricted(now) && u.load.receivedAt == now && sv.serves(u, now) {
			byGroup[u.group] += max(float64(sv.limitOf(u, minRatio, now))-s.estimatedLoad(u, now), 0)
		}
	}
	for g, n := range byGroup {
		free += n
		unallocated += g.allocate(n, now)
	}
	return free, unallocated
}

// allocate returns how many of a group's free slots are to be allocated to hosts now, and
// counts them while the group has just opened.
func (g *group) allocate(free float64, now time.Duration) float64 {
	if now-g.openedAt > openingReportDelay {
		return free
	}
	n := max(free-g.allocated, 0)
	g.allocated += n
	return n
}

// ownShare returns this host's share of a number of slots of a service, rounded up or down at random
// so that it is correct on average.
func (s *Scheduler) ownShare(sv *service, total float64, now time.Duration) int {
	share := total * s.shareOf(sv, now)
	n := int(share)
	if s.cfg.Random.Float64() < share-float64(n) {
		n++
	}
	return n
}

// ownFreeShare returns how many of a service's free slots this host may take at once. All hosts
// see the same free slots and divide them as shareOf states.
func (s *Scheduler) ownFreeShare(sv *service, now time.Duration) int {
	_, free := s.capacity(sv, now)
	return s.ownShare(sv, free, now)
}
