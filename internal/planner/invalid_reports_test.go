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
