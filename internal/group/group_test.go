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

// Guards against ballots that leave out some rank: that rank could be the one that has
// committed. Only members that cover each rank exactly once may run a ballot.
func TestOnlyCompleteGroupMayRunBallot(t *testing.T) {
	cases := map[string]struct {
		members    []wire.GroupMember
		isComplete bool
	}{
		"complete":        {members([2]uint32{4, 4}, [2]uint32{0, 4}), true},
		"one host":        {members([2]uint32{0, 8}), true},
		"no host":         {nil, false},
		"first missing":   {members([2]uint32{4, 4}), false},
		"last missing":    {members([2]uint32{0, 4}), false},
		"middle missing":  {members([2]uint32{0, 2}, [2]uint32{4, 4}), false},
		"a rank twice":    {members([2]uint32{0, 4}, [2]uint32{3, 5}), false},
		"a host twice":    {members([2]uint32{0, 4}, [2]uint32{0, 4}, [2]uint32{4, 4}), false},
		"too many":        {members([2]uint32{0, 4}, [2]uint32{4, 8}), false},
		"host of no rank": {members([2]uint32{0, 0}, [2]uint32{0, 8}), false},
	}
	for name, c := range cases {
		require.Equal(t, c.isComplete, CoversAllRanks(c.members, 8), name)
	}
	require.False(t, CoversAllRanks(nil, 0))
}

// Guards against an initial map without some expert: requests that choose it couldn't be
// served.
func TestInitialMapContainsEveryExpert(t *testing.T) {
	m := InitialMap(&wire.GroupShape{Ranks: 8, Experts: 64, Layers: 3, SlotsPerRank: 10})
	require.Len(t, m.Layers, 3)
	for _, layer := range m.Layers {
		require.Len(t, layer, 80)
		copies := make(map[uint16]int)
		for _, expert := range layer {
			copies[expert]++
		}
		require.Len(t, copies, 64)
	}
}

// Guards against load on the planning host that grows with the group: per interval, at most
// planner.ReportsPerInterval ranks may report, and each rank has to get its turn.
func TestRanksOfLargeGroupsReportInTurns(t *testing.T) {
	for _, ranks := range []uint32{8, 12, 32, 63, 128} {
		turns := (ranks + planner.ReportsPerInterval - 1) / planner.ReportsPerInterval
		reporters := make([]reporter, ranks)
		for range 3 {
			reported := map[int]bool{}
			for range turns {
				n := 0
				for r := range reporters {
					if isDue, _ := reporters[r].nextInterval(uint32(r), ranks); isDue {
						reported[r] = true
						n++
					}
				}
				require.LessOrEqual(t, n, planner.ReportsPerInterval)
			}
			require.Len(t, reported, int(ranks))
		}
	}
}

// Guards against reports that repeat expert lists which the planning host has: the work of that
// host would grow. A new map, another session with the planning host and every tenth report
// need a list.
func TestExpertsAreListedOncePerMap(t *testing.T) {
	var r reporter
	s := &peer.Session{}
	isListed := func(version uint64) bool {
		m := &wire.ExpertLoad{Ranks: []wire.RankLoad{{ExpertsByLayer: [][]uint16{{1}}}}}
		m.Ranks[0].Version = version
		r.omitKnownExperts(s, m)
		return m.Ranks[0].ExpertsByLayer != nil
	}
	require.True(t, isListed(1))
	require.False(t, isListed(1))
	require.True(t, isListed(2), "another map")
	s = &peer.Session{}
	require.True(t, isListed(2), "another planning host")
	n := 0
	for range 2 * reportsPerExpertList {
		if isListed(2) {
			n++
		}
	}
	require.Equal(t, 2, n, "a restarted planning host gets the list")
}

// Guards against reports with counts from before the previous interval, which may be older than
// a shift in popularity. In groups of any size, the counts have to be reset one interval before
// each report.
func TestReportCoversOneInterval(t *testing.T) {
	for _, ranks := range []uint32{8, 13, 32, 63, 128} {
		var r reporter
		// The very first report may cover a longer time, since nothing was reset before it.
		isReset := true
		for range 40 {
			isDue, isDueNext := r.nextInterval(5, ranks)
			if isDue {
				require.True(t, isReset, "%d ranks", ranks)
			}
			isReset = isDueNext || ranks <= planner.ReportsPerInterval
		}
	}
}
