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
	joinInterval = 400 * time.Millisecond
	// joinTimeout bounds one change of the membership, the catching up included.
	joinTimeout = 5 * time.Minute
	// DefaultReplicaSilenceTimeout is how lately a replica must have been heard to count as alive. It
	// also is how long the repair of a lost disk waits, and so bounds from below the
	// time in which the loss of another disk counts double.
	DefaultReplicaSilenceTimeout = 3 * time.Second
)

// joinGate lets one join run at a time.
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

// requestMembership asks to be let in for as long as this replica has no vote: after the
// first start, and after the disk was lost. A replica with another disk than before
// is a stranger to the others until a committed change lets it in, so that what it
// has forgotten can't be outvoted by it.
func (h *Host) requestMembership(ctx context.Context) {
	voter := metrics.GetOrRegisterGauge("control.voter", h.cfg.Metrics)
	for ctx.Err() == nil {
		pause.For(ctx, joinInterval)
		needs := h.shouldJoin()
		voter.Update(int64(boolToInt(h.replica.Status().Membership.IsVoter(h.id))))
		if !needs {
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

// shouldJoin reports whether this replica lacks a vote, or hears no leader: one that was
// replaced while it was cut off still believes that it votes.
func (h *Host) shouldJoin() bool {
	st := h.replica.Status()
	return !st.Membership.IsVoter(h.id) || st.Leader == ""
}

// handleJoin begins to let a replica in. The answer does not wait until it is.
func (h *Host) handleJoin(s *peer.Session, m *wire.Join) (wire.Message, error) {
	if err := h.requireLeader(); err != nil {
		return nil, err
	}
	id := consensus.ReplicaID(m.Replica)
	if s.Remote().Host != m.Host || hostOf(id) != m.Host {
		return nil, verdict.New(verdict.NotRun, verdict.CodeForbidden, "a host may join for itself only")
	}
	if !h.joins.tryAcquire() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInProgress, "another replica is joining").After(joinInterval)
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

// addVoter makes a voter of a replica. Where its host was a member with another disk,
// the new replica takes the place of the old one; learners that the host left
// behind are removed.
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
	return h.replica.PromoteLearner(ctx, id)
}

// replaceSilentVoter gives a learner the place of a voter that has fallen silent. Where none has,
// it goes on learning. Nothing is done while a second voter is silent too: the
// cluster has no margin then for a change that goes wrong half way.
func (h *Host) replaceSilentVoter(ctx context.Context, id consensus.ReplicaID) error {
	var silent []consensus.ReplicaID
	st := h.replica.Status()
	for _, v := range st.Membership.Voters {
		if v != h.id && !h.hasRecentContact(st, v) {
			silent = append(silent, v)
		}
	}
	if len(silent) != 1 {
		return nil
	}
	h.cfg.Log.Info("voter is replaced", "silent", silent[0], "by", id)
	return h.replica.ReplaceVoter(ctx, silent[0], id)
}

// predecessor returns the voter that the host of id was with another disk.
func (h *Host) predecessor(st consensus.Status, id consensus.ReplicaID) (consensus.ReplicaID, bool) {
	i := slices.IndexFunc(st.Membership.Voters, func(v consensus.ReplicaID) bool { return hostOf(v) == hostOf(id) })
	if i < 0 {
		return "", false
	}
	return st.Membership.Voters[i], true
}

func (h *Host) hasRecentContact(st consensus.Status, id consensus.ReplicaID) bool {
	for _, p := range st.Peers {
		if p.ID == id {
			return time.Duration(p.TicksSinceContact)*h.cfg.Tick < h.cfg.ReplicaSilenceTimeout
		}
	}
	return false
}

func hostOf(id consensus.ReplicaID) string {
	host, _, _ := strings.Cut(string(id), "/")
	return host
}
