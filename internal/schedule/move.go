package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Move is an attempt whose stream is to be continued at another engine.
type Move struct {
	*Ticket
	Reason LeaveReason
}

// AllowMove registers an attempt whose stream can be continued at another engine, until the
// given time.
func (s *Scheduler) AllowMove(t *Ticket, until time.Duration) {
	if !t.isReleased {
		t.service.movable[t] = until
	}
}

// TakeMoves returns the attempts whose streams are to be continued at other engines, because
// their own engine is too slow (see mustBeVacated), or because they get nothing from it (see
// leaveReason). All streams of a group have to wait for a slow engine in every pass, so moving its few
// streams speeds up all others. There are no more moves than this host's share of the free slots. Each
// takes one retry from the budget, and an attempt is returned once.
func (s *Scheduler) TakeMoves(now time.Duration) []Move {
	var out []Move
	for _, sv := range s.services {
		if len(sv.movable) > 0 && sv.engineSpec != nil {
			out = s.takeMoves(out, sv, now)
		}
	}
	return out
}

func (s *Scheduler) takeMoves(out []Move, sv *service, now time.Duration) []Move {
	minRatio, maxAge := sv.minStepTimeRatio(now), sv.trustedAgeLimit(now)
	var moves []Move
	for t, until := range sv.movable {
		reason := t.leaveReason(maxAge, now)
		if reason == 0 && sv.mustBeVacated(t.upstream, minRatio, now) {
			reason = EngineSlow
		}
		if now < until && reason != 0 && s.hasOtherEngine(t, minRatio, now) {
			moves = append(moves, Move{t, reason})
		}
	}
	if len(moves) == 0 {
		return out
	}
	free := max(s.slotsToLeaveFor(sv, maxAge, now)-sv.left, 0)
	slices.SortFunc(moves, func(a, b Move) int { return cmp.Compare(a.began, b.began) })
	for _, m := range moves[:min(len(moves), free)] {
		if !s.takeLeaveRetry(m.Ticket, now) {
			// Each that misses a retry is asked for.
			continue
		}
		sv.left++
		delete(sv.movable, m.Ticket)
		out = append(out, m)
	}
	return out
}

// mustBeVacated reports whether an engine is so slow that its group is faster without any
// request at it.
func (sv *service) mustBeVacated(u *upstream, minRatio float64, now time.Duration) bool {
	return sv.hasGroups() && u.isServing && sv.serves(u, now) && u.load.isFresh(now) && sv.limitOf(u, minRatio, now) == 0
}

// hasOtherEngine reports whether an attempt's stream could be continued at another engine. For a
// request that any engine with a free slot may run, it returns true without a check.
func (s *Scheduler) hasOtherEngine(t *Ticket, minRatio float64, now time.Duration) bool {
	if !t.constraints.limitsRegions() && !t.service.limitsTokens(t.constraints) {
		return true
	}
	return slices.ContainsFunc(t.service.active, func(u *upstream) bool {
		return u != t.upstream && t.constraints.allow(u) && t.service.serves(u, now) && s.fitsCache(u, t.constraints, now) &&
			s.estimatedLoad(u, now) < float64(t.service.limitOf(u, minRatio, now))
	})
}
