package expertmap

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// drawMap draws a map with empty slots and experts that stand in any order.
func drawMap(t *rapid.T, name string, layers, ranks, slots int) Map {
	m := Map{SlotsPerRank: slots}
	for range layers {
		expert := rapid.OneOf(rapid.Uint16Range(0, 20), rapid.Just(uint16(1<<16-1)))
		m.Layers = append(m.Layers, rapid.SliceOfN(expert, ranks*slots, ranks*slots).Draw(t, name))
	}
	return m
}

// sets returns the experts by layer and rank, in order.
func (m Map) sets() [][]uint16 {
	var out [][]uint16
	for _, layer := range m.Layers {
		for part := range slices.Chunk(layer, m.SlotsPerRank) {
			out = append(out, slices.Sorted(slices.Values(part)))
		}
	}
	return out
}

// All ranks make the same map of a delta, with the experts that were planned.
func TestDeltaStandsForTheMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers, ranks, slots := rapid.IntRange(1, 4).Draw(t, "layers"), rapid.IntRange(1, 6).Draw(t, "ranks"), rapid.IntRange(1, 5).Draw(t, "slots")
		base, planned := drawMap(t, "base", layers, ranks, slots), drawMap(t, "next", layers, ranks, slots)
		base.Version, planned.Version = v1, v2
		next := Align(base, planned)
		require.Equal(t, planned.sets(), next.sets())
		data, err := wire.Marshal(Diff(base, next))
		require.NoError(t, err)
		var d Delta
		require.NoError(t, wire.Unmarshal(data, &d))
		got, ok := d.Apply(base)
		require.True(t, ok)
		require.Equal(t, next, got)

		other := drawMap(t, "other", layers, ranks, slots)
		if got, ok := d.Apply(other); ok {
			require.Equal(t, next.Layers, got.Layers, "another base is noticed, or makes no difference")
		}
	})
}

// Only what changes is sent, whatever order the planner lists a rank's experts in.
func TestDeltaIsAsSmallAsTheChange(t *testing.T) {
	base := Map{Version: v1, SlotsPerRank: 3, Layers: [][]uint16{{1, 2, 3, 4, 5, 6}}}
	next := Align(base, Map{Version: v2, SlotsPerRank: 3, Layers: [][]uint16{{3, 9, 1, 6, 5, 4}}})
	require.Equal(t, [][]uint16{{1, 9}}, Diff(base, next).Layers)
}

func TestDeltaNeedsOneShape(t *testing.T) {
	base := Map{Version: v1, SlotsPerRank: 2, Layers: [][]uint16{{1, 2}}}
	for _, next := range []Map{
		{SlotsPerRank: 1, Layers: [][]uint16{{1, 2}}}, {SlotsPerRank: 2}, {SlotsPerRank: 2, Layers: [][]uint16{{1, 2, 3, 4}}},
	} {
		require.Nil(t, Diff(base, next))
	}
	d := Delta{Base: v1, Version: v2, SlotsPerRank: 2, Layers: [][]uint16{{7, 1}}}
	_, ok := d.Apply(base)
	require.False(t, ok, "a slot that the map has not")
}

// Engines may have more maps loaded than a participant remembers; the one in use stays.
func TestMapInUseIsRemembered(t *testing.T) {
	r := Status{Active: Installed{Version: v1}}
	for n := range uint64(2 * mostMaps) {
		r.Maps = append(r.Maps, Map{Version: Ballot{Counter: n + 1, Coordinator: 1}, SlotsPerRank: 1})
	}
	p := NewParticipant(7, 5, Map{})
	p.remember([]Status{r})
	require.Len(t, p.maps, mostMaps)
	_, ok := p.Map(v1)
	require.True(t, ok)
}

// A participant that did not get the content of a map asks for it; nobody else gets it
// again.
func TestContentIsSentAgainOnlyToWhoLacksIt(t *testing.T) {
	w := newWorld(3, 1)
	w.newCoordinator(w.hosts[0], 10)
	base, _ := w.change(w.hosts[0])
	c := w.hosts[0].coord
	c.Start(&Proposal{Base: base, Map: Map{SlotsPerRank: 1}})
	var stages []Envelope
	for _, h := range w.hosts {
		promised := Message{Promised: &Promised{Ballot: c.Ballot(), Incarnation: 7, Ranks: []Status{{Active: Installed{Version: base}}}}}
		stages = c.Step(h.addr, promised)
	}
	require.Len(t, stages, 3)
	require.Len(t, stages[0].Message.Stage.Maps, 1)
	again := c.Tick()
	require.Len(t, again, 3)
	for _, e := range again {
		require.Empty(t, e.Message.Stage.Maps)
		require.Equal(t, []Version{c.Ballot()}, e.Message.Stage.Versions)
	}
	p := NewParticipant(7, 5, Map{})
	p.promised = c.Ballot()
	refused := p.Step(0, again[2].Message).Reply.Message
	require.Equal(t, ReasonContent, refused.Refused.Reason)
	sent := c.Step(2, refused)
	require.Len(t, sent, 1)
	require.Equal(t, Address(2), sent[0].To)
	require.True(t, p.Step(0, sent[0].Message).HasWork)
	require.Equal(t, OutcomeRunning, c.Outcome())
}

// On a busy group requests are passed on later than the coordinator waits, and many
// participants ask for content at once. Those that know the map that was planned on get
// the difference then too; the whole map is for those that can't make it of that.
func TestWhoLacksContentGetsTheDifferenceWhereItCan(t *testing.T) {
	base := Map{Version: v1, SlotsPerRank: 2, Layers: [][]uint16{{1, 2, 3, 4}}}
	c, err := NewCoordinator(Config{ID: 5, Participants: []Address{0, 1}})
	require.NoError(t, err)
	c.Start(&Proposal{Base: v1, Map: Map{SlotsPerRank: 2, Layers: [][]uint16{{1, 9, 3, 4}}}}, base)
	parts := []*Participant{NewParticipant(7, 5, Map{}), NewParticipant(8, 5, Map{})}
	for i, p := range parts {
		p.promised = c.Ballot()
		p.maps.keep(base)
		c.Step(Address(i), Message{Promised: &Promised{
			Ballot: c.Ballot(), Incarnation: p.incarnation, KnownMaps: []Version{v1}, Ranks: []Status{{Active: Installed{Version: v1}}},
		}})
	}
	again := c.Tick()
	require.Len(t, again, 2)
	sent := c.Step(0, parts[0].Step(0, again[0].Message).Reply.Message)
	require.Len(t, sent, 1)
	require.NotNil(t, sent[0].Message.Stage.Delta)
	require.Empty(t, sent[0].Message.Stage.Maps)
	require.True(t, parts[0].Step(0, sent[0].Message).HasWork)

	// The other one has a map of that version with other content.
	parts[1].maps.keep(Map{Version: v1, SlotsPerRank: 2, Layers: [][]uint16{{5, 6, 7, 8}}})
	sent = c.Step(1, parts[1].Step(0, again[1].Message).Reply.Message)
	require.NotNil(t, sent[0].Message.Stage.Delta)
	sent = c.Step(1, parts[1].Step(0, sent[0].Message).Reply.Message)
	require.Len(t, sent, 1)
	require.Len(t, sent[0].Message.Stage.Maps, 1)
	require.True(t, parts[1].Step(0, sent[0].Message).HasWork)
}

// While weights are loaded participants are asked again at longer and longer intervals; in
// the rounds in which ranks may hold, always at the same.
func TestLoadingIsAskedForLessAndLess(t *testing.T) {
	c, err := NewCoordinator(Config{ID: 5, Participants: []Address{0}, RetryTicks: 2, DeadlineTicks: 100})
	require.NoError(t, err)
	sent := func() (at []int) {
		for tick := 1; tick <= 20; tick++ {
			if len(c.Tick()) > 0 {
				at = append(at, tick)
			}
		}
		return at
	}
	c.Start(&Proposal{Base: v1, Map: Map{SlotsPerRank: 1}})
	c.Step(0, Message{Promised: &Promised{Ballot: c.Ballot(), Incarnation: 7, Ranks: []Status{{Active: Installed{Version: v1}}}}})
	require.Equal(t, []int{2, 4, 8, 16}, sent())
	c.Step(0, Message{Staged: &Staged{Ballot: c.Ballot()}})
	require.Equal(t, Arming, c.Round())
	require.Equal(t, []int{2, 4, 6, 8, 10, 12, 14, 16, 18, 20}, sent())
}

// Content that needs long on a slow link is neither asked for nor sent again before it can
// be there.
func TestNobodyIsAskedAgainWhileContentIsOnItsWay(t *testing.T) {
	c, err := NewCoordinator(Config{ID: 5, Participants: []Address{0}, RetryTicks: 2, DeadlineTicks: 10})
	require.NoError(t, err)
	c.Start(&Proposal{Map: Map{SlotsPerRank: 1}})
	require.Len(t, c.Step(0, Message{Promised: &Promised{Ballot: c.Ballot(), Ranks: []Status{{}}}}), 1)
	c.AwaitTransfer(20)
	for range 21 {
		require.Empty(t, c.Tick())
	}
	require.Len(t, c.Tick(), 1)
	for c.Outcome() == OutcomeRunning {
		c.Tick()
	}
	require.Equal(t, OutcomeTimedOut, c.Outcome())
	require.Equal(t, 30, c.ticks)
}

// A participant that has just started gets the first change of its group as a difference
// from the map that all groups begin with; one whose rule is another gets the whole.
func TestFirstChangeIsADifferenceFromTheFirstMap(t *testing.T) {
	first := Map{Version: v1, SlotsPerRank: 2, Layers: [][]uint16{{1, 2, 3, 4}}}
	other := Map{Version: v1, SlotsPerRank: 2, Layers: [][]uint16{{4, 3, 2, 1}}}
	for _, known := range []Map{first, other} {
		c, err := NewCoordinator(Config{ID: 5, Participants: []Address{0}})
		require.NoError(t, err)
		c.Start(&Proposal{Base: v1, Map: Map{SlotsPerRank: 2, Layers: [][]uint16{{1, 9, 3, 4}}}}, first)
		p := NewParticipant(7, 5, known)
		p.Step(0, Message{Promise: &Promise{Ballot: c.Ballot()}})
		promised := p.Done([]Status{{Active: Installed{Version: v1}}}, nil).Reply.Message
		sent := c.Step(0, promised)
		require.Len(t, sent, 1)
		require.NotNil(t, sent[0].Message.Stage.Delta)
		out := p.Step(0, sent[0].Message)
		if out.Reply != nil {
			require.NotEqual(t, first, known)
			sent = c.Step(0, out.Reply.Message)
			require.Len(t, sent, 1)
			require.Len(t, sent[0].Message.Stage.Maps, 1)
			out = p.Step(0, sent[0].Message)
		}
		require.True(t, out.HasWork)
		m, ok := p.Map(c.Ballot())
		require.True(t, ok)
		require.Equal(t, [][]uint16{{1, 9, 3, 4}}, m.Layers)
	}
}

// While ranks may hold, those that have not answered are asked again sooner: each message
// lost there makes all streams of the group wait.
func TestRanksThatMayHoldAreAskedAgainSooner(t *testing.T) {
	c, err := NewCoordinator(Config{ID: 5, Participants: []Address{0}, RetryTicks: 8, PausedRetryTicks: 3, DeadlineTicks: 100})
	require.NoError(t, err)
	first := func() int {
		for n := 1; ; n++ {
			if len(c.Tick()) > 0 {
				return n
			}
		}
	}
	base := Map{Version: v1, SlotsPerRank: 1, Layers: [][]uint16{{1}}}
	c.Start(&Proposal{Base: v1, Map: Map{SlotsPerRank: 1, Layers: [][]uint16{{2}}}}, base)
	require.Equal(t, 8, first())
	c.Step(0, Message{Promised: &Promised{Ballot: c.Ballot(), Ranks: []Status{{Active: Installed{Version: v1}}}}})
	require.Equal(t, 8, first())
	c.Step(0, Message{Staged: &Staged{Ballot: c.Ballot()}})
	require.Equal(t, Arming, c.Round())
	require.Equal(t, 3, first())
}

// Ranks that wait for a ballot hear of it for as long as it lasts, also once they have
// answered: they would begin recoveries of their own, each of which supersedes another.
func TestWhoHasAnsweredHearsOfTheBallotWhileOneIsMissing(t *testing.T) {
	c, err := NewCoordinator(Config{ID: 5, Participants: []Address{0, 1}, RetryTicks: 8, PausedRetryTicks: 8, KeepaliveTicks: 20})
	require.NoError(t, err)
	heard := func(ticks int) (n int) {
		for range ticks {
			for _, e := range c.Tick() {
				if e.To == 0 {
					n++
				}
			}
		}
		return n
	}
	both := func(m Message) {
		c.Step(0, m)
		c.Step(1, m)
	}
	base := Map{Version: v1, SlotsPerRank: 1, Layers: [][]uint16{{1, 2}}}
	c.Start(&Proposal{Base: v1, Map: Map{SlotsPerRank: 1, Layers: [][]uint16{{2, 1}}}}, base)
	both(Message{Promised: &Promised{Ballot: c.Ballot(), Ranks: []Status{{Active: Installed{Version: v1}}}}})
	c.Step(0, Message{Staged: &Staged{Ballot: c.Ballot()}})
	require.Zero(t, heard(40), "nobody waits while weights are loaded")
	c.Step(1, Message{Staged: &Staged{Ballot: c.Ballot()}})
	c.Step(0, Message{Armed: &Armed{Ballot: c.Ballot(), Step: c.ArmedStep()}})
	require.Equal(t, 2, heard(40), "arming")
	c.Step(1, Message{Armed: &Armed{Ballot: c.Ballot(), Step: c.ArmedStep()}})
	require.Equal(t, Committing, c.Round())
	c.Step(0, Message{Committed: &Committed{Ballot: c.Ballot()}})
	require.Equal(t, 10, heard(200), "committing goes on until all have answered")
}
