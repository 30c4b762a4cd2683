package planner

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
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
