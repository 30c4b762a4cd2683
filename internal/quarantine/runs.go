package quarantine

import (
	"slices"
	"time"
)

const (
	// brokenFor is for how long it counts that an answer broke off: an upstream that is found
	// to have started anew by then ended under the request.
	brokenFor = 5 * time.Second
	// aliveFor is that where the upstream took a connection just after. What took it may be
	// the next start already, of one that is back at once.
	aliveFor = time.Second
	// mostBroken bounds the broken answers that are remembered, the latest.
	mostBroken = 256
	// trustAnswer is for how long a whole answer speaks for a request: upstreams that end
	// meanwhile did not end by it.
	trustAnswer = 30 * time.Second
	// mostAnswered bounds the answers that are remembered, the latest.
	mostAnswered = 1024
	// mostIDBytes is how much is kept of the id that a caller gave its request.
	mostIDBytes = 64
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
		Fingerprint: r.Fingerprint, Workspace: r.Workspace, Incarnation: r.Incarnation, Service: r.Service, Request: r.Request[:min(len(r.Request), mostIDBytes)],
		AgeMS: age.Milliseconds(), RanMS: r.Ran.Milliseconds(),
	}
}

// brokenRun is a Run whose answer broke off at a time, and whose upstream may turn out to
// have ended.
type brokenRun struct {
	Attempt
	at, until time.Duration
}

// runs are the broken answers of one host.
type runs struct{ all []brokenRun }

func (b *runs) add(r Attempt, at, until time.Duration) {
	if len(b.all) >= mostBroken {
		b.all = b.all[1:]
	}
	b.all = append(b.all, brokenRun{Attempt: r, at: at, until: until})
}

// take removes and returns the runs for which isEnded holds, and forgets old ones.
func (b *runs) take(now time.Duration, isEnded func(*Attempt) bool) []Suspicion {
	var out []Suspicion
	b.all = slices.DeleteFunc(b.all, func(r brokenRun) bool {
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

// answers are the requests that were answered whole of late, at one host.
type answers struct {
	at map[Fingerprint]time.Duration
	// order holds them from the oldest on, beginning at next once it is full.
	order []Fingerprint
	next  int
}

func (a *answers) add(f Fingerprint, now time.Duration) {
	if a.at == nil {
		a.at = make(map[Fingerprint]time.Duration)
	}
	_, isKnown := a.at[f]
	a.at[f] = now
	switch {
	case isKnown:
	case len(a.order) < mostAnswered:
		a.order = append(a.order, f)
	default:
		delete(a.at, a.order[a.next])
		a.order[a.next] = f
		a.next = (a.next + 1) % mostAnswered
	}
}

// speakFor reports whether the request was answered whole so lately that it is no suspect.
func (a *answers) speakFor(f Fingerprint, now time.Duration) bool {
	at, ok := a.at[f]
	return ok && now-at < trustAnswer
}
