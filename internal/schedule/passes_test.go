package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runWithSlowdown lets the streams of a lab pause as long as passes with that stretch take, for
// that long. Every tenth pause is of an answer that is held up on its way.
func (l *testCluster) runWithSlowdown(slowdown float64, during time.Duration) {
	t := l.reserve(l.service("s").active[0], l.now)
	defer l.Release(t, Neutral, l.now)
	for end, n := l.now+during, 0; l.now < end; n++ {
		gap := time.Duration(slowdown * float64(balancedPassTime(l.engine, l.service("s").groups["0"].meanLoad)))
		if n%10 == 0 {
			gap += 300 * time.Millisecond
		}
		l.RecordEventGap(t, gap, l.now)
		l.now += 20 * time.Millisecond
		if n%5 == 0 {
			l.report("", nil)
		}
	}
}

// newSkewedCluster has one group of engines whose experts are unevenly wanted.
func newSkewedCluster() *testCluster {
	l := newGapLimitedCluster(60, 1)
	l.engine.StepTimePerRequest = time.Millisecond
	l.engine.Experts.WorkShare = 0.85
	l.Admit(l.gapLimitedRequest(), l.now)
	l.reportLoads(4)
	return l
}

// runWithJumps lets popularity jump each span: passes have that stretch for half a second, and
// else the usual one.
func (l *testCluster) runWithJumps(jumpSlowdown, usualSlowdown float64, interval, during time.Duration) {
	const jumpDuration = 500 * time.Millisecond
	for end := l.now + during; l.now < end; {
		l.runWithSlowdown(jumpSlowdown, jumpDuration)
		l.runWithSlowdown(usualSlowdown, interval-jumpDuration)
	}
}

// Load pattern: more callers than places that bear the worst jump of popularity, at a group
// whose passes are far from that. Its ranks get as many requests as serve most callers: more
// than the fewest while popularity hardly jumps, the fewest where most streams would meet a
// jump that these bear, and at once while passes are beyond that.
func TestLimitFollowsObservedPassTimes(t *testing.T) {
	l := newSkewedCluster()
	minCapacity := float64(60 * ConcurrencyLimit(l.engine, l.gapLimitedRequest().Gap))
	capacity := func() float64 { return l.State("s", l.now).Capacity }
	l.runWithSlowdown(1.2, minObservation-time.Second)
	require.Equal(t, minCapacity, capacity(), "not seen for long enough")
	l.runWithSlowdown(1.2, 2*time.Second)
	usual := capacity()
	require.Greater(t, usual, 1.2*minCapacity)
	l.runWithSlowdown(1.9, 500*time.Millisecond)
	l.runWithSlowdown(1.2, 2*time.Second)
	require.Equal(t, usual, capacity(), "one jump in all that is remembered")
	l.runWithSlowdown(2.5, time.Second)
	require.Equal(t, minCapacity, capacity(), "passes are beyond what any places bear")
	l.runWithSlowdown(1.2, time.Second)
	require.Equal(t, usual, capacity(), "they were beyond it whatever the places")
	l.runWithJumps(1.9, 1.2, 2*time.Second, historySpan)
	require.LessOrEqual(t, capacity(), 1.1*minCapacity, "most streams meet a jump, which about the fewest bear")
	l.runWithSlowdown(1.2, historySpan+time.Second)
	require.InDelta(t, usual, capacity(), 1)
}

// Load pattern: popularity jumps so far that passes are over the gap until the map has
// followed, however few requests the ranks have. Fewer places would refuse callers and keep
// no stream on time.
func TestJumpsThatNoLimitCanAbsorbDoNotLowerIt(t *testing.T) {
	l := newSkewedCluster()
	minCapacity := float64(60 * ConcurrencyLimit(l.engine, l.gapLimitedRequest().Gap))
	l.runWithJumps(2.6, 1.2, 2500*time.Millisecond, historySpan)
	require.Greater(t, l.State("s", l.now).Capacity, 1.2*minCapacity)
}

// The places of a group are what its passes bear, also where that is no whole number for
// each rank: rounding down left a fifth of them empty at five a rank.
func TestFractionalLimitsAddUpAcrossRanks(t *testing.T) {
	l := newSkewedCluster()
	l.runWithSlowdown(1.7, minObservation+time.Second)
	s := l.service("s")
	limitPerRank := s.groups["0"].limit
	require.InDelta(t, 60*limitPerRank, l.State("s", l.now).Capacity, 1)
	require.NotEqual(t, float64(int(limitPerRank)), limitPerRank)
}

// Where passes are always alike, as many places are used as keep them inside the gap, with
// room for the way to the caller.
func TestChosenLimitKeepsPassesWithinMaxEventGap(t *testing.T) {
	for slowdown := 1.0; slowdown < 2; slowdown += 0.1 {
		l := newSkewedCluster()
		l.runWithSlowdown(slowdown, minObservation+time.Second)
		e, gap, limit := l.engine, l.gapLimitedRequest().Gap, l.service("s").groups["0"].limit
		if limit > float64(ConcurrencyLimit(e, gap)) {
			require.LessOrEqual(t, slowdown*float64(balancedPassTime(e, limit)), 1.01*maxPassFraction*float64(gap), "stretch %v", slowdown)
		}
		if limit < float64(e.Slots) {
			require.Greater(t, slowdown*float64(balancedPassTime(e, limit+2*limitStep)), 0.99*maxPassFraction*float64(gap), "stretch %v", slowdown)
		}
	}
	var unknown passHistory
	e := newSkewedCluster().engine
	require.Equal(t, float64(ConcurrencyLimit(e, time.Second)), unknown.limit(e, time.Second, time.Hour))
	require.Equal(t, float64(ConcurrencyLimit(e, 0)), unknown.limit(e, 0, time.Hour))
}

// Passes of one group say nothing of another, whose popularity is its own.
func TestGroupsHaveSeparateLimits(t *testing.T) {
	l := newTestCluster(2, 8, 1)
	l.engine.Slots, l.engine.StepTimePerRequest, l.engine.Experts.WorkShare = 10, time.Millisecond, 0.85
	l.Admit(l.gapLimitedRequest(), l.now)
	l.report("", nil)
	l.runWithSlowdown(1.2, minObservation+time.Second)
	groups := l.service("s").groups
	require.Greater(t, groups["0"].limit, groups["1"].limit)
}

// BenchmarkLimit works the places of a group out, as at the end of each part.
func BenchmarkLimit(b *testing.B) {
	l := newSkewedCluster()
	l.runWithJumps(1.9, 1.2, 2*time.Second, historySpan)
	p := &l.service("s").groups["0"].passTimes
	for b.Loop() {
		p.cachedBucket = -1
		p.limit(l.engine, l.gapLimitedRequest().Gap, l.now)
	}
}

// BenchmarkRecordEventGap takes in one pause after the other, 1,000 a second.
func BenchmarkRecordEventGap(b *testing.B) {
	l := newSkewedCluster()
	t := l.reserve(l.service("s").active[0], l.now)
	for range b.N {
		l.now += time.Millisecond
		l.RecordEventGap(t, 60*time.Millisecond, l.now)
	}
}
