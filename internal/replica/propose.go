package replica

import (
	"context"
	"sync/atomic"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Result is the outcome of a committed proposal.
type Result struct {
	Index uint64
	Term  uint64
	// Value is what StateMachine.Apply returned. It is nil for a membership change.
	Value any
}

// States of a proposal. Either the loop takes a queued proposal or its caller withdraws it,
// never both.
const (
	proposalQueued int32 = iota
	proposalTaken
	proposalWithdrawn
)

// proposal is a command, or a membership change if edit is set.
type proposal struct {
	data  []byte
	edit  func(consensus.Membership) (next consensus.Membership, changed bool)
	state atomic.Int32
	// outcome is buffered for one value, so that the loop never blocks on it.
	outcome chan outcome
}

type outcome struct {
	result Result
	err    error
}

// pendingProposal is a proposal in the leader's log that awaits its outcome.
type pendingProposal struct {
	*proposal
	term uint64
	// ticksSinceStale counts the ticks since this replica stopped leading in term.
	ticksSinceStale int
}

func newProposal() *proposal { return &proposal{outcome: make(chan outcome, 1)} }

func (p *proposal) finish(result Result, err error) { p.outcome <- outcome{result, err} }

// Propose commits data and returns the result of the state machine. Its error is a
// *verdict.Error. The verdict NotRun means that data is not committed and never will be:
// this replica does not lead (the cause is a *NotLeaderError), it has no quorum, too many
// proposals wait, or another leader's entry took the log index. MayHaveRun means that the
// context or the leadership ended, or the replica stopped, before the outcome was known.
func (r *Replica) Propose(ctx context.Context, data []byte) (Result, error) {
	if len(data) == 0 {
		return Result{}, verdict.New(verdict.NotRun, verdict.CodeBadRequest, "empty command")
	}
	p := newProposal()
	p.data = data
	return r.submit(ctx, p)
}

func (r *Replica) submit(ctx context.Context, p *proposal) (Result, error) {
	if ctx.Err() != nil {
		return Result{}, contextError(ctx)
	}
	select {
	case r.proposals <- p:
	default:
		return Result{}, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many proposals wait").WithRetryAfter(r.opts.Tick)
	}
	select {
	case o := <-p.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return p.abandon(contextError(ctx))
	case <-r.done:
		return p.abandon(r.stoppedError())
	}
}

// abandon withdraws a proposal that the loop has not taken yet. If the loop has taken it,
// the outcome is unknown, unless it has arrived in the meantime.
func (p *proposal) abandon(cause *verdict.Error) (Result, error) {
	if p.state.CompareAndSwap(proposalQueued, proposalWithdrawn) {
		return Result{}, cause
	}
	select {
	case o := <-p.outcome:
		return o.result, o.err
	default:
		e := *cause
		e.Verdict = verdict.MayHaveRun
		return Result{}, &e
	}
}

// proposeQueued appends all queued proposals to the log, so that they share one sync.
func (r *Replica) proposeQueued(first *proposal) {
	r.proposeOne(first)
	for range maxQueuedProposals {
		select {
		case p := <-r.proposals:
			r.proposeOne(p)
		default:
			return
		}
	}
}

func (r *Replica) proposeOne(p *proposal) {
	if !p.state.CompareAndSwap(proposalQueued, proposalTaken) {
		return
	}
	index, term, err := r.appendProposal(p)
	if err != nil {
		p.finish(Result{}, r.refusalError(err))
		return
	}
	if index == 0 {
		p.finish(Result{}, nil)
		return
	}
	r.metrics.proposed.Inc(1)
	r.pendingProposals[index] = append(r.pendingProposals[index], &pendingProposal{proposal: p, term: term})
}

// appendProposal returns the index and term of the new entry. The index is zero if the
// membership change is already in effect.
func (r *Replica) appendProposal(p *proposal) (index, term uint64, err error) {
	if p.edit == nil {
		return r.core.Propose(p.data)
	}
	s := r.core.Status()
	if s.Role != consensus.Leader {
		return 0, 0, consensus.ErrNotLeader
	}
	if !s.MembershipCommitted {
		return 0, 0, consensus.ErrChangePending
	}
	next, changed := p.edit(s.Membership)
	if !changed {
		return 0, 0, nil
	}
	return r.core.ProposeMembership(next)
}

// resolveEntry finishes the proposals whose outcome the committed entry e determines: those
// at the index of e, and those of older terms at later indexes, since terms never decrease
// along a log.
func (r *Replica) resolveEntry(e consensus.Entry, value any) {
	for _, p := range r.pendingProposals[e.Index] {
		if p.term == e.Term {
			p.finish(Result{Index: e.Index, Term: e.Term, Value: value}, nil)
		} else {
			p.finish(Result{}, r.overwrittenError())
		}
	}
	delete(r.pendingProposals, e.Index)
	if r.hasStaleProposals {
		r.finishProposals(func(index uint64, p *pendingProposal) error {
			if p.term < e.Term {
				return r.overwrittenError()
			}
			return nil
		})
	}
}

// resolveSnapshot finishes the proposals that a snapshot from the leader covers. Whether
// the snapshot includes them is unknown.
func (r *Replica) resolveSnapshot(meta consensus.SnapshotMeta) {
	r.finishProposals(func(index uint64, p *pendingProposal) error {
		if index <= meta.Index {
			return unknownOutcomeError("a snapshot covers the proposal")
		}
		if p.term < meta.Term {
			return r.overwrittenError()
		}
		return nil
	})
}

// expireStaleProposals finishes, with an unknown outcome, the proposals whose leadership
// ended more than an election timeout ago.
func (r *Replica) expireStaleProposals() {
	if !r.hasStaleProposals {
		return
	}
	now := r.softState.Load()
	r.hasStaleProposals = false
	r.finishProposals(func(_ uint64, p *pendingProposal) error {
		if now.Role == consensus.Leader && now.Term == p.term {
			return nil
		}
		r.hasStaleProposals = true
		p.ticksSinceStale++
		if p.ticksSinceStale > r.opts.ElectionTicks {
			return unknownOutcomeError("the leadership ended before the commit")
		}
		return nil
	})
}

// finishProposals finishes the pending proposals for which decide returns an error.
func (r *Replica) finishProposals(decide func(index uint64, p *pendingProposal) error) {
	for index, proposals := range r.pendingProposals {
		kept := proposals[:0]
		for _, p := range proposals {
			if err := decide(index, p); err != nil {
				p.finish(Result{}, err)
				continue
			}
			kept = append(kept, p)
		}
		r.pendingProposals[index] = kept
		if len(kept) == 0 {
			delete(r.pendingProposals, index)
		}
	}
}
