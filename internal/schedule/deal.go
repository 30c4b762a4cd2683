package schedule

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// dealPlaces draws how many of the places that engines have just reported free are this
// host's to take: its part, and what it has not used of the parts before, up to one place
// or one part. All hosts see the same places: without a part of its own each would take the
// one that a full group shows free. Ranks would work on more requests than let passes be on
// time, answers take longer, more be on their way than before, and the overload feed itself
// when its cause has gone.
// Where all slots count as places, an engine lets no more in than its passes bear, and its
// own queue wastes no time between two requests; nothing is dealt there.
func (s *Scheduler) dealPlaces(reported []wire.EngineLoad, now time.Duration) {
	for _, sv := range s.services {
		if sv.shape == nil || sv.places >= sv.shape.Slots {
			sv.isDealt, sv.dealt = false, flow{}
			continue
		}
		free := s.reportedFree(sv, reported, now)
		part := free / float64(s.hosts)
		sv.dealt.add(part, now)
		sv.isDealt, sv.mine = true, min(sv.mine+s.part(free), max(1, int(math.Ceil(part))))
	}
}

// reportedFree counts the free places of the engines of a service that have reported now.
func (s *Scheduler) reportedFree(sv *service, reported []wire.EngineLoad, now time.Duration) float64 {
	least, free := sv.leastPace(now), 0.0
	for i := range reported {
		u := s.byAddress[reported[i].Address]
		if u != nil && u.service == sv && u.load.at == now && sv.serves(u, now) {
			free += max(float64(sv.placesAt(u, least, now))-s.taken(u, now), 0)
		}
	}
	return free
}

// part returns this host's part of something that all hosts share, in whole numbers that
// are right on the mean.
func (s *Scheduler) part(all float64) int {
	part := all / float64(s.hosts)
	n := int(part)
	if s.cfg.Random.Float64() < part-float64(n) {
		n++
	}
	return n
}

// share returns how many of a service's free places this host may take at once: all
// hosts see the same ones.
func (s *Scheduler) share(sv *service, now time.Duration) int {
	_, free := s.room(sv, now)
	return s.part(free)
}
