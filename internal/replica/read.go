package replica

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// read is a question that waits for a quorum round. outcome has room for one.
type read struct{ outcome chan readOutcome }

type readOutcome struct {
	index uint64
	err   error
}

// Read returns once the machine holds all that was committed before the call,
// as a majority has confirmed in a round that began after it. The index is up to
// where the machine is known to be. The error is a *verdict.Error and always
// NotRun; its cause is a *NotLeaderError where another replica must be asked.
func (r *Replica) Read(ctx context.Context) (uint64, error) {
	q := &read{outcome: make(chan readOutcome, 1)}
	select {
	case r.reads <- q:
	default:
		return 0, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many reads wait").After(r.opts.Tick)
	}
	select {
	case o := <-q.outcome:
		return o.index, o.err
	case <-ctx.Done():
		return 0, ended(ctx)
	case <-r.done:
		return 0, r.stopped()
	}
}

func (r *Replica) collectReads(first *read) {
	r.queued = append(r.queued, first)
	for range maxQueuedReads {
		select {
		case q := <-r.reads:
			r.queued = append(r.queued, q)
		default:
			return
		}
	}
}

// startRound asks for all queued reads at once, unless a round is under way.
func (r *Replica) startRound() {
	if len(r.asked) > 0 || len(r.queued) == 0 {
		return
	}
	r.round++
	if err := r.core.ReadIndex(r.round); err != nil {
		r.failReads(&r.queued, err)
		return
	}
	r.asked, r.queued = r.queued, nil
}

// answerReads is called after the committed entries are applied, which reach at
// least as far as the answer.
func (r *Replica) answerReads(states []consensus.ReadState) {
	for _, s := range states {
		if s.Context != r.round {
			continue
		}
		r.metrics.reads.Inc(int64(len(r.asked)))
		for _, q := range r.asked {
			q.outcome <- readOutcome{index: r.applied}
		}
		r.asked = nil
	}
}

func (r *Replica) failReads(reads *[]*read, err error) {
	for _, q := range *reads {
		q.outcome <- readOutcome{err: r.refusal(err)}
	}
	*reads = nil
}
