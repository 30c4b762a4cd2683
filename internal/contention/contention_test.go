package contention

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPauseGrowsWithTheHostsThatAsk(t *testing.T) {
	a := NewAskers(20 * time.Millisecond)
	require.True(t, a.IsEmpty())
	for i := range 100 {
		a.Record(fmt.Sprint(i), time.Second)
		a.Record(fmt.Sprint(i), 2*time.Second)
	}
	require.Equal(t, time.Second, a.Pause(0))
	require.Equal(t, 2*time.Second, a.Pause(0.5))
	a.Sweep(2*time.Second + memory)
	require.False(t, a.IsEmpty())
	a.Sweep(2*time.Second + memory + 1)
	require.True(t, a.IsEmpty())
	require.Zero(t, a.Pause(0.5))
}
