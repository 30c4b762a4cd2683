package schedule

import "time"

// StalledPatience is how long a caller is left without an event before its request is given up
// while its group does not serve. An engine whose group breaks refuses by itself before
// that; one whose group only stands still says nothing, and can't drop a request before it
// goes on. Callers leave a stream that is silent for two seconds.
const StalledPatience = 1700 * time.Millisecond

// unheard is an attempt that waits for the head of its answer.
type unheard struct {
	// since is when the request came, or its stream was to go on elsewhere.
	since time.Duration
}

// Stalled is an attempt that is to end since its group does not serve.
type Stalled struct {
	Ticket *Ticket
	// RetryAfter is what its caller is told.
	RetryAfter time.Duration
}

// Listen tells that an attempt waits for the head of its answer and may be taken back;
// its caller has been without an event since then.
func (s *Scheduler) Listen(t *Ticket, since time.Duration) {
	t.service.unheard[t] = unheard{since: since}
}

// Heard tells that the head of the answer is there.
func (s *Scheduler) Heard(t *Ticket) { delete(t.service.unheard, t) }

// stalled adds the attempts that have waited too long while no group serves.
func (sv *service) stalled(out []Stalled, now time.Duration) []Stalled {
	if len(sv.unheard) == 0 || !sv.isOut(now) {
		return out
	}
	for t, u := range sv.unheard {
		if now-u.since >= StalledPatience {
			out = append(out, Stalled{Ticket: t, RetryAfter: outageRetryAfter})
		}
	}
	return out
}
