package group

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/planner"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Load returns the popularity of the experts as far as it is known. It must only be called
// after Run has returned.
func (r *Runner) Load() placement.Load { return r.planner.Load() }

// plan runs once per PlanInterval. It sends this host's load report, or resets the counts for
// it, if that is due. On the first rank's host it also plans the next map.
func (r *Runner) plan(ctx context.Context) {
	shape := r.cfg.Shape()
	if shape != nil {
		switch isDue, isDueNext := r.reporter.nextInterval(r.cfg.FirstRank, shape.Ranks); {
		case isDue:
			go r.sendReport(ctx)
		case isDueNext:
			go r.resetCounts(ctx)
		}
	}
	if r.address != 0 || shape == nil || r.coordinator != nil {
		return
	}
	if len(r.ranks) > 0 && r.ranks[0].HasMap() {
		r.planner.SyncMap(r.ranks[0].Active.Version, r.participant.Map, shape)
	}
	if r.planner.IsComplete(shape) {
		r.planByExpertCounts(ctx, shape)
		return
	}
	reports := r.planner.TakeReports(shape.Ranks)
	if reports == nil {
		return
	}
	current, ok := r.currentMap()
	if !ok {
		return
	}
	next, isBetter := r.planner.NextByTokens(current, reports, shape)
	if !isBetter {
		return
	}
	r.findMembers(ctx, intent{
		proposal:  &expertmap.Proposal{Base: current.Version, Map: next},
		knownMaps: []expertmap.Map{current},
	})
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// currentMap returns the map that the ranks of this host use. It returns false if a change is
// armed or the map's content is unknown.
func (r *Runner) currentMap() (expertmap.Map, bool) {
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

// planByExpertCounts plans the next map from the counts of how often requests chose each
// expert. It starts a change if the expected gain is worth the cost.
func (r *Runner) planByExpertCounts(ctx context.Context, shape *wire.GroupShape) {
	step, maxStep := r.stepTimer.mean(), r.maxStepTime()
	next, base, forecast := r.planner.NextBySelections(shape, planner.GainFactor(step, maxStep))
	if forecast.ImbalanceBefore == 0 {
		// No requests were counted.
		return
	}
	r.cfg.Log.Info("expert map planned", "group", r.cfg.Group, "base", base, "skew", forecast.ImbalanceBefore,
		"skew_after", forecast.ImbalanceAfter, "copies", forecast.Copies, "worth_it", forecast.IsWorthwhile, "distance", forecast.Distance,
		"sampling_error", forecast.SamplingError, "step_ms", milliseconds(step), "max_step_ms", milliseconds(maxStep))
	if !forecast.IsWorthwhile {
		return
	}
	r.findMembers(ctx, intent{proposal: &expertmap.Proposal{Base: rank.Ballot(base), Map: next}})
}
