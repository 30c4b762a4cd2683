package quarantine

import (
	"slices"
	"time"
)

const (
	// failedAttemptLifetime is for how long it counts that an answer broke off: an upstream that is found
	// to have started anew by then ended under the request.
	failedAttemptLifetime = 5 * time.Second
	// failedAttemptLifetimeIfAlive is that where the upstream took a connection just after. What took it may be
	// the next start already, of one that is back at once.
	failedAttemptLifetimeIfAlive = time.Second
	// maxFailedAttempts bounds the broken answers that are remembered, the latest.
	maxFailedAttempts = 256
	// trustAfterAnswer is for how long a whole answer speaks for a request: upstreams that end
	// meanwhile did not end by it.
	trustAfterAnswer = 30 * time.Second
	// maxAnswers bounds the answers that are remembered, the latest.
	maxAnswers = 1024
	// maxRequestIDBytes is how much is kept of the id that a caller gave its request.
	maxRequestIDBytes = 64
)

// Attempt is an attempt that may have run and got no whole answer.
type Attempt struct {
	Fingerprint Fingerprint
	Workspace   string
	// Request is the id under which it ran.
	Request string
	// Incarnation is the upstream's incarnation, Service what it served, Address where it was.
	Incarnation      Incarnation
	Service, Address string
	// Ran is for how long it ran, or waited there, until its answer broke off.
	Ran time.Duration
}

// suspicion returns what an end of the run's upstream says, when its answer broke off that
// long ago.
func (r *Attempt) suspicion(age time.Duration) Suspicion {
	return Suspicion{
		Fingerprint: r.Fingerprint, Workspace: r.Workspace, Incarnation: r.Incarnation, Service: r.Service, Request: r.Request[:min(len(r.Request), maxRequestIDBytes)],
		AgeMS: age.Milliseconds(), RanMS: r.Ran.Milliseconds(),
	}
}

// failedAttempt is a Run whose answer broke off at a time, and whose upstream may turn out to
// have ended.
type failedAttempt struct {
	Attempt
	at, until time.Duration
}

// failedAttempts are the broken answers of one host.
type failedAttempts struct{ all []failedAttempt }

func (b *failedAttempts) add(r Attempt, at, until time.Duration) {
	if len(b.all) >= maxFailedAttempts {
		b.all = b.all[1:]
	}
	b.all = append(b.all, failedAttempt{Attempt: r, at: at, until: until})
}

// take removes and returns the runs for which isEnded holds, and forgets old ones.
func (b *failedAttempts) take(now time.Duration, isEnded func(*Attempt) bool) []Suspicion {
	var out []Suspicion
	b.all = slices.DeleteFunc(b.all, func(r failedAttempt) bool {
		if now > r.until {
			return true
		}
		if isEnded(&r.Attempt) {
			out = append(out, r.suspicion(now-r.at))
			return true
		}
		return false
	})
	return out
}

// recentAnswers are the requests that were answered whole of late, at one host.
type recentAnswers struct {
	at map[Fingerprint]time.Duration
	// order holds them from the oldest on, beginning at next once it is full.
	order  []Fingerprint
	oldest int
}

func (a *recentAnswers) add(f Fingerprint, now time.Duration) {
	if a.at == nil {
		a.at = make(map[Fingerprint]time.Duration)
	}
	_, isKnown := a.at[f]
	a.at[f] = now
	switch {
	case isKnown:
	case len(a.order) < maxAnswers:
		a.order = append(a.order, f)
	default:
		delete(a.at, a.order[a.oldest])
		a.order[a.oldest] = f
		a.oldest = (a.oldest + 1) % maxAnswers
	}
}

// isTrusted reports whether the request was answered whole so lately that it is no suspect.
func (a *recentAnswers) isTrusted(f Fingerprint, now time.Duration) bool {
	at, ok := a.at[f]
	return ok && now-at < trustAfterAnswer
}
