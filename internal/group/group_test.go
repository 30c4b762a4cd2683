package group

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/planner"
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
		require.Equal(t, c.isWhole, CoversAllRanks(c.members, 8), name)
	}
	require.False(t, CoversAllRanks(nil, 0))
}

func TestFirstMapHoldsEveryExpert(t *testing.T) {
	m := InitialMap(&wire.GroupShape{Ranks: 8, Experts: 64, Layers: 3, SlotsPerRank: 10})
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

// The work of the planning host does not grow with the group: the ranks take turns, and
// nobody lists its experts again that have not changed.
func TestRanksOfLargeGroupsTakeTurns(t *testing.T) {
	for _, ranks := range []uint32{8, 12, 32, 63, 128} {
		turns := (ranks + planner.ReportsAtOnce - 1) / planner.ReportsAtOnce
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
				require.LessOrEqual(t, n, planner.ReportsAtOnce)
			}
			require.Len(t, all, int(ranks))
		}
	}
}

func TestExpertsAreListedOnceAMap(t *testing.T) {
	var r reporter
	s := &peer.Session{}
	listed := func(version uint64) bool {
		m := &wire.ExpertLoad{Ranks: []wire.RankLoad{{Held: [][]uint16{{1}}}}}
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
			isFresh = isBefore || ranks <= planner.ReportsAtOnce
		}
	}
}
