package group

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
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

// reportsOf lets 12 ranks that hold the experts of each set in turn report one set of hot
// experts in each of four sets.
func reportsOf(hot ...uint16) []wire.RankLoad {
	const ranks, sets, experts = 12, 4, 72
	out := make([]wire.RankLoad, ranks)
	for r := range out {
		for range sets {
			var held []uint16
			for e := r; e < experts; e += ranks {
				held = append(held, uint16(e))
			}
			counts := make([]uint32, experts)
			for e := range counts {
				counts[e] = 1
			}
			for _, e := range hot {
				counts[e] = 30
			}
			out[r].Held = append(out[r].Held, held)
			out[r].Picks = append(out[r].Picks, counts)
		}
	}
	return out
}

// A group follows a jump of popularity when its slowest rank has copied what is new to
// it: a change asks each rank to copy one expert, whatever the number of sets. That holds
// also where the configuration bounds nothing.
func TestChangeAfterAJumpIsSoonCopied(t *testing.T) {
	for _, spare := range []uint32{0, 3} {
		shape := &wire.GroupShape{Ranks: 12, Experts: 72, Layers: 4, SlotsPerRank: 8, Spare: spare}
		reports := reportsOf(0, 12, 1)
		p := newPlanner(nil)
		next, _, f, ok := p.nextByPicks(reports, shape)
		require.True(t, ok)
		require.True(t, f.isWorth, "spare %d", spare)
		require.Less(t, f.after, f.before)
		for r := range reports {
			fresh := 0
			for set, slots := range next.Layers {
				for _, e := range slots[r*8 : (r+1)*8] {
					if e != rank.NoExpert && !slices.Contains(reports[r].Held[set], e) {
						fresh++
					}
				}
			}
			require.LessOrEqual(t, fresh, 1, "rank %d", r)
		}
	}
}
