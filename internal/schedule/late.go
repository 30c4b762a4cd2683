package schedule

import (
	"math"
	"time"
)

// onTimeReserve is how long the free slots must last for requests that can be on time before a
// late request may take one. It covers the wait for the load reports that show the next free
// slots.
const onTimeReserve = 500 * time.Millisecond

// expectedServiceTime estimates how long a request holds its slot, from the engine's
// performance parameters.
func (sv *service) expectedServiceTime() time.Duration { return ServiceTime(sv.engineSpec, sv.limit) }

// meanServiceTime returns how long a request holds its slot: as measured, or as expected until one
// has ended.
func (sv *service) meanServiceTime() time.Duration {
	if sv.demand.serviceTime == 0 && sv.engineSpec != nil {
		return sv.expectedServiceTime()
	}
	return sv.demand.serviceTime
}

// slotShare is a host's share of the usable slots of a service: of all, and of the free ones.
type slotShare struct{ total, free float64 }

// slotShare returns this host's share of the slots of a service.
func (s *Scheduler) slotShare(sv *service, now time.Duration) slotShare {
	total, free := s.capacity(sv, now)
	share := s.shareOf(sv, now)
	return slotShare{total: total * share, free: free * share}
}

// lateCapacity returns how many more requests that can no longer be on time this host may admit
// now. They get the capacity that requests which can be on time leave: an answer on time is
// worth more to its caller than a late one, and a late request that takes a slot needed by
// others makes the next ones late too, for as long as the backlog of an outage lasts.
//
// Only requests on time of the same class and of more urgent ones count.
func (sv *service) lateCapacity(c *class, share slotShare, now time.Duration) float64 {
	spare := share.free - sv.onTimeArrivalRate(c, now)*onTimeReserve.Seconds()
	return max(sv.capacityLeftForLate(c, share, now)-float64(sv.late), spare)
}

// capacityLeftForLate returns how many slots of this host's share are left over for a class by
// requests that can be on time.
func (sv *service) capacityLeftForLate(c *class, share slotShare, now time.Duration) float64 {
	return share.total - sv.demand.slotsNeeded(sv.onTimeArrivalRate(c, now), sv.expectedServiceTime())
}

// cannotBeServedInTime reports whether a request would wait for a slot in vain, judging by the
// rate at which slots become free and the requests ahead of it.
func (s *Scheduler) cannotBeServedInTime(sv *service, w *Waiter, now time.Duration) bool {
	if sv.demand.serviceTime == 0 {
		return false
	}
	share := s.slotShare(sv, now)
	if w.class.isGuaranteed || w.canBeOnTime(now) && sv.expectedOnTimeWait(w, share, now) < w.latestStart-now {
		return false
	}
	available := sv.capacityLeftForLate(w.class, share, now)
	if available <= 0 {
		return true
	}
	return sv.expectedWait(w, available, now)-sv.timeToFree(sv.lateCapacity(w.class, share, now), available) > w.giveUpAt-now
}

// expectedWait estimates how long a request waits behind those ahead of it in the queue, if the
// given number of slots turns over once per mean service time.
func (sv *service) expectedWait(w *Waiter, slots float64, now time.Duration) time.Duration {
	return sv.timeToFree(sv.queuePosition(w, now), slots)
}

// expectedOnTimeWait estimates the wait of a request that can still be on time. It may use any
// slot of this host's share as it becomes free, and also the quota of slots that are free
// already. Hosts have unequal numbers of callers, so a host with more than its share of them
// depends on the slots that other hosts leave free.
func (sv *service) expectedOnTimeWait(w *Waiter, share slotShare, now time.Duration) time.Duration {
	perSecond := share.total/sv.demand.serviceTime.Seconds() + sv.quotaRate.perSecond
	if len(sv.classes) > 1 {
		// A workspace that uses more than its fair share is refused first, which leaves the queue to
		// the others.
		perSecond = sv.classRate(w.class, share, now) / (waitMargin * w.class.fairShareRatio(w.workspace))
	}
	if perSecond <= 0 {
		return forever
	}
	return time.Duration(sv.queuePosition(w, now) / perSecond * float64(time.Second))
}

// queuePosition returns the position that a request has or would have in the queue, starting
// from 1.
func (sv *service) queuePosition(w *Waiter, now time.Duration) float64 {
	position := 1.0
	for _, o := range sv.waiters {
		if o != w && o.precedes(w, now) {
			position++
		}
	}
	return position
}

// forever is longer than any wait.
const forever = time.Duration(math.MaxInt64 / 4)

// timeToFree estimates the time until n requests have released their slots, where the given
// number of slots is in use.
func (sv *service) timeToFree(n, slots float64) time.Duration {
	if slots <= 0 {
		return forever
	}
	return time.Duration(n / slots * float64(sv.demand.serviceTime))
}
