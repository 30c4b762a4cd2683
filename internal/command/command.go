// Package command changes the replicated tables. Reads are in package query.
package command

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Proposer puts a command into the log and returns the result of applying it. An
// error of another type than *verdict.Error leaves open whether it is applied.
type Proposer interface {
	Propose(ctx context.Context, data []byte) (result any, err error)
}

// Options are the settings of a Service. Zero means the default.
type Options struct {
	// BatchSize bounds the claims, and the finishes, of one command; the default
	// is 128.
	BatchSize int
	// MaxPending bounds the claims, and the finishes, that wait; more are refused.
	// The default is 8,192.
	MaxPending int
	// Timeout bounds the wait for one batch; the default is 5 seconds.
	Timeout time.Duration
}

const (
	defaultBatchSize = 128
	defaultPending   = 8192
	defaultTimeout   = 5 * time.Second
	// overloadRetryDelay is when a caller that was refused should ask again.
	overloadRetryDelay = time.Second
)

func (o Options) withDefaults() Options {
	if o.BatchSize == 0 {
		o.BatchSize = defaultBatchSize
	}
	if o.MaxPending == 0 {
		o.MaxPending = defaultPending
	}
	if o.Timeout == 0 {
		o.Timeout = defaultTimeout
	}
	return o
}

// Service changes the tables. Its methods may be called concurrently; their
// errors are of type *verdict.Error.
type Service struct {
	proposer Proposer
	claims   *batcher[state.Claim, state.ClaimResult]
	finishes *batcher[state.Finish, state.FinishOutcome]
}

// New returns a Service that proposes to p.
func New(p Proposer, o Options) *Service {
	o = o.withDefaults()
	s := &Service{proposer: p}
	s.claims = newBatcher(o, s.sendClaims)
	s.finishes = newBatcher(o, s.sendFinishes)
	s.claims.onUnused = s.releaseClaim
	return s
}

// Close refuses what comes and waits until what is in flight has ended, by itself or
// because ctx has.
func (s *Service) Close(ctx context.Context) {
	s.claims.close(ctx)
	s.finishes.close(ctx)
}

// ConflictError names the change that a submission met.
type ConflictError struct {
	Name string
	// Revision is the one in force; zero where the document does not exist.
	Revision uint64
	// Winner is nil where the document does not exist.
	Winner *state.Winner
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return fmt.Sprintf("document %s does not exist yet", e.Name)
	}
	return fmt.Sprintf("document %s is at revision %d by %s, change %s",
		e.Name, e.Winner.Revision, e.Winner.Author, e.Winner.ChangeID)
}

// Submit replaces a document. The result is set also where the change lost: the
// error then has CodeConflict and a *ConflictError as its cause, or
// CodeKeyReused. After a MayHaveRun the author resends the same change.
func (s *Service) Submit(ctx context.Context, c state.SubmitDocument) (state.SubmitResult, error) {
	result, err := propose[state.SubmitResult](ctx, s.proposer, c)
	if err != nil {
		return state.SubmitResult{}, err
	}
	switch result.Outcome {
	case state.SubmitAccepted:
		return result, nil
	case state.SubmitConflict:
		e := verdict.New(verdict.NotRun, verdict.CodeConflict, "another change was accepted first")
		e.Cause = &ConflictError{Name: c.Name, Revision: result.Revision, Winner: result.Winner}
		return result, e
	case state.SubmitChangeIDReused:
		return result, verdict.New(verdict.NotRun, verdict.CodeKeyReused, "change id was used for another text")
	}
	return result, unexpectedResult()
}

// Init names the cluster. A second one fails with CodeConflict; the result then
// has the name in force.
func (s *Service) Init(ctx context.Context, c state.Init) (state.InitResult, error) {
	result, err := propose[state.InitResult](ctx, s.proposer, c)
	if err != nil {
		return state.InitResult{}, err
	}
	if !result.Accepted {
		text := "cluster is initialised already as " + result.ClusterID
		return result, verdict.New(verdict.NotRun, verdict.CodeConflict, text)
	}
	return result, nil
}

// SetVoterAddress tells where a replica is reached.
func (s *Service) SetVoterAddress(ctx context.Context, c state.SetVoterAddress) (state.VoterAddressResult, error) {
	return propose[state.VoterAddressResult](ctx, s.proposer, c)
}

// AdvanceClock moves the age of the tables on and states how long claims are kept from
// here on; a retention of zero leaves that as it is. Only the leader calls it.
func (s *Service) AdvanceClock(ctx context.Context, elapsed, retention time.Duration) (state.ClockResult, error) {
	return propose[state.ClockResult](ctx, s.proposer, state.AdvanceClock{
		Elapsed:   milliseconds(elapsed),
		Retention: milliseconds(retention),
	})
}

func milliseconds(span time.Duration) uint64 { return uint64(max(0, span.Milliseconds())) }

// Claim asks for the right to dispatch a non-idempotent call. Only ClaimGranted
// gives it. After an error the caller must not dispatch; so the error always says
// NotRun, and the claim, where it was made all the same, is given back.
func (s *Service) Claim(ctx context.Context, c state.Claim) (state.ClaimResult, error) {
	result, err := s.claims.submit(ctx, c)
	if err != nil {
		e := *verdict.Of(err)
		e.Verdict = verdict.NotRun
		return state.ClaimResult{}, &e
	}
	return result, nil
}

// Finish tells the end of an attempt. After an error the claim may stay open; it
// then counts as unknown from its deadline on.
func (s *Service) Finish(ctx context.Context, f state.Finish) (state.FinishOutcome, error) {
	outcome, err := s.finishes.submit(ctx, f)
	if err != nil {
		return 0, verdict.Of(err)
	}
	return outcome, nil
}

func (s *Service) sendClaims(ctx context.Context, claims []state.Claim) ([]state.ClaimResult, error) {
	result, err := propose[state.ClaimBatchResult](ctx, s.proposer, state.ClaimBatch{Claims: claims})
	return result.Claims, err
}

func (s *Service) sendFinishes(ctx context.Context, finishes []state.Finish) ([]state.FinishOutcome, error) {
	result, err := propose[state.FinishResult](ctx, s.proposer, state.FinishClaims{Finishes: finishes})
	return result.Finishes, err
}

// releaseClaim gives a claim back that nobody dispatches. The log keeps the order of
// proposals, so the finish comes after the claim where both are applied; where it
// is lost, the claim counts as unknown, which is safe.
func (s *Service) releaseClaim(c state.Claim, result state.ClaimResult, err error) {
	if err == nil && result.Outcome != state.ClaimGranted {
		return
	}
	if err != nil && verdict.Of(err).Verdict == verdict.NotRun {
		return
	}
	// A full queue or a closed service leaves the claim to its deadline.
	_, _ = s.finishes.enqueue(state.Finish{
		Workspace: c.Workspace,
		Key:       c.Key,
		Attempt:   c.Attempt,
		Verdict:   verdict.NotRun,
	})
}

// propose puts a command into the log and returns its result, of type R.
func propose[R any](ctx context.Context, p Proposer, c state.Command) (R, error) {
	var none R
	data, err := state.Encode(c)
	if err != nil {
		e := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "command cannot be encoded")
		e.Cause = err
		return none, e
	}
	result, err := p.Propose(ctx, data)
	if err != nil {
		return none, proposeError(err)
	}
	switch r := result.(type) {
	case R:
		return r, nil
	case state.Rejected:
		return none, rejectionError(r)
	}
	return none, unexpectedResult()
}

// proposeError types the failure of a proposal. One that is not typed already
// leaves open whether the command is applied.
func proposeError(err error) *verdict.Error {
	var typed *verdict.Error
	if errors.As(err, &typed) {
		return typed
	}
	if cause := errors.Cause(err); cause == context.DeadlineExceeded || cause == context.Canceled {
		return contextError(verdict.MayHaveRun, cause)
	}
	return verdict.Of(err)
}

// rejectionError types a command that had no effect. A command counts as applied
// already only where it was proposed twice, so that one may have run.
func rejectionError(r state.Rejected) *verdict.Error {
	switch r.Reason {
	case state.ReasonTooLarge:
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, string(r.Reason))
	case state.ReasonAlreadyApplied:
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, string(r.Reason))
	}
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, string(r.Reason))
}

func unexpectedResult() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "unexpected result of a command")
}
