package replica

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// maxCatchUpLagEntries is how many entries a learner may lag behind the commit index when
// it becomes a voter.
const maxCatchUpLagEntries = 256

// Bootstrap starts the election of the first leader among m.Voters, which must include this
// replica. It fails with CodeConflict if this replica has a log, a membership or a leader.
// The caller must make sure that no other replica has one.
func (r *Replica) Bootstrap(ctx context.Context, m consensus.Membership) error {
	var err error
	if loopErr := r.runOnLoop(ctx, func() { err = r.core.Bootstrap(m) }); loopErr != nil {
		return loopErr
	}
	if err != nil {
		return r.refusalError(err)
	}
	return nil
}

// AddLearner makes id receive the log without a vote. It does nothing if id is a member
// already. Its errors are those of Propose.
func (r *Replica) AddLearner(ctx context.Context, id consensus.ReplicaID) error {
	return r.changeMembership(ctx, func(m consensus.Membership) (consensus.Membership, bool) {
		if m.IsVoter(id) || m.IsLearner(id) {
			return m, false
		}
		m.Learners = append(m.Learners, id)
		return m, true
	})
}

// PromoteLearner waits until a learner has caught up with the log, and then makes it a
// voter.
func (r *Replica) PromoteLearner(ctx context.Context, id consensus.ReplicaID) error {
	if err := r.AwaitCaughtUp(ctx, id); err != nil {
		return err
	}
	return r.changeMembership(ctx, func(m consensus.Membership) (consensus.Membership, bool) {
		if !m.IsLearner(id) {
			return m, false
		}
		m.Learners = withoutID(m.Learners, id)
		m.Voters = append(m.Voters, id)
		return m, true
	})
}

// DemoteVoter makes a voter a learner. It does nothing if id is no voter.
func (r *Replica) DemoteVoter(ctx context.Context, id consensus.ReplicaID) error {
	return r.changeMembership(ctx, func(m consensus.Membership) (consensus.Membership, bool) {
		if !m.IsVoter(id) {
			return m, false
		}
		m.Voters = withoutID(m.Voters, id)
		m.Learners = append(m.Learners, id)
		return m, true
	})
}

// RemoveMember removes a voter or learner from the membership.
func (r *Replica) RemoveMember(ctx context.Context, id consensus.ReplicaID) error {
	return r.changeMembership(ctx, func(m consensus.Membership) (consensus.Membership, bool) {
		if !m.IsVoter(id) && !m.IsLearner(id) {
			return m, false
		}
		m.Voters = withoutID(m.Voters, id)
		m.Learners = withoutID(m.Learners, id)
		return m, true
	})
}

// RemoveLearner removes a learner from the membership. It does nothing if id has become a voter meanwhile.
func (r *Replica) RemoveLearner(ctx context.Context, id consensus.ReplicaID) error {
	return r.changeMembership(ctx, func(m consensus.Membership) (consensus.Membership, bool) {
		if !m.IsLearner(id) {
			return m, false
		}
		m.Learners = withoutID(m.Learners, id)
		return m, true
	})
}

// ReplaceVoter replaces a voter, for example after the loss of a disk. The replacement
// joins as a learner and catches up, then the old one is removed, then the new
// one becomes a voter. The old one is removed first because it counts towards the majority
// but doesn't help to reach it. Each step is committed before the next one begins. After a
// failure the call can be repeated, on another leader too. A leader can't replace itself.
func (r *Replica) ReplaceVoter(ctx context.Context, old, replacement consensus.ReplicaID) error {
	if old == r.opts.ID || old == replacement {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "a leader can't replace itself")
	}
	if err := r.AddLearner(ctx, replacement); err != nil {
		return err
	}
	if err := r.AwaitCaughtUp(ctx, replacement); err != nil {
		return err
	}
	if err := r.RemoveMember(ctx, old); err != nil {
		return err
	}
	return r.PromoteLearner(ctx, replacement)
}

// TransferLeadership hands the leadership over to the given voter. If to is empty, it picks
// the voter with the longest log. It returns once this replica no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context, to consensus.ReplicaID) error {
	var err error
	if loopErr := r.runOnLoop(ctx, func() { err = r.core.TransferLeadership(to) }); loopErr != nil {
		return loopErr
	}
	if err != nil {
		return r.refusalError(err)
	}
	return r.waitUntil(ctx, func() bool { return !r.IsLeader() })
}

// changeMembership commits a membership change. It waits while another change is pending.
func (r *Replica) changeMembership(ctx context.Context, edit func(consensus.Membership) (consensus.Membership, bool)) error {
	var err error
	waitErr := r.waitUntil(ctx, func() bool {
		p := newProposal()
		p.edit = edit
		_, err = r.submit(ctx, p)
		return !errors.Is(err, consensus.ErrChangePending)
	})
	if waitErr != nil {
		return waitErr
	}
	return err
}

// AwaitCaughtUp waits until a learner responds and has nearly all of the log, or already is a voter. It
// gives up when ctx ends, when this replica no longer leads, when the learner is removed, and when it has
// been silent for Options.MemberSilenceTimeout since the call; the cause is a *SilentMemberError then.
func (r *Replica) AwaitCaughtUp(ctx context.Context, id consensus.ReplicaID) error {
	var refusal *verdict.Error
	began := time.Now()
	err := r.waitUntil(ctx, func() bool {
		s := r.Status()
		if s.Membership.IsVoter(id) || r.isCaughtUp(s, id) {
			return true
		}
		refusal = r.checkJoining(s, id, time.Since(began))
		return refusal != nil
	})
	if err == nil && refusal != nil {
		return refusal
	}
	return err
}

// checkJoining returns an error if it is of no use to wait longer for a learner.
func (r *Replica) checkJoining(s consensus.Status, id consensus.ReplicaID, waited time.Duration) *verdict.Error {
	if s.Role != consensus.Leader {
		return r.refusalError(consensus.ErrNotLeader)
	}
	if !s.Membership.IsLearner(id) {
		return verdict.New(verdict.NotRun, verdict.CodeConflict, "replica "+string(id)+" was removed")
	}
	for _, p := range s.Peers {
		silence := min(time.Duration(p.TicksSinceContact)*r.opts.Tick, waited)
		if p.ID == id && silence >= r.opts.MemberSilenceTimeout {
			return silentMemberError(id, silence)
		}
	}
	return nil
}

func (r *Replica) isCaughtUp(s consensus.Status, id consensus.ReplicaID) bool {
	for _, p := range s.Peers {
		if p.ID == id {
			return p.MatchIndex > 0 && p.MatchIndex+maxCatchUpLagEntries >= s.Commit && p.TicksSinceContact < r.opts.ElectionTicks
		}
	}
	return false
}

func withoutID(ids []consensus.ReplicaID, id consensus.ReplicaID) []consensus.ReplicaID {
	return slices.DeleteFunc(slices.Clone(ids), func(x consensus.ReplicaID) bool { return x == id })
}
