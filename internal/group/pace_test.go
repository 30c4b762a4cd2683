package group

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

func TestStepTimerMean(t *testing.T) {
	var timer stepTimer
	at := time.Unix(0, 0)
	for step := range uint64(20) {
		timer.observe(step, at.Add(time.Duration(step)*50*time.Millisecond))
	}
	require.Equal(t, 50*time.Millisecond, timer.mean())
	last := at.Add(19 * 50 * time.Millisecond)
	timer.observe(20, last.Add(150*time.Millisecond))
	timer.observe(21, last.Add(300*time.Millisecond))
	require.Equal(t, 150*time.Millisecond, timer.mean(), "it follows within two steps")
	timer.observe(41, last.Add(400*time.Millisecond))
	timer.observe(61, last.Add(500*time.Millisecond))
	require.Equal(t, 5*time.Millisecond, timer.mean(), "several steps between two looks")
	timer.observe(61, at.Add(3*time.Second))
	require.Zero(t, timer.mean(), "no steps, no pace")
	timer.observe(2, at.Add(5*time.Second))
	require.Zero(t, timer.mean(), "another epoch")
}

// A change is armed at the first step that begins once the round of orders is over, and
// further ahead after changes that were given up.
func TestArmAheadCoversOrderTime(t *testing.T) {
	r := New(Config{ArmAhead: 6, MaxArmAhead: 12, NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry()})
	began := time.Unix(100, 0)
	require.EqualValues(t, 6, r.armAhead(began), "no pace is known")
	for _, c := range []struct {
		step, since time.Duration
		extraAhead  uint64
		want        uint64
	}{
		{150 * time.Millisecond, 10 * time.Millisecond, 0, 1},
		{150 * time.Millisecond, 100 * time.Millisecond, 0, 2},
		{60 * time.Millisecond, 10 * time.Millisecond, 0, 2},
		{60 * time.Millisecond, 40 * time.Millisecond, 0, 3},
		{60 * time.Millisecond, time.Second, 0, 3},
		{5 * time.Millisecond, 0, 0, 6},
		{60 * time.Millisecond, 40 * time.Millisecond, 4, 7},
		{5 * time.Millisecond, 0, 64, 12},
	} {
		r.stepTimer = stepTimer{changed: began, stepTimes: [2]time.Duration{c.step, c.step}}
		r.extraAhead = c.extraAhead
		require.Equal(t, c.want, r.armAhead(began.Add(c.since)), c)
	}
}

func TestNextStepIsArmedWhenStepsAreLateAnyway(t *testing.T) {
	r := New(Config{
		ArmAhead: 6, NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry(),
		MaxStepTime: func() time.Duration { return 120 * time.Millisecond },
	})
	began := time.Unix(100, 0)
	late := began.Add(110 * time.Millisecond)
	r.stepTimer = stepTimer{changed: began, stepTimes: [2]time.Duration{100 * time.Millisecond, 120 * time.Millisecond}}
	require.EqualValues(t, 2, r.armAhead(late), "streams are in time, and must not wait")
	r.stepTimer.stepTimes = [2]time.Duration{130 * time.Millisecond, 130 * time.Millisecond}
	require.EqualValues(t, 1, r.armAhead(late))
}

// What a change cost the ranks is how much later the armed step began than others do.
func TestPauseIsCountedOncePerChange(t *testing.T) {
	meter := pauseMeter{pausedMS: metrics.NewCounter()}
	var timer stepTimer
	at := time.Unix(0, 0)
	poll := func(step uint64, after time.Duration, armed uint64) (uint64, time.Duration) {
		s := expertmap.Status{Step: step}
		if armed != 0 {
			s.Armed = &expertmap.Change{Step: armed}
		}
		at = at.Add(after)
		armedStep, late := meter.observe(s, &timer, at)
		timer.observe(step, at)
		return armedStep, late
	}
	for step := range uint64(5) {
		poll(step, 50*time.Millisecond, 0)
	}
	poll(5, 50*time.Millisecond, 6)
	step, late := poll(6, 200*time.Millisecond, 0)
	require.EqualValues(t, 6, step)
	require.Equal(t, 150*time.Millisecond, late)
	step, _ = poll(7, 400*time.Millisecond, 0)
	require.Zero(t, step, "no change is ahead")
	require.EqualValues(t, 150, meter.pausedMS.Count())
	poll(8, 50*time.Millisecond, 9)
	poll(8, 10*time.Millisecond, 0)
	step, _ = poll(9, 400*time.Millisecond, 0)
	require.Zero(t, step, "the change was given up")
}

// How far ahead a change is armed follows from what the orders took: small groups don't
// wait for the time of large ones, and large ones don't hold.
func TestOrderTimeEstimateFollowsMeasurements(t *testing.T) {
	var estimator roundTripEstimator
	require.Equal(t, initialOrderTime, estimator.upperBound())
	for range 30 {
		estimator.observe(20 * time.Millisecond)
	}
	require.Less(t, estimator.upperBound(), 25*time.Millisecond)
	for range 30 {
		estimator.observe(200 * time.Millisecond)
	}
	require.InDelta(t, 200, estimator.upperBound().Milliseconds(), 40)
	for i := range 60 {
		took := time.Duration(60+40*(i%2)) * time.Millisecond
		require.True(t, i < 30 || took <= estimator.upperBound(), "%v, expected %v", took, estimator.upperBound())
		estimator.observe(took)
	}
}

// Orders that took long since messages of theirs were lost don't make the next ones wait
// longer for what is lost: each round would then be longer than the one before.
func TestSlowOrdersDoNotDelayRetries(t *testing.T) {
	r := New(Config{NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry()})
	require.Equal(t, retryTicks, r.pausedRetryTicks(), "nothing is known")
	r.orderTime.observe(10 * time.Millisecond)
	require.Equal(t, minPausedRetryTicks, r.pausedRetryTicks())
	for range 20 {
		r.orderTime.observe(2 * time.Second)
	}
	require.Equal(t, retryTicks, r.pausedRetryTicks())
	require.Less(t, r.pausedRetryTicks(), baseRecoveryTicks/2, "who waits hears of the ballot before its patience ends")
}
