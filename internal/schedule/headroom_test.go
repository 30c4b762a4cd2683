package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Steady overload and the peak of a periodic load: guards against a limit of all slots. Ranks that
// got one request more than others had to queue it, and its first event was late.
func TestLimitLeavesASlotFreeWhereQuotasApply(t *testing.T) {
	for _, plans := range []bool{true, false} {
		l := newSkewedCluster()
		l.service("s").hasHeadroom = plans
		l.runWithSlowdown(1, minObservation+time.Second)
		sv := l.service("s")
		require.Less(t, sv.limit, l.engine.Slots)
		expected := float64(l.engine.Slots)
		if plans {
			expected -= slotHeadroom
		}
		require.Equal(t, expected, sv.groups["0"].limit)
	}
}

// Without quotas the queue of an engine avoids idle time between two requests, so that a slot
// left free would only be lost.
func TestLimitUsesAllSlotsWhereNoQuotasApply(t *testing.T) {
	l := newTestCluster(1, 2, 1)
	sv := l.service("s")
	sv.hasHeadroom = true
	l.Admit(l.onTimeRequest(), l.now)
	require.Equal(t, l.engine.Slots, sv.limit)
	require.Equal(t, float64(l.engine.Slots), sv.withHeadroom(float64(l.engine.Slots)))
}
