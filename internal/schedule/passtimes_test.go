package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runWithSlowdown simulates streams for the given duration. The gaps between their events are
// those of passes with the given slowdown. Every tenth gap is longer, as for an answer that is
// delayed in transit.
func (l *testCluster) runWithSlowdown(slowdown float64, duration time.Duration) {
	t := l.reserve(l.service("s").active[0], l.now)
	defer l.Release(t, Neutral, l.now)
	for end, n := l.now+duration, 0; l.now < end; n++ {
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

// newSkewedCluster returns a cluster with one group whose experts differ in popularity.
func newSkewedCluster() *testCluster {
	l := newGapLimitedCluster(60, 1)
	l.engine.StepTimePerRequest = time.Millisecond
	l.engine.Experts.WorkShare = 0.85
	l.Admit(l.gapLimitedRequest(), l.now)
	l.reportLoads(4)
	return l
}

// runWithShifts simulates expert popularity that shifts once per interval. Passes have
// shiftSlowdown for half a second after each shift and usualSlowdown for the rest of the
// interval.
func (l *testCluster) runWithShifts(shiftSlowdown, usualSlowdown float64, interval, duration time.Duration) {
	const shiftDuration = 500 * time.Millisecond
	for end := l.now + duration; l.now < end; {
		l.runWithSlowdown(shiftSlowdown, shiftDuration)
		l.runWithSlowdown(usualSlowdown, interval-shiftDuration)
	}
}

// Load pattern: there are more callers than slots at the lowest concurrency limit, which
// tolerates the worst shift of expert popularity. If passes are rarely that slow, a fixed low
// limit refuses callers who could be served on time. The limit must rise while passes are
// regular, and return to the lowest when most streams would meet a shift that only the lowest
// limit tolerates, or at once when passes are too long at any limit.
func TestLimitFollowsObservedPassTimes(t *testing.T) {
	l := newSkewedCluster()
	minCapacity := float64(60 * ConcurrencyLimit(l.engine, l.gapLimitedRequest().MaxEventGap))
	capacity := func() float64 { return l.State("s", l.now).Capacity }
	l.runWithSlowdown(1.2, minObservation-time.Second)
	require.Equal(t, minCapacity, capacity(), "pass times were not observed for long enough")
	l.runWithSlowdown(1.2, 2*time.Second)
	usual := capacity()
	require.Greater(t, usual, 1.2*minCapacity)
	l.runWithSlowdown(1.9, 500*time.Millisecond)
	l.runWithSlowdown(1.2, 2*time.Second)
	require.Equal(t, usual, capacity(), "a single shift of popularity in the whole history")
	l.runWithSlowdown(2.5, time.Second)
	require.Equal(t, minCapacity, capacity(), "passes are too long at any limit")
	l.runWithSlowdown(1.2, time.Second)
	require.Equal(t, usual, capacity(), "passes that are too long at any limit are ignored")
	l.runWithShifts(1.9, 1.2, 2*time.Second, historySpan)
	require.LessOrEqual(t, capacity(), 1.1*minCapacity, "most streams meet a shift that only about the lowest limit tolerates")
	l.runWithSlowdown(1.2, historySpan+time.Second)
	require.InDelta(t, usual, capacity(), 1)
}

// Load pattern: after each shift of expert popularity passes exceed the event gap until the
// expert map is adapted, whatever the limit. A lower limit would refuse callers without keeping
// any stream on time.
func TestJumpsThatNoLimitCanAbsorbDoNotLowerIt(t *testing.T) {
	l := newSkewedCluster()
	minCapacity := float64(60 * ConcurrencyLimit(l.engine, l.gapLimitedRequest().MaxEventGap))
	l.runWithShifts(2.6, 1.2, 2500*time.Millisecond, historySpan)
	require.Greater(t, l.State("s", l.now).Capacity, 1.2*minCapacity)
}

// The slots of a group must add up to its fractional limit per rank. When each rank rounded its
// limit down, a fifth of the group's slots stayed unused at five slots per rank.
func TestFractionalLimitsAddUpAcrossRanks(t *testing.T) {
	l := newSkewedCluster()
	l.runWithSlowdown(1.7, minObservation+time.Second)
	s := l.service("s")
	limitPerRank := s.groups["0"].limit
	require.InDelta(t, 60*limitPerRank, l.State("s", l.now).Capacity, 1)
	require.NotEqual(t, float64(int(limitPerRank)), limitPerRank)
}

// With regular passes the limit must be the highest that keeps them within the event gap, less
// a margin for the transit time to the caller.
func TestChosenLimitKeepsPassesWithinMaxEventGap(t *testing.T) {
	for slowdown := 1.0; slowdown < 2; slowdown += 0.1 {
		l := newSkewedCluster()
		l.runWithSlowdown(slowdown, minObservation+time.Second)
		e, gap, limit := l.engine, l.gapLimitedRequest().MaxEventGap, l.service("s").groups["0"].limit
		if limit > float64(ConcurrencyLimit(e, gap)) {
			require.LessOrEqual(t, slowdown*float64(balancedPassTime(e, limit)), 1.01*maxPassFraction*float64(gap), "slowdown %v", slowdown)
		}
		if limit < float64(e.Slots) {
			require.Greater(t, slowdown*float64(balancedPassTime(e, limit+2*limitStep)), 0.99*maxPassFraction*float64(gap), "slowdown %v", slowdown)
		}
	}
	var unknown passHistory
	e := newSkewedCluster().engine
	require.Equal(t, float64(ConcurrencyLimit(e, time.Second)), unknown.limit(e, time.Second, nil, time.Hour))
	require.Equal(t, float64(ConcurrencyLimit(e, 0)), unknown.limit(e, 0, nil, time.Hour))
}

// Slow passes of one group must not lower the limit of another, whose expert popularity is its
// own.
func TestGroupsHaveSeparateLimits(t *testing.T) {
	l := newTestCluster(2, 8, 1)
	l.engine.Slots, l.engine.StepTimePerRequest, l.engine.Experts.WorkShare = 10, time.Millisecond, 0.85
	l.Admit(l.gapLimitedRequest(), l.now)
	l.report("", nil)
	l.runWithSlowdown(1.2, minObservation+time.Second)
	groups := l.service("s").groups
	require.Greater(t, groups["0"].limit, groups["1"].limit)
}

// BenchmarkLimit computes the limit of a group, as happens once per history bucket.
func BenchmarkLimit(b *testing.B) {
	l := newSkewedCluster()
	l.runWithShifts(1.9, 1.2, 2*time.Second, historySpan)
	p := &l.service("s").groups["0"].passTimes
	for b.Loop() {
		p.cachedBucket = -1
		p.limit(l.engine, l.gapLimitedRequest().MaxEventGap, nil, l.now)
	}
}

// BenchmarkRecordEventGap records event gaps that arrive at 1,000 per second.
func BenchmarkRecordEventGap(b *testing.B) {
	l := newSkewedCluster()
	t := l.reserve(l.service("s").active[0], l.now)
	for range b.N {
		l.now += time.Millisecond
		l.RecordEventGap(t, 60*time.Millisecond, l.now)
	}
}
