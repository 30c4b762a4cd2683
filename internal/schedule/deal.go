package schedule

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// openingReportDelay is for how long after a group has opened reports don't show yet what was placed
// there: the engine's own lag, the agent's interval and the control host's, with a margin.
const openingReportDelay = 500 * time.Millisecond

// scarcityDuration is for how long places count as scarce after an engine had a queue: longer than it
// takes to empty, so that hosts don't fill it again at once.
const scarcityDuration = 2 * time.Second

// updateQuotas draws how many of the places that engines have just reported free are this
// host's to take: its part, and what it has not used of the parts before, up to one place
// or one part. All hosts see the same places: without a part of its own each would take the
// one that a full group shows free. Ranks would work on more requests than let passes be on
// time, answers take longer, more be on their way than before, and the overload feed itself
// when its cause has gone.
// Where all slots count as places, an engine lets no more in than its passes bear, and its
// own queue wastes no time between two requests; nothing is dealt there unless places are
// scarce. Then requests would wait in that queue for longer than callers do.
func (s *Scheduler) updateQuotas(reported []wire.EngineLoad, now time.Duration) {
	for _, sv := range s.services {
		sv.detectScarcity(now)
		if !sv.needsQuota(now) {
			sv.hasQuota, sv.quotaRate = false, averageRate{}
			continue
		}
		free, unallocated := s.reportedFree(sv, reported, now)
		share := free / float64(s.hosts)
		sv.quotaRate.add(share, now)
		sv.hasQuota, sv.quota = true, min(sv.quota+s.ownShare(unallocated), max(1, int(math.Ceil(share))))
	}
}

// needsQuota reports whether the free places of a service are dealt out now.
func (sv *service) needsQuota(now time.Duration) bool {
	return sv.engineSpec != nil && (sv.limit < sv.engineSpec.Slots || now < sv.scarceUntil)
}

// detectScarcity keeps until when places count as scarce, where an engine has just said that it has
// more requests than slots.
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

// reportedFree counts the free places of the engines of a service that have reported now,
// and those of them that are left to deal: the places of a group that has just opened before
// a backlog are all shown free until the first requests are, and are dealt once till then.
func (s *Scheduler) reportedFree(sv *service, reported []wire.EngineLoad, now time.Duration) (free, unallocated float64) {
	minRatio := sv.minStepTimeRatio(now)
	byGroup := map[*group]float64{}
	for i := range reported {
		u := s.byAddress[reported[i].Address]
		if u != nil && u.service == sv && u.load.receivedAt == now && sv.serves(u, now) {
			byGroup[u.group] += max(float64(sv.limitOf(u, minRatio, now))-s.estimatedLoad(u, now), 0)
		}
	}
	for g, n := range byGroup {
		free += n
		unallocated += g.allocate(n, now)
	}
	return free, unallocated
}

// allocate returns how many of a group's free places are dealt now.
func (g *group) allocate(free float64, now time.Duration) float64 {
	if now-g.openedAt > openingReportDelay {
		return free
	}
	n := max(free-g.allocated, 0)
	g.allocated += n
	return n
}

// ownShare returns this host's part of something that all hosts share, in whole numbers that
// are right on the mean.
func (s *Scheduler) ownShare(total float64) int {
	share := total / float64(s.hosts)
	n := int(share)
	if s.cfg.Random.Float64() < share-float64(n) {
		n++
	}
	return n
}

// ownFreeShare returns how many of a service's free places this host may take at once: all
// hosts see the same ones.
func (s *Scheduler) ownFreeShare(sv *service, now time.Duration) int {
	_, free := s.capacity(sv, now)
	return s.ownShare(free)
}
