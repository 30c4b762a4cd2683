package schedule

import (
	"math"
	"time"
)

// reserveTime is for how long the free places have to last for requests that can be on
// time before a late one may have one of them. It covers the wait for loads that show the
// next ones.
const reserveTime = 500 * time.Millisecond

// usualStay is about how long a request keeps its place.
func (sv *service) usualStay() time.Duration { return ServiceTime(sv.shape, sv.places) }

// lateRoom is how many more requests that are late anyway this host may place now. They
// get what those that can be on time leave: an on-time answer is worth more to its caller
// than a late one, and a late one that takes its place makes the next ones late, for as
// long as the backlog of an outage lasts.
func (s *Scheduler) lateRoom(sv *service, now time.Duration) float64 {
	_, free := s.room(sv, now)
	spare := free/float64(s.hosts) - sv.demand.fresh.rate(now)*reserveTime.Seconds()
	return max(s.latePlaces(sv, now)-float64(sv.late), spare)
}

// ownPlaces is this host's part of the places.
func (s *Scheduler) ownPlaces(sv *service, now time.Duration) float64 {
	places, _ := s.room(sv, now)
	return places / float64(s.hosts)
}

// latePlaces is what requests on time leave of this host's part of the places.
func (s *Scheduler) latePlaces(sv *service, now time.Duration) float64 {
	return s.ownPlaces(sv, now) - sv.demand.need(sv.usualStay(), now)
}

// isHopeless reports whether a request would wait for its place in vain, as far as can be
// told from how places become free and who goes before it.
func (s *Scheduler) isHopeless(sv *service, w *Waiter, now time.Duration) bool {
	if sv.demand.stay == 0 {
		return false
	}
	if w.isOnTime(now) && s.waitOnTime(sv, w, now) < w.onTime-now {
		return false
	}
	left := s.latePlaces(sv, now)
	if left <= 0 {
		return true
	}
	return s.wait(sv, w, left, now)-s.turnover(sv, s.lateRoom(sv, now), left) > w.until-now
}

// wait is about how long a request waits behind those that go before it, where that many
// places become free in the mean stay of a request.
func (s *Scheduler) wait(sv *service, w *Waiter, places float64, now time.Duration) time.Duration {
	return s.turnover(sv, sv.position(w, now), places)
}

// waitOnTime is the same for a request that can be on time: it may have any place of this
// host's, and its part of those that are free already. Hosts have unequal numbers of
// callers, so one with more than its part of them has to reckon with what others leave.
func (s *Scheduler) waitOnTime(sv *service, w *Waiter, now time.Duration) time.Duration {
	perSecond := s.ownPlaces(sv, now)/sv.demand.stay.Seconds() + sv.dealt.perSecond
	if perSecond <= 0 {
		return never
	}
	return time.Duration(sv.position(w, now) / perSecond * float64(time.Second))
}

// position is where in the queue a request is or would be, from 1.
func (sv *service) position(w *Waiter, now time.Duration) float64 {
	ahead := 1.0
	for _, o := range sv.waiters {
		if o != w && o.isBefore(w, now) {
			ahead++
		}
	}
	return ahead
}

// never is longer than any wait.
const never = time.Duration(math.MaxInt64 / 4)

// turnover is how long it takes until n of that many places have become free.
func (s *Scheduler) turnover(sv *service, n, places float64) time.Duration {
	if places <= 0 {
		return never
	}
	return time.Duration(n / places * float64(sv.demand.stay))
}
