package standstill

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against leases that look valid because the monotonic clock stood still with the machine.
func TestSuspensionIsNoticedOnce(t *testing.T) {
	boot, monotonic := time.Hour, time.Minute
	s := newSuspensions(func() (time.Duration, time.Duration) { return boot, monotonic })
	require.False(t, s.Check())
	boot, monotonic = boot+time.Second, monotonic+time.Second
	require.False(t, s.Check(), "both clocks run")
	boot += minSuspension
	require.True(t, s.Check())
	require.False(t, s.Check())
}

func TestRunningMachineIsNotSuspended(t *testing.T) {
	s := NewSuspensions()
	require.Positive(t, bootTime())
	require.Eventually(t, func() bool { return !s.Check() }, 10*time.Second, time.Millisecond)
}
