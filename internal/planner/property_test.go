package planner

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against a report of any rank that ends the agent which plans: its numbers come from the rank's engine.
func TestPropertyNoReportPanics(t *testing.T) { rapid.Check(t, reportProperty) }

func FuzzReports(f *testing.F) { f.Fuzz(rapid.MakeFuzz(reportProperty)) }

func reportProperty(t *rapid.T) {
	shape := &wire.GroupShape{Ranks: 2, Experts: 4, Layers: 2, SlotsPerRank: 3, MaxNewPerSet: uint32(rapid.IntRange(0, 2).Draw(t, "maxNew")), CopyUS: 1000}
	p := New(nil)
	counts := func(label string, lengths *rapid.Generator[int]) [][]uint32 {
		return rapid.Custom(func(t *rapid.T) [][]uint32 {
			out := make([][]uint32, lengths.Draw(t, "sets"))
			for set := range out {
				n := rapid.SampledFrom([]int{4, 4, 4, 4, 4, 0, 1, 5}).Draw(t, "experts")
				out[set] = rapid.SliceOfN(rapid.Uint32(), n, n).Draw(t, "counts")
			}
			return out
		}).Draw(t, label)
	}
	for range rapid.IntRange(1, 8).Draw(t, "reports") {
		l := &wire.ExpertLoad{FirstRank: rapid.SampledFrom([]uint32{0, 0, 0, 1, 1, 1, 2, 1<<32 - 1}).Draw(t, "firstRank")}
		for range rapid.SampledFrom([]int{1, 1, 1, 2, 0}).Draw(t, "ranks") {
			r := wire.RankLoad{
				Version: rapid.SampledFrom([]uint64{0, 0, 0, 1, 1<<64 - 1}).Draw(t, "version"), StepUS: rapid.Uint64().Draw(t, "step"),
				Slowdown: rapid.SampledFrom([]float64{0, 1, 1.5, -1, 1e300}).Draw(t, "slowdown"),
			}
			r.Selections = counts("selections", rapid.SampledFrom([]int{2, 2, 2, 0, 3}))
			for range rapid.SampledFrom([]int{2, 2, 2, 0, 1, 3}).Draw(t, "expertSets") {
				r.ExpertsByLayer = append(r.ExpertsByLayer, rapid.SliceOfN(rapid.SampledFrom([]uint16{0, 1, 2, 3, 4, 65535}), 0, 5).Draw(t, "experts"))
			}
			l.Ranks = append(l.Ranks, r)
		}
		p.Add(l)
		p.IsMissingExperts(l)
		if p.IsComplete(shape) {
			p.NextBySelections(shape, 1)
		}
	}
}
