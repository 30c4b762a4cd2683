package replica

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// NotLeaderError is the cause of a refusal by a replica that does not lead. The
// caller may forward to Leader, unless that is empty.
type NotLeaderError struct{ Leader consensus.ReplicaID }

// Error returns the text for logs.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return "the leader is " + string(e.Leader)
}

// ended is the failure of a call whose ctx ended before it had any effect.
func ended(ctx context.Context) *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: endCode(ctx), Text: "gave up waiting", Cause: ctx.Err()}
}

func endCode(ctx context.Context) verdict.Code {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.CodeDeadline
	}
	return verdict.CodeCancelled
}

// stopped is the failure of a call that reached a stopped replica. The caller has
// seen done closed.
func (r *Replica) stopped() *verdict.Error {
	return &verdict.Error{Verdict: verdict.NotRun, Code: verdict.CodeLeaving, Text: "the replica has stopped", Cause: r.err}
}

// refusal turns an error of the core, which left no trace, into a verdict.
func (r *Replica) refusal(err error) *verdict.Error {
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

// overwritten is the failure of a proposal whose place another entry took.
func (r *Replica) overwritten() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "another leader's entry took the place").After(r.electionTimeout())
}

// unresolved is the failure of a proposal that may yet be committed.
func unresolved(text string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, text)
}
