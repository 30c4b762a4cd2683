package control

import (
	"context"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// joinInterval is how often a replica without a vote asks to be added.
	joinInterval = 400 * time.Millisecond
	// joinTimeout bounds how long one replica is being added. It includes the time in which a replica that
	// is heard catches up with the log.
	joinTimeout = 5 * time.Minute
	// catchUpTime is how long a replica that is heard may take to catch up with the log until it no longer
	// keeps the others of a data centre with enough voters from voting. The users allow as much for it.
	catchUpTime = 4 * time.Second
	// learnerSilences is after how many times Config.ReplicaSilenceTimeout a silent learner is removed. If it
	// is there again, it asks to be added again.
	learnerSilences = 20
	// joinReportInterval is how often a replica that is refused logs it.
	joinReportInterval = 10 * time.Second
	// DefaultReplicaSilenceTimeout is the time without contact after which a replica counts
	// as dead. The replica of a lost disk is not replaced earlier, so the loss of another
	// disk within this time is a second simultaneous failure.
	DefaultReplicaSilenceTimeout = 3 * time.Second
)

// requestMembership asks the leader to add this replica as long as it has no vote, as after
// the host's first start or the loss of its disk. A host with a new disk is a new replica,
// which has no vote until a membership change is committed. Otherwise the replica, which
// lacks the entries that it acknowledged before, could vote to overwrite committed ones.
func (h *Host) requestMembership(ctx context.Context) {
	voter := metrics.GetOrRegisterGauge("control.voter", h.cfg.Metrics)
	joining := metrics.GetOrRegisterGauge("control.joins.running", h.cfg.Metrics)
	refusals := joinRefusals{log: h.cfg.Log, replica: h.id, refused: metrics.GetOrRegisterCounter("control.joins.refused", h.cfg.Metrics)}
	for ctx.Err() == nil {
		pause.For(ctx, joinInterval)
		shouldJoin := h.shouldJoin()
		voter.Update(int64(boolToInt(h.replica.Status().Membership.IsVoter(h.id))))
		joining.Update(int64(h.joins.count()))
		h.removeSurplusVoter(ctx)
		h.removeSilentLearners(ctx)
		if !shouldJoin {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, clientTimeout)
		err := h.client.Join(askCtx, &wire.Join{Host: h.cfg.Name, Replica: string(h.id), Address: h.cfg.Address})
		cancel()
		refusals.observe(err, time.Now())
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// shouldJoin reports whether this replica lacks a vote or has no leader. A replica that was
// replaced while it was disconnected finds no leader but still believes that it is a voter.
func (h *Host) shouldJoin() bool {
	st := h.replica.Status()
	return !st.Membership.IsVoter(h.id) || st.Leader == ""
}

// handleJoin starts to add a replica and replies before this is done.
func (h *Host) handleJoin(s *peer.Session, m *wire.Join) (wire.Message, error) {
	if err := h.requireLeader(); err != nil {
		return nil, err
	}
	id := consensus.ReplicaID(m.Replica)
	if s.Remote().Host != m.Host || s.Remote().Replica != m.Replica || hostOf(id) != m.Host {
		return nil, verdict.New(verdict.NotRun, verdict.CodeForbidden, "a host may join for itself only")
	}
	if err := h.checkPredecessor(h.replica.Status(), id); err != nil {
		return nil, err
	}
	if h.joins.isRunning(id) {
		return &wire.Ack{}, nil
	}
	ctx, release, err := h.joins.begin(id, func(other consensus.ReplicaID) bool { return h.cfg.Transport.session(other) == nil })
	if err != nil {
		return nil, err
	}
	go func() {
		defer release()
		if err := h.addMember(ctx, id); err != nil {
			h.cfg.Log.Warn("replica could not join", "replica", id, "error", err)
		}
	}()
	return &wire.Ack{}, nil
}

// addMember makes a replica a learner, waits until it has caught up, and makes it a voter if it may be one.
// It removes learners that the same host had on other disks. Replicas of several hosts may catch up at the
// same time; the voters are changed for one after the other.
func (h *Host) addMember(ctx context.Context, id consensus.ReplicaID) error {
	st := h.replica.Status()
	if st.Membership.IsVoter(id) {
		return nil
	}
	began := time.Now()
	if !st.Membership.IsLearner(id) {
		h.cfg.Log.Info("replica joins", "replica", id)
	}
	for _, old := range st.Membership.Learners {
		if old != id && hostOf(old) == hostOf(id) {
			if err := h.replica.RemoveLearner(ctx, old); err != nil {
				return err
			}
		}
	}
	if err := h.replica.AddLearner(ctx, id); err != nil {
		return err
	}
	if err := h.replica.AwaitCaughtUp(ctx, id); err != nil {
		return err
	}
	if err := h.makeVoter(ctx, id); err != nil {
		return err
	}
	if st := h.replica.Status(); st.Membership.IsVoter(id) {
		h.cfg.Log.Info("replica votes", "replica", id, "ms", time.Since(began).Milliseconds(), "voters", st.Membership.Voters)
	}
	return nil
}

// removeSilentLearners removes the learners whose hosts are gone, if this host leads. Otherwise the membership would
// grow with each host that was a learner and was replaced by another one.
func (h *Host) removeSilentLearners(ctx context.Context) {
	st := h.replica.Status()
	for _, p := range st.Peers {
		silence := time.Duration(p.TicksSinceContact) * h.cfg.Tick
		if !st.Membership.IsLearner(p.ID) || silence < learnerSilences*h.cfg.ReplicaSilenceTimeout {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, voterChangeTimeout)
		err := h.replica.RemoveLearner(ctx, p.ID)
		cancel()
		if err != nil {
			return
		}
		h.cfg.Log.Info("learner is removed", "replica", p.ID, "silent_ms", silence.Milliseconds())
	}
}

// hostOf returns the host's name, the part of a replica ID before the slash.
func hostOf(id consensus.ReplicaID) string {
	host, _, _ := strings.Cut(string(id), "/")
	return host
}
