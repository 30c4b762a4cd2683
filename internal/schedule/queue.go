package schedule

import (
	"slices"
	"time"
)

// Abandon takes a request that has waited too long out, and says what its caller is told.
func (s *Scheduler) Abandon(w *Waiter, now time.Duration) Decision {
	sv := w.service
	if i := slices.Index(sv.waiters, w); i >= 0 {
		sv.waiters = slices.Delete(sv.waiters, i, i+1)
	}
	return s.refuse(NoCapacity, w, now)
}

// pump gives up to n places to requests that wait: first to those that can still be on
// time, in their order.
func (s *Scheduler) pump(out []Result, sv *service, n int, now time.Duration) []Result {
	for ; n > 0 && len(sv.waiters) > 0; n-- {
		i := sv.first(now)
		w := sv.waiters[i]
		if !w.isOnTime(now) && s.lateRoom(sv, now) <= 0 {
			break
		}
		u, ok := s.place(sv, w.tried, now)
		if !ok {
			break
		}
		sv.waiters = slices.Delete(sv.waiters, i, i+1)
		t := s.grant(sv, u, w, now)
		out = append(out, Result{Waiter: w, Decision: Decision{Upstream: u.Upstream, Ticket: t}})
	}
	return out
}

// sweep refuses the requests that wait in vain, at once: their callers can use the time.
// Where a group has broken, those go that can come back; the others wait for as long as
// their callers do, unless the outage lasts.
func (s *Scheduler) sweep(out []Result, sv *service, now time.Duration) []Result {
	if len(sv.waiters) == 0 || s.isUnheard(sv, now) {
		return out
	}
	if sv.isOut(now) {
		if now < s.cfg.StartupUntil || sv.isPausing(now) {
			return out
		}
		return s.refuseAll(out, sv, Outage, now, func(w *Waiter) bool { return w.mayReturn || sv.isOutForLong(now) })
	}
	return s.refuseAll(out, sv, NoCapacity, now, func(w *Waiter) bool { return !w.isOnTime(now) && s.isHopeless(sv, w, now) })
}

// refuseAll refuses the waiters for which isVain holds, the last first.
func (s *Scheduler) refuseAll(out []Result, sv *service, why Reason, now time.Duration, isVain func(*Waiter) bool) []Result {
	for i := len(sv.waiters) - 1; i >= 0; i-- {
		w := sv.waiters[i]
		if !isVain(w) {
			continue
		}
		sv.waiters = slices.Delete(sv.waiters, i, i+1)
		out = append(out, Result{Waiter: w, Decision: s.refuse(why, w, now)})
	}
	return out
}

// first returns the waiter that is served next. There has to be one.
func (sv *service) first(now time.Duration) int {
	next := 0
	for i, w := range sv.waiters {
		if w.isBefore(sv.waiters[next], now) {
			next = i
		}
	}
	return next
}

// isOnTime reports whether the request can be on time if it gets its place now.
func (w *Waiter) isOnTime(now time.Duration) bool { return now < w.onTime }

// isBefore reports whether w is served before o: those that can be on time go first, then
// it is their turns that count.
func (w *Waiter) isBefore(o *Waiter, now time.Duration) bool {
	if isOnTime := w.isOnTime(now); isOnTime != o.isOnTime(now) {
		return isOnTime
	}
	return w.turn < o.turn
}
