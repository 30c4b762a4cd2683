package group

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/planner"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Load returns what is known of popularity. It must only be called once Run has ended.
func (r *Runner) Load() placement.Load { return r.planner.Load() }

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
	if len(r.ranks) > 0 && r.ranks[0].HasMap() {
		r.planner.SyncMap(r.ranks[0].Active.Version, r.participant.Map, shape)
	}
	if r.planner.IsComplete(shape) {
		r.planByPicks(ctx, shape)
		return
	}
	reports := r.planner.TakeReports(shape.Ranks)
	if reports == nil {
		return
	}
	present, ok := r.present()
	if !ok {
		return
	}
	next, isBetter := r.planner.NextByTokens(present, reports, shape)
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
	if !s.HasMap() || s.Armed != nil {
		return expertmap.Map{}, false
	}
	for _, m := range s.Maps {
		if m.Version == s.Active.Version {
			return m, true
		}
	}
	return expertmap.Map{}, false
}

// planByPicks begins a change where the ranks' own counts show that one is worth it.
func (r *Runner) planByPicks(ctx context.Context, shape *wire.GroupShape) {
	next, base, forecast := r.planner.NextBySelections(shape, planner.GainFactor(r.pace.mean(), r.lateStep()))
	if forecast.ImbalanceBefore == 0 {
		// Nothing was counted.
		return
	}
	r.cfg.Log.Info("expert map planned", "group", r.cfg.Group, "base", base, "skew", forecast.ImbalanceBefore,
		"skew_after", forecast.ImbalanceAfter, "copies", forecast.Copies, "worth_it", forecast.IsWorthwhile, "distance", forecast.Distance)
	if !forecast.IsWorthwhile {
		return
	}
	r.gather(ctx, intent{proposal: &expertmap.Proposal{Base: rank.Ballot(base), Map: next}})
}
