// Package command changes the replicated tables. Package query reads them.
package command

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/textcheck"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Proposer appends a command to the log and returns the result of applying it. After an error
// of another type than *verdict.Error the command may or may not be applied.
type Proposer interface {
	Propose(ctx context.Context, data []byte) (result any, err error)
}

// Options are the settings of a Service. Zero means the default.
type Options struct {
	// BatchSize is the maximum number of claims, or of finishes, in one command. The
	// default is 128.
	BatchSize int
	// MaxPending is the maximum number of claims, and likewise of finishes, that wait
	// for a batch. Further ones are refused. The default is 8,192.
	MaxPending int
	// Timeout is the maximum time to wait for the result of one batch. Each caller waits for as
	// long as it likes, so it is longer than any caller waits. The default is a minute.
	Timeout time.Duration
	// ClaimProposer proposes the claims and finishes. The default is the Service's Proposer.
	ClaimProposer Proposer
}

const (
	defaultBatchSize = 128
	defaultPending   = 8192
	defaultTimeout   = time.Minute
	// overloadRetryDelay is the time after which a caller should retry that was refused
	// because too many requests wait.
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

// Service changes the tables. Its methods may be called concurrently. Their errors are of type
// *verdict.Error.
type Service struct {
	proposer      Proposer
	claimProposer Proposer
	claims        *batcher[state.Claim, state.ClaimResult]
	finishes      *batcher[state.Finish, state.FinishOutcome]
}

// New returns a Service that proposes its commands to p.
func New(p Proposer, o Options) *Service {
	o = o.withDefaults()
	s := &Service{proposer: p, claimProposer: o.ClaimProposer}
	if s.claimProposer == nil {
		s.claimProposer = p
	}
	s.claims = newBatcher(o, s.sendClaims)
	s.finishes = newBatcher(o, s.sendFinishes)
	return s
}

// Close refuses new claims and finishes and waits until those in flight have a result. When ctx
// ends first, it cancels them.
func (s *Service) Close(ctx context.Context) {
	s.claims.close(ctx)
	s.finishes.close(ctx)
}

// ConflictError identifies the accepted change that a submission conflicts with.
type ConflictError struct {
	Name string
	// Revision is the document's current revision; zero if the document does not exist.
	Revision uint64
	// Winner is nil if the document does not exist.
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

// Submit replaces the text of a document. The result is also set when the change is refused:
// the error then has CodeConflict and a *ConflictError as its cause, or CodeKeyReused. After
// an error with the verdict MayHaveRun the author should resend the same change.
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

// Init sets the id of the cluster. If the cluster has one already, Init fails with CodeConflict
// and the result contains that id.
func (s *Service) Init(ctx context.Context, c state.Init) (state.InitResult, error) {
	result, err := propose[state.InitResult](ctx, s.proposer, c)
	if err != nil {
		return state.InitResult{}, err
	}
	if !result.Accepted {
		message := "cluster is initialised already as " + result.ClusterID
		return result, verdict.New(verdict.NotRun, verdict.CodeConflict, message)
	}
	return result, nil
}

// SetVoterAddress sets the network address of a replica of the log.
func (s *Service) SetVoterAddress(ctx context.Context, c state.SetVoterAddress) (state.VoterAddressResult, error) {
	return propose[state.VoterAddressResult](ctx, s.proposer, c)
}

// AdvanceClock advances the logical clock of the tables and sets how long claims are kept from
// now on. A retention of zero keeps the current one. Only the leader calls it.
func (s *Service) AdvanceClock(ctx context.Context, elapsed, retention time.Duration) (state.ClockResult, error) {
	return propose[state.ClockResult](ctx, s.proposer, state.AdvanceClock{
		Elapsed:   milliseconds(elapsed),
		Retention: milliseconds(retention),
	})
}

// milliseconds returns d in milliseconds, and zero for a negative d.
func milliseconds(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }

// Claim asks for the exclusive right to dispatch a non-idempotent call. Only the outcome
// ClaimGranted gives it. An error with the verdict MayHaveRun means that the claim may have been
// granted or may still be. The caller then either asks again with the same attempt, here or at
// another host, or gives the attempt up and releases the claim by Finish. Nobody else releases
// it: a host that did could free the key of a call that another host has granted meanwhile.
func (s *Service) Claim(ctx context.Context, c state.Claim) (state.ClaimResult, error) {
	if err := checkText(c); err != nil {
		return state.ClaimResult{}, err
	}
	result, err := s.claims.submit(ctx, c)
	if err != nil {
		return state.ClaimResult{}, verdict.FromError(err)
	}
	return result, nil
}

// Finish records the outcome of an attempt. After an error the claim may stay open; from its
// deadline on, the outcome of its call then counts as unknown. Of a response that the tables do not record
// only the verdict is proposed.
func (s *Service) Finish(ctx context.Context, f state.Finish) (state.FinishOutcome, error) {
	if f.Response != nil && !f.Response.CanBeRecorded() {
		f.Response = nil
	}
	if err := checkText(f); err != nil {
		return 0, err
	}
	outcome, err := s.finishes.submit(ctx, f)
	if err != nil {
		return 0, verdict.FromError(err)
	}
	return outcome, nil
}

// checkText returns an error for a claim or finish with text that no replica can decode. In a batch it would cost
// the others too.
func checkText(request any) error {
	if err := textcheck.Check(request); err != nil {
		return EncodingError(err)
	}
	return nil
}

func (s *Service) sendClaims(ctx context.Context, claims []state.Claim) ([]state.ClaimResult, error) {
	result, err := propose[state.ClaimBatchResult](ctx, s.claimProposer, state.ClaimBatch{Claims: claims})
	return result.Claims, err
}

func (s *Service) sendFinishes(ctx context.Context, finishes []state.Finish) ([]state.FinishOutcome, error) {
	result, err := propose[state.FinishResult](ctx, s.claimProposer, state.FinishClaims{Finishes: finishes})
	return result.Finishes, err
}

// propose appends a command to the log and returns its result, which must be of type R or
// Rejected.
func propose[R any](ctx context.Context, p Proposer, c state.Command) (R, error) {
	var zero R
	data, err := state.Encode(c)
	if err != nil {
		return zero, EncodingError(err)
	}
	result, err := p.Propose(ctx, data)
	if err != nil {
		return zero, proposeError(err)
	}
	switch r := result.(type) {
	case R:
		return r, nil
	case state.Rejected:
		return zero, rejectionError(r)
	}
	return zero, unexpectedResult()
}

// EncodingError returns the error for a command that state.Encode refuses. It was not proposed.
func EncodingError(err error) *verdict.Error {
	e := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "command cannot be encoded")
	if errors.Is(err, state.ErrCommandTooLarge) {
		e = verdict.New(verdict.NotRun, verdict.CodeTooLarge, "command is too large")
	}
	e.Cause = err
	return e
}

// proposeError converts the error of a proposal to a *verdict.Error. After an error that is
// not one already, the command may be applied, so the verdict is MayHaveRun.
func proposeError(err error) *verdict.Error {
	var e *verdict.Error
	if errors.As(err, &e) {
		return e
	}
	if cause := errors.Cause(err); cause == context.DeadlineExceeded || cause == context.Canceled {
		return contextError(verdict.MayHaveRun, cause)
	}
	return verdict.FromError(err)
}

// rejectionError returns the error for a rejected command. ReasonAlreadyApplied means that the
// command was proposed twice, so its first copy may have run.
func rejectionError(r state.Rejected) *verdict.Error {
	switch r.Reason {
	case state.ReasonTooLarge:
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, string(r.Reason))
	case state.ReasonAlreadyApplied:
		return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, string(r.Reason))
	}
	return verdict.New(verdict.NotRun, verdict.CodeBadRequest, string(r.Reason))
}

// unexpectedResult is the error for a result that does not match the command.
func unexpectedResult() *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "unexpected result of a command")
}
