package schedule

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// maxExpectedSkew is the load of a group's most loaded rank over the mean one that passes
	// have to bear while nothing was seen of them: after popularity has jumped, until the map
	// has followed. It may be worse; with fewer places batching would lose more than the
	// passes gain.
	maxExpectedSkew = 2.4
	// maxGapFraction is the part of the longest pause between events that a pass may take; the
	// rest is for prompts that are read in it, and the way to the caller.
	maxGapFraction = 0.95
	// minSlotFraction is the least part of an engine's slots that is used: below, batching is
	// lost.
	minSlotFraction = 0.5
)

// ConcurrencyLimit returns how many requests a rank of an engine should work on at once so that
// events come within the gap, also while its group's map is behind popularity. The pace
// of all is set by the slowest: what one request more at each rank adds to a pass, all
// streams wait for. Without a gap, or an engine's figures, all slots count.
func ConcurrencyLimit(e *routetable.Engine, maxEventGap time.Duration) int {
	if maxEventGap <= 0 || e.Stride <= 0 || e.StepTimePerRequest <= 0 {
		return e.Slots
	}
	skew := 1.0
	if e.Experts.Sets > 0 {
		skew = 1 - e.Experts.WorkShare + e.Experts.WorkShare*maxExpectedSkew
	}
	maxStepTime := float64(maxEventGap) * maxGapFraction / float64(e.Stride) / skew
	limit := int((maxStepTime - float64(e.StepTime)) / float64(e.StepTimePerRequest))
	return min(max(limit, int(minSlotFraction*float64(e.Slots)), 1), e.Slots)
}

// SlowRankLimit returns how many requests a slow rank should work on at once, where the others
// have that many places: as many as let its step end with theirs, since all ranks wait for
// the slowest in every pass. It may be none. Slowness is its time for a step over theirs,
// without unit.
func SlowRankLimit(e *routetable.Engine, limit int, relativeStepTime float64) int {
	if relativeStepTime <= 1 || e.StepTimePerRequest <= 0 {
		return limit
	}
	targetStepTime := float64(e.StepTime) + float64(limit)*float64(e.StepTimePerRequest)
	n := int((targetStepTime/relativeStepTime - float64(e.StepTime)) / float64(e.StepTimePerRequest))
	return min(max(n, 0), limit)
}

// TimeToFirstEvent is about how long an idle engine takes to the first event of a usual
// request: to read the prompt, and two passes.
func TimeToFirstEvent(e *routetable.Engine, limit int) time.Duration {
	passTime := time.Duration(max(e.Stride, 1)) * (e.StepTime + time.Duration(limit)*e.StepTimePerRequest)
	return prefillTime(e) + 2*passTime
}

// typicalSkew is the load of a group's most loaded rank over the mean one while its map
// follows popularity.
const typicalSkew = 1.5

// ServiceTime is about how long a usual request keeps its place while all of them are taken.
func ServiceTime(e *routetable.Engine, limit int) time.Duration {
	passTime := time.Duration(max(e.Stride, 1)) * (e.StepTime + time.Duration(limit)*e.StepTimePerRequest)
	skew := 1.0
	if e.Experts.Sets > 0 {
		skew = 1 - e.Experts.WorkShare + e.Experts.WorkShare*typicalSkew
	}
	passes := e.Answer / float64(max(e.Stride, 1))
	return TimeToFirstEvent(e, limit) + time.Duration(passes*skew*float64(passTime))
}
