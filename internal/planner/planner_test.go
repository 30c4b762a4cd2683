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
func TestChangeAfterAJumpCopiesOneExpertPerRank(t *testing.T) {
	for _, spare := range []uint32{0, 3} {
		shape := shapeOf(12, spare)
		p := New(nil)
		for r := range 12 {
			require.False(t, p.stats.isComplete(shape))
			p.Add(report(r, 12, 0, 12, 1))
		}
		require.True(t, p.stats.isComplete(shape))
		held, _ := p.stats.held()
		next, _, f := p.NextBySelections(shape, 1)
		require.True(t, f.IsWorthwhile, "spare %d", spare)
		require.Less(t, f.ImbalanceAfter, f.ImbalanceBefore)
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
		require.False(t, p.stats.isComplete(shape), "each report counts once")
	}
}

// Where passes have room, a change has to gain more: nobody waits for it.
func TestMinGainRisesWhilePassesAreFast(t *testing.T) {
	const late = 120 * time.Millisecond
	for _, c := range []struct {
		pass, late time.Duration
		least      float64
	}{
		{0, late, 1}, {late, 0, 1}, {44 * time.Millisecond, late, maxGainFactor}, {66 * time.Millisecond, late, 2.5},
		{84 * time.Millisecond, late, 1}, {late, late, 1}, {2 * late, late, 1},
	} {
		require.InDelta(t, c.least, GainFactor(c.pass, c.late), 0.001, "%v of %v", c.pass, c.late)
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

// A planner goes on from its own change without a report of each rank, and isn't taken
// back by a report that was on its way.
func TestLateReportDoesNotRevertTheMap(t *testing.T) {
	shape := shapeOf(24, 0)
	p := New(nil)
	for r := range 24 {
		p.Add(report(r, 24, 0, 1))
	}
	next, _, _ := p.NextBySelections(shape, 1)
	p.stats.setMap(7, next)
	for r := range ReportsPerInterval {
		late := report(r, 24, 0, 1)
		late.Ranks[0].Version = 3
		p.Add(late)
	}
	require.True(t, p.stats.isComplete(shape))
	held, version := p.stats.held()
	require.Equal(t, uint64(7), version)
	for set := range held {
		require.Equal(t, next.Layers[set], layerSlots(held[set], 8))
	}
}

// BenchmarkPlan plans for the shape of a group at the present sizes and the target's.
func BenchmarkPlan(b *testing.B) {
	for _, c := range []struct{ ranks, sets, experts, slots int }{{8, 6, 64, 11}, {32, 12, 128, 5}, {63, 8, 252, 5}, {129, 16, 258, 4}, {128, 58, 64, 1}} {
		b.Run(strconv.Itoa(c.ranks)+"x"+strconv.Itoa(c.sets)+"x"+strconv.Itoa(c.experts), func(b *testing.B) {
			shape := &wire.GroupShape{Ranks: uint32(c.ranks), Experts: uint32(c.experts), Layers: uint32(c.sets), SlotsPerRank: uint32(c.slots)}
			random := rand.New(rand.NewPCG(1, 2))
			p := New(nil)
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
				p.Add(&wire.ExpertLoad{FirstRank: uint32(r), Ranks: []wire.RankLoad{l}})
			}
			load := p.stats.takeMean(shape)
			for b.Loop() {
				p.load = load
				p.NextBySelections(shape, 1)
			}
		})
	}
}

// Load pattern: a new epoch, or a planning host that has started anew in one. The experts of
// all ranks are known from the map, so the first plan needs the reports of one interval, not
// one of each rank.
func TestFirstPlanNeedsReportsOfOneInterval(t *testing.T) {
	const ranks = 129
	shape := &wire.GroupShape{Ranks: ranks, Experts: 72, Layers: 4, SlotsPerRank: 8}
	first := rank.FirstMap(ranks, 8, 4, 72)
	find := func(v expertmap.Version) (expertmap.Map, bool) { return first, v == first.Version }
	p := New(nil)
	for r := range ReportsPerInterval {
		p.SyncMap(first.Version, find, shape)
		require.False(t, p.IsComplete(shape))
		l := report(r*7, ranks, 0, 1, 2)
		l.Ranks[0].Held = nil
		p.Add(l)
		require.Equal(t, r == 0, p.IsMissingExperts(l), "the rest is known from the map")
	}
	p.SyncMap(first.Version, find, shape)
	require.True(t, p.IsComplete(shape))
	_, base, f := p.NextBySelections(shape, 1)
	require.Zero(t, base)
	require.True(t, f.IsWorthwhile)
	p.SyncMap(expertmap.Version{Counter: 9}, find, shape)
	require.False(t, p.IsComplete(shape), "a map that is not known teaches nothing")
}
