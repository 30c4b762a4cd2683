package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// NotLeaderError is the cause of an error from a replica that does not lead. The caller may
// forward its call to Leader, if that is not empty.
type NotLeaderError struct{ Leader consensus.ReplicaID }

// Error returns the text for logs.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return "the leader is " + string(e.Leader)
}

// SilentMemberError is the cause of an error from a membership change that was given up because the replica
// that joins was not heard for Silence.
type SilentMemberError struct {
	Member  consensus.ReplicaID
	Silence time.Duration
}

// Error returns the text for logs.
func (e *SilentMemberError) Error() string {
	return fmt.Sprintf("replica %s has not been heard for %v", e.Member, e.Silence)
}

// silentMemberError is the error of a membership change that was given up for a silent replica. The steps
// before, each of which was committed, stay in effect.
func silentMemberError(id consensus.ReplicaID, silence time.Duration) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.CodeDeadline, "the replica that joins is silent")
	e.Cause = &SilentMemberError{Member: id, Silence: silence}
	return e
}

// contextError is the error of a call whose context ended before the call had any effect.
func contextError(ctx context.Context) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: contextErrorCode(ctx), Text: "gave up waiting", Cause: ctx.Err()}
}

func contextErrorCode(ctx context.Context) verdict.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.CodeDeadline
	}
	return verdict.CodeCancelled
}

// stoppedError is the error of a call to a stopped replica. The caller must have seen
// r.done closed, since r.err may be read only after that.
func (r *Replica) stoppedError() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeDraining, Text: "the replica has stopped", Cause: r.err}
}

// refusalError converts an error of the core into a verdict.Error. The core has appended
// nothing to the log in this case, so the verdict is NotRun.
func (r *Replica) refusalError(err error) *verdict.Error {
	e := &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeNoQuorum, Text: err.Error(), RetryAfter: r.electionTimeout(), Cause: err}
	switch {
	case errors.Is(err, consensus.ErrNotLeader):
		leader, _ := r.Leader()
		e.Cause = &NotLeaderError{Leader: leader}
	case errors.Is(err, consensus.ErrUncommittedLimit):
		e.Code = verdict.CodeOverloaded
	case errors.Is(err, consensus.ErrInvalidMembership):
		e.Code, e.RetryAfter = verdict.CodeBadRequest, 0
	case errors.Is(err, consensus.ErrLogNotEmpty):
		e.Code, e.RetryAfter = verdict.CodeConflict, 0
	}
	return e
}

// overwrittenError is the error of a proposal whose log index was taken by another entry.
func (r *Replica) overwrittenError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "another leader's entry took the place").WithRetryAfter(r.electionTimeout())
}

// unknownOutcomeError is the error of a proposal that may still be committed.
func unknownOutcomeError(text string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, text)
}
