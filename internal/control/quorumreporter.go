package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/replica"
)

// quorumWatchInterval is how often a host looks whether it has a leader and hears the voters.
const quorumWatchInterval = 100 * time.Millisecond

// quorumReporter logs and measures what a quorumWatch observes. It may be used concurrently.
type quorumReporter struct {
	// mu guards the fields below. It comes before the locks of Transport and contacts.
	mu     sync.Mutex
	gauges *quorumGauges
	watch  *quorumWatch
}

func newQuorumReporter(cfg Config) *quorumReporter {
	electionTicks := cfg.ElectionTicks
	if electionTicks <= 0 {
		electionTicks = replica.DefaultElectionTicks
	}
	limits := newQuorumLimits(cfg.Tick, electionTicks, cfg.ReplicaSilenceTimeout)
	return &quorumReporter{gauges: newQuorumGauges(cfg.Metrics), watch: newQuorumWatch(limits, time.Now())}
}

// report observes what look returns, and returns the view of it.
func (r *quorumReporter) report(look func() quorumInput, log *slog.Logger) quorumView {
	r.mu.Lock()
	defer r.mu.Unlock()
	view, events := r.watch.observe(look())
	for _, e := range events {
		e.logTo(log)
	}
	r.gauges.update(view)
	return view
}

// observeQuorum reports whether there is a quorum and which members are heard, and returns what it has seen.
func (h *Host) observeQuorum() (st consensus.Status, view quorumView) {
	view = h.quorum.report(func() quorumInput {
		st = h.replica.Status()
		now := time.Now()
		isMember := func(id consensus.ReplicaID) bool { return st.Membership.IsVoter(id) || st.Membership.IsLearner(id) }
		contacts := h.contacts.update(h.cfg.Transport.silences(), isMember, now)
		return quorumInput{now: now, status: st, tick: h.cfg.Tick, contacts: contacts}
	}, h.cfg.Log)
	return st, view
}

// watchQuorum observes the quorum until ctx ends or the replica stops.
func (h *Host) watchQuorum(ctx context.Context) {
	for ctx.Err() == nil && !h.isStopped() {
		h.observeQuorum()
		pause.For(ctx, quorumWatchInterval)
	}
}

// isStopped reports whether the replica has stopped. Its status does not change any more then.
func (h *Host) isStopped() bool {
	select {
	case <-h.replica.Done():
		return true
	default:
		return false
	}
}
