package quarantine

import (
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	// failedAttemptLifetime is how long a failed attempt is remembered. If its upstream turns
	// out to have restarted within this time, the upstream crashed during the attempt.
	failedAttemptLifetime = 5 * time.Second
	// failedAttemptLifetimeIfAlive applies if a connection to the upstream succeeded just after
	// the failure. It is not zero, since an upstream that restarts at once may have accepted
	// the connection in its next incarnation.
	failedAttemptLifetimeIfAlive = time.Second
	// maxFailedAttempts is how many failed attempts are remembered. The latest are kept.
	maxFailedAttempts = 256
	// trustAfterAnswer is how long a complete answer clears a request: crashes under the
	// request within this time are not attributed to it.
	trustAfterAnswer = 30 * time.Second
	// maxAnswers is how many answered requests are remembered. The request that was added first
	// is dropped first.
	maxAnswers = 1024
	// maxRequestIDBytes is the length to which request ids from callers are cut.
	maxRequestIDBytes = 64
)

// Attempt is an attempt to run a request on an upstream that may have executed it and returned
// no complete answer.
type Attempt struct {
	Content   Content
	Workspace string
	// RequestID is the id of the request on that upstream.
	RequestID string
	// Incarnation identifies the upstream, Service is what the upstream served, and Address is
	// its network address.
	Incarnation      Incarnation
	Service, Address string
	// Ran is how long the request had been running or queued on the upstream when its answer
	// broke off.
	Ran time.Duration
}

// suspicions returns the suspicions that follow from a crash of the attempt's upstream, that of the
// request first, then those of its parts. Age is the time since the answer broke off.
func (r *Attempt) suspicions(age time.Duration) []Suspicion {
	whole := Suspicion{
		Fingerprint: r.Content.Request, Workspace: r.Workspace, Incarnation: r.Incarnation, Service: r.Service,
		Request: textOf(r.RequestID, maxRequestIDBytes), AgeMS: age.Milliseconds(), RanMS: r.Ran.Milliseconds(),
	}
	all := []Suspicion{whole}
	for _, part := range r.Content.Parts {
		s := whole
		s.Fingerprint, s.Workspace, s.Carrier = part, "", r.Content.Request
		all = append(all, s)
	}
	return all
}

// textOf returns the first bytes of an id that a caller has chosen, with U+FFFD for those that are not UTF-8 and for
// control characters. Hosts could not decode a suspicion with the former, and operators read it on a terminal.
func textOf(id string, maxBytes int) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) {
			return utf8.RuneError
		}
		return r
	}, strings.ToValidUTF8(id[:min(len(id), maxBytes)], string(utf8.RuneError)))
}

// failedAttempt is an attempt whose answer broke off at a time, and whose upstream may turn
// out, until another time, to have crashed.
type failedAttempt struct {
	Attempt
	at, until time.Duration
}

// failedAttempts are the recent failed attempts of one host.
type failedAttempts struct{ all []failedAttempt }

func (b *failedAttempts) add(r Attempt, at, until time.Duration) {
	if len(b.all) >= maxFailedAttempts {
		b.all = b.all[1:]
	}
	b.all = append(b.all, failedAttempt{Attempt: r, at: at, until: until})
}

// take removes the attempts whose upstream has crashed, and returns the suspicions of each. It
// also removes outdated attempts.
func (b *failedAttempts) take(now time.Duration, hasCrashed func(*Attempt) bool) []Suspicion {
	var out []Suspicion
	b.all = slices.DeleteFunc(b.all, func(r failedAttempt) bool {
		if now > r.until {
			return true
		}
		if hasCrashed(&r.Attempt) {
			out = append(out, r.suspicions(now-r.at)...)
			return true
		}
		return false
	})
	return out
}

// recentAnswers are the requests that recently got a complete answer through this host.
type recentAnswers struct {
	// at is the time of each request's last answer.
	at map[Fingerprint]time.Duration
	// order is a ring buffer of the requests in the order in which they were added, with the
	// oldest at index oldest once the buffer is full.
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

// isTrusted reports whether the request got a complete answer so recently that a crash is not
// attributed to it.
func (a *recentAnswers) isTrusted(f Fingerprint, now time.Duration) bool {
	at, ok := a.at[f]
	return ok && now-at < trustAfterAnswer
}
