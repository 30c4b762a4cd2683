package group

import "time"

// idleTimeout is the time without a new step after which the step time is unknown.
const idleTimeout = time.Second

// stepTimer estimates the step time from polls of the number of the last started step. It
// averages over the last two polls that found a new step.
type stepTimer struct {
	step uint64
	// polled is the time of the last poll, and changed that of the last one that found a new
	// step. The step started at most pollGap before.
	polled, changed time.Time
	pollGap         time.Duration
	// stepTimes holds the time per step at the last two polls that found a new step, the older
	// one first, and stepCounts the number of steps; 0 if unknown.
	stepTimes  [2]time.Duration
	stepCounts [2]uint64
}

// observe records the number of the last started step.
func (t *stepTimer) observe(step uint64, now time.Time) {
	gap := now.Sub(t.polled)
	idle := now.Sub(t.changed)
	switch {
	case t.changed.IsZero() || step < t.step:
		*t = stepTimer{step: step, changed: now}
	case step > t.step:
		n := step - t.step
		t.stepTimes = [2]time.Duration{t.stepTimes[1], idle / time.Duration(n)}
		t.stepCounts = [2]uint64{t.stepCounts[1], n}
		t.step, t.changed, t.pollGap = step, now, gap
	case idle >= idleTimeout:
		t.stepTimes, t.stepCounts = [2]time.Duration{}, [2]uint64{}
	}
	t.polled = now
}

// skip records the number of the last started step without its time, for a step before which the
// group may have been paused.
func (t *stepTimer) skip(step uint64, now time.Time) {
	t.pollGap = now.Sub(t.polled)
	t.step, t.changed, t.polled = step, now, now
}

// mean returns the mean step time; 0 if it is unknown or no steps are being started.
func (t *stepTimer) mean() time.Duration {
	if t.stepTimes[0] == 0 {
		return t.stepTimes[1]
	}
	return (t.stepTimes[0] + t.stepTimes[1]) / 2
}

// least returns the shortest mean step time that the polls allow: the last step may have started
// just after the poll before the one that found it.
func (t *stepTimer) least() time.Duration {
	steps := t.stepCounts[0] + t.stepCounts[1]
	return max(t.mean()-t.pollGap/time.Duration(max(steps, 1)), 0)
}

// untilNext estimates the time until the next step starts, from the earliest time at which the
// last one may have started.
func (t *stepTimer) untilNext(now time.Time) time.Duration {
	return max(t.mean()-now.Sub(t.changed)-t.pollGap, 0)
}

// delay returns how much later a new step started than the mean step time predicts; 0 if the
// step time is unknown. It must be called before observe records that step.
func (t *stepTimer) delay(step uint64, now time.Time) time.Duration {
	mean := t.mean()
	if mean == 0 || step <= t.step {
		return 0
	}
	return max(now.Sub(t.changed)-time.Duration(step-t.step)*mean, 0)
}

// initialOrderTime is the estimate before the first measurement. It covers a round trip and
// four calls to an engine, on hosts that have a quarter of a CPU core.
const initialOrderTime = 100 * time.Millisecond

// roundTripEstimator estimates the time from the first arm order until all ranks have
// committed. It uses the algorithm by which TCP computes its retransmission timeout (RFC 6298),
// because the time differs by a factor of ten between small groups and large groups on slow
// links.
type roundTripEstimator struct {
	mean, deviation time.Duration
}

// observe records the time that one change needed.
func (e *roundTripEstimator) observe(took time.Duration) {
	if e.mean == 0 {
		e.mean, e.deviation = took, took/2
		return
	}
	e.deviation += ((took - e.mean).Abs() - e.deviation) / 4
	e.mean += (took - e.mean) / 8
}

// average returns the mean time of a change; 0 if none has been measured.
func (e *roundTripEstimator) average() time.Duration { return e.mean }

// upperBound returns a time that nearly all changes stay within.
func (e *roundTripEstimator) upperBound() time.Duration {
	if e.mean == 0 {
		return initialOrderTime
	}
	return e.mean + 4*e.deviation
}
