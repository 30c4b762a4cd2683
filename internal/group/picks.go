package group

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// picksWeight is the share of a new interval in the load: popularity that jumps is
	// followed within two intervals, and some hundred thousand picks in each leave
	// little noise.
	picksWeight = 0.6
	// leastStep is the part of a rank's mean load that a copied expert has to save.
	leastStep = 0.01
	// leastChange is the part of the mean load by which the most loaded ranks of all sets
	// together have to fall for a change: it costs a round of orders, and slower passes
	// while experts are copied.
	leastChange = 0.04
)

// planByPicks begins a change where the ranks' own counts show that one is worth it.
func (r *Runner) planByPicks(ctx context.Context, reports []wire.RankLoad, shape *wire.GroupShape) {
	next, base, ok := r.planner.nextByPicks(reports, shape)
	if !ok {
		return
	}
	r.gather(ctx, intent{proposal: &expertmap.Proposal{Base: rank.Ballot(base), Map: next}})
}

// nextByPicks returns the map that the planner wants, the version that it was planned
// on, and whether it is worth the change.
func (p *planner) nextByPicks(reports []wire.RankLoad, shape *wire.GroupShape) (expertmap.Map, uint64, bool) {
	tokens, base, ok := sumPicks(reports, shape)
	if !ok {
		return expertmap.Map{}, 0, false
	}
	p.load = p.load.Observe(tokens, picksWeight)
	params := placement.SetParams{
		Slots: int(shape.SlotsPerRank), Spare: int(shape.Spare), LeastGain: leastStep,
	}
	m := expertmap.Map{SlotsPerRank: params.Slots}
	gain, mean := 0.0, 0.0
	for set := range tokens {
		held := make([][]uint16, len(reports))
		for i := range reports {
			held[i] = reports[i].Held[set]
		}
		next := placement.Balance(held, p.load[set], params)
		before, after := placement.SetLoads(held, p.load[set]), placement.SetLoads(next, p.load[set])
		gain += highest(before) - highest(after)
		mean += meanOf(before)
		m.Layers = append(m.Layers, layer(next, params.Slots))
	}
	return m, base, mean > 0 && gain > leastChange*mean
}

// layer writes the ranks' experts into slots.
func layer(held [][]uint16, slots int) []uint16 {
	out := make([]uint16, 0, len(held)*slots)
	for _, list := range held {
		out = append(out, list...)
		for range slots - len(list) {
			out = append(out, rank.NoExpert)
		}
	}
	return out
}

// sumPicks adds up the ranks' counts. It refuses reports that don't have the group's
// shape or speak of different maps, as after a change between them.
func sumPicks(reports []wire.RankLoad, shape *wire.GroupShape) (placement.Load, uint64, bool) {
	tokens := make(placement.Load, shape.Layers)
	for set := range tokens {
		tokens[set] = make([]float64, shape.Experts)
	}
	for _, rep := range reports {
		if len(rep.Picks) != len(tokens) || len(rep.Held) != len(tokens) || rep.Version != reports[0].Version {
			return nil, 0, false
		}
		for set, counts := range rep.Picks {
			if len(counts) != len(tokens[set]) {
				return nil, 0, false
			}
			for e, n := range counts {
				tokens[set][e] += float64(n)
			}
		}
	}
	return tokens, reports[0].Version, true
}

func highest(v []float64) float64 {
	top := 0.0
	for _, x := range v {
		top = max(top, x)
	}
	return top
}

func meanOf(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
