package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// voterChangeTimeout bounds a change of the voters once the new one has caught up. It takes a few round trips
// and syncs; a replica that fails in that time asks again.
const voterChangeTimeout = 3 * time.Second

// makeVoter makes a learner that has caught up a voter. It replaces a voter that the same host had on
// another disk. If there are already Config.Voters voters, it replaces one that is silent, or one in a data
// centre with too many voters. The replica remains a learner if there is none, or if its data centre has
// enough voters.
func (h *Host) makeVoter(ctx context.Context, id consensus.ReplicaID) error {
	ctx, release, err := h.beginVoterChange(ctx)
	if err != nil {
		return err
	}
	defer release()
	st := h.replica.Status()
	if err := h.checkPredecessor(st, id); err != nil {
		return err
	}
	if old, ok := h.predecessor(st, id); ok {
		return h.replica.ReplaceVoter(ctx, old, id)
	}
	placement := h.placeVoters(st, "")
	if n := len(st.Membership.Voters); h.cfg.Voters == 0 || n < h.cfg.Voters {
		if !placement.mayVote(id) {
			return nil
		}
		return h.replica.PromoteLearner(ctx, id)
	} else if n > h.cfg.Voters {
		return nil
	}
	if silent := h.replaceable(st, id); silent != "" {
		h.cfg.Log.Info("voter is replaced", "silent", silent, "by", id)
		return h.replica.ReplaceVoter(ctx, silent, id)
	}
	if !placement.improves(id) {
		return nil
	}
	h.cfg.Log.Info("replica votes in place of one in a data centre with too many voters", "replica", id)
	return h.replica.PromoteLearner(ctx, id)
}

// beginVoterChange waits until no other change of the voters is in progress. The returned context bounds
// this one, and release ends it.
func (h *Host) beginVoterChange(ctx context.Context) (changeCtx context.Context, release func(), err error) {
	select {
	case h.voterChange <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, errors.Wrap(ctx.Err(), "wait for another change of the voters")
	}
	changeCtx, cancel := context.WithTimeout(ctx, voterChangeTimeout)
	return changeCtx, func() { cancel(); <-h.voterChange }, nil
}

// removeSurplusVoter makes a voter a learner if this host leads and there are more than Config.Voters. With an
// even number of voters, that does not lower how many losses the quorum bears.
func (h *Host) removeSurplusVoter(ctx context.Context) {
	st := h.replica.Status()
	if h.cfg.Voters == 0 || st.Role != consensus.Leader || len(st.Membership.Voters) <= h.cfg.Voters {
		return
	}
	ctx, release, err := h.beginVoterChange(ctx)
	if err != nil {
		return
	}
	defer release()
	st = h.replica.Status()
	id := h.placeVoters(st, "").surplus(h.id, h.silentVoters(st))
	if id == "" {
		return
	}
	if err := h.replica.DemoteVoter(ctx, id); err != nil {
		h.cfg.Log.Warn("voter could not be made a learner", "replica", id, "error", err)
		return
	}
	h.cfg.Log.Info("voter becomes a learner", "replica", id)
}

// checkPredecessor returns an error if the same host has another voter that was heard recently.
func (h *Host) checkPredecessor(st consensus.Status, id consensus.ReplicaID) error {
	old, ok := h.predecessor(st, id)
	if !ok || old == id || !h.hasRecentContact(st, old) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeConflict, "replica "+string(old)+" of the same host is alive").WithRetryAfter(joinInterval)
}

// replaceable returns the voter that a learner should replace, the one that has been silent for longest among
// those whose place the learner may take; empty if there is none.
//
// Several voters may be silent. Each is replaced by another learner, one after the other, and no step lowers
// how many further losses the quorum bears: without a silent voter, the same voters are heard and the majority
// is not larger, and the learner is heard. A leader without a majority can't commit a change.
func (h *Host) replaceable(st consensus.Status, id consensus.ReplicaID) consensus.ReplicaID {
	for _, silent := range h.silentVoters(st) {
		if h.placeVoters(st, silent).mayVote(id) {
			return silent
		}
	}
	return ""
}

// silentVoters returns the voters that this host, as the leader, has not heard within ReplicaSilenceTimeout,
// the one that has been silent for longest first.
func (h *Host) silentVoters(st consensus.Status) []consensus.ReplicaID {
	silences := make(map[consensus.ReplicaID]int)
	var silent []consensus.ReplicaID
	for _, p := range st.Peers {
		if st.Membership.IsVoter(p.ID) && !h.hasRecentContact(st, p.ID) {
			silent = append(silent, p.ID)
			silences[p.ID] = p.TicksSinceContact
		}
	}
	slices.SortStableFunc(silent, func(a, b consensus.ReplicaID) int { return cmp.Compare(silences[b], silences[a]) })
	return silent
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
