package group

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
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
