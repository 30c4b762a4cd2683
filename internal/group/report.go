package group

import (
	"context"
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// reportsAtOnce is how many ranks report in one interval. In larger groups the ranks
	// take turns, so that what the planning host receives and adds up does not grow with
	// the group: counts of 12 sets of 128 experts are 3 KB a rank, and 31 of them each
	// 100 ms are some 7 Mbit/s, worked out, on a link of 8.
	reportsAtOnce = 12
	// heldReports is every how many of its reports a rank lists its experts although they
	// have not changed, for a planning host that has started anew.
	heldReports = 10
)

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
// each report is of one interval. Counts of all intervals since the last turn, 0.6 s in a
// group of 63 ranks, were mostly from before a jump of popularity for half a second after
// it, and the first change after a jump was planned on them in vain.
func (r *reporter) next(firstRank, ranks uint32) (isTurn, isBefore bool) {
	r.intervals++
	turns := (ranks + reportsAtOnce - 1) / reportsAtOnce
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
	version := m.Ranks[0].Version
	if s != r.session || version != r.version || r.sent%heldReports == 0 {
		r.session, r.version, r.sent = s, version, 1
		return
	}
	r.sent++
	for i := range m.Ranks {
		m.Ranks[i].Held = nil
	}
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
	m := &wire.ExpertLoad{Group: r.cfg.Group, FirstRank: r.cfg.FirstRank}
	for _, e := range r.cfg.Ranks {
		l, err := e.Load(ctx)
		if err != nil {
			r.counters.unread.Inc(1)
			return
		}
		m.Ranks = append(m.Ranks, l)
	}
	if r.cfg.FirstRank == 0 {
		r.loads <- m
		return
	}
	members, _ := r.cfg.Members(ctx)
	for _, member := range members {
		if member.FirstRank != 0 {
			continue
		}
		if s, err := r.cfg.Pool.Get(ctx, member.Address); err == nil {
			r.watch.set(s)
			r.reporter.trim(s, m)
			_ = s.Post(m)
		}
	}
}
