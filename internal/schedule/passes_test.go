package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stretched lets the streams of a lab pause as long as passes with that stretch take, for
// that long. Every tenth pause is of an answer that is held up on its way.
func (l *lab) stretched(stretch float64, during time.Duration) {
	t := l.hold(l.service("s").all[0], l.now)
	defer l.End(t, Neutral, l.now)
	for end, n := l.now+during, 0; l.now < end; n++ {
		pause := time.Duration(stretch * float64(evenPass(l.engine, l.service("s").groups["0"].running)))
		if n%10 == 0 {
			pause += 300 * time.Millisecond
		}
		l.Pause(t, pause, l.now)
		l.now += 20 * time.Millisecond
		if n%5 == 0 {
			l.tell("", nil)
		}
	}
}

// newSpreadLab has one group of engines whose experts are unevenly wanted.
func newSpreadLab() *lab {
	l := newTightLab(60, 1)
	l.engine.PerRequest = time.Millisecond
	l.engine.Experts.Share = 0.85
	l.Admit(l.tight(), l.now)
	l.fill(4)
	return l
}

// Load pattern: more callers than places that bear the worst jump of popularity, at a group
// whose passes are far from that. Its ranks get as many requests as the longest passes seen
// bear; when popularity jumps, they have the usual places again at once, and for as long as
// another jump is likely.
func TestPlacesFollowThePassesSeen(t *testing.T) {
	l := newSpreadLab()
	least := float64(60 * Places(l.engine, l.tight().Gap))
	places := func() float64 { return l.State("s", l.now).Places }
	l.stretched(1.2, leastSeen-time.Second)
	require.Equal(t, least, places(), "not seen for long enough")
	l.stretched(1.2, 2*time.Second)
	usual := places()
	require.Greater(t, usual, 1.2*least)
	l.stretched(2.5, time.Second)
	require.Equal(t, least, places())
	l.stretched(1.2, peakSpan-2*time.Second)
	require.Equal(t, least, places(), "the jump is remembered")
	l.stretched(1.2, 2*time.Second)
	require.InDelta(t, usual, places(), 1)
}

// The places of a group are what its passes bear, also where that is no whole number for
// each rank: rounding down left a fifth of them empty at five a rank.
func TestPartsOfPlacesMakeWholeOnes(t *testing.T) {
	l := newSpreadLab()
	l.stretched(1.7, leastSeen+time.Second)
	s := l.service("s")
	each := s.groups["0"].places
	require.InDelta(t, 60*each, l.State("s", l.now).Places, 1)
	require.NotEqual(t, float64(int(each)), each)
}

// A pass that is as long as the gap allows at most leaves room for the way to the caller, at
// each stretch that more places are given for.
func TestPassesStayInsideTheGapAtMorePlaces(t *testing.T) {
	e, gap := newSpreadLab().engine, 110*time.Millisecond
	for stretch := 1.0; stretch < 3; stretch += 0.1 {
		n := PlacesAtStretch(e, gap, stretch)
		if n > float64(Places(e, gap)) {
			require.LessOrEqual(t, stretch*float64(evenPass(e, n)), passPart*float64(gap)+1)
		}
	}
	require.Equal(t, float64(Places(e, gap)), PlacesAtStretch(e, gap, 0))
	require.Equal(t, float64(Places(e, 0)), PlacesAtStretch(e, 0, 1.2))
}

// Passes of one group say nothing of another, whose popularity is its own.
func TestGroupsHavePlacesOfTheirOwn(t *testing.T) {
	l := newLab(2, 8, 1)
	l.engine.Slots, l.engine.PerRequest, l.engine.Experts.Share = 10, time.Millisecond, 0.85
	l.Admit(l.tight(), l.now)
	l.tell("", nil)
	l.stretched(1.2, leastSeen+time.Second)
	groups := l.service("s").groups
	require.Greater(t, groups["0"].places, groups["1"].places)
}

// BenchmarkPause takes in one pause after the other, 1,000 a second.
func BenchmarkPause(b *testing.B) {
	l := newSpreadLab()
	t := l.hold(l.service("s").all[0], l.now)
	for range b.N {
		l.now += time.Millisecond
		l.Pause(t, 60*time.Millisecond, l.now)
	}
}
