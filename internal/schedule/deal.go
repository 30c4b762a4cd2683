package schedule

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// dealPlaces draws how many of the places that engines have just reported free are this
// host's to take: its part, and what it has not used of the parts before, up to one place
// or one part. All hosts see the same places: when a full group of 63 ranks showed one
// free, the hosts sent 20 to 39 requests there before they knew better. Ranks then worked
// on twice the requests that let passes be on time, answers took longer, and more were on
// their way than before: the overload fed itself for 20 s after its cause had gone.
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
