package standstill

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestProcessSettlesAfterAStandstill(t *testing.T) {
	var found []time.Duration
	w := NewWatch(func(d time.Duration) { found = append(found, d) })
	now := time.Duration(0)
	for range 5 {
		now += tickInterval
		w.tick(now)
		require.Zero(t, w.unsettledFor(now))
	}
	now += 3 * time.Second
	require.Equal(t, settleTime, w.unsettledFor(now), "nothing has ticked since")
	w.tick(now)
	require.Equal(t, []time.Duration{3*time.Second - tickInterval}, found)
	require.Equal(t, settleTime, w.unsettledFor(now))
	require.Equal(t, settleTime/2, w.unsettledFor(now+settleTime/2))
	require.Zero(t, w.unsettledFor(now+settleTime))
}

// Guards against work that waits, or a standstill that is reported, although ticks are only late.
func TestLateTicksAreNoStandstill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWatch(func(time.Duration) { t.Fatal("reported") })
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "ticks") {
			late := time.Duration(rapid.Int64Range(0, int64(minStandstill)-1).Draw(t, "late"))
			now += tickInterval + late
			require.Zero(t, w.unsettledFor(now))
			w.tick(now)
		}
	})
}

func TestSettleEndsWithItsContext(t *testing.T) {
	w := NewWatch(nil)
	w.began = time.Now().Add(-time.Hour)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	w.Settle(ctx)
	require.Error(t, ctx.Err())
}

// BenchmarkSettle measures what each request pays while the process has not stood still.
func BenchmarkSettle(b *testing.B) {
	w := NewWatch(nil)
	w.began = time.Now().Add(-tickInterval)
	w.tick(tickInterval)
	for b.Loop() {
		w.lastTick.Store(int64(time.Since(w.began)))
		w.Settle(b.Context())
	}
}
