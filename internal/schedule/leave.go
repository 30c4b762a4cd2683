package schedule

import (
	"cmp"
	"slices"
	"time"
)

// LeaveReason says why an attempt is to leave its engine.
type LeaveReason uint8

const (
	// GroupClosed means that the group of the engine does not serve.
	GroupClosed LeaveReason = iota + 1
	// GroupStalled means that the group makes no progress, while another one serves.
	GroupStalled
	// EngineUnresponsive means that the engine gives no sign of life; see isUnresponsive.
	EngineUnresponsive
	// EngineSlow means that the group is faster without requests at the engine; see mustBeVacated.
	EngineSlow
)

// String returns the reason as a sentence for callers and logs.
func (r LeaveReason) String() string {
	switch r {
	case GroupStalled:
		return "the group makes no progress"
	case EngineUnresponsive:
		return "the engine does not respond"
	case EngineSlow:
		return "the engine is slow"
	}
	return Outage.String()
}

// minQuietTime is how long nothing must have arrived from an engine whose load reports are missing
// before it counts as unresponsive. It is longer than usual first events take, so that requests stay at
// an engine whose agent alone has ended.
const minQuietTime = 300 * time.Millisecond

// leaveRetryAfter is when the caller of a request that was ended at an engine which is left is told to
// retry. Its request goes to another engine then.
const leaveRetryAfter = 100 * time.Millisecond

// lacksReport reports whether the engine's last load report is at least maxAge old; see
// trustedAgeLimit.
func (u *upstream) lacksReport(maxAge, now time.Duration) bool {
	return u.load.isKnown && now-u.load.receivedAt >= maxAge
}

// isUnresponsive reports whether an attempt's engine gives no sign of life: its load reports are missing
// while most others arrive, and neither the attempt nor any other one of this host has received
// anything from it for minQuietTime. Its host is probably frozen or cut off. It reads neither requests
// nor the closes of their connections, so that nothing that is there can be taken back: it may begin
// with a request after the caller has left.
func (t *Ticket) isUnresponsive(maxAge, now time.Duration) bool {
	return t.upstream.lacksReport(maxAge, now) && now-max(t.upstream.heardAt, t.began) >= minQuietTime
}

// isLongStalled reports whether the group has been stalled for so long that it waits for a lost rank or a
// frozen host. Its engines can't drop a request before the group continues.
func (g *group) isLongStalled(now time.Duration) bool {
	return g != nil && g.isStalled && now-g.stalledSince >= maxBriefStall
}

// hear records that something of an attempt's response has arrived.
func (t *Ticket) hear(now time.Duration) { t.upstream.heardAt = now }

// leaveReason returns why an attempt is to leave its engine if it gets nothing from it, 0 if it is to
// stay. Attempts may end at an engine that drains or is evacuated; its load reports are not recorded.
func (t *Ticket) leaveReason(maxAge, now time.Duration) LeaveReason {
	switch {
	case !t.upstream.isServing:
		return 0
	case t.isUnresponsive(maxAge, now):
		return EngineUnresponsive
	case t.upstream.group.isLongStalled(now):
		return GroupStalled
	}
	return 0
}

// leavingAttempts appends the attempts without a response header that are to leave their engines. Those
// that may be sent again leave for free slots of other engines, each with a retry from the budget. The
// others stay, since the engine may be back before their callers give up, and are ended after
// StalledAttemptTimeout. An attempt is returned once.
func (s *Scheduler) leavingAttempts(out []StalledAttempt, sv *service, now time.Duration) []StalledAttempt {
	maxAge := sv.trustedAgeLimit(now)
	var found []StalledAttempt
	for t := range sv.awaitingHeader {
		if reason := t.leaveReason(maxAge, now); reason != 0 {
			found = append(found, StalledAttempt{Ticket: t, Reason: reason})
		}
	}
	if len(found) == 0 {
		return out
	}
	slices.SortFunc(found, func(a, b StalledAttempt) int { return cmp.Compare(a.Ticket.began, b.Ticket.began) })
	minRatio := sv.minStepTimeRatio(now)
	free := s.slotsToLeaveFor(sv, maxAge, now)
	for _, a := range found {
		w := sv.awaitingHeader[a.Ticket]
		switch {
		case sv.left < free && w.mayResend && s.hasOtherEngine(a.Ticket, minRatio, now) && s.takeLeaveRetry(a.Ticket, now):
			sv.left++
			a.HasOtherEngine = true
		case now-w.silentSince >= StalledAttemptTimeout:
			a.RetryAfter = leaveRetryAfter
		default:
			continue
		}
		delete(sv.awaitingHeader, a.Ticket)
		out = append(out, a)
	}
	return out
}

// slotsToLeaveFor returns this host's share of the free slots at the engines that serve and whose load
// reports arrive. service.left of them are taken already.
func (s *Scheduler) slotsToLeaveFor(sv *service, maxAge, now time.Duration) int {
	_, free := s.capacityOf(sv, now, func(u *upstream) bool { return !u.lacksReport(maxAge, now) })
	return int(free * s.shareOf(sv, now))
}

// takeLeaveRetry takes a retry for the next attempt of a request that leaves its upstream. It returns false
// if the budget allows none now.
func (s *Scheduler) takeLeaveRetry(t *Ticket, now time.Duration) bool {
	r, ok := s.TakeRetry(t.service.name, now)
	if ok {
		t.retry = &r
	}
	return ok
}
