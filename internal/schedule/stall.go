package schedule

import "time"

// StalledAttemptTimeout is how long a caller is left without an event before its request is given up
// while its group does not serve. An engine whose group breaks refuses by itself before
// that; one whose group only stands still says nothing, and can't drop a request before it
// goes on. Callers leave a stream that is silent for two seconds.
const StalledAttemptTimeout = 1700 * time.Millisecond

// headerWait is an attempt that waits for the head of its answer.
type headerWait struct {
	// silentSince is when the request came, or its stream was to go on elsewhere.
	silentSince time.Duration
}

// StalledAttempt is an attempt that is to end since its group does not serve.
type StalledAttempt struct {
	Ticket *Ticket
	// HasOtherGroup tells that another group serves: the request is to be sent there at once.
	// Otherwise it is given up, and its caller is told RetryAfter.
	HasOtherGroup bool
	RetryAfter    time.Duration
}

// AwaitHeader tells that an attempt waits for the head of its answer and may be taken back;
// its caller has been without an event since then.
func (s *Scheduler) AwaitHeader(t *Ticket, since time.Duration) {
	t.service.awaitingHeader[t] = headerWait{silentSince: since}
}

// HeaderReceived tells that the head of the answer is there.
func (s *Scheduler) HeaderReceived(t *Ticket) { delete(t.service.awaitingHeader, t) }

// stalledAttempts adds the attempts that are in a group which does not serve. Where none does, they
// are given up after the patience of callers. Where another one has places free, as many
// as it has leave at once: engines that wait for a lost rank refuse much later. The
// rest stays, since a group that only stands still may go on before their callers leave.
func (s *Scheduler) stalledAttempts(out []StalledAttempt, sv *service, now time.Duration) []StalledAttempt {
	if len(sv.awaitingHeader) == 0 {
		return out
	}
	if sv.isDown(now) {
		return sv.timedOutAttempts(out, now)
	}
	free := 0
	if sv.engineSpec != nil {
		_, freeSlots := s.capacity(sv, now)
		free = int(freeSlots) / s.hosts
	}
	for t := range sv.awaitingHeader {
		if free > 0 && t.upstream.group != nil && t.upstream.group.isClosed {
			out = append(out, StalledAttempt{Ticket: t, HasOtherGroup: true})
			free--
		}
	}
	return out
}

// timedOutAttempts adds the attempts whose callers would leave soon.
func (sv *service) timedOutAttempts(out []StalledAttempt, now time.Duration) []StalledAttempt {
	for t, u := range sv.awaitingHeader {
		if now-u.silentSince >= StalledAttemptTimeout {
			out = append(out, StalledAttempt{Ticket: t, RetryAfter: maxRetryAfterFor(nil, now)})
		}
	}
	return out
}
