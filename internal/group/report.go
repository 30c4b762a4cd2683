package group

import (
	"context"
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/planner"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// reportsPerExpertList is every how many of its reports a rank lists its experts although they
// have not changed.
const reportsPerExpertList = 10

// reporter decides when this host reports, and whether it lists the experts of its ranks.
type reporter struct {
	intervals uint32

	// mu guards the fields below.
	mu               sync.Mutex
	session          *peer.Session
	version          uint64
	reportsSinceList int
}

// nextInterval tells, once an interval, whether it is the turn of the host with that first rank
// to report, and whether it is in the next interval: counting then begins anew, so that
// each report is of one interval. Counts of all intervals since the last turn would mostly
// be from before a jump of popularity when the first change after it is planned.
func (r *reporter) nextInterval(firstRank, ranks uint32) (isDue, isDueNext bool) {
	r.intervals++
	turns := (ranks + planner.ReportsAtOnce - 1) / planner.ReportsAtOnce
	if turns <= 1 {
		return true, false
	}
	position := (r.intervals + firstRank) % turns
	return position == 0, position == turns-1
}

// omitKnownExperts leaves out the lists of experts that the session's other end has.
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
		m.Ranks[i].Held = nil
	}
}

// listExpertsNext makes the next report list the experts.
func (r *reporter) listExpertsNext() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportsSinceList = 0
}

// receivedReport is what a host of the group measured, and the session by which it came; none for
// this host's own.
type receivedReport struct {
	*wire.ExpertLoad
	from *peer.Session
}

// addReport takes a report in. A host that lists no experts thinks that they are known; where
// this one has started since, or was not there yet when they came, it asks for them.
func (r *Runner) addReport(l receivedReport) {
	if !r.unpackCounts(l.ExpertLoad) {
		r.counters.unreadLoads.Inc(1)
		return
	}
	r.planner.Add(l.ExpertLoad)
	if l.from != nil && r.planner.Lacks(l.ExpertLoad) {
		_ = l.from.Post(&wire.ExpertsWanted{Group: r.cfg.Group})
	}
}

// unpackCounts reads packed counts. It reports whether they are of the group's shape.
func (r *Runner) unpackCounts(l *wire.ExpertLoad) bool {
	shape := r.cfg.Shape()
	for i := range l.Ranks {
		if l.Ranks[i].Packed == nil {
			continue
		}
		if shape == nil {
			return false
		}
		l.Ranks[i].Picks = planner.Unpack(l.Ranks[i].Packed, int(shape.Layers), int(shape.Experts))
		if l.Ranks[i].Picks == nil {
			return false
		}
	}
	return true
}

// resendExperts sends the planning host at once what it lacks: until it has the experts of all
// ranks it can't plan.
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

// resetCounts lets the ranks of this host count anew.
func (r *Runner) resetCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	for _, e := range r.cfg.Ranks {
		if _, err := e.Load(ctx); err != nil {
			r.counters.unreadLoads.Inc(1)
		}
	}
}

// sendReport sends what the ranks of this host measured to the planning host.
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

// measure reads what the ranks of this host counted since the last time.
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

// postReport sends a report, without what the other end knows and with its counts packed.
func (r *Runner) postReport(s *peer.Session, m *wire.ExpertLoad) {
	r.reporter.omitKnownExperts(s, m)
	for i := range m.Ranks {
		if m.Ranks[i].Picks != nil {
			m.Ranks[i].Packed, m.Ranks[i].Picks = planner.Pack(m.Ranks[i].Picks), nil
		}
	}
	_ = s.Post(m)
}

// planningHost returns where the first rank's host is.
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
