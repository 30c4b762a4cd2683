package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

func TestPlacesKeepPassesInsideTheGap(t *testing.T) {
	e := &routetable.Engine{
		Slots: 12, Step: 4840 * time.Microsecond, PerRequest: 362 * time.Microsecond, Stride: 6,
		Prompt: 800, ReadRate: 74800,
		Experts: routetable.Experts{Sets: 4, Count: 72, Slots: 8, Spare: 3, Share: 0.85},
	}
	n := Places(e, 120*time.Millisecond)
	const slower = 6 * (1 - 0.85 + 0.85*worstSkew)
	pass := time.Duration(slower * float64(e.Step+time.Duration(n)*e.PerRequest))
	require.Less(t, pass, 120*time.Millisecond)
	require.Greater(t, n, 6)
	require.Equal(t, 12, Places(e, 0), "no gap, no bound")
	require.Equal(t, 6, Places(e, time.Millisecond), "half of the slots at least")
	e.Experts.Sets = 0
	require.Equal(t, 12, Places(e, 120*time.Millisecond))
	require.Less(t, FirstEvent(e, 10), 200*time.Millisecond)
}

// A slow rank gets as many requests as let it keep up with the others.
func TestSlowRankGetsFewerPlaces(t *testing.T) {
	e := &routetable.Engine{Step: 5 * time.Millisecond, PerRequest: 500 * time.Microsecond}
	for _, c := range []struct {
		slowness float64
		want     int
	}{{0, 10}, {0.9, 10}, {1, 10}, {1.25, 6}, {1.6, 2}, {2, 0}, {12, 0}} {
		require.Equal(t, c.want, PlacesAt(e, 10, c.slowness), c)
	}
	require.Equal(t, 10, PlacesAt(&routetable.Engine{}, 10, 3), "nothing is known of the engine")
}
