package group

import "time"

// idleTimeout is how long no step has to begin for the pace to be unknown.
const idleTimeout = time.Second

// stepTimer measures how long a step takes, from looks at the number of the last one begun:
// the mean over the last two looks that found a new one.
type stepTimer struct {
	step    uint64
	changed time.Time
	// stepTimes are the times of a step at the last two changes, 0 if unknown.
	stepTimes [2]time.Duration
}

// observe takes the number of the last step begun.
func (t *stepTimer) observe(step uint64, now time.Time) {
	idle := now.Sub(t.changed)
	switch {
	case t.changed.IsZero() || step < t.step:
		*t = stepTimer{step: step, changed: now}
	case step > t.step:
		*t = stepTimer{step: step, changed: now, stepTimes: [2]time.Duration{t.stepTimes[1], idle / time.Duration(step-t.step)}}
	case idle >= idleTimeout:
		t.stepTimes = [2]time.Duration{}
	}
}

// mean returns the time of a step, 0 while it is not known or none is made.
func (t *stepTimer) mean() time.Duration {
	if t.stepTimes[0] == 0 {
		return t.stepTimes[1]
	}
	return (t.stepTimes[0] + t.stepTimes[1]) / 2
}

// untilNext returns about how long it is until the next step begins, at the mean pace.
func (t *stepTimer) untilNext(now time.Time) time.Duration {
	return max(t.mean()-now.Sub(t.changed), 0)
}

// delay returns by how much a step that has just been seen to begin came later than the
// mean pace lets expect, 0 where the pace is not known.
func (t *stepTimer) delay(step uint64, now time.Time) time.Duration {
	mean := t.mean()
	if mean == 0 || step <= t.step {
		return 0
	}
	return max(now.Sub(t.changed)-time.Duration(step-t.step)*mean, 0)
}

// initialOrderTime is what the orders of a change are taken to need before one was measured: a
// round of messages and of four calls at the engine, on hosts with a quarter of a core.
const initialOrderTime = 100 * time.Millisecond

// roundTripEstimator estimates how long it takes from the first order to arm until all ranks are
// let go, as the retransmission timer of TCP (RFC 6298) estimates a round trip: it differs
// by ten times between small groups and large ones on slow links.
type roundTripEstimator struct {
	mean, deviation time.Duration
}

// observe takes the time that one change needed.
func (e *roundTripEstimator) observe(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = took, took/2
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / 4
	e.mean += (took - e.mean) / 8
}

// average returns the time that a change needs on the mean, 0 if none was measured.
func (e *roundTripEstimator) average() time.Duration { return e.mean }

// upperBound returns a time within which nearly all changes are through.
func (e *roundTripEstimator) upperBound() time.Duration {
	if e.mean == 0 {
		return initialOrderTime
	}
	return e.mean + 4*e.deviation
}
