package schedule

import (
	"slices"
	"time"
)

// Abandon removes a request that has waited too long from the queue, and returns the refusal
// for its caller.
func (s *Scheduler) Abandon(w *Waiter, now time.Duration) Decision {
	sv := w.service
	if i := slices.Index(sv.waiters, w); i >= 0 {
		sv.waiters = slices.Delete(sv.waiters, i, i+1)
	}
	return s.refuse(NoCapacity, w, now)
}

// admitWaiters admits up to n requests from the queue, in the order that Waiter.precedes states.
func (s *Scheduler) admitWaiters(out []Result, sv *service, n int, now time.Duration) []Result {
	var passedOver []*Waiter
	for ; n > 0 && len(sv.waiters) > 0; n-- {
		s.updateClasses(sv, now)
		i := s.nextAdmissible(sv, now)
		if i < 0 {
			break
		}
		w := sv.waiters[i]
		u, ok := s.pickEngine(sv, &w.constraints, w.class.isPreferred, now)
		if !ok && !w.constraints.limitsRegions() && !s.lacksCache {
			break
		}
		sv.waiters = slices.Delete(sv.waiters, i, i+1)
		if !ok {
			// Others may get slots that this request can't use.
			passedOver = append(passedOver, w)
			n++
			continue
		}
		t := s.reserveFor(sv, u, w, now)
		out = append(out, Result{Waiter: w, Decision: Decision{Upstream: u.Upstream, Ticket: t}})
	}
	sv.waiters = append(sv.waiters, passedOver...)
	return out
}

// refuseWaiters refuses queued requests that would wait in vain as soon as that is known, so
// that their callers can use the time otherwise. If the service is down, it refuses those whose
// callers can retry; the others wait on until their callers give up, unless the outage is long.
func (s *Scheduler) refuseWaiters(out []Result, sv *service, now time.Duration) []Result {
	if len(sv.waiters) == 0 || s.awaitsFirstReports(sv, now) {
		return out
	}
	if sv.isDown(now) {
		if now < s.cfg.StartupUntil || sv.isBrieflyStalled(now) {
			return out
		}
		return s.refuseWhere(out, sv, Outage, now, func(w *Waiter) bool { return w.canRetry || sv.isDownForLong(now) })
	}
	out = s.refuseWhere(out, sv, NoRegion, now, func(w *Waiter) bool { return s.hasNoRegion(sv, &w.constraints, now) })
	out = s.refuseWhere(out, sv, Restricted, now, func(w *Waiter) bool {
		return s.isWhollyRestricted(sv, w, now) && s.isRefusedByRestriction(sv, w, now)
	})
	return s.refuseWhere(out, sv, NoCapacity, now, func(w *Waiter) bool {
		return !w.canBeOnTime(now) && !s.isWhollyRestricted(sv, w, now) && s.cannotBeServedInTime(sv, w, now)
	})
}

// refuseWhere refuses the queued requests for which shouldRefuse returns true, from the end of
// the queue to its front.
func (s *Scheduler) refuseWhere(out []Result, sv *service, reason Reason, now time.Duration, shouldRefuse func(*Waiter) bool) []Result {
	for i := len(sv.waiters) - 1; i >= 0; i-- {
		w := sv.waiters[i]
		if !shouldRefuse(w) {
			continue
		}
		sv.waiters = slices.Delete(sv.waiters, i, i+1)
		out = append(out, Result{Waiter: w, Decision: s.refuse(reason, w, now)})
	}
	return out
}

// nextAdmissible returns the index of the queued request that goes first among those that may
// take a free slot, or -1 if there is none.
func (s *Scheduler) nextAdmissible(sv *service, now time.Duration) int {
	best := -1
	for i, w := range sv.waiters {
		if (best < 0 || w.precedes(sv.waiters[best], now)) && s.mayAdmit(sv, w, now) {
			best = i
		}
	}
	return best
}

// hasRequestAhead reports whether a queued request that may take a free slot and could use the same
// slots goes before w.
func (s *Scheduler) hasRequestAhead(w *Waiter, now time.Duration) bool {
	return slices.ContainsFunc(w.service.waiters, func(o *Waiter) bool {
		return !w.precedes(o, now) && o.constraints.holdsUp(&w.constraints) && s.mayAdmit(w.service, o, now)
	})
}

// canBeOnTime reports whether the request's first event can be on time if it gets a slot now.
func (w *Waiter) canBeOnTime(now time.Duration) bool { return now < w.latestStart }

// precedes reports whether w is served before o. The class decides first, then whether a request
// can be on time, then the earlier arrival.
func (w *Waiter) precedes(o *Waiter, now time.Duration) bool {
	if precedes, decides := w.precedesByClass(o); decides {
		return precedes
	}
	if isOnTime := w.canBeOnTime(now); isOnTime != o.canBeOnTime(now) {
		return isOnTime
	}
	return w.arrival < o.arrival
}
