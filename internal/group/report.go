package group

import (
	"context"
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/planner"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// reportsPerExpertList is the interval, in reports of a host, at which the experts of its ranks
// are listed although they haven't changed.
const reportsPerExpertList = 10

// reporter decides when this host sends a report and whether the report lists the experts of
// its ranks.
type reporter struct {
	intervals uint32

	// mu guards the fields below.
	mu               sync.Mutex
	session          *peer.Session
	version          uint64
	reportsSinceList int
}

// nextInterval is called once per interval. It reports whether a report of the host with the
// given first rank is due now, or in the next interval. In the latter case the counts have to
// be reset now, so each report covers one interval. If reports covered all intervals since the
// previous one, the first change after a shift in popularity would mostly be planned with
// counts from before the shift.
func (r *reporter) nextInterval(firstRank, ranks uint32) (isDue, isDueNext bool) {
	r.intervals++
	turns := (ranks + planner.ReportsPerInterval - 1) / planner.ReportsPerInterval
	if turns <= 1 {
		return true, false
	}
	position := (r.intervals + firstRank) % turns
	return position == 0, position == turns-1
}

// omitKnownExperts removes the expert lists from a report if the recipient has them.
func (r *reporter) omitKnownExperts(s *peer.Session, m *wire.ExpertLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(m.Ranks) == 0 {
		return
	}
	version := m.Ranks[0].Version
	if s != r.session || version != r.version || r.reportsSinceList%reportsPerExpertList == 0 {
		r.session, r.version, r.reportsSinceList = s, version, 1
		return
	}
	r.reportsSinceList++
	for i := range m.Ranks {
		m.Ranks[i].ExpertsByLayer = nil
	}
}

// listExpertsNext makes the next report list the experts.
func (r *reporter) listExpertsNext() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportsSinceList = 0
}

// receivedReport is a load report and the session on which it arrived; nil for a report of this
// host.
type receivedReport struct {
	*wire.ExpertLoad
	from *peer.Session
}

// addReport gives a report to the planner. A host omits the expert lists if it assumes that the
// planning host has them. If this host doesn't, because it started after they were sent, it
// requests them.
func (r *Runner) addReport(l receivedReport) {
	shape := r.cfg.Shape()
	if !r.unpackCounts(l.ExpertLoad) || shape != nil && !planner.Fits(l.ExpertLoad, shape) {
		r.counters.unreadLoads.Inc(1)
		return
	}
	r.planner.Add(l.ExpertLoad)
	if l.from != nil && r.planner.IsMissingExperts(l.ExpertLoad) {
		_ = l.from.Post(&wire.ExpertsWanted{Group: r.cfg.Group})
	}
}

// unpackCounts decodes packed counts. It returns false if they don't fit the group's shape.
func (r *Runner) unpackCounts(l *wire.ExpertLoad) bool {
	shape := r.cfg.Shape()
	for i := range l.Ranks {
		if l.Ranks[i].PackedSelections == nil {
			continue
		}
		if shape == nil {
			return false
		}
		l.Ranks[i].Selections = planner.Unpack(l.Ranks[i].PackedSelections, int(shape.Layers), int(shape.Experts))
		if l.Ranks[i].Selections == nil {
			return false
		}
	}
	return true
}

// resendExperts sends a report with the expert lists immediately. Without the experts of all
// ranks, the planning host can't plan.
func (r *Runner) resendExperts(s *peer.Session, m *wire.ExpertsWanted) {
	if m.Group != r.cfg.Group {
		return
	}
	r.reporter.listExpertsNext()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		if l, ok := r.measure(ctx); ok {
			r.postReport(s, l)
		}
	}()
}

// resetCounts starts a new count on the ranks of this host, by reading and discarding the
// current one.
func (r *Runner) resetCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	for _, e := range r.cfg.Ranks {
		if _, err := e.Load(ctx); err != nil {
			r.counters.unreadLoads.Inc(1)
		}
	}
}

// sendReport sends a report of this host's ranks to the planning host.
func (r *Runner) sendReport(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	m, ok := r.measure(ctx)
	if !ok {
		return
	}
	if r.cfg.FirstRank == 0 {
		r.loads <- receivedReport{ExpertLoad: m}
		return
	}
	address, ok := r.planningHost(ctx)
	if !ok {
		return
	}
	if s, err := r.cfg.Pool.Get(ctx, address); err == nil {
		r.watch.set(s)
		r.postReport(s, m)
	}
}

// measure reads what the ranks of this host have counted since the last call.
func (r *Runner) measure(ctx context.Context) (*wire.ExpertLoad, bool) {
	m := &wire.ExpertLoad{Group: r.cfg.Group, FirstRank: r.cfg.FirstRank}
	for _, e := range r.cfg.Ranks {
		l, err := e.Load(ctx)
		if err != nil {
			r.counters.unreadLoads.Inc(1)
			return nil, false
		}
		m.Ranks = append(m.Ranks, l)
	}
	return m, true
}

// postReport sends a report with packed counts and without the expert lists that the recipient
// has.
func (r *Runner) postReport(s *peer.Session, m *wire.ExpertLoad) {
	r.reporter.omitKnownExperts(s, m)
	for i := range m.Ranks {
		if m.Ranks[i].Selections != nil {
			m.Ranks[i].PackedSelections, m.Ranks[i].Selections = planner.Pack(m.Ranks[i].Selections), nil
		}
	}
	_ = s.Post(m)
}

// planningHost returns the address of the first rank's host.
func (r *Runner) planningHost(ctx context.Context) (string, bool) {
	if r.cfg.PlanningHost != nil {
		return r.cfg.PlanningHost(ctx)
	}
	members, _ := r.cfg.Members(ctx)
	for _, member := range members {
		if member.FirstRank == 0 {
			return member.Address, true
		}
	}
	return "", false
}
