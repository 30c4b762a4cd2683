package control

import (
	"context"
	"slices"
	"strings"
	"sync"
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
	// joinTimeout bounds one change of the membership, including the time in which the new
	// replica catches up with the log.
	joinTimeout = 5 * time.Minute
	// DefaultReplicaSilenceTimeout is the time without contact after which a replica counts
	// as dead. The replica of a lost disk is not replaced earlier, so the loss of another
	// disk within this time is a second simultaneous failure.
	DefaultReplicaSilenceTimeout = 3 * time.Second
)

// joinGate allows one membership change at a time.
type joinGate struct {
	mu   sync.Mutex
	busy bool
}

func (g *joinGate) tryAcquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy {
		return false
	}
	g.busy = true
	return true
}

func (g *joinGate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy = false
}

// requestMembership asks the leader to add this replica as long as it has no vote, as after
// the host's first start or the loss of its disk. A host with a new disk is a new replica,
// which has no vote until a membership change is committed. Otherwise the replica, which
// lacks the entries that it acknowledged before, could vote to overwrite committed ones.
func (h *Host) requestMembership(ctx context.Context) {
	voter := metrics.GetOrRegisterGauge("control.voter", h.cfg.Metrics)
	for ctx.Err() == nil {
		pause.For(ctx, joinInterval)
		shouldJoin := h.shouldJoin()
		voter.Update(int64(boolToInt(h.replica.Status().Membership.IsVoter(h.id))))
		if !shouldJoin {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, clientTimeout)
		_ = h.client.Join(askCtx, &wire.Join{Host: h.cfg.Name, Replica: string(h.id), Address: h.cfg.Address})
		cancel()
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
	if s.Remote().Host != m.Host || hostOf(id) != m.Host {
		return nil, verdict.New(verdict.NotRun, verdict.CodeForbidden, "a host may join for itself only")
	}
	if !h.joins.tryAcquire() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInProgress, "another replica is joining").WithRetryAfter(joinInterval)
	}
	go func() {
		defer h.joins.release()
		ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
		defer cancel()
		if err := h.addVoter(ctx, id); err != nil {
			h.cfg.Log.Warn("replica could not join", "replica", id, "error", err)
		}
	}()
	return &wire.Ack{}, nil
}

// addVoter makes a replica a voter. It replaces a voter that the same host had on another
// disk, and removes learners that the same host had on other disks. If there are already
// Config.Voters voters, the replica becomes a learner and replaces a voter that is silent. It
// remains a learner if its data centre has enough voters.
func (h *Host) addVoter(ctx context.Context, id consensus.ReplicaID) error {
	st := h.replica.Status()
	if st.Membership.IsVoter(id) {
		return nil
	}
	h.cfg.Log.Info("replica joins", "replica", id)
	for _, old := range st.Membership.Learners {
		if old != id && hostOf(old) == hostOf(id) {
			if err := h.replica.RemoveMember(ctx, old); err != nil {
				return err
			}
		}
	}
	if old, ok := h.predecessor(st, id); ok {
		if h.hasRecentContact(st, old) {
			return verdict.New(verdict.NotRun, verdict.CodeConflict, "replica "+string(old)+" of the same host is alive")
		}
		return h.replica.ReplaceVoter(ctx, old, id)
	}
	if err := h.replica.AddLearner(ctx, id); err != nil {
		return err
	}
	if h.cfg.Voters > 0 && len(st.Membership.Voters) >= h.cfg.Voters {
		return h.replaceSilentVoter(ctx, id)
	}
	if !h.placeVoters(st, "").mayVote(id) {
		return nil
	}
	return h.replica.PromoteLearner(ctx, id)
}

// replaceSilentVoter replaces a silent voter by a learner. If no voter is silent, the
// replica remains a learner. If two or more are silent, nothing is changed, because a
// membership change that fails halfway could cost the cluster its quorum.
func (h *Host) replaceSilentVoter(ctx context.Context, id consensus.ReplicaID) error {
	var silent []consensus.ReplicaID
	st := h.replica.Status()
	for _, v := range st.Membership.Voters {
		if v != h.id && !h.hasRecentContact(st, v) {
			silent = append(silent, v)
		}
	}
	if len(silent) != 1 || !h.placeVoters(st, silent[0]).mayVote(id) {
		return nil
	}
	h.cfg.Log.Info("voter is replaced", "silent", silent[0], "by", id)
	return h.replica.ReplaceVoter(ctx, silent[0], id)
}

// predecessor returns the voter that belongs to the same host as id.
func (h *Host) predecessor(st consensus.Status, id consensus.ReplicaID) (consensus.ReplicaID, bool) {
	i := slices.IndexFunc(st.Membership.Voters, func(v consensus.ReplicaID) bool { return hostOf(v) == hostOf(id) })
	if i < 0 {
		return "", false
	}
	return st.Membership.Voters[i], true
}

// hasRecentContact reports whether this host, as the leader, received a message from a
// replica within ReplicaSilenceTimeout.
func (h *Host) hasRecentContact(st consensus.Status, id consensus.ReplicaID) bool {
	for _, p := range st.Peers {
		if p.ID == id {
			return time.Duration(p.TicksSinceContact)*h.cfg.Tick < h.cfg.ReplicaSilenceTimeout
		}
	}
	return false
}

// hostOf returns the host's name, the part of a replica ID before the slash.
func hostOf(id consensus.ReplicaID) string {
	host, _, _ := strings.Cut(string(id), "/")
	return host
}
