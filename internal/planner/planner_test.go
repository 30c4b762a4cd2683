package planner

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against plans from the reports of a part of the ranks, or from the same report twice.
func TestPlannerWaitsForAllRanks(t *testing.T) {
	p := New(nil)
	load := func(first uint32, ranks int) *wire.ExpertLoad {
		return &wire.ExpertLoad{FirstRank: first, Ranks: make([]wire.RankLoad, ranks)}
	}
	p.Add(load(2, 2))
	require.Nil(t, p.TakeReports(4))
	p.Add(load(0, 2))
	require.Len(t, p.TakeReports(4), 4)
	require.Nil(t, p.TakeReports(4), "each report counts once")
}

// Guards against tokens that are attributed to the wrong expert or rank, also by a report under
// a map of another shape.
func TestLoadsAreSummedByExpertAndRank(t *testing.T) {
	m := expertmap.Map{SlotsPerRank: 2, Layers: [][]uint16{{0, 1, 1, 2}}}
	reports := []wire.RankLoad{
		{StepUS: 10, Tokens: [][]uint32{{5, 7}}},
		{StepUS: 20, Tokens: [][]uint32{{3, 1}}},
	}
	tokens, byRank, times, ok := sumTokens(m, reports, 3)
	require.True(t, ok)
	require.Equal(t, []float64{5, 10, 1}, tokens[0])
	require.Equal(t, []float64{12, 4}, byRank)
	require.Equal(t, []float64{10, 20}, times)

	reports[1].Tokens = [][]uint32{{3}}
	_, _, _, ok = sumTokens(m, reports, 3)
	require.False(t, ok, "a report of another map's shape")
}

// report returns a report of rank r. The 72 experts of each of four sets are assigned to the
// ranks in turn, and the hot ones were selected more often than the others.
func report(r, ranks int, hot ...uint16) *wire.ExpertLoad {
	const sets, experts = 4, 72
	l := wire.RankLoad{Slowdown: 1}
	for range sets {
		var assigned []uint16
		for e := r % experts; e < experts; e += ranks {
			assigned = append(assigned, uint16(e))
		}
		counts := make([]uint32, experts)
		for e := range counts {
			counts[e] = 1
		}
		for _, e := range hot {
			counts[e] = 30
		}
		l.ExpertsByLayer = append(l.ExpertsByLayer, assigned)
		l.Selections = append(l.Selections, counts)
	}
	return &wire.ExpertLoad{FirstRank: uint32(r), Ranks: []wire.RankLoad{l}}
}

func shapeOf(ranks, maxNewPerSet uint32) *wire.GroupShape {
	return &wire.GroupShape{Ranks: ranks, Experts: 72, Layers: 4, SlotsPerRank: 8, MaxNewPerSet: maxNewPerSet}
}

// After a popularity shift, a change takes effect only when the slowest rank has copied its
// new experts. So a change must give each rank at most one new expert over all sets, also if
// the settings set no limit.
func TestChangeAfterAJumpCopiesOneExpertPerRank(t *testing.T) {
	for _, maxNewPerSet := range []uint32{0, 3} {
		shape := shapeOf(12, maxNewPerSet)
		p := New(nil)
		for r := range 12 {
			require.False(t, p.stats.isComplete(shape))
			p.Add(report(r, 12, 0, 12, 1))
		}
		require.True(t, p.stats.isComplete(shape))
		current, _ := p.stats.expertsBySet()
		next, _, f := p.NextBySelections(shape, 1)
		require.True(t, f.IsWorthwhile, "maxNewPerSet %d", maxNewPerSet)
		require.Less(t, f.ImbalanceAfter, f.ImbalanceBefore)
		for r := range 12 {
			added := 0
			for set, slots := range next.Layers {
				for _, e := range slots[r*8 : (r+1)*8] {
					if e != rank.NoExpert && !slices.Contains(current[set][r], e) {
						added++
					}
				}
			}
			require.LessOrEqual(t, added, 1, "rank %d", r)
		}
		require.False(t, p.stats.isComplete(shape), "each report counts once")
	}
}

// The least gain of a change must rise while forward passes are far below their time limit.
// Guards against changes that take bandwidth although nobody waits for a faster pass.
func TestMinGainRisesWhilePassesAreFast(t *testing.T) {
	const limit = 120 * time.Millisecond
	for _, c := range []struct {
		pass, limit time.Duration
		factor      float64
	}{
		{0, limit, 1}, {limit, 0, 1}, {44 * time.Millisecond, limit, maxGainFactor}, {66 * time.Millisecond, limit, 2.5},
		{84 * time.Millisecond, limit, 1}, {limit, limit, 1}, {2 * limit, limit, 1},
	} {
		require.InDelta(t, c.factor, GainFactor(c.pass, c.limit), 0.001, "%v of %v", c.pass, c.limit)
	}
	p := New(nil)
	for r := range 12 {
		p.Add(report(r, 12, 0, 1, 2, 3, 4, 5))
	}
	p.load = nil
	_, _, f := p.NextBySelections(shapeOf(12, 3), 1)
	gain := f.ImbalanceBefore - f.ImbalanceAfter
	for r := range 12 {
		p.Add(report(r, 12, 0, 1, 2, 3, 4, 5))
	}
	_, _, f = p.NextBySelections(shapeOf(12, 3), 1.01*gain/minChangeGain)
	require.False(t, f.IsWorthwhile)
}

// After its own change a planner must plan on the new map without a report of every rank. A
// report that was sent before the change must not bring back the old map.
func TestLateReportDoesNotRevertTheMap(t *testing.T) {
	shape := shapeOf(24, 0)
	p := New(nil)
	for r := range 24 {
		p.Add(report(r, 24, 0, 1))
	}
	next, _, _ := p.NextBySelections(shape, 1)
	p.stats.setMap(7, next)
	for r := range ReportsPerInterval {
		stale := report(r, 24, 0, 1)
		stale.Ranks[0].Version = 3
		p.Add(stale)
	}
	require.True(t, p.stats.isComplete(shape))
	current, version := p.stats.expertsBySet()
	require.Equal(t, uint64(7), version)
	for set := range current {
		require.Equal(t, next.Layers[set], layerSlots(current[set], 8))
	}
}

// BenchmarkPlan plans for groups of the sizes in use and of the largest size intended.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ ranks, sets, experts, slots int }{{8, 6, 64, 11}, {32, 12, 128, 5}, {63, 8, 252, 5}, {129, 16, 258, 4}, {128, 58, 64, 1}} {
		b.Run(strconv.Itoa(c.ranks)+"x"+strconv.Itoa(c.sets)+"x"+strconv.Itoa(c.experts), func(b *testing.B) {
			shape := &wire.GroupShape{Ranks: uint32(c.ranks), Experts: uint32(c.experts), Layers: uint32(c.sets), SlotsPerRank: uint32(c.slots)}
			random := rand.New(rand.NewPCG(1, 2))
			p := New(nil)
			for r := range c.ranks {
				l := wire.RankLoad{Slowdown: 1}
				for range c.sets {
					var assigned []uint16
					for s := range c.slots {
						assigned = append(assigned, uint16((r*c.slots+s)%c.experts))
					}
					counts := make([]uint32, c.experts)
					for e := range counts {
						counts[e] = uint32(random.ExpFloat64() * random.ExpFloat64() * 100)
					}
					l.ExpertsByLayer, l.Selections = append(l.ExpertsByLayer, assigned), append(l.Selections, counts)
				}
				p.Add(&wire.ExpertLoad{FirstRank: uint32(r), Ranks: []wire.RankLoad{l}})
			}
			load := p.stats.takeSample(shape).mean
			for b.Loop() {
				p.load = load
				p.NextBySelections(shape, 1)
			}
		})
	}
}

// In a new epoch of the group, or after a restart of the planning host, the first plan must need
// the reports of one interval only, since the map tells the experts of all ranks. Guards against
// a planner that waits for a report of every rank.
func TestFirstPlanNeedsReportsOfOneInterval(t *testing.T) {
	const ranks = 129
	shape := &wire.GroupShape{Ranks: ranks, Experts: 72, Layers: 4, SlotsPerRank: 8}
	first := rank.InitialMap(ranks, 8, 4, 72)
	find := func(v expertmap.Version) (expertmap.Map, bool) { return first, v == first.Version }
	p := New(nil)
	for r := range ReportsPerInterval {
		p.SyncMap(first.Version, find, shape)
		require.False(t, p.IsComplete(shape))
		l := report(r*7, ranks, 0, 1, 2)
		l.Ranks[0].ExpertsByLayer = nil
		p.Add(l)
		require.Equal(t, r == 0, p.IsMissingExperts(l), "the rest is known from the map")
	}
	p.SyncMap(first.Version, find, shape)
	require.True(t, p.IsComplete(shape))
	_, base, f := p.NextBySelections(shape, 1)
	require.Zero(t, base)
	require.True(t, f.IsWorthwhile)
	p.SyncMap(expertmap.Version{Counter: 9}, find, shape)
	require.False(t, p.IsComplete(shape), "a map with unknown content sets no experts")
}
