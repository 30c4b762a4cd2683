package replica

import (
	"context"
	"slices"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// catchUpEntries is how far a learner may be behind when it becomes a voter.
const catchUpEntries = 256

// Bootstrap starts the election of a first leader among m.Voters, of which this
// replica must be one. It is refused with CodeConflict where this replica holds a
// log or hears a leader; the caller has to make sure that no other replica does.
func (r *Replica) Bootstrap(ctx context.Context, m consensus.Membership) error {
	var err error
	if derr := r.do(ctx, func() { err = r.core.Bootstrap(m) }); derr != nil {
		return derr
	}
	if err != nil {
		return r.refusal(err)
	}
	return nil
}

// AddLearner lets id receive the log without a vote. Nothing happens where id is a
// member. Errors are as those of Propose.
func (r *Replica) AddLearner(ctx context.Context, id consensus.ReplicaID) error {
	return r.change(ctx, func(m consensus.Membership) (consensus.Membership, bool) {
		if m.IsVoter(id) || m.IsLearner(id) {
			return m, false
		}
		m.Learners = append(m.Learners, id)
		return m, true
	})
}

// PromoteLearner makes a voter of a learner that has caught up, and waits until it has.
func (r *Replica) PromoteLearner(ctx context.Context, id consensus.ReplicaID) error {
	if err := r.awaitCaughtUp(ctx, id); err != nil {
		return err
	}
	return r.change(ctx, func(m consensus.Membership) (consensus.Membership, bool) {
		if !m.IsLearner(id) {
			return m, false
		}
		m.Learners = without(m.Learners, id)
		m.Voters = append(m.Voters, id)
		return m, true
	})
}

// RemoveMember takes a voter or learner out of the membership.
func (r *Replica) RemoveMember(ctx context.Context, id consensus.ReplicaID) error {
	return r.change(ctx, func(m consensus.Membership) (consensus.Membership, bool) {
		if !m.IsVoter(id) && !m.IsLearner(id) {
			return m, false
		}
		m.Voters = without(m.Voters, id)
		m.Learners = without(m.Learners, id)
		return m, true
	})
}

// ReplaceVoter puts a new voter into the place of an old one, as after the loss of a
// disk: the new one learns until it has caught up, the old one is removed, the new
// one gets the vote. The old one goes first since it counts against the majority
// without helping to reach it. Each step is committed before the next; after a
// failure the call can be repeated, also at another leader. A leader can't replace
// itself.
func (r *Replica) ReplaceVoter(ctx context.Context, old, fresh consensus.ReplicaID) error {
	if old == r.opts.ID || old == fresh {
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "a leader can't replace itself")
	}
	if err := r.AddLearner(ctx, fresh); err != nil {
		return err
	}
	if err := r.awaitCaughtUp(ctx, fresh); err != nil {
		return err
	}
	if err := r.RemoveMember(ctx, old); err != nil {
		return err
	}
	return r.PromoteLearner(ctx, fresh)
}

// TransferLeadership hands the leadership to a voter, or to the one with the
// longest log where to is empty, and returns once this replica no longer leads.
func (r *Replica) TransferLeadership(ctx context.Context, to consensus.ReplicaID) error {
	var err error
	if derr := r.do(ctx, func() { err = r.core.TransferLeadership(to) }); derr != nil {
		return derr
	}
	if err != nil {
		return r.refusal(err)
	}
	return r.poll(ctx, func() bool { return !r.IsLeader() })
}

// change commits an edit of the membership; it waits while another one is pending.
func (r *Replica) change(ctx context.Context, edit func(consensus.Membership) (consensus.Membership, bool)) error {
	var err error
	waitErr := r.poll(ctx, func() bool {
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

// awaitCaughtUp waits until a learner is heard and holds nearly all of the log.
func (r *Replica) awaitCaughtUp(ctx context.Context, id consensus.ReplicaID) error {
	var refused error
	err := r.poll(ctx, func() bool {
		s := r.Status()
		if s.Role != consensus.Leader {
			refused = r.refusal(consensus.ErrNotLeader)
			return true
		}
		return s.Membership.IsVoter(id) || r.caughtUp(s, id)
	})
	if err != nil {
		return err
	}
	return refused
}

func (r *Replica) caughtUp(s consensus.Status, id consensus.ReplicaID) bool {
	for _, p := range s.Peers {
		if p.ID == id {
			return p.MatchIndex > 0 && p.MatchIndex+catchUpEntries >= s.Commit && p.TicksSinceContact < r.opts.ElectionTicks
		}
	}
	return false
}

func without(ids []consensus.ReplicaID, id consensus.ReplicaID) []consensus.ReplicaID {
	return slices.DeleteFunc(slices.Clone(ids), func(x consensus.ReplicaID) bool { return x == id })
}
