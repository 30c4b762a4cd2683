package schedule

import (
	"slices"
	"time"
)

// GiveUp takes a request that has waited too long out, and says what its caller is told.
func (s *Scheduler) GiveUp(w *Waiter) Decision {
	sv := w.service
	if i := slices.Index(sv.waiters, w); i >= 0 {
		sv.waiters = slices.Delete(sv.waiters, i, i+1)
	}
	return refuse(Full)
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
func (s *Scheduler) sweep(out []Result, sv *service, now time.Duration) []Result {
	if len(sv.waiters) == 0 || sv.isOut(now) || s.isUnheard(sv, now) {
		return out
	}
	for i := len(sv.waiters) - 1; i >= 0; i-- {
		w := sv.waiters[i]
		if w.isOnTime(now) || !s.isHopeless(sv, w, now) {
			continue
		}
		sv.waiters = slices.Delete(sv.waiters, i, i+1)
		out = append(out, Result{Waiter: w, Decision: refuse(Full)})
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
