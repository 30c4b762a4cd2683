// Package planner plans the next expert map of a group from the measurements of its ranks:
// tokens by expert slot, or how often the requests of each rank selected each expert.
//
// It does no I/O and reads no clock: reports, maps and times are arguments.
package planner

import (
	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// ReportsPerInterval is how many ranks report in one interval. In larger groups the ranks take
// turns, so the work of the planning host does not grow with the group.
const ReportsPerInterval = 12

// loadWeight is the weight of a new interval in the moving average of the load.
const loadWeight = 0.5

// Planner collects the measurements of a group's ranks and plans the next expert map.
type Planner struct {
	// byHost holds the last report of each host, by the host's first rank.
	byHost map[uint32]*wire.ExpertLoad
	load   placement.Load
	// loadError is the sampling error of load, see sample.
	loadError float64
	// stats is used if ranks count the experts that their own requests selected.
	stats rankStats
}

// New returns a Planner that starts with the load of an earlier Planner, or nil.
func New(load placement.Load) *Planner {
	return &Planner{byHost: make(map[uint32]*wire.ExpertLoad), load: load}
}

// Load returns the current load by expert.
func (p *Planner) Load() placement.Load { return p.load }

// IsMissingExperts reports whether a report omits the experts of a rank although the Planner
// does not know them.
func (p *Planner) IsMissingExperts(l *wire.ExpertLoad) bool { return p.stats.isMissingExperts(l) }

// SyncMap sets the experts of all ranks from the map in use, if find returns its content.
func (p *Planner) SyncMap(active expertmap.Version, find func(expertmap.Version) (expertmap.Map, bool), shape *wire.GroupShape) {
	p.stats.syncMap(active, find, shape)
}

// SetMap sets the experts of all ranks from a map that has taken effect.
func (p *Planner) SetMap(version uint64, m expertmap.Map) { p.stats.setMap(version, m) }

// IsComplete reports whether there is enough data for NextBySelections.
func (p *Planner) IsComplete(shape *wire.GroupShape) bool { return p.stats.isComplete(shape) }

// Fits reports whether a report is of ranks of the group, and names only experts that it has. What ranks report
// comes from their engines.
func Fits(l *wire.ExpertLoad, shape *wire.GroupShape) bool {
	if uint64(l.FirstRank)+uint64(len(l.Ranks)) > uint64(shape.Ranks) {
		return false
	}
	for i := range l.Ranks {
		var s rankStat
		if s.setExperts(0, l.Ranks[i].ExpertsByLayer); s.expertsBySet != nil && !s.fits(shape) {
			return false
		}
	}
	return true
}

// Add stores a report of one or more ranks.
func (p *Planner) Add(l *wire.ExpertLoad) {
	if len(l.Ranks) > 0 && l.Ranks[0].Selections != nil {
		p.stats.add(l)
		return
	}
	p.byHost[l.FirstRank] = l
}

// TakeReports returns the token reports of all ranks in order and removes them. It returns nil
// if a rank has not reported since the last call.
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

// NextByTokens plans the next map from token counts by slot. It returns the map, and whether
// there is one that is worth the change.
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

// sumTokens adds up the tokens by layer and expert, and by rank. It returns false if a report
// does not have the shape of the map, as happens if the map has changed between reports, or the map has other ranks or
// experts than the group.
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
			if len(slots) != m.SlotsPerRank || len(m.Layers[l]) != len(reports)*m.SlotsPerRank {
				return nil, nil, nil, false
			}
			for s, n := range slots {
				expert := int(m.Layers[l][rank*m.SlotsPerRank+s])
				if expert >= experts {
					return nil, nil, nil, false
				}
				tokens[l][expert] += float64(n)
				byRank[rank] += float64(n)
			}
		}
	}
	return tokens, byRank, times, true
}
