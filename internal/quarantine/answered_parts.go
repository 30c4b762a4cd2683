package quarantine

import "time"

const (
	// partTrust is how long an answer clears the parts of its prompt. Only time in which the host saw
	// answers counts: an outage makes no part suspect.
	partTrust = 30 * time.Second
	// maxAnswerGap is the longest time between two answers that counts as time with answers.
	maxAnswerGap = time.Second
	// maxAnsweredParts is how many parts are remembered at least, if as many were answered. Twice as
	// many are remembered at most.
	maxAnsweredParts = 2048
)

// answeredParts remembers the parts of prompts on which upstreams have written answers for this host.
// The parts that were answered least recently are forgotten first.
type answeredParts struct {
	// clock is the time in which the host saw answers. lastAnswer is the time of the last one.
	clock, lastAnswer time.Duration
	// recent and older hold the value of clock at each part's last answer. When recent is full, it
	// becomes older, and what older held is forgotten.
	recent, older map[Fingerprint]time.Duration
}

// add records an answer on the parts.
func (a *answeredParts) add(parts []Fingerprint, now time.Duration) {
	if !a.isEmpty() {
		a.clock += min(now-a.lastAnswer, maxAnswerGap)
	}
	a.lastAnswer = now
	for _, part := range parts {
		if len(a.recent) >= maxAnsweredParts || a.recent == nil {
			a.recent, a.older = make(map[Fingerprint]time.Duration), a.recent
		}
		a.recent[part] = a.clock
	}
}

// isEmpty reports whether no answer on any part is remembered. A host can't tell parts apart then.
func (a *answeredParts) isEmpty() bool { return len(a.recent)+len(a.older) == 0 }

// isTrusted reports whether an answer on the part is so recent that no crash is attributed to it.
func (a *answeredParts) isTrusted(part Fingerprint) bool {
	at, ok := a.recent[part]
	if !ok {
		at, ok = a.older[part]
	}
	return ok && a.clock-at < partTrust
}
