package planner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a rank that ends the planning host, and again after each start of it, by a report of an expert
// that the group does not have.
func TestReportOfAnExpertThatTheGroupLacksDoesNotEndPlanning(t *testing.T) {
	const ranks = 8
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
	const ranks = 8
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
