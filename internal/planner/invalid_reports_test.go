package planner

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against a rank that ends the planning host, and again after each start of it, by a report of an expert
// that the group does not have.
func TestReportOfAnExpertThatTheGroupLacksDoesNotEndPlanning(t *testing.T) {
	const ranks = 12
	shape := shapeOf(ranks, 0)
	p := New(nil)
	add := func(wrong bool) {
		for r := range ranks {
			l := report(r, ranks, 3)
			if wrong && r == 5 {
				l.Ranks[0].ExpertsByLayer[2][0] = uint16(shape.Experts)
			}
			p.Add(l)
		}
		if p.IsComplete(shape) {
			p.NextBySelections(shape, 1)
		}
	}
	require.NotPanics(t, func() { add(true) })
	p.Add(report(5, ranks, 3))
	require.True(t, p.IsComplete(shape), "the next report is right")
	require.NotPanics(t, func() { add(false) })
}

// Guards against plans that end for good after a report of a rank that the group does not have.
func TestReportOfARankThatTheGroupLacksDoesNotEndPlanning(t *testing.T) {
	const ranks = 12
	shape := shapeOf(ranks, 0)
	p := New(nil)
	for _, stray := range []uint32{ranks, 900, 1<<32 - 1} {
		l := report(5, ranks, 3)
		l.FirstRank = stray
		p.Add(l)
		for r := range ranks {
			p.Add(report(r, ranks, 3))
		}
		require.True(t, p.IsComplete(shape), "rank %d", stray)
		require.NotPanics(t, func() { p.NextBySelections(shape, 1) })
	}
}

// Guards against a planning host that ends since the map in use does not have the shape in the document, as after a
// change of the document, or since an engine states a map that no plan has made.
func TestMapOfAnotherShapeDoesNotEndPlanning(t *testing.T) {
	m := expertmap.Map{SlotsPerRank: 2, Layers: [][]uint16{{0, 1, 1, 2}}}
	reports := make([]wire.RankLoad, 3)
	for i := range reports {
		reports[i].Tokens = [][]uint32{{5, 7}}
	}
	for name, shape := range map[string]*wire.GroupShape{
		"more ranks": {Ranks: 3, Experts: 3, Layers: 1, SlotsPerRank: 2}, "fewer experts": {Ranks: 2, Experts: 2, Layers: 1, SlotsPerRank: 2},
	} {
		require.NotPanics(t, func() {
			_, isBetter := New(nil).NextByTokens(m, reports[:shape.Ranks], shape)
			require.False(t, isBetter, name)
		}, name)
	}
}

// Guards against a planning host that ends when a configuration changes the numbers of a group's experts: the load
// that it knows, from an earlier epoch of the group too, has those from before.
func TestLoadOfAnotherShapeDoesNotEndPlanning(t *testing.T) {
	const ranks = 12
	shape := shapeOf(ranks, 0)
	for _, known := range []struct{ layers, experts int }{{4, 73}, {4, 71}, {5, 72}, {3, 72}} {
		load := make(placement.Load, known.layers)
		for l := range load {
			load[l] = slices.Repeat([]float64{1}, known.experts)
		}
		p := New(load)
		for r := range ranks {
			p.Add(report(r, ranks, 3))
		}
		require.True(t, p.IsComplete(shape))
		require.NotPanics(t, func() { p.NextBySelections(shape, 1) }, known)
		require.Len(t, p.Load(), int(shape.Layers), known)
		require.Len(t, p.Load()[0], int(shape.Experts), known)
	}
}

// Guards against maps whose layers have other lengths than the group's slots, after a report of a rank that has more
// experts than slots: the agents would take the slots of one rank for those of the next one.
func TestReportOfMoreExpertsThanSlotsIsNotPlannedWith(t *testing.T) {
	const ranks = 12
	shape := shapeOf(ranks, 0)
	for more := range 12 {
		p := New(nil)
		for r := range ranks {
			l := report(r, ranks, 3)
			if r == 5 {
				l.Ranks[0].ExpertsByLayer[2] = nil
				for e := range int(shape.SlotsPerRank) + more {
					l.Ranks[0].ExpertsByLayer[2] = append(l.Ranks[0].ExpertsByLayer[2], uint16(e))
				}
			}
			p.Add(l)
		}
		require.False(t, more == 0 && !p.IsComplete(shape), "as many experts as slots")
		if !p.IsComplete(shape) {
			continue
		}
		m, _, _ := p.NextBySelections(shape, 1)
		for _, slots := range m.Layers {
			require.Len(t, slots, ranks*int(shape.SlotsPerRank), "%d experts more than slots", more)
		}
	}
}

// Guards against reports of any content, and changes of the group's shape, that end the planning host or lead to a map
// that does not have the shape of the group.
func TestPlansFromAnyReportsHaveTheGroupsShape(t *testing.T) {
	drawShape := func(rt *rapid.T) *wire.GroupShape {
		draw := func(label string) uint32 { return rapid.Uint32Range(1, 3).Draw(rt, label) }
		return &wire.GroupShape{Ranks: draw("ranks"), Experts: 2 * draw("experts"), Layers: draw("layers"), SlotsPerRank: 2 * draw("slots")}
	}
	drawLists := func(rt *rapid.T, shape *wire.GroupShape, of int, highest uint32, label string) [][]uint32 {
		layers := int(shape.Layers)
		if rapid.IntRange(0, 9).Draw(rt, label+" layers") == 0 {
			layers = rapid.IntRange(0, 4).Draw(rt, label+" other layers")
		}
		out := make([][]uint32, layers)
		for l := range out {
			length := of
			if rapid.IntRange(0, 9).Draw(rt, label+" length") == 0 {
				length = rapid.IntRange(0, 9).Draw(rt, label+" other length")
			}
			out[l] = rapid.SliceOfN(rapid.Uint32Range(0, highest), length, length).Draw(rt, label)
		}
		return out
	}
	complete := 0
	rapid.Check(t, func(rt *rapid.T) {
		shape := drawShape(rt)
		p := New(nil)
		for range rapid.IntRange(1, 20).Draw(rt, "rounds") {
			if rapid.IntRange(0, 9).Draw(rt, "new shape") == 0 {
				shape = drawShape(rt)
			}
			for r := range shape.Ranks {
				if rapid.IntRange(0, 9).Draw(rt, "other rank") == 0 {
					r = rapid.SampledFrom([]uint32{0, 1, shape.Ranks, 900, 1<<32 - 1}).Draw(rt, "rank")
				}
				l := wire.RankLoad{
					StepUS: rapid.Uint64().Draw(rt, "step"), Slowdown: rapid.Float64().Draw(rt, "slowdown"),
					Selections: drawLists(rt, shape, int(shape.Experts), 1<<32-1, "selections"),
				}
				highest := shape.Experts - 1
				if rapid.IntRange(0, 9).Draw(rt, "other experts") == 0 {
					highest = 1<<16 - 1
				}
				for _, list := range drawLists(rt, shape, int(shape.SlotsPerRank), highest, "experts") {
					var experts []uint16
					for _, e := range list {
						experts = append(experts, uint16(e))
					}
					l.ExpertsByLayer = append(l.ExpertsByLayer, experts)
				}
				if rapid.IntRange(0, 4).Draw(rt, "tokens") == 0 {
					l.Tokens, l.Selections = drawLists(rt, shape, int(shape.SlotsPerRank), 1000, "tokens"), nil
				}
				p.Add(&wire.ExpertLoad{FirstRank: r, Ranks: []wire.RankLoad{l}})
			}
			requireShape := func(m expertmap.Map) {
				require.Len(rt, m.Layers, int(shape.Layers))
				for _, slots := range m.Layers {
					require.Len(rt, slots, int(shape.Ranks*shape.SlotsPerRank))
				}
			}
			if p.IsComplete(shape) {
				complete++
				m, _, _ := p.NextBySelections(shape, 1)
				requireShape(m)
			}
			if reports := p.TakeReports(shape.Ranks); reports != nil {
				m := rank.InitialMap(int(shape.Ranks), int(shape.SlotsPerRank), int(shape.Layers), int(shape.Experts))
				if next, isBetter := p.NextByTokens(m, reports, shape); isBetter {
					requireShape(next)
				}
			}
		}
	})
	require.Positive(t, complete, "no case was planned with")
}
