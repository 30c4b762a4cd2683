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
	defer l.Release(t, Neutral, l.now)
	for end, n := l.now+during, 0; l.now < end; n++ {
		pause := time.Duration(stretch * float64(evenPass(l.engine, l.service("s").groups["0"].running)))
		if n%10 == 0 {
			pause += 300 * time.Millisecond
		}
		l.RecordEventGap(t, pause, l.now)
		l.now += 20 * time.Millisecond
		if n%5 == 0 {
			l.tell("", nil)
		}
	}
}

// newSpreadLab has one group of engines whose experts are unevenly wanted.
func newSpreadLab() *lab {
	l := newTightLab(60, 1)
	l.engine.StepTimePerRequest = time.Millisecond
	l.engine.Experts.WorkShare = 0.85
	l.Admit(l.tight(), l.now)
	l.fill(4)
	return l
}

// jumping lets popularity jump each span: passes have that stretch for half a second, and
// else the usual one.
func (l *lab) jumping(stretch, usual float64, span, during time.Duration) {
	const jump = 500 * time.Millisecond
	for end := l.now + during; l.now < end; {
		l.stretched(stretch, jump)
		l.stretched(usual, span-jump)
	}
}

// Load pattern: more callers than places that bear the worst jump of popularity, at a group
// whose passes are far from that. Its ranks get as many requests as serve most callers: more
// than the fewest while popularity hardly jumps, the fewest where most streams would meet a
// jump that these bear, and at once while passes are beyond that.
func TestPlacesFollowThePassesSeen(t *testing.T) {
	l := newSpreadLab()
	least := float64(60 * ConcurrencyLimit(l.engine, l.tight().Gap))
	places := func() float64 { return l.State("s", l.now).Capacity }
	l.stretched(1.2, leastSeen-time.Second)
	require.Equal(t, least, places(), "not seen for long enough")
	l.stretched(1.2, 2*time.Second)
	usual := places()
	require.Greater(t, usual, 1.2*least)
	l.stretched(1.9, 500*time.Millisecond)
	l.stretched(1.2, 2*time.Second)
	require.Equal(t, usual, places(), "one jump in all that is remembered")
	l.stretched(2.5, time.Second)
	require.Equal(t, least, places(), "passes are beyond what any places bear")
	l.stretched(1.2, time.Second)
	require.Equal(t, usual, places(), "they were beyond it whatever the places")
	l.jumping(1.9, 1.2, 2*time.Second, peakSpan)
	require.LessOrEqual(t, places(), 1.1*least, "most streams meet a jump, which about the fewest bear")
	l.stretched(1.2, peakSpan+time.Second)
	require.InDelta(t, usual, places(), 1)
}

// Load pattern: popularity jumps so far that passes are over the gap until the map has
// followed, however few requests the ranks have. Fewer places would refuse callers and keep
// no stream on time.
func TestJumpsThatNoPlacesBearTakeNoPlaces(t *testing.T) {
	l := newSpreadLab()
	least := float64(60 * ConcurrencyLimit(l.engine, l.tight().Gap))
	l.jumping(2.6, 1.2, 2500*time.Millisecond, peakSpan)
	require.Greater(t, l.State("s", l.now).Capacity, 1.2*least)
}

// The places of a group are what its passes bear, also where that is no whole number for
// each rank: rounding down left a fifth of them empty at five a rank.
func TestPartsOfPlacesMakeWholeOnes(t *testing.T) {
	l := newSpreadLab()
	l.stretched(1.7, leastSeen+time.Second)
	s := l.service("s")
	each := s.groups["0"].places
	require.InDelta(t, 60*each, l.State("s", l.now).Capacity, 1)
	require.NotEqual(t, float64(int(each)), each)
}

// Where passes are always alike, as many places are used as keep them inside the gap, with
// room for the way to the caller.
func TestPassesStayInsideTheGapAtMorePlaces(t *testing.T) {
	for stretch := 1.0; stretch < 2; stretch += 0.1 {
		l := newSpreadLab()
		l.stretched(stretch, leastSeen+time.Second)
		e, gap, n := l.engine, l.tight().Gap, l.service("s").groups["0"].places
		if n > float64(ConcurrencyLimit(e, gap)) {
			require.LessOrEqual(t, stretch*float64(evenPass(e, n)), 1.01*passPart*float64(gap), "stretch %v", stretch)
		}
		if n < float64(e.Slots) {
			require.Greater(t, stretch*float64(evenPass(e, n+2*placeStep)), 0.99*passPart*float64(gap), "stretch %v", stretch)
		}
	}
	var unknown passes
	e := newSpreadLab().engine
	require.Equal(t, float64(ConcurrencyLimit(e, time.Second)), unknown.places(e, time.Second, time.Hour))
	require.Equal(t, float64(ConcurrencyLimit(e, 0)), unknown.places(e, 0, time.Hour))
}

// Passes of one group say nothing of another, whose popularity is its own.
func TestGroupsHavePlacesOfTheirOwn(t *testing.T) {
	l := newLab(2, 8, 1)
	l.engine.Slots, l.engine.StepTimePerRequest, l.engine.Experts.WorkShare = 10, time.Millisecond, 0.85
	l.Admit(l.tight(), l.now)
	l.tell("", nil)
	l.stretched(1.2, leastSeen+time.Second)
	groups := l.service("s").groups
	require.Greater(t, groups["0"].places, groups["1"].places)
}

// BenchmarkPlaces works the places of a group out, as at the end of each part.
func BenchmarkPlaces(b *testing.B) {
	l := newSpreadLab()
	l.jumping(1.9, 1.2, 2*time.Second, peakSpan)
	p := &l.service("s").groups["0"].passes
	for b.Loop() {
		p.chosenPart = -1
		p.places(l.engine, l.tight().Gap, l.now)
	}
}

// BenchmarkPause takes in one pause after the other, 1,000 a second.
func BenchmarkPause(b *testing.B) {
	l := newSpreadLab()
	t := l.hold(l.service("s").all[0], l.now)
	for range b.N {
		l.now += time.Millisecond
		l.RecordEventGap(t, 60*time.Millisecond, l.now)
	}
}
