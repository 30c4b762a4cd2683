package group

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// loadWeight is the share of a new interval in the decayed load.
const loadWeight = 0.5

// planner gathers what the ranks measured.
type planner struct {
	// byHost holds the last report of each host, by its first rank.
	byHost map[uint32]*wire.ExpertLoad
	load   placement.Load
	// picks is for ranks that count what their own requests chose.
	picks picks
}

func newPlanner(load placement.Load) planner {
	return planner{byHost: make(map[uint32]*wire.ExpertLoad), load: load}
}

// Load returns what is known of popularity. It must only be called once Run has ended.
func (r *Runner) Load() placement.Load { return r.planner.load }

func (p *planner) add(l *wire.ExpertLoad) {
	if len(l.Ranks) > 0 && l.Ranks[0].Picks != nil {
		p.picks.add(l)
		return
	}
	p.byHost[l.FirstRank] = l
}

// take returns the reports of all ranks in order and forgets them, or nil where some
// rank has not reported since.
func (p *planner) take(ranks uint32) []wire.RankLoad {
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

// plan reports this host's load to the first host of the group, which plans.
func (r *Runner) plan(ctx context.Context) {
	shape := r.cfg.Shape()
	if shape != nil {
		switch isTurn, isBefore := r.reporter.next(r.cfg.FirstRank, shape.Ranks); {
		case isTurn:
			go r.report(ctx)
		case isBefore:
			go r.recount(ctx)
		}
	}
	if r.address != 0 || shape == nil || r.coordinator != nil {
		return
	}
	r.planner.picks.learn(r.ranks, r.participant.Map, shape)
	if r.planner.picks.isComplete(shape) {
		r.planByPicks(ctx, shape)
		return
	}
	reports := r.planner.take(shape.Ranks)
	if reports == nil {
		return
	}
	present, ok := r.present()
	if !ok {
		return
	}
	next, isBetter := r.planner.next(present, reports, shape)
	if !isBetter {
		return
	}
	r.gather(ctx, intent{
		proposal: &expertmap.Proposal{Base: present.Version, Map: next},
		known:    []expertmap.Map{present},
	})
}

// present returns the map that this host's ranks use, if nothing is open.
func (r *Runner) present() (expertmap.Map, bool) {
	if len(r.ranks) == 0 {
		return expertmap.Map{}, false
	}
	s := r.ranks[0]
	if !s.Joined() || s.Armed != nil {
		return expertmap.Map{}, false
	}
	for _, m := range s.Maps {
		if m.Version == s.Active.Version {
			return m, true
		}
	}
	return expertmap.Map{}, false
}

// next returns the map that the planner wants, and whether it is worth the change.
func (p *planner) next(present expertmap.Map, reports []wire.RankLoad, shape *wire.GroupShape) (expertmap.Map, bool) {
	tokens, byRank, times, ok := sum(present, reports, int(shape.Experts))
	if !ok {
		return expertmap.Map{}, false
	}
	p.load = p.load.Observe(tokens, loadWeight)
	m := placement.Map{SlotsPerRank: present.SlotsPerRank, Layers: present.Layers}
	params := placement.DefaultParams()
	params.Weights = placement.Weights{Skew: shape.SkewWeight, Rebalance: shape.RebalanceWeight}
	plan := placement.Make(m, p.load, placement.Slowness(times, byRank), params)
	if len(plan.Moves) == 0 {
		return expertmap.Map{}, false
	}
	out := plan.Apply(m)
	return expertmap.Map{SlotsPerRank: out.SlotsPerRank, Layers: out.Layers}, true
}

// sum adds up the tokens by layer and expert, and by rank. It refuses reports that do
// not have the map's shape, as after a change between them.
func sum(m expertmap.Map, reports []wire.RankLoad, experts int) (tokens placement.Load, byRank, times []float64, ok bool) {
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
