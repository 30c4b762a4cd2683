package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStallDetector(t *testing.T) {
	var p stallDetector
	at := time.Unix(1000, 0)
	look := func(step uint64, hasWork bool, after time.Duration) bool {
		at = at.Add(after)
		return p.observe(step, hasWork, false, at)
	}
	for step := uint64(1); step < 20; step++ {
		require.False(t, look(step, true, 100*time.Millisecond))
	}
	require.False(t, look(19, true, 400*time.Millisecond))
	require.True(t, look(19, true, 200*time.Millisecond), "no step for 600 ms")
	require.False(t, look(20, true, 100*time.Millisecond))
	require.False(t, look(20, false, 5*time.Second), "an idle group makes no steps")
	require.False(t, look(20, true, 100*time.Millisecond))
	for step := uint64(21); step < 40; step++ {
		look(step, true, 700*time.Millisecond)
	}
	require.False(t, look(39, true, time.Second), "a slow group is no stalled one")
	require.True(t, look(39, true, 4*time.Second))
}

// A group that holds stays stalled when its callers have left it: what is sent there again
// would wait in vain too.
func TestPausedGroupIsStalledEvenWithoutWork(t *testing.T) {
	var p stallDetector
	at := time.Unix(1000, 0)
	look := func(step uint64, hasWork, isHeld bool, after time.Duration) bool {
		at = at.Add(after)
		return p.observe(step, hasWork, isHeld, at)
	}
	for step := uint64(1); step < 20; step++ {
		require.False(t, look(step, true, false, 100*time.Millisecond))
	}
	require.True(t, look(19, true, true, time.Second))
	for range 10 {
		require.True(t, look(19, false, true, 100*time.Millisecond), "its callers have left it")
	}
	require.False(t, look(19, false, false, 100*time.Millisecond), "it is let go")
	require.False(t, look(19, false, true, 50*time.Millisecond), "a short hold of an idle group")
	require.True(t, look(19, false, true, time.Second), "a long one")
	require.False(t, look(20, true, true, 100*time.Millisecond), "it makes steps")
}
