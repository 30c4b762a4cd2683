package schedule

import (
	"math"
	"time"
)

// onTimeReserve is for how long the free places have to last for requests that can be on
// time before a late one may have one of them. It covers the wait for loads that show the
// next ones.
const onTimeReserve = 500 * time.Millisecond

// expectedServiceTime is about how long a request keeps its place.
func (sv *service) expectedServiceTime() time.Duration { return ServiceTime(sv.engineSpec, sv.limit) }

// lateCapacity is how many more requests that are late anyway this host may place now. They
// get what those that can be on time leave: an on-time answer is worth more to its caller
// than a late one, and a late one that takes its place makes the next ones late, for as
// long as the backlog of an outage lasts.
func (s *Scheduler) lateCapacity(sv *service, now time.Duration) float64 {
	_, free := s.capacity(sv, now)
	spare := free/float64(s.hosts) - sv.demand.onTimeArrivals.perSecond(now)*onTimeReserve.Seconds()
	return max(s.capacityLeftForLate(sv, now)-float64(sv.late), spare)
}

// ownCapacity is this host's part of the places.
func (s *Scheduler) ownCapacity(sv *service, now time.Duration) float64 {
	total, _ := s.capacity(sv, now)
	return total / float64(s.hosts)
}

// capacityLeftForLate is what requests on time leave of this host's part of the places.
func (s *Scheduler) capacityLeftForLate(sv *service, now time.Duration) float64 {
	return s.ownCapacity(sv, now) - sv.demand.slotsNeeded(sv.expectedServiceTime(), now)
}

// cannotBeServedInTime reports whether a request would wait for its place in vain, as far as can be
// told from how places become free and who goes before it.
func (s *Scheduler) cannotBeServedInTime(sv *service, w *Waiter, now time.Duration) bool {
	if sv.demand.serviceTime == 0 {
		return false
	}
	if w.canBeOnTime(now) && s.expectedOnTimeWait(sv, w, now) < w.latestStart-now {
		return false
	}
	available := s.capacityLeftForLate(sv, now)
	if available <= 0 {
		return true
	}
	return s.expectedWait(sv, w, available, now)-s.timeToFree(sv, s.lateCapacity(sv, now), available) > w.giveUpAt-now
}

// expectedWait is about how long a request waits behind those that go before it, where that many
// places become free in the mean stay of a request.
func (s *Scheduler) expectedWait(sv *service, w *Waiter, slots float64, now time.Duration) time.Duration {
	return s.timeToFree(sv, sv.queuePosition(w, now), slots)
}

// expectedOnTimeWait is the same for a request that can be on time: it may have any place of this
// host's, and its part of those that are free already. Hosts have unequal numbers of
// callers, so one with more than its part of them has to reckon with what others leave.
func (s *Scheduler) expectedOnTimeWait(sv *service, w *Waiter, now time.Duration) time.Duration {
	perSecond := s.ownCapacity(sv, now)/sv.demand.serviceTime.Seconds() + sv.quotaRate.perSecond
	if perSecond <= 0 {
		return forever
	}
	return time.Duration(sv.queuePosition(w, now) / perSecond * float64(time.Second))
}

// queuePosition is where in the queue a request is or would be, from 1.
func (sv *service) queuePosition(w *Waiter, now time.Duration) float64 {
	ahead := 1.0
	for _, o := range sv.waiters {
		if o != w && o.precedes(w, now) {
			ahead++
		}
	}
	return ahead
}

// forever is longer than any wait.
const forever = time.Duration(math.MaxInt64 / 4)

// timeToFree is how long it takes until n of that many places have become free.
func (s *Scheduler) timeToFree(sv *service, n, slots float64) time.Duration {
	if slots <= 0 {
		return forever
	}
	return time.Duration(n / slots * float64(sv.demand.serviceTime))
}
