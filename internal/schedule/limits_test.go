package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

func TestConcurrencyLimitKeepsPassesWithinMaxEventGap(t *testing.T) {
	e := &routetable.Engine{
		Slots: 12, StepTime: 4840 * time.Microsecond, StepTimePerRequest: 362 * time.Microsecond, StepsPerPass: 6,
		MeanPromptTokens: 800, PrefillRate: 74800,
		Experts: routetable.Experts{LayerSetCount: 4, ExpertsPerSet: 72, Slots: 8, MaxNewPerSet: 3, WorkShare: 0.85},
	}
	limit := ConcurrencyLimit(e, 120*time.Millisecond)
	const slowdown = 6 * (1 - 0.85 + 0.85*maxExpectedSkew)
	passTime := time.Duration(slowdown * float64(e.StepTime+time.Duration(limit)*e.StepTimePerRequest))
	require.Less(t, passTime, 120*time.Millisecond)
	require.Greater(t, limit, 6)
	require.Equal(t, 12, ConcurrencyLimit(e, 0), "without a gap only the slots limit")
	require.Equal(t, 6, ConcurrencyLimit(e, time.Millisecond), "at least half of the slots are used")
	e.Experts.LayerSetCount = 0
	require.Equal(t, 12, ConcurrencyLimit(e, 120*time.Millisecond))
	require.Less(t, TimeToFirstEvent(e, 10), 200*time.Millisecond)
}

// All ranks wait for the slowest one. A slow rank with as many requests as the others would
// delay every pass.
func TestSlowRankGetsLowerLimit(t *testing.T) {
	e := &routetable.Engine{StepTime: 5 * time.Millisecond, StepTimePerRequest: 500 * time.Microsecond}
	for _, c := range []struct {
		relativeStepTime float64
		want             int
	}{{0, 10}, {0.9, 10}, {1, 10}, {1.25, 6}, {1.6, 2}, {2, 0}, {12, 0}} {
		require.Equal(t, c.want, SlowRankLimit(e, 10, c.relativeStepTime), c)
	}
	require.Equal(t, 10, SlowRankLimit(&routetable.Engine{}, 10, 3), "the engine's parameters are unknown")
}
