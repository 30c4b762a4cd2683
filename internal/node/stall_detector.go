package node

import "time"

const (
	// minStallTime is how long a group with work must make no step before it counts as stalled. It
	// is the duration of several steps at the slowest usual step time.
	minStallTime = 300 * time.Millisecond
	// minStallSteps is the minimum duration of a stall in current mean step times.
	minStallSteps = 5
	// lastStepWeight is the weight of the last step in the moving average of the step time.
	lastStepWeight = 0.3
)

// stallDetector detects an engine that makes no steps although it has work, or that is paused and
// would not start any work it gets.
type stallDetector struct {
	step uint64
	// lastChange is when a new step was last observed, or the engine was last observed without
	// work and not paused.
	lastChange time.Time
	// meanStepTime is the moving average of the step time.
	meanStepTime time.Duration
	isStalled    bool
}

// observe processes a report of the engine and returns whether the engine is stalled. An engine
// that is paused before its next step can be stalled without work too: after its callers have given
// up, requests that are sent to it would wait just as long as theirs did.
func (d *stallDetector) observe(step uint64, hasWork, isPaused bool, now time.Time) bool {
	switch {
	case step != d.step:
		if steps := step - d.step; step > d.step && !d.isStalled && !d.lastChange.IsZero() {
			stepTime := float64(now.Sub(d.lastChange)) / float64(steps)
			d.meanStepTime += time.Duration(lastStepWeight * (stepTime - float64(d.meanStepTime)))
		}
		d.step, d.lastChange, d.isStalled = step, now, false
	case !hasWork && !isPaused:
		d.lastChange, d.isStalled = now, false
	default:
		d.isStalled = now.Sub(d.lastChange) > max(minStallTime, minStallSteps*d.meanStepTime)
	}
	return d.isStalled
}
