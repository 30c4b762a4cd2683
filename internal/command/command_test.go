package command

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const waitTimeout = 10 * time.Second

// fakeProposer applies each proposal at once. If gate is set, it receives from gate before it
// applies a proposal.
type fakeProposer struct {
	machine *state.Machine
	gate    chan struct{}

	mu    sync.Mutex
	index uint64
	// largest is the length of the longest proposal.
	largest int
	// errAfterApply makes the next proposal return an error although it is applied.
	errAfterApply error
	// errBeforeApply makes each proposal return an error without being applied.
	errBeforeApply error
}

func newFakeProposer() *fakeProposer { return &fakeProposer{machine: state.New(state.Options{})} }

func (a *fakeProposer) Propose(ctx context.Context, data []byte) (any, error) {
	a.mu.Lock()
	a.index++
	a.largest = max(a.largest, len(data))
	index, errAfterApply, errBeforeApply := a.index, a.errAfterApply, a.errBeforeApply
	a.errAfterApply = nil
	a.mu.Unlock()
	if errBeforeApply != nil {
		return nil, errBeforeApply
	}
	if a.gate != nil {
		select {
		case <-a.gate:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	result := a.machine.Apply(index, data)
	return result, errAfterApply
}

// proposalCount returns how many proposals were made, applied or not.
func (a *fakeProposer) proposalCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int(a.index)
}

// largestProposal returns the length of the longest proposal, in bytes.
func (a *fakeProposer) largestProposal() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.largest
}

func claim(key, attempt string) state.Claim {
	return state.Claim{Workspace: "w", Key: key, Attempt: attempt, Deadline: 1000}
}

// claimAsync claims a key in the background and returns a channel for the error.
func claimAsync(ctx context.Context, s *Service, key string) <-chan error {
	claimErr := make(chan error, 1)
	go func() {
		_, err := s.Claim(ctx, claim(key, "a"))
		claimErr <- err
	}()
	return claimErr
}

func requireCode(t *testing.T, err error, v verdict.Verdict, code verdict.Code) *verdict.Error {
	t.Helper()
	var e *verdict.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, v, e.Verdict, e.Error())
	require.Equal(t, code, e.Code, e.Error())
	return e
}

func TestSubmit(t *testing.T) {
	s := New(newFakeProposer(), Options{})
	defer s.Close(t.Context())
	ctx := t.Context()
	doc := state.SubmitDocument{Name: "d", ChangeID: "x", Author: "ann", Text: "one"}
	result, err := s.Submit(ctx, doc)
	require.NoError(t, err)
	require.Equal(t, uint64(1), result.Revision)
	result, err = s.Submit(ctx, doc)
	require.NoError(t, err)
	require.True(t, result.Repeated)

	other := state.SubmitDocument{Name: "d", ChangeID: "y", Author: "bob", Text: "two"}
	_, err = s.Submit(ctx, other)
	e := requireCode(t, err, verdict.NotRun, verdict.CodeConflict)
	var conflict *ConflictError
	require.ErrorAs(t, e, &conflict)
	require.Equal(t, &state.Winner{Revision: 1, Author: "ann", ChangeID: "x"}, conflict.Winner)
	require.Contains(t, err.Error(), "revision 1 by ann, change x")

	doc.Text = "three"
	_, err = s.Submit(ctx, doc)
	requireCode(t, err, verdict.NotRun, verdict.CodeKeyReused)
	_, err = s.Submit(ctx, state.SubmitDocument{Name: "d"})
	requireCode(t, err, verdict.NotRun, verdict.CodeBadRequest)
	doc.Text = string(make([]byte, state.MaxDocumentBytes+1))
	_, err = s.Submit(ctx, doc)
	requireCode(t, err, verdict.NotRun, verdict.CodeTooLarge)
}

func TestInitSucceedsOnceAndVoterAddressIsSet(t *testing.T) {
	s := New(newFakeProposer(), Options{})
	defer s.Close(t.Context())
	_, err := s.Init(t.Context(), state.Init{ClusterID: "c1"})
	require.NoError(t, err)
	result, err := s.Init(t.Context(), state.Init{ClusterID: "c2"})
	requireCode(t, err, verdict.NotRun, verdict.CodeConflict)
	require.Equal(t, "c1", result.ClusterID)
	changed, err := s.SetVoterAddress(t.Context(), state.SetVoterAddress{Replica: "a/1", Host: "a", Address: "127.0.0.1:1"})
	require.NoError(t, err)
	require.True(t, changed.Changed)
	clock, err := s.AdvanceClock(t.Context(), 3*time.Second, time.Hour)
	require.NoError(t, err)
	require.Equal(t, state.LogicalTime(3000), clock.LogicalTime)
}

func TestProposalErrorsHaveVerdictAndCode(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		verdict verdict.Verdict
		code    verdict.Code
	}{
		"typed":    {verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "cut off"), verdict.NotRun, verdict.CodeNoQuorum},
		"deadline": {errors.Wrap(context.DeadlineExceeded, "wait"), verdict.MayHaveRun, verdict.CodeDeadline},
		"other":    {errors.New("connection reset"), verdict.MayHaveRun, verdict.CodeInternal},
	} {
		t.Run(name, func(t *testing.T) {
			a := newFakeProposer()
			a.errBeforeApply = c.err
			s := New(a, Options{})
			defer s.Close(t.Context())
			_, err := s.Submit(t.Context(), state.SubmitDocument{Name: "d", ChangeID: "x", Author: "ann"})
			requireCode(t, err, c.verdict, c.code)
			_, err = s.Finish(t.Context(), state.Finish{Workspace: "w", Key: "k", Attempt: "a"})
			requireCode(t, err, c.verdict, c.code)
			// A claim that may be granted says so, since only its caller frees the key.
			_, err = s.Claim(t.Context(), claim("k", "a"))
			requireCode(t, err, c.verdict, c.code)
		})
	}
}

func TestClaimAndFinish(t *testing.T) {
	s := New(newFakeProposer(), Options{})
	defer s.Close(t.Context())
	result, err := s.Claim(t.Context(), claim("k", "a"))
	require.NoError(t, err)
	require.Equal(t, state.ClaimGranted, result.Outcome)
	result, err = s.Claim(t.Context(), claim("k", "b"))
	require.NoError(t, err)
	require.Equal(t, state.ClaimInProgress, result.Outcome)
	finish := state.Finish{Workspace: "w", Key: "k", Attempt: "a", Verdict: verdict.Ran}
	outcome, err := s.Finish(t.Context(), finish)
	require.NoError(t, err)
	require.Equal(t, state.FinishRecorded, outcome)
}

// Claims that arrive while a batch is in flight must share the following batches, each of at
// most BatchSize claims. Otherwise each caller would wait for a log entry of its own.
func TestClaimsOfConcurrentCallersShareProposals(t *testing.T) {
	const callers, size = 50, 20
	a := newFakeProposer()
	a.gate = make(chan struct{})
	s := New(a, Options{BatchSize: size})
	defer s.Close(t.Context())
	claimErrs := []<-chan error{claimAsync(t.Context(), s, "first")}
	require.Eventually(t, func() bool { return a.proposalCount() == 1 }, waitTimeout, time.Millisecond)
	for i := range callers {
		claimErrs = append(claimErrs, claimAsync(t.Context(), s, fmt.Sprint(i)))
	}
	require.Eventually(t, func() bool { return s.claims.pendingCount() == callers }, waitTimeout, time.Millisecond)
	close(a.gate)
	for _, claimErr := range claimErrs {
		require.NoError(t, <-claimErr)
	}
	require.Equal(t, callers+1, a.machine.ClaimCount())
	require.Equal(t, 1+(callers+size-1)/size, a.proposalCount())
}

func (b *batcher[Q, R]) pendingCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

func TestTooManyWaitingClaimsAreRefused(t *testing.T) {
	a := newFakeProposer()
	a.gate = make(chan struct{})
	s := New(a, Options{MaxPending: 1})
	defer s.Close(t.Context())
	claimAsync(context.Background(), s, "1")
	require.Eventually(t, func() bool { return a.proposalCount() == 1 }, waitTimeout, time.Millisecond)
	claimAsync(context.Background(), s, "2")
	require.Eventually(t, func() bool { return s.claims.pendingCount() == 1 }, waitTimeout, time.Millisecond)
	_, err := s.Claim(t.Context(), claim("3", "a"))
	e := requireCode(t, err, verdict.NotRun, verdict.CodeOverloaded)
	require.Positive(t, e.RetryAfter)
	close(a.gate)
}

// lossyProposer loses its first proposal and returns err for it. Later ones wait for gate and are
// then applied, as when the host that proposes them has forwarded them to another leader.
type lossyProposer struct {
	*fakeProposer
	err     error
	hasLost atomic.Bool
}

func (a *lossyProposer) Propose(ctx context.Context, data []byte) (any, error) {
	if a.hasLost.CompareAndSwap(false, true) {
		return nil, a.err
	}
	return a.fakeProposer.Propose(ctx, data)
}

// A host that loses the leadership while it claims a key must not free that key later: its
// entry host has asked the next leader meanwhile, with the same attempt, and the call runs. If
// the key were free, the same call could run once more.
func TestFormerLeaderFreesNoRunningCall(t *testing.T) {
	ended := verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "the leadership ended before the commit")
	former := &lossyProposer{fakeProposer: newFakeProposer(), err: ended}
	former.gate = make(chan struct{})
	next := newFakeProposer()
	next.machine = former.machine
	former.index = 10 // its release comes after the grant in the log
	before, after := New(former, Options{}), New(next, Options{})
	defer after.Close(t.Context())
	_, err := before.Claim(t.Context(), claim("k", "a"))
	require.Error(t, err)
	result, err := after.Claim(t.Context(), claim("k", "a"))
	require.NoError(t, err)
	require.Equal(t, state.ClaimGranted, result.Outcome)
	close(former.gate)
	before.Close(t.Context())
	next.index = 20
	result, err = after.Claim(t.Context(), claim("k", "b"))
	require.NoError(t, err)
	require.Equal(t, state.ClaimInProgress, result.Outcome, "the key belongs to the call that runs")
}

// A claim whose caller got an error may be granted. The error must say so, since the caller is
// the only one that frees the key, and the caller's release must work. Until then an attempt that
// asks again gets its grant, and no other does.
func TestClaimWithUnknownOutcomeIsLeftToItsAttempt(t *testing.T) {
	requireLeftToAttempt := func(t *testing.T, s *Service) {
		result, err := s.Claim(context.Background(), claim("k", "b"))
		require.NoError(t, err)
		require.Equal(t, state.ClaimInProgress, result.Outcome)
		result, err = s.Claim(context.Background(), claim("k", "a"))
		require.NoError(t, err)
		require.Equal(t, state.ClaimGranted, result.Outcome)
		outcome, err := s.Finish(t.Context(), state.Finish{Workspace: "w", Key: "k", Attempt: "a", Verdict: verdict.NotRun})
		require.NoError(t, err)
		require.Equal(t, state.FinishFreed, outcome)
		result, err = s.Claim(context.Background(), claim("k", "b"))
		require.NoError(t, err)
		require.Equal(t, state.ClaimGranted, result.Outcome)
	}
	t.Run("caller cancelled", func(t *testing.T) {
		a := newFakeProposer()
		a.gate = make(chan struct{})
		s := New(a, Options{})
		defer s.Close(t.Context())
		ctx, cancel := context.WithCancel(t.Context())
		claimErr := claimAsync(ctx, s, "k")
		require.Eventually(t, func() bool { return a.proposalCount() == 1 }, waitTimeout, time.Millisecond)
		cancel()
		requireCode(t, <-claimErr, verdict.MayHaveRun, verdict.CodeCancelled)
		close(a.gate)
		require.Eventually(t, func() bool { return a.machine.ClaimCount() == 1 }, waitTimeout, time.Millisecond)
		requireLeftToAttempt(t, s)
	})
	t.Run("result lost", func(t *testing.T) {
		a := newFakeProposer()
		a.errAfterApply = errors.New("connection reset")
		s := New(a, Options{})
		defer s.Close(t.Context())
		_, err := s.Claim(t.Context(), claim("k", "a"))
		requireCode(t, err, verdict.MayHaveRun, verdict.CodeInternal)
		requireLeftToAttempt(t, s)
	})
}

// A claim must not be given up while its caller waits and the log may still take it: with slow disks
// a commit takes seconds. When batches were given up after 5 s, callers with more time were refused
// although their claims were granted.
func TestClaimWaitsAsLongAsItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newFakeProposer()
		a.gate = make(chan struct{})
		s := New(a, Options{})
		defer s.Close(t.Context())
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		time.AfterFunc(15*time.Second, func() { close(a.gate) })
		result, err := s.Claim(ctx, claim("k", "a"))
		require.NoError(t, err)
		require.Equal(t, state.ClaimGranted, result.Outcome)
	})
}

// A claim whose caller stops waiting before its batch is sent must not be proposed. Otherwise
// its key would stay blocked until the unused grant is released.
func TestCancelledClaimIsNotProposed(t *testing.T) {
	a := newFakeProposer()
	a.gate = make(chan struct{})
	s := New(a, Options{})
	defer s.Close(t.Context())
	first := claimAsync(context.Background(), s, "1")
	require.Eventually(t, func() bool { return a.proposalCount() == 1 }, waitTimeout, time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	second := claimAsync(ctx, s, "2")
	require.Eventually(t, func() bool { return s.claims.pendingCount() == 1 }, waitTimeout, time.Millisecond)
	cancel()
	require.Error(t, <-second)
	close(a.gate)
	require.NoError(t, <-first)
	require.Eventually(t, func() bool { return s.claims.pendingCount() == 0 }, waitTimeout, time.Millisecond)
	require.Equal(t, 1, a.proposalCount())
	require.Equal(t, 1, a.machine.ClaimCount())
}

func TestClosedServiceRefusesClaims(t *testing.T) {
	a := newFakeProposer()
	a.gate = make(chan struct{})
	s := New(a, Options{})
	claimErr := claimAsync(context.Background(), s, "1")
	require.Eventually(t, func() bool { return a.proposalCount() == 1 }, waitTimeout, time.Millisecond)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	s.Close(cancelled)
	requireCode(t, <-claimErr, verdict.MayHaveRun, verdict.CodeCancelled)
	_, err := s.Claim(t.Context(), claim("2", "a"))
	requireCode(t, err, verdict.NotRun, verdict.CodeDraining)
}

// Close must wait for the batch in flight. Otherwise its claims would fail although the log
// applies them.
func TestCloseWaitsForBatchInFlight(t *testing.T) {
	a := newFakeProposer()
	a.gate = make(chan struct{})
	s := New(a, Options{})
	claimErr := claimAsync(context.Background(), s, "1")
	require.Eventually(t, func() bool { return a.proposalCount() == 1 }, waitTimeout, time.Millisecond)
	closed := make(chan struct{})
	go func() {
		s.Close(t.Context())
		close(closed)
	}()
	require.Eventually(t, func() bool {
		s.claims.mu.Lock()
		defer s.claims.mu.Unlock()
		return s.claims.closed
	}, waitTimeout, time.Millisecond)
	_, err := s.Claim(t.Context(), claim("2", "a"))
	requireCode(t, err, verdict.NotRun, verdict.CodeDraining)
	close(a.gate)
	require.NoError(t, <-claimErr)
	<-closed
}
