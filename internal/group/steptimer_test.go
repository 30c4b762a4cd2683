package group

import (
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// Guards against an estimate that lags behind the step time, or that outlives an idle period or
// an epoch.
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
	require.Equal(t, 150*time.Millisecond, timer.mean(), "the mean follows within two steps")
	timer.observe(41, last.Add(400*time.Millisecond))
	timer.observe(61, last.Add(500*time.Millisecond))
	require.Equal(t, 5*time.Millisecond, timer.mean(), "several steps between two polls")
	timer.observe(61, at.Add(3*time.Second))
	require.Zero(t, timer.mean(), "unknown while no step starts")
	timer.observe(2, at.Add(5*time.Second))
	require.Zero(t, timer.mean(), "another epoch")
}

// Guards against changes that are armed for a step that starts before the orders have reached
// all ranks, or for a needlessly late step. After aborted changes, extraAhead steps are added.
func TestArmAheadCoversOrderTime(t *testing.T) {
	r := New(Config{ArmAhead: 6, MaxArmAhead: 12, NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry()})
	began := time.Unix(100, 0)
	require.EqualValues(t, 6, r.armAhead(began), "step time unknown")
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

// Guards against changes that pause streams which are on time, and against changes that are put
// off although streams are late anyway: then the next step has to be armed.
func TestNextStepIsArmedWhenStepsAreLateAnyway(t *testing.T) {
	r := New(Config{
		ArmAhead: 6, NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry(),
		MaxStepTime: func() time.Duration { return 120 * time.Millisecond },
	})
	began := time.Unix(100, 0)
	late := began.Add(110 * time.Millisecond)
	r.stepTimer = stepTimer{changed: began, stepTimes: [2]time.Duration{100 * time.Millisecond, 120 * time.Millisecond}}
	require.EqualValues(t, 2, r.armAhead(late), "streams are on time and must not be paused")
	r.stepTimer.stepTimes = [2]time.Duration{130 * time.Millisecond, 130 * time.Millisecond}
	require.EqualValues(t, 1, r.armAhead(late))
}

// Guards against a pause of all streams because a change is armed for a step that starts before its
// orders have arrived, although steps are on time. A busy host polls its engine every 50 ms, so steps
// of 108 ms look like 100 or 150 ms, and a step may have started 50 ms before it is seen. When the mean
// of two was taken as it looked, steps seemed to be late anyway (limit 120 ms).
func TestStepsOnTimeAreNotPausedForOrders(t *testing.T) {
	const stepTime, pollGap, orders = 108 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond
	for phase := range int(pollGap / time.Millisecond) {
		r := New(Config{
			ArmAhead: 6, NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry(),
			MaxStepTime: func() time.Duration { return 120 * time.Millisecond },
		})
		began := time.Unix(100, 0)
		for poll := range 40 {
			since := time.Duration(poll)*pollGap + time.Duration(phase)*time.Millisecond
			now := began.Add(since)
			step := uint64(since / stepTime)
			r.observeStep(expertmap.Status{Step: step}, now)
			if step < 4 {
				continue
			}
			starts := time.Duration(step+r.armAhead(now))*stepTime - since
			require.Greater(t, starts, orders, "phase %d poll %d", phase, poll)
			require.Less(t, starts, orders+2*stepTime, "armed for a needlessly late step")
		}
	}
}

// Guards against a pause that is taken for a slow step: it made the next change seem late anyway,
// so that it was armed for the next step and paused the group too.
func TestPauseForOrdersIsNoStepTime(t *testing.T) {
	r := New(Config{NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry(), Log: slog.New(slog.DiscardHandler)})
	at := time.Unix(100, 0)
	observe := func(step uint64, after time.Duration, armed uint64) {
		s := expertmap.Status{Step: step}
		if armed != 0 {
			s.Armed = &expertmap.Change{Step: armed}
		}
		at = at.Add(after)
		r.observeStep(s, at)
	}
	for step := range uint64(5) {
		observe(step, 100*time.Millisecond, 0)
	}
	observe(5, 100*time.Millisecond, 6)
	observe(6, 175*time.Millisecond, 0)
	require.Equal(t, 100*time.Millisecond, r.stepTimer.mean())
	observe(7, 60*time.Millisecond, 0)
	observe(8, 60*time.Millisecond, 0)
	require.Equal(t, 60*time.Millisecond, r.stepTimer.mean(), "the step time follows")
}

// Guards against pauses that are counted twice or for aborted changes. The pause of a change is
// how much later than usual the armed step started.
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
	require.Zero(t, step, "no change is armed")
	require.EqualValues(t, 150, meter.pausedMS.Count())
	poll(8, 50*time.Millisecond, 9)
	poll(8, 10*time.Millisecond, 0)
	step, _ = poll(9, 400*time.Millisecond, 0)
	require.Zero(t, step, "the change was aborted")
}

// Guards against a fixed estimate of the order time: small groups would arm changes too many
// steps ahead, and large groups would pause because the orders arrive too late.
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

// Guards against a feedback loop of retries: if orders that were slow because of lost messages
// lengthened the retry interval, the next lost message would make the orders even slower.
func TestSlowOrdersDoNotDelayRetries(t *testing.T) {
	r := New(Config{NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry()})
	require.Equal(t, maxPausedRetryTicks, r.pausedRetryTicks(), "no order time measured")
	r.orderTime.observe(10 * time.Millisecond)
	require.Equal(t, minPausedRetryTicks, r.pausedRetryTicks())
	for range 20 {
		r.orderTime.observe(2 * time.Second)
	}
	require.Equal(t, maxPausedRetryTicks, r.pausedRetryTicks())
	require.Less(t, r.pausedRetryTicks(), baseRecoveryTicks/2, "a retry must arrive well before the recovery delay ends")
}
