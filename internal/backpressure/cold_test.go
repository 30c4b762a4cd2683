package backpressure

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cold upstream that is taken for warm, and against one that stays cold after it
// has said that it is not.
func TestColdUntil(t *testing.T) {
	const duration, margin, now = 3 * time.Second, 250 * time.Millisecond, 100 * time.Second
	for name, c := range map[string]struct {
		cold  ColdTime
		until time.Duration
	}{
		"not cold by its announcement": {ColdTime{StatedAt: now}, 0},
		"cold by its announcement":     {ColdTime{StatedAt: now, StatedUntil: now + time.Second}, now + time.Second + margin},
		"unknown":                      {ColdTime{StatedAt: now, IsUnknown: true}, now + duration},
		"cold by a response":           {ColdTime{StatedAt: now, ObservedUntil: now + 2*time.Second}, now + 2*time.Second},
		"after an evacuation":          {ColdTime{StatedAt: now - 1, EvacuatedUntil: now}, now + duration},
		"announced after an evacuation": {
			ColdTime{StatedAt: now + 1, EvacuatedUntil: now}, 0,
		},
		"announced after an evacuation, without a cold time": {
			ColdTime{StatedAt: now + 1, EvacuatedUntil: now, IsUnknown: true}, now + 1 + duration,
		},
		"announced as cold after an evacuation": {
			ColdTime{StatedAt: now + 1, StatedUntil: now + 5, EvacuatedUntil: now}, now + 5 + margin,
		},
	} {
		require.Equal(t, c.until, c.cold.Until(duration, margin), name)
	}
}

// Guards against tokens and shares that exceed the bound together, for any bound.
func TestColdLimitLeavesRoomForShares(t *testing.T) {
	for _, b := range []ColdBound{{1.5, 5}, {1, 0}, {0, 0}, {2, 1}, {1, 100}} {
		for _, tolerated := range []float64{0.5, 1, 2, 4, 17, 50, 400} {
			l, bound := ColdLimit(tolerated, b.Max(tolerated)), b.Max(tolerated)
			require.LessOrEqual(t, l.Rate, max(tolerated, MinRate))
			require.Positive(t, l.Rate)
			require.LessOrEqual(t, l.Rate+l.ShareRate, max(bound, MinRate))
			require.GreaterOrEqual(t, l.ShareRate, 0.0)
		}
	}
	l := ColdLimit(17, ColdBound{Factor: 1.5, Extra: 5}.Max(17))
	require.Equal(t, 17.0, l.Rate, "the tolerated rate is handed out")
	require.InDelta(t, 2.1, l.ShareRate, 0.2)
	require.Equal(t, Limit{Rate: 1, ShareRate: 1, IsCold: true}, l.Lower(1))
}
