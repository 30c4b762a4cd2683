package schedule

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// worstSkew is the load of a group's most loaded rank over the mean one that passes
	// have to bear while nothing was seen of them: after popularity has jumped, until the map
	// has followed. It may be worse; with fewer places batching would lose more than the
	// passes gain.
	worstSkew = 2.4
	// gapPart is the part of the longest pause between events that a pass may take; the
	// rest is for prompts that are read in it, and the way to the caller.
	gapPart = 0.95
	// leastPart is the least part of an engine's slots that is used: below, batching is
	// lost.
	leastPart = 0.5
)

// ConcurrencyLimit returns how many requests a rank of an engine should work on at once so that
// events come within the gap, also while its group's map is behind popularity. The pace
// of all is set by the slowest: what one request more at each rank adds to a pass, all
// streams wait for. Without a gap, or an engine's figures, all slots count.
func ConcurrencyLimit(e *routetable.Engine, gap time.Duration) int {
	if gap <= 0 || e.Stride <= 0 || e.StepTimePerRequest <= 0 {
		return e.Slots
	}
	skew := 1.0
	if e.Experts.Sets > 0 {
		skew = 1 - e.Experts.WorkShare + e.Experts.WorkShare*worstSkew
	}
	step := float64(gap) * gapPart / float64(e.Stride) / skew
	n := int((step - float64(e.StepTime)) / float64(e.StepTimePerRequest))
	return min(max(n, int(leastPart*float64(e.Slots)), 1), e.Slots)
}

// SlowRankLimit returns how many requests a slow rank should work on at once, where the others
// have that many places: as many as let its step end with theirs, since all ranks wait for
// the slowest in every pass. It may be none. Slowness is its time for a step over theirs,
// without unit.
func SlowRankLimit(e *routetable.Engine, places int, slowness float64) int {
	if slowness <= 1 || e.StepTimePerRequest <= 0 {
		return places
	}
	usual := float64(e.StepTime) + float64(places)*float64(e.StepTimePerRequest)
	n := int((usual/slowness - float64(e.StepTime)) / float64(e.StepTimePerRequest))
	return min(max(n, 0), places)
}

// TimeToFirstEvent is about how long an idle engine takes to the first event of a usual
// request: to read the prompt, and two passes.
func TimeToFirstEvent(e *routetable.Engine, places int) time.Duration {
	pass := time.Duration(max(e.Stride, 1)) * (e.StepTime + time.Duration(places)*e.StepTimePerRequest)
	return readTime(e) + 2*pass
}

// usualSkew is the load of a group's most loaded rank over the mean one while its map
// follows popularity.
const usualSkew = 1.5

// ServiceTime is about how long a usual request keeps its place while all of them are taken.
func ServiceTime(e *routetable.Engine, places int) time.Duration {
	pass := time.Duration(max(e.Stride, 1)) * (e.StepTime + time.Duration(places)*e.StepTimePerRequest)
	skew := 1.0
	if e.Experts.Sets > 0 {
		skew = 1 - e.Experts.WorkShare + e.Experts.WorkShare*usualSkew
	}
	passes := e.Answer / float64(max(e.Stride, 1))
	return TimeToFirstEvent(e, places) + time.Duration(passes*skew*float64(pass))
}
