package group

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

func members(spans ...[2]uint32) []wire.GroupMember {
	var out []wire.GroupMember
	for _, s := range spans {
		out = append(out, wire.GroupMember{FirstRank: s[0], Ranks: s[1]})
	}
	return out
}

// A ballot without some rank could miss the one that has committed, so that nothing
// but a whole group may have one.
func TestOnlyAWholeGroupHasABallot(t *testing.T) {
	cases := map[string]struct {
		members []wire.GroupMember
		isWhole bool
	}{
		"whole":            {members([2]uint32{4, 4}, [2]uint32{0, 4}), true},
		"one host":         {members([2]uint32{0, 8}), true},
		"nobody":           {nil, false},
		"first missing":    {members([2]uint32{4, 4}), false},
		"last missing":     {members([2]uint32{0, 4}), false},
		"middle missing":   {members([2]uint32{0, 2}, [2]uint32{4, 4}), false},
		"a rank twice":     {members([2]uint32{0, 4}, [2]uint32{3, 5}), false},
		"a host twice":     {members([2]uint32{0, 4}, [2]uint32{0, 4}, [2]uint32{4, 4}), false},
		"too many":         {members([2]uint32{0, 4}, [2]uint32{4, 8}), false},
		"a host of nobody": {members([2]uint32{0, 0}, [2]uint32{0, 8}), false},
	}
	for name, c := range cases {
		require.Equal(t, c.isWhole, IsWhole(c.members, 8), name)
	}
	require.False(t, IsWhole(nil, 0))
}

func TestFirstMapHoldsEveryExpert(t *testing.T) {
	m := FirstMap(&wire.GroupShape{Ranks: 8, Experts: 64, Layers: 3, SlotsPerRank: 10})
	require.Len(t, m.Layers, 3)
	for _, layer := range m.Layers {
		require.Len(t, layer, 80)
		held := make(map[uint16]int)
		for _, expert := range layer {
			held[expert]++
		}
		require.Len(t, held, 64)
	}
}

func TestPlannerWaitsForAllRanks(t *testing.T) {
	p := newPlanner(nil)
	load := func(first uint32, ranks int) *wire.ExpertLoad {
		return &wire.ExpertLoad{FirstRank: first, Ranks: make([]wire.RankLoad, ranks)}
	}
	p.add(load(2, 2))
	require.Nil(t, p.take(4))
	p.add(load(0, 2))
	require.Len(t, p.take(4), 4)
	require.Nil(t, p.take(4), "each report counts once")
}

func TestLoadsAreSummedByExpertAndRank(t *testing.T) {
	m := expertmap.Map{SlotsPerRank: 2, Layers: [][]uint16{{0, 1, 1, 2}}}
	reports := []wire.RankLoad{
		{StepUS: 10, Tokens: [][]uint32{{5, 7}}},
		{StepUS: 20, Tokens: [][]uint32{{3, 1}}},
	}
	tokens, byRank, times, ok := sum(m, reports, 3)
	require.True(t, ok)
	require.Equal(t, []float64{5, 10, 1}, tokens[0])
	require.Equal(t, []float64{12, 4}, byRank)
	require.Equal(t, []float64{10, 20}, times)

	reports[1].Tokens = [][]uint32{{3}}
	_, _, _, ok = sum(m, reports, 3)
	require.False(t, ok, "a report of another map's shape")
}

// report is what rank r says that holds the experts of each of four sets in turn, where
// some of 72 experts are hot.
func report(r, ranks int, hot ...uint16) *wire.ExpertLoad {
	const sets, experts = 4, 72
	l := wire.RankLoad{Pace: 1}
	for range sets {
		var held []uint16
		for e := r % experts; e < experts; e += ranks {
			held = append(held, uint16(e))
		}
		counts := make([]uint32, experts)
		for e := range counts {
			counts[e] = 1
		}
		for _, e := range hot {
			counts[e] = 30
		}
		l.Held = append(l.Held, held)
		l.Picks = append(l.Picks, counts)
	}
	return &wire.ExpertLoad{FirstRank: uint32(r), Ranks: []wire.RankLoad{l}}
}

func shapeOf(ranks, spare uint32) *wire.GroupShape {
	return &wire.GroupShape{Ranks: ranks, Experts: 72, Layers: 4, SlotsPerRank: 8, Spare: spare}
}

// A group follows a jump of popularity when its slowest rank has copied what is new to
// it: a change asks each rank to copy one expert, whatever the number of sets. That holds
// also where the configuration bounds nothing.
func TestChangeAfterAJumpIsSoonCopied(t *testing.T) {
	for _, spare := range []uint32{0, 3} {
		shape := shapeOf(12, spare)
		p := newPlanner(nil)
		for r := range 12 {
			require.False(t, p.picks.isComplete(shape))
			p.add(report(r, 12, 0, 12, 1))
		}
		require.True(t, p.picks.isComplete(shape))
		held, _ := p.picks.held()
		next, _, f := p.nextByPicks(shape, 1)
		require.True(t, f.isWorth, "spare %d", spare)
		require.Less(t, f.after, f.before)
		for r := range 12 {
			fresh := 0
			for set, slots := range next.Layers {
				for _, e := range slots[r*8 : (r+1)*8] {
					if e != rank.NoExpert && !slices.Contains(held[set][r], e) {
						fresh++
					}
				}
			}
			require.LessOrEqual(t, fresh, 1, "rank %d", r)
		}
		require.False(t, p.picks.isComplete(shape), "each report counts once")
	}
}

// The work of the planning host does not grow with the group: the ranks take turns, and
// nobody lists its experts again that have not changed.
func TestRanksOfLargeGroupsTakeTurns(t *testing.T) {
	for _, ranks := range []uint32{8, 12, 32, 63, 128} {
		turns := (ranks + reportsAtOnce - 1) / reportsAtOnce
		reporters := make([]reporter, ranks)
		for range 3 {
			all := map[int]bool{}
			for range turns {
				n := 0
				for r := range reporters {
					if isTurn, _ := reporters[r].next(uint32(r), ranks); isTurn {
						all[r] = true
						n++
					}
				}
				require.LessOrEqual(t, n, reportsAtOnce)
			}
			require.Len(t, all, int(ranks))
		}
	}
}

func TestExpertsAreListedOnceAMap(t *testing.T) {
	var r reporter
	s := &peer.Session{}
	listed := func(version uint64) bool {
		m := report(1, 12)
		m.Ranks[0].Version = version
		r.trim(s, m)
		return m.Ranks[0].Held != nil
	}
	require.True(t, listed(1))
	require.False(t, listed(1))
	require.True(t, listed(2), "another map")
	s = &peer.Session{}
	require.True(t, listed(2), "another planning host")
	n := 0
	for range 2 * heldReports {
		if listed(2) {
			n++
		}
	}
	require.Equal(t, 2, n, "one that has started anew hears of it")
}

// Where passes have room, a change has to gain more: nobody waits for it.
func TestChangeHasToGainMoreWherePassesHaveRoom(t *testing.T) {
	const late = 120 * time.Millisecond
	for _, c := range []struct {
		pass, late time.Duration
		least      float64
	}{
		{0, late, 1}, {late, 0, 1}, {44 * time.Millisecond, late, easeChange}, {66 * time.Millisecond, late, 2.5},
		{84 * time.Millisecond, late, 1}, {late, late, 1}, {2 * late, late, 1},
	} {
		require.InDelta(t, c.least, ease(c.pass, c.late), 0.001, "%v of %v", c.pass, c.late)
	}
	p := newPlanner(nil)
	for r := range 12 {
		p.add(report(r, 12, 0, 1, 2, 3, 4, 5))
	}
	p.load = nil
	_, _, f := p.nextByPicks(shapeOf(12, 3), 1)
	gain := f.before - f.after
	for r := range 12 {
		p.add(report(r, 12, 0, 1, 2, 3, 4, 5))
	}
	_, _, f = p.nextByPicks(shapeOf(12, 3), 1.01*gain/leastChange)
	require.False(t, f.isWorth)
}

// A planner goes on from its own change without a report of each rank, and isn't taken
// back by a report that was on its way.
func TestPlannerKnowsItsOwnMap(t *testing.T) {
	shape := shapeOf(24, 0)
	p := newPlanner(nil)
	for r := range 24 {
		p.add(report(r, 24, 0, 1))
	}
	next, _, _ := p.nextByPicks(shape, 1)
	p.picks.adopt(7, next)
	for r := range reportsAtOnce {
		late := report(r, 24, 0, 1)
		late.Ranks[0].Version = 3
		p.add(late)
	}
	require.True(t, p.picks.isComplete(shape))
	held, version := p.picks.held()
	require.Equal(t, uint64(7), version)
	for set := range held {
		require.Equal(t, next.Layers[set], layer(held[set], 8))
	}
}

// BenchmarkPlan plans for the shape of a group at the present sizes and the target's.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ ranks, sets, experts, slots int }{{8, 6, 64, 11}, {32, 12, 128, 5}, {63, 8, 252, 5}, {128, 58, 64, 1}} {
		b.Run(strconv.Itoa(c.ranks)+"x"+strconv.Itoa(c.sets)+"x"+strconv.Itoa(c.experts), func(b *testing.B) {
			shape := &wire.GroupShape{Ranks: uint32(c.ranks), Experts: uint32(c.experts), Layers: uint32(c.sets), SlotsPerRank: uint32(c.slots)}
			random := rand.New(rand.NewPCG(1, 2))
			p := newPlanner(nil)
			for r := range c.ranks {
				l := wire.RankLoad{Pace: 1}
				for range c.sets {
					var held []uint16
					for s := range c.slots {
						held = append(held, uint16((r*c.slots+s)%c.experts))
					}
					counts := make([]uint32, c.experts)
					for e := range counts {
						counts[e] = uint32(random.ExpFloat64() * random.ExpFloat64() * 100)
					}
					l.Held, l.Picks = append(l.Held, held), append(l.Picks, counts)
				}
				p.add(&wire.ExpertLoad{FirstRank: uint32(r), Ranks: []wire.RankLoad{l}})
			}
			load := p.picks.take(shape)
			for b.Loop() {
				p.load = load
				p.nextByPicks(shape, 1)
			}
		})
	}
}

// A report is of one interval, whatever the number of ranks: what is older may be from
// before a jump of popularity.
func TestReportsAreOfOneInterval(t *testing.T) {
	for _, ranks := range []uint32{8, 13, 32, 63, 128} {
		var r reporter
		// The first report of all may be of more: nothing is known before it.
		isFresh := true
		for range 40 {
			isTurn, isBefore := r.next(5, ranks)
			if isTurn {
				require.True(t, isFresh, "%d ranks", ranks)
			}
			isFresh = isBefore || ranks <= reportsAtOnce
		}
	}
}
