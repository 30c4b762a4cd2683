package schedule

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// maxExpectedSkew is the ratio of the load of a group's most loaded rank to the mean load
	// that passes must tolerate while there is no history of pass times. Such skew occurs after
	// expert popularity has shifted and until the expert map has been adapted. The actual skew
	// may be higher, but a lower concurrency limit would lose more through smaller batches than
	// the passes would gain.
	maxExpectedSkew = 2.4
	// maxGapFraction is the fraction of the maximum event gap that a pass may take. The rest is
	// for prompts that are read during the pass, and for the transit time to the caller.
	maxGapFraction = 0.95
	// minSlotFraction is the smallest fraction of an engine's slots that is used. With fewer
	// requests, batching is no longer efficient.
	minSlotFraction = 0.5
)

// ConcurrencyLimit returns how many requests each rank should run at once so that events follow
// each other within the given gap, even while the group's expert map lags behind expert
// popularity. The slowest rank sets the speed for all: the time that one more request at each
// rank adds to a pass delays all streams. Without a gap or the engine's performance parameters,
// the limit is the number of slots.
func ConcurrencyLimit(e *routetable.Engine, maxEventGap time.Duration) int {
	if maxEventGap <= 0 || e.StepsPerPass <= 0 || e.StepTimePerRequest <= 0 {
		return e.Slots
	}
	skew := 1.0
	if e.Experts.LayerSetCount > 0 {
		skew = 1 - e.Experts.WorkShare + e.Experts.WorkShare*maxExpectedSkew
	}
	maxStepTime := float64(maxEventGap) * maxGapFraction / float64(e.StepsPerPass) / skew
	limit := int((maxStepTime - float64(e.StepTime)) / float64(e.StepTimePerRequest))
	return min(max(limit, int(minSlotFraction*float64(e.Slots)), 1), e.Slots)
}

// SlowRankLimit returns how many requests a slow rank should run at once if the limit of the
// other ranks is the given one. Its step must not take longer than theirs, because all ranks
// wait for the slowest in every pass. The result may be 0. The rank's step time is given
// relative to that of the others.
func SlowRankLimit(e *routetable.Engine, limit int, relativeStepTime float64) int {
	if relativeStepTime <= 1 || e.StepTimePerRequest <= 0 {
		return limit
	}
	targetStepTime := float64(e.StepTime) + float64(limit)*float64(e.StepTimePerRequest)
	n := int((targetStepTime/relativeStepTime - float64(e.StepTime)) / float64(e.StepTimePerRequest))
	return min(max(n, 0), limit)
}

// TimeToFirstEvent estimates how long an idle engine takes to the first event of an average
// request: the time to read the prompt plus two passes.
func TimeToFirstEvent(e *routetable.Engine, limit int) time.Duration {
	passTime := time.Duration(max(e.StepsPerPass, 1)) * (e.StepTime + time.Duration(limit)*e.StepTimePerRequest)
	return prefillTime(e) + 2*passTime
}

// typicalSkew is the ratio of the load of a group's most loaded rank to the mean load while the
// expert map matches expert popularity.
const typicalSkew = 1.5

// ServiceTime estimates how long an average request holds its slot while the engine runs as
// many requests as the limit allows.
func ServiceTime(e *routetable.Engine, limit int) time.Duration {
	passTime := time.Duration(max(e.StepsPerPass, 1)) * (e.StepTime + time.Duration(limit)*e.StepTimePerRequest)
	skew := 1.0
	if e.Experts.LayerSetCount > 0 {
		skew = 1 - e.Experts.WorkShare + e.Experts.WorkShare*typicalSkew
	}
	passes := e.MeanAnswerTokens / float64(max(e.StepsPerPass, 1))
	return TimeToFirstEvent(e, limit) + time.Duration(passes*skew*float64(passTime))
}
