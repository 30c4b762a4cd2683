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

// Guards against shares that hosts save up, so that a burst at all of them uses them at once, and
// against hosts that use their shares at the same time.
func TestShareOfColdUpstreamIsNotKept(t *testing.T) {
	const hosts, now = 10, time.Minute
	limit := ColdLimit(17, 30.5)
	period := time.Duration(hosts / limit.ShareRate * float64(time.Second))
	a := NewLimitedAllowance(limit)
	a.AskFor(1, now)
	a.Unanswered(hosts, 0.5, now)
	first := now + period/2
	require.False(t, a.CanSend(first-time.Millisecond))
	require.InDelta(t, now+shareTime, a.NextAt(now), 0, "it may ask again before")
	for _, at := range []time.Duration{first, first + coldTokenLifetime, first + 10*period} {
		require.True(t, a.CanSend(at), at)
	}
	for _, at := range []time.Duration{first + 10*period + coldTokenLifetime + 1, first + 11*period - 1} {
		require.False(t, a.CanSend(at), at)
	}
	until, ok := a.Take(first + 20*period)
	require.True(t, ok)
	require.InDelta(t, first+20*period+coldTokenLifetime, until, 100)
	_, ok = a.Take(first + 20*period + 1)
	require.False(t, ok, "one request in a period")
	a.AskFor(1, first+20*period)
	a.Granted(nil, 0, first+20*period)
	a.AskFor(1, first+20*period)
	a.Unanswered(hosts, 0, first+20*period)
	require.False(t, a.CanSend(first+20*period+coldTokenLifetime), "a host can't use its share again by asking again")
}

// Guards against a token that is used long after its time because the answer took long to arrive,
// and against an answer to a request from before the upstream became cold.
func TestTokenOfColdUpstreamEndsByItsRequest(t *testing.T) {
	a := NewLimitedAllowance(ColdLimit(17, 30.5))
	a.Granted([]time.Duration{0}, 0, 0)
	require.Zero(t, a.Outstanding(0), "it has asked for none")
	a.AskFor(2, 0)
	require.Equal(t, 2, a.Outstanding(0))
	const transit = 150 * time.Millisecond
	a.Granted([]time.Duration{0, 100 * time.Millisecond}, 0, transit)
	until, ok := a.Take(transit)
	require.True(t, ok)
	require.Equal(t, coldTokenLifetime, until)
	require.False(t, a.CanSend(transit+99*time.Millisecond))
	require.True(t, a.CanSend(transit+100*time.Millisecond))
	require.False(t, a.CanSend(coldTokenLifetime+100*time.Millisecond+1))
	a.AskFor(1, time.Second)
	a.Granted([]time.Duration{0}, 0, time.Second+coldTokenLifetime+1)
	require.False(t, a.CanSend(time.Second+coldTokenLifetime+1))
}
