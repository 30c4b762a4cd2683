package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStallDetector(t *testing.T) {
	var detector stallDetector
	now := time.Unix(1000, 0)
	observe := func(step uint64, hasWork bool, after time.Duration) bool {
		now = now.Add(after)
		return detector.observe(step, hasWork, false, now)
	}
	for step := uint64(1); step < 20; step++ {
		require.False(t, observe(step, true, 100*time.Millisecond))
	}
	require.False(t, observe(19, true, 400*time.Millisecond))
	require.True(t, observe(19, true, 200*time.Millisecond), "no step for 600 ms")
	require.False(t, observe(20, true, 100*time.Millisecond))
	require.False(t, observe(20, false, 5*time.Second), "an idle group is not stalled")
	require.False(t, observe(20, true, 100*time.Millisecond))
	for step := uint64(21); step < 40; step++ {
		observe(step, true, 700*time.Millisecond)
	}
	require.False(t, observe(39, true, time.Second), "a slow group is not stalled")
	require.True(t, observe(39, true, 4*time.Second))
}

// Guards against a paused group that counts as working once its callers have left. Requests sent to it
// again would wait in vain too.
func TestPausedGroupIsStalledEvenWithoutWork(t *testing.T) {
	var detector stallDetector
	now := time.Unix(1000, 0)
	observe := func(step uint64, hasWork, isPaused bool, after time.Duration) bool {
		now = now.Add(after)
		return detector.observe(step, hasWork, isPaused, now)
	}
	for step := uint64(1); step < 20; step++ {
		require.False(t, observe(step, true, false, 100*time.Millisecond))
	}
	require.True(t, observe(19, true, true, time.Second))
	for range 10 {
		require.True(t, observe(19, false, true, 100*time.Millisecond), "still stalled after its callers have left")
	}
	require.False(t, observe(19, false, false, 100*time.Millisecond), "resumed, without work")
	require.False(t, observe(19, false, true, 50*time.Millisecond), "a short pause of an idle group")
	require.True(t, observe(19, false, true, time.Second), "a long pause of an idle group")
	require.False(t, observe(20, true, true, 100*time.Millisecond), "a group that makes steps is not stalled")
}
