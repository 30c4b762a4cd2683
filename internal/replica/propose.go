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
	// Value is what Machine.Apply returned; nil for a membership.
	Value any
}

// The states of a proposal. The loop takes it or the caller withdraws it, never both.
const (
	proposalQueued int32 = iota
	proposalTaken
	proposalWithdrawn
)

// proposal is a command, or a membership change where edit is set.
type proposal struct {
	data  []byte
	edit  func(consensus.Membership) (next consensus.Membership, changed bool)
	state atomic.Int32
	// outcome has room for the one outcome.
	outcome chan outcome
}

type outcome struct {
	result Result
	err    error
}

// waiter is a proposal in the leader's log.
type waiter struct {
	*proposal
	term uint64
	// age counts the ticks since the leadership of term ended.
	age int
}

func newProposal() *proposal { return &proposal{outcome: make(chan outcome, 1)} }

func (p *proposal) finish(result Result, err error) { p.outcome <- outcome{result, err} }

// Propose commits data and returns what the machine answered. Its error is a
// *verdict.Error. NotRun means that data is not committed and never will be: this
// replica does not lead (the cause is a *NotLeaderError), no majority answers, too
// much is waiting, or another leader's entry took the place. MayHaveRun means that
// ctx or the leadership ended while the outcome was open.
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
		return Result{}, ended(ctx)
	}
	select {
	case r.proposals <- p:
	default:
		return Result{}, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many proposals wait").After(r.opts.Tick)
	}
	select {
	case o := <-p.outcome:
		return o.result, o.err
	case <-ctx.Done():
		return p.giveUp(ended(ctx))
	case <-r.done:
		return p.giveUp(r.stopped())
	}
}

// giveUp withdraws a proposal that the loop has not taken; the outcome of another
// one is open, unless it has just come.
func (p *proposal) giveUp(cause *verdict.Error) (Result, error) {
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

// propose puts all proposals that wait into the log; they are synced together.
func (r *Replica) propose(first *proposal) {
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
	index, term, err := r.append(p)
	if err != nil {
		p.finish(Result{}, r.refusal(err))
		return
	}
	if index == 0 {
		p.finish(Result{}, nil)
		return
	}
	r.metrics.proposed.Inc(1)
	r.waiting[index] = append(r.waiting[index], &waiter{proposal: p, term: term})
}

// append returns the place of the new entry, zero where a membership is in force already.
func (r *Replica) append(p *proposal) (index, term uint64, err error) {
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

// resolve finishes the proposals that the committed entry e decides: those at its
// index, and those of older terms behind it, since terms never fall along a log.
func (r *Replica) resolve(e consensus.Entry, value any) {
	for _, w := range r.waiting[e.Index] {
		if w.term == e.Term {
			w.finish(Result{Index: e.Index, Term: e.Term, Value: value}, nil)
		} else {
			w.finish(Result{}, r.overwritten())
		}
	}
	delete(r.waiting, e.Index)
	if r.stale {
		r.settle(func(index uint64, w *waiter) error {
			if w.term < e.Term {
				return r.overwritten()
			}
			return nil
		})
	}
}

// resolveSnapshot finishes the proposals that a snapshot covers: whether they are
// among its entries can't be told.
func (r *Replica) resolveSnapshot(meta consensus.SnapshotMeta) {
	r.settle(func(index uint64, w *waiter) error {
		if index <= meta.Index {
			return unresolved("a snapshot covers the proposal")
		}
		if w.term < meta.Term {
			return r.overwritten()
		}
		return nil
	})
}

// ageStale gives up proposals whose leadership ended an election timeout ago.
func (r *Replica) ageStale() {
	if !r.stale {
		return
	}
	now := r.soft.Load()
	r.stale = false
	r.settle(func(_ uint64, w *waiter) error {
		if now.Role == consensus.Leader && now.Term == w.term {
			return nil
		}
		r.stale = true
		w.age++
		if w.age > r.opts.ElectionTicks {
			return unresolved("the leadership ended before the commit")
		}
		return nil
	})
}

// settle finishes the waiting proposals for which decide returns an error.
func (r *Replica) settle(decide func(index uint64, w *waiter) error) {
	for index, ws := range r.waiting {
		kept := ws[:0]
		for _, w := range ws {
			if err := decide(index, w); err != nil {
				w.finish(Result{}, err)
				continue
			}
			kept = append(kept, w)
		}
		r.waiting[index] = kept
		if len(kept) == 0 {
			delete(r.waiting, index)
		}
	}
}
