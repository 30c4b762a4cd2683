package quarantine

import (
	"slices"
	"time"
)

// observation is what is known of one request at one crash.
type observation struct {
	// at is the time of the crash, ran how long the request had been on the upstream.
	at, ran          time.Duration
	service, request string
	// carriers are the requests that had the part, in ascending order; none for the observation of a
	// request. The lowest ones are kept.
	carriers  []Fingerprint
	isCleared bool
}

// addCarrier adds a request that had the part. It reports whether it was new and is kept.
func (o *observation) addCarrier(f Fingerprint) bool {
	i, isKnown := slices.BinarySearchFunc(o.carriers, f, Fingerprint.compare)
	if isKnown || i >= maxCarriers || f == (Fingerprint{}) {
		return false
	}
	o.carriers = slices.Insert(o.carriers, i, f)
	o.carriers = o.carriers[:min(len(o.carriers), maxCarriers)]
	return true
}

// record holds the crashes under one request or part and the verdict that follows from them.
type record struct {
	quota   quota
	crashes map[Incarnation]*observation
	// isSuspect is set while a crash is attributed to the request. isQuarantined is set once
	// the request is quarantined, and until is the time at which the quarantine expires.
	isSuspect, isQuarantined bool
	until                    time.Duration
}

// addCrash adds a crash that the record does not have yet. It reports whether the crash was
// kept.
func (r *record) addCrash(s *Suspicion, at time.Duration) bool {
	if len(r.crashes) >= maxCrashesPerRequest {
		oldest, first := r.oldestCrash()
		if at <= first.at {
			return false
		}
		delete(r.crashes, oldest)
	}
	o := &observation{at: at, ran: s.ran(), service: s.Service, request: s.Request, isCleared: s.IsCleared}
	o.addCarrier(s.Carrier)
	r.crashes[s.Incarnation] = o
	return true
}

func (r *record) oldestCrash() (Incarnation, *observation) {
	var incarnation Incarnation
	var first *observation
	for e, s := range r.crashes {
		if first == nil || s.at < first.at || s.at == first.at && e.compare(incarnation) < 0 {
			incarnation, first = e, s
		}
	}
	return incarnation, first
}

// lastCrash returns the time of the latest crash under the request.
func (r *record) lastCrash() time.Duration {
	last := time.Duration(0)
	isFirst := true
	for _, s := range r.crashes {
		if isFirst || s.at > last {
			last, isFirst = s.at, false
		}
	}
	return last
}

// countUncleared returns the number of crashes for which the suspicion is not cleared.
func (r *record) countUncleared() int {
	n := 0
	for _, s := range r.crashes {
		if !s.isCleared {
			n++
		}
	}
	return n
}

// isExpired reports whether the record is too old to affect verdicts.
func (r *record) isExpired(now time.Duration) bool {
	return now >= r.lastCrash()+2*quarantineTime(r.countUncleared())
}

// quarantineTime returns how long a request stays in quarantine after the last of its crashes,
// given their number.
func quarantineTime(crashes int) time.Duration {
	d := minQuarantine
	for range crashes - minExecutions {
		d = min(2*d, maxQuarantine)
	}
	return d
}

// suspicions returns what is known of one crash: one suspicion of a request, or one for each request
// that had a part.
func (r *record) suspicions(f Fingerprint, incarnation Incarnation, now time.Duration) []Suspicion {
	o := r.crashes[incarnation]
	s := Suspicion{
		Fingerprint: f, Workspace: r.quota.workspace, Incarnation: incarnation, Service: o.service, Request: o.request,
		AgeMS: (now - o.at).Milliseconds(), RanMS: o.ran.Milliseconds(), IsCleared: o.isCleared,
	}
	if !r.quota.isOfParts {
		return []Suspicion{s}
	}
	var all []Suspicion
	for _, carrier := range o.carriers {
		s.Carrier = carrier
		all = append(all, s)
	}
	return all
}
