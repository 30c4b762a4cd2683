package group

import (
	"context"
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/planner"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// heldReports is every how many of its reports a rank lists its experts although they
// have not changed.
const heldReports = 10

// reporter decides when this host reports, and whether it lists the experts of its ranks.
type reporter struct {
	intervals uint32

	// mu guards the fields below.
	mu      sync.Mutex
	session *peer.Session
	version uint64
	sent    int
}

// next tells, once an interval, whether it is the turn of the host with that first rank
// to report, and whether it is in the next interval: counting then begins anew, so that
// each report is of one interval. Counts of all intervals since the last turn would mostly
// be from before a jump of popularity when the first change after it is planned.
func (r *reporter) next(firstRank, ranks uint32) (isTurn, isBefore bool) {
	r.intervals++
	turns := (ranks + planner.ReportsPerInterval - 1) / planner.ReportsPerInterval
	if turns <= 1 {
		return true, false
	}
	at := (r.intervals + firstRank) % turns
	return at == 0, at == turns-1
}

// trim leaves out the lists of experts that the session's other end has.
func (r *reporter) trim(s *peer.Session, m *wire.ExpertLoad) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(m.Ranks) == 0 {
		return
	}
	version := m.Ranks[0].Version
	if s != r.session || version != r.version || r.sent%heldReports == 0 {
		r.session, r.version, r.sent = s, version, 1
		return
	}
	r.sent++
	for i := range m.Ranks {
		m.Ranks[i].ExpertsByLayer = nil
	}
}

// again makes the next report list the experts.
func (r *reporter) again() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = 0
}

// reported is what a host of the group measured, and the session by which it came; none for
// this host's own.
type reported struct {
	*wire.ExpertLoad
	from *peer.Session
}

// take takes a report in. A host that lists no experts thinks that they are known; where
// this one has started since, or was not there yet when they came, it asks for them.
func (r *Runner) take(l reported) {
	if !r.unpack(l.ExpertLoad) {
		r.counters.unread.Inc(1)
		return
	}
	r.planner.Add(l.ExpertLoad)
	if l.from != nil && r.planner.IsMissingExperts(l.ExpertLoad) {
		_ = l.from.Post(&wire.ExpertsWanted{Group: r.cfg.Group})
	}
}

// unpack reads packed counts. It reports whether they are of the group's shape.
func (r *Runner) unpack(l *wire.ExpertLoad) bool {
	shape := r.cfg.Shape()
	for i := range l.Ranks {
		if l.Ranks[i].PackedSelections == nil {
			continue
		}
		if shape == nil {
			return false
		}
		l.Ranks[i].Picks = planner.Unpack(l.Ranks[i].PackedSelections, int(shape.Layers), int(shape.Experts))
		if l.Ranks[i].Picks == nil {
			return false
		}
	}
	return true
}

// listAgain sends the planning host at once what it lacks: until it has the experts of all
// ranks it can't plan.
func (r *Runner) listAgain(s *peer.Session, m *wire.ExpertsWanted) {
	if m.Group != r.cfg.Group {
		return
	}
	r.reporter.again()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), gatherTimeout)
		defer cancel()
		if l, ok := r.measure(ctx); ok {
			r.postReport(s, l)
		}
	}()
}

// recount lets the ranks of this host count anew.
func (r *Runner) recount(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	for _, e := range r.cfg.Ranks {
		if _, err := e.Load(ctx); err != nil {
			r.counters.unread.Inc(1)
		}
	}
}

// report sends what the ranks of this host measured to the planning host.
func (r *Runner) report(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	m, ok := r.measure(ctx)
	if !ok {
		return
	}
	if r.cfg.FirstRank == 0 {
		r.loads <- reported{ExpertLoad: m}
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
			r.counters.unread.Inc(1)
			return nil, false
		}
		m.Ranks = append(m.Ranks, l)
	}
	return m, true
}

// postReport sends a report, without what the other end knows and with its counts packed.
func (r *Runner) postReport(s *peer.Session, m *wire.ExpertLoad) {
	r.reporter.trim(s, m)
	for i := range m.Ranks {
		if m.Ranks[i].Picks != nil {
			m.Ranks[i].PackedSelections, m.Ranks[i].Picks = planner.Pack(m.Ranks[i].Picks), nil
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
