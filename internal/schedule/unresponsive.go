package schedule

import (
	"cmp"
	"slices"
	"time"
)

// minQuietTime is how long nothing must have arrived from an engine whose load reports are missing
// before it counts as unresponsive. It is longer than usual first events take, so that requests stay at
// an engine whose agent alone has ended.
const minQuietTime = 300 * time.Millisecond

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

// hear records that something of an attempt's response has arrived.
func (t *Ticket) hear(now time.Duration) { t.upstream.heardAt = now }

// unresponsiveAttempts appends the attempts without a response header whose engines are unresponsive.
// Those that may be sent again leave for free slots of other engines, each with a retry from the budget.
// The others stay, since the engine may be back before their callers give up, and are ended after
// StalledAttemptTimeout. An attempt is returned once.
func (s *Scheduler) unresponsiveAttempts(out []StalledAttempt, sv *service, now time.Duration) []StalledAttempt {
	maxAge := sv.trustedAgeLimit(now)
	var found []*Ticket
	for t := range sv.awaitingHeader {
		if t.isUnresponsive(maxAge, now) {
			found = append(found, t)
		}
	}
	if len(found) == 0 {
		return out
	}
	slices.SortFunc(found, func(a, b *Ticket) int { return cmp.Compare(a.began, b.began) })
	minRatio := sv.minStepTimeRatio(now)
	free := int(s.freeSlotsAtResponsive(sv, maxAge, now) * s.shareOf(sv, now))
	for _, t := range found {
		w := sv.awaitingHeader[t]
		switch {
		case free > 0 && w.mayResend && s.hasOtherEngine(t, minRatio, now) && s.TakeRetry(sv.name, now):
			free--
			out = append(out, StalledAttempt{Ticket: t, HasOtherEngine: true, HasRetry: true, IsUnresponsive: true})
		case now-w.silentSince >= StalledAttemptTimeout:
			out = append(out, StalledAttempt{Ticket: t, RetryAfter: unresponsiveRetryAfter, IsUnresponsive: true})
		default:
			continue
		}
		delete(sv.awaitingHeader, t)
	}
	return out
}

// unresponsiveRetryAfter is when the caller of a request that was ended at an unresponsive engine is
// told to retry. Its request goes to another engine then.
const unresponsiveRetryAfter = 100 * time.Millisecond

// freeSlotsAtResponsive returns the number of free slots at the engines that serve and whose load
// reports arrive.
func (s *Scheduler) freeSlotsAtResponsive(sv *service, maxAge, now time.Duration) float64 {
	_, free := s.capacityOf(sv, now, func(u *upstream) bool { return !u.lacksReport(maxAge, now) })
	return free
}
