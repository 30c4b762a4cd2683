// Package planner decides on the next expert map of a group, by what its ranks measured:
// tokens by expert slot, or how often each rank's requests chose each expert.
//
// It is pure: reports, maps and times come in as arguments, and nothing is sent.
package planner

import (
	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// ReportsPerInterval is how many ranks report in one interval. In larger groups the ranks take
// turns, so that what the planning host receives and adds up does not grow with the group.
const ReportsPerInterval = 12

// loadWeight is the share of a new interval in the decayed load.
const loadWeight = 0.5

// Planner gathers what the ranks of a group measured, and plans their next map.
type Planner struct {
	// byHost holds the last report of each host, by its first rank.
	byHost map[uint32]*wire.ExpertLoad
	load   placement.Load
	// stats is for ranks that count what their own requests chose.
	stats rankStats
}

// New returns a Planner that knows the popularity load of before, nil if nothing.
func New(load placement.Load) *Planner {
	return &Planner{byHost: make(map[uint32]*wire.ExpertLoad), load: load}
}

// Load returns what is known of popularity.
func (p *Planner) Load() placement.Load { return p.load }

// IsMissingExperts reports whether a report leaves out experts that are not known here.
func (p *Planner) IsMissingExperts(l *wire.ExpertLoad) bool { return p.stats.isMissingExperts(l) }

// SyncMap takes the experts of all ranks from the map in use, where find knows its content.
func (p *Planner) SyncMap(active expertmap.Version, find func(expertmap.Version) (expertmap.Map, bool), shape *wire.GroupShape) {
	p.stats.syncMap(active, find, shape)
}

// SetMap notes the map that has come into force.
func (p *Planner) SetMap(version uint64, m expertmap.Map) { p.stats.setMap(version, m) }

// IsComplete reports whether there are picks enough for NextByPicks.
func (p *Planner) IsComplete(shape *wire.GroupShape) bool { return p.stats.isComplete(shape) }

// Add takes a report.
func (p *Planner) Add(l *wire.ExpertLoad) {
	if len(l.Ranks) > 0 && l.Ranks[0].Picks != nil {
		p.stats.add(l)
		return
	}
	p.byHost[l.FirstRank] = l
}

// TakeReports returns the reports of all ranks in order and forgets them, or nil where some
// rank has not reported since.
func (p *Planner) TakeReports(ranks uint32) []wire.RankLoad {
	var out []wire.RankLoad
	for next := uint32(0); next < ranks; {
		l := p.byHost[next]
		if l == nil || len(l.Ranks) == 0 {
			return nil
		}
		out = append(out, l.Ranks...)
		next += uint32(len(l.Ranks))
	}
	if uint32(len(out)) != ranks {
		return nil
	}
	clear(p.byHost)
	return out
}

// NextByTokens returns the map that the planner wants, and whether it is worth the change.
func (p *Planner) NextByTokens(present expertmap.Map, reports []wire.RankLoad, shape *wire.GroupShape) (expertmap.Map, bool) {
	tokens, byRank, times, ok := sumTokens(present, reports, int(shape.Experts))
	if !ok {
		return expertmap.Map{}, false
	}
	p.load = p.load.Observe(tokens, loadWeight)
	m := placement.Map{SlotsPerRank: present.SlotsPerRank, Layers: present.Layers}
	params := placement.DefaultParams()
	params.Weights = placement.Weights{Skew: shape.SkewWeight, Rebalance: shape.RebalanceWeight}
	plan := placement.MakePlan(m, p.load, placement.Slowness(times, byRank), params)
	if len(plan.Moves) == 0 {
		return expertmap.Map{}, false
	}
	out := plan.Apply(m)
	return expertmap.Map{SlotsPerRank: out.SlotsPerRank, Layers: out.Layers}, true
}

// sumTokens adds up the tokens by layer and expert, and by rank. It refuses reports that do
// not have the map's shape, as after a change between them.
func sumTokens(m expertmap.Map, reports []wire.RankLoad, experts int) (tokens placement.Load, byRank, times []float64, ok bool) {
	tokens = make(placement.Load, len(m.Layers))
	for l := range tokens {
		tokens[l] = make([]float64, experts)
	}
	byRank = make([]float64, len(reports))
	times = make([]float64, len(reports))
	for rank, rep := range reports {
		if len(rep.Tokens) != len(m.Layers) {
			return nil, nil, nil, false
		}
		times[rank] = float64(rep.StepUS)
		for l, slots := range rep.Tokens {
			if len(slots) != m.SlotsPerRank {
				return nil, nil, nil, false
			}
			for s, n := range slots {
				expert := m.Layers[l][rank*m.SlotsPerRank+s]
				tokens[l][expert] += float64(n)
				byRank[rank] += float64(n)
			}
		}
	}
	return tokens, byRank, times, true
}
