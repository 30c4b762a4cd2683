package schedule

import "time"

// StalledAttemptTimeout is how long a caller may go without an event before its request is
// ended because its group does not serve. An engine whose group breaks refuses the request
// earlier by itself. An engine whose group is only stalled sends nothing and can't drop a
// request before the group continues. Callers abandon a stream that is silent for two seconds.
const StalledAttemptTimeout = 1700 * time.Millisecond

// headerWait is the state of an attempt that waits for its response header.
type headerWait struct {
	// silentSince is when the request arrived, or when its stream began to move to another
	// upstream.
	silentSince time.Duration
	// mayResend is set if the request may be sent to another upstream.
	mayResend bool
}

// StalledAttempt is an attempt to be ended because its group or its engine does not serve.
type StalledAttempt struct {
	Ticket *Ticket
	// HasOtherEngine reports that another engine serves, so that the request can be sent to that
	// engine at once. Otherwise the request is given up, and its caller is told to retry after
	// RetryAfter.
	HasOtherEngine bool
	RetryAfter     time.Duration
	Reason         LeaveReason
}

// AwaitHeader registers an attempt that waits for its response header. It may be ended until
// the header arrives. The caller has received no event since the given time. mayResend tells that
// the request may be sent to another upstream.
func (s *Scheduler) AwaitHeader(t *Ticket, since time.Duration, mayResend bool) {
	t.service.awaitingHeader[t] = headerWait{silentSince: since, mayResend: mayResend}
}

// EndHeaderWait records that an attempt waits for its response header no longer.
func (s *Scheduler) EndHeaderWait(t *Ticket) { delete(t.service.awaitingHeader, t) }

// stalledAttempts appends the attempts that wait in a group which does not serve. If no group
// serves, they are ended after StalledAttemptTimeout. If another group has free slots, as many
// attempts as there are free slots leave a broken group at once, since its engines refuse much
// later if they wait for a lost rank. For groups that are only stalled, see leavingAttempts.
func (s *Scheduler) stalledAttempts(out []StalledAttempt, sv *service, now time.Duration) []StalledAttempt {
	if len(sv.awaitingHeader) == 0 {
		return out
	}
	if sv.isDown(now) {
		return sv.timedOutAttempts(out, now)
	}
	out = s.leavingAttempts(out, sv, now)
	free := 0
	if sv.engineSpec != nil {
		_, freeSlots := s.capacity(sv, now)
		free = int(freeSlots * s.shareOf(sv, now))
	}
	for t := range sv.awaitingHeader {
		if free > 0 && t.upstream.group != nil && t.upstream.group.isClosed {
			out = append(out, StalledAttempt{Ticket: t, HasOtherEngine: true, Reason: GroupClosed})
			free--
		}
	}
	return out
}

// timedOutAttempts appends the attempts whose callers are about to give up.
func (sv *service) timedOutAttempts(out []StalledAttempt, now time.Duration) []StalledAttempt {
	for t, u := range sv.awaitingHeader {
		if now-u.silentSince >= StalledAttemptTimeout {
			out = append(out, StalledAttempt{Ticket: t, RetryAfter: maxRetryAfterFor(nil, now), Reason: GroupClosed})
		}
	}
	return out
}
