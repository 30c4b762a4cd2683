package node

import "time"

const (
	// minStallTime is how long a group with work to do makes no step before it counts as
	// stalled: several passes at the slowest usual pace.
	minStallTime = 300 * time.Millisecond
	// minStallSteps is how many steps of the present pace it waits at least.
	minStallSteps = 5
	// lastStepWeight is the share of the last step in the pace.
	lastStepWeight = 0.3
)

// stallDetector tells whether an engine stands still that has work to do, or that would not do it.
type stallDetector struct {
	step uint64
	// lastChange is when the last step was seen to have begun, or work to have come.
	lastChange time.Time
	// meanStepTime is how long steps take, an average over the last ones.
	meanStepTime time.Duration
	isStalled    bool
}

// observe takes what the engine reports and returns whether it is stalled. An engine that is
// held before its next step stands still whether it has work or not: requests that are sent
// there after its callers have left it would wait as those did.
func (p *stallDetector) observe(step uint64, hasWork, isHeld bool, now time.Time) bool {
	switch {
	case step != p.step:
		if n := step - p.step; step > p.step && !p.isStalled && !p.lastChange.IsZero() {
			took := float64(now.Sub(p.lastChange)) / float64(n)
			p.meanStepTime += time.Duration(lastStepWeight * (took - float64(p.meanStepTime)))
		}
		p.step, p.lastChange, p.isStalled = step, now, false
	case !hasWork && !isHeld:
		p.lastChange, p.isStalled = now, false
	default:
		p.isStalled = now.Sub(p.lastChange) > max(minStallTime, minStallSteps*p.meanStepTime)
	}
	return p.isStalled
}
