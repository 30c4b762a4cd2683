package replica

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// readRequest waits until a majority has confirmed the leadership. outcome is buffered for
// one value.
type readRequest struct{ outcome chan readResult }

type readResult struct {
	index uint64
	err   error
}

// Read returns once the state machine contains everything that was committed before the
// call. A majority must confirm this in a heartbeat round that begins after the call. The
// returned index is that of the last applied entry. The error is a *verdict.Error, and its
// verdict is always NotRun. Its cause is a *NotLeaderError if another replica must be
// asked.
func (r *Replica) Read(ctx context.Context) (uint64, error) {
	request := &readRequest{outcome: make(chan readResult, 1)}
	select {
	case r.reads <- request:
	default:
		return 0, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many reads wait").WithRetryAfter(r.opts.Tick)
	}
	select {
	case o := <-request.outcome:
		return o.index, o.err
	case <-ctx.Done():
		return 0, contextError(ctx)
	case <-r.done:
		return 0, r.stoppedError()
	}
}

func (r *Replica) enqueueReads(first *readRequest) {
	r.queuedReads = append(r.queuedReads, first)
	for range maxQueuedReads {
		select {
		case request := <-r.reads:
			r.queuedReads = append(r.queuedReads, request)
		default:
			return
		}
	}
}

// startReadRound starts one read-index request for all queued reads, unless an earlier one
// is unanswered.
func (r *Replica) startReadRound() {
	if len(r.activeReads) > 0 || len(r.queuedReads) == 0 {
		return
	}
	r.readRound++
	if err := r.core.ReadIndex(r.readRound); err != nil {
		r.failReads(&r.queuedReads, err)
		return
	}
	r.activeReads, r.queuedReads = r.queuedReads, nil
}

// answerReads must be called after the committed entries are applied. They reach at least
// to the index of each ReadState.
func (r *Replica) answerReads(states []consensus.ReadState) {
	for _, s := range states {
		if s.Context != r.readRound {
			continue
		}
		r.metrics.reads.Inc(int64(len(r.activeReads)))
		for _, request := range r.activeReads {
			request.outcome <- readResult{index: r.appliedIndex}
		}
		r.activeReads = nil
	}
}

func (r *Replica) failReads(reads *[]*readRequest, err error) {
	for _, request := range *reads {
		request.outcome <- readResult{err: r.refusalError(err)}
	}
	*reads = nil
}
