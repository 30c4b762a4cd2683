package schedule

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// swinging returns the arrivals per second of a load of the given mean that oscillates by 0.55 of
// it with a period of 13 s, starting at the mean before a peak.
func swinging(mean float64, at time.Duration) float64 {
	return mean * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13))
}

// addArrivals adds Poisson arrivals at the given rate per second up to a time.
func (t *arrivalTrend) addArrivals(rate func(time.Duration) float64, until time.Duration, rng *rand.Rand) {
	const step = time.Millisecond
	for now := time.Duration(0); now < until; now += step {
		if rng.Float64() < rate(now)*step.Seconds() {
			t.add(now)
		}
	}
}

// Periodic load: guards against a slope of the wrong sign or size half-way up and down the swing,
// at a host that gets many requests.
func TestTrendFollowsPeriodicLoad(t *testing.T) {
	rate := func(at time.Duration) float64 { return swinging(400, at) }
	for _, c := range []struct {
		at   time.Duration
		sign float64
	}{{14500 * time.Millisecond, 1}, {21 * time.Second, -1}} {
		var trend arrivalTrend
		trend.addArrivals(rate, c.at, rand.New(rand.NewPCG(1, 2)))
		level, slope := trend.line(c.at)
		require.InEpsilon(t, rate(c.at), level, 0.25)
		steepest := 400 * 0.55 * 2 * math.Pi / 13
		require.InDelta(t, c.sign, slope/steepest, 0.6)
	}
}

// Steady load: guards against a level that is too low after the start, and against counts that
// outlive the window.
func TestTrendOfSteadyLoad(t *testing.T) {
	var trend arrivalTrend
	level, slope := trend.line(time.Hour)
	require.Zero(t, level)
	require.Zero(t, slope)
	for i := range 10 {
		trend.add(time.Hour + time.Duration(i)*50*time.Millisecond)
	}
	level, slope = trend.line(time.Hour + 500*time.Millisecond)
	require.InDelta(t, 20, level, 1e-9)
	require.Zero(t, slope)
	level, _ = trend.line(time.Hour + time.Minute)
	require.Zero(t, level)
}

// Falling edge of a peak: guards against callers that are told to return while the load is still
// above the capacity, although it will be below within the time that they accept.
func TestReturnsArePlannedAfterThePeak(t *testing.T) {
	const now, capacity = 8 * time.Second, 130.0
	rate := func(at time.Duration) float64 { return 300 - 20*at.Seconds() }
	require.Greater(t, rate(now), capacity)
	var p returnPlan
	p.arrivals.addArrivals(rate, now, rand.New(rand.NewPCG(1, 2)))
	for range 10 {
		start, ok := p.place(capacity, now, now+2667*time.Millisecond)
		require.True(t, ok)
		require.Less(t, rate(start), capacity)
	}
}

// Steady overload: guards against a promise of a slot that is not expected.
func TestNoReturnIsPlannedInOverload(t *testing.T) {
	var p returnPlan
	p.arrivals.addArrivals(func(time.Duration) float64 { return 140 }, 10*time.Second, rand.New(rand.NewPCG(1, 2)))
	_, ok := p.place(90, 10*time.Second, 12667*time.Millisecond)
	require.False(t, ok)
	require.Zero(t, p.promised)
}

// Burst: guards against returns that create a peak of their own. Many callers are refused at once,
// and the slots left would suffice for a few of them in each interval.
func TestPlannedReturnsAreSpread(t *testing.T) {
	var p returnPlan
	now := time.Hour
	counts := map[time.Duration]int{}
	for range 60 {
		start, ok := p.place(24, now, now+2667*time.Millisecond)
		if !ok {
			break
		}
		counts[start]++
	}
	require.Greater(t, len(counts), 8)
	for start, n := range counts {
		require.LessOrEqual(t, n, 6, start)
	}
}

// Guards against a Retry-After outside of what the caller accepts, in any state.
func TestPlannedReturnIsWithinWhatTheCallerAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestCluster(1, 4, rapid.IntRange(1, 9).Draw(t, "hosts"))
		l.cfg.PlanReturns = true
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			l.now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "wait")) * time.Millisecond
			l.reportLoads(rapid.IntRange(0, 4).Draw(t, "load"))
			r := l.onTimeRequest()
			r.TimeLeft = time.Duration(rapid.IntRange(0, 60_000).Draw(t, "left")) * time.Millisecond
			r.CanRetry = rapid.Bool().Draw(t, "canRetry")
			sv := l.service("s")
			sv.setEngine(r.Engine, 0, 1, l.now)
			w := sv.newWaiter(r, l.now)
			after := l.refuse(NoCapacity, w, l.now).RetryAfter
			require.GreaterOrEqual(t, after, time.Duration(0))
			require.LessOrEqual(t, after, maxRetryAfterFor(w, l.now))
			l.Admit(r, l.now)
		}
	})
}

// Returning callers: guards against promises to callers that won't return, which would keep slots
// from those that will.
func TestNothingIsPromisedToCallersThatHaveReturned(t *testing.T) {
	l := newTestCluster(1, 4, 1)
	l.cfg.PlanReturns = true
	l.reportLoads(0)
	for _, isReturn := range []bool{true, false} {
		r := l.onTimeRequest()
		r.TimeLeft, r.CanRetry = 8*time.Second, !isReturn
		sv := l.service("s")
		sv.setEngine(r.Engine, 0, 1, l.now)
		l.refuse(NoCapacity, sv.newWaiter(r, l.now), l.now)
		require.Equal(t, isReturn, l.State("s", l.now).PromisedReturns == 0)
	}
}

// Without the switch, a refused caller must be told what it was told before.
func TestReturnsAreNotPlannedUnlessConfigured(t *testing.T) {
	l := newTestCluster(1, 4, 1)
	l.reportLoads(0)
	r := l.onTimeRequest()
	r.TimeLeft = 8 * time.Second
	l.Admit(r, l.now)
	sv := l.service("s")
	w := sv.newWaiter(r, l.now)
	for range 20 {
		after := l.refuse(NoCapacity, w, l.now).RetryAfter
		require.GreaterOrEqual(t, after, MaxRetryAfter(r.TimeLeft)/2)
	}
	require.Zero(t, sv.returns.promised)
}
