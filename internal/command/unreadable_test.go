package command

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// invalidText is not UTF-8. CBOR decoders refuse it.
const invalidText = "i-95\xff\xfe"

// heldService returns a service whose first claim waits in the log until the returned function is called, so
// that what is submitted meanwhile shares one entry.
func heldService(t *testing.T) (s *Service, machine *state.Machine, release func()) {
	a := newFakeProposer()
	a.gate = make(chan struct{})
	s = New(a, Options{})
	t.Cleanup(func() { s.Close(context.Background()) })
	claimAsync(t.Context(), s, "first")
	require.Eventually(t, func() bool { return a.proposalCount() == 1 }, waitTimeout, time.Millisecond)
	return s, a.machine, func() { close(a.gate) }
}

// Guards against a caller whose key, or host name, is no text and who takes the claims of the callers in the
// same entry with it: no replica can decode the entry.
func TestClaimWithInvalidTextCostsNoOtherClaim(t *testing.T) {
	s, machine, release := heldService(t)
	bad := []state.Claim{claim(invalidText, "a"), claim("k", "a"), claim("k", "a")}
	bad[1].Host, bad[2].Workspace = invalidText, invalidText
	var badErrs, goodErrs []<-chan error
	for i, c := range bad {
		result := make(chan error, 1)
		go func() {
			_, err := s.Claim(t.Context(), c)
			result <- err
		}()
		badErrs = append(badErrs, result)
		goodErrs = append(goodErrs, claimAsync(t.Context(), s, fmt.Sprint(i)))
	}
	require.Eventually(t, func() bool { return s.claims.pendingCount() >= len(goodErrs) }, waitTimeout, time.Millisecond)
	release()
	for _, err := range goodErrs {
		require.NoError(t, <-err)
	}
	for _, err := range badErrs {
		requireCode(t, <-err, verdict.NotRun, verdict.CodeBadRequest)
	}
	require.Equal(t, 1+len(goodErrs), machine.ClaimCount())
}

// Guards against outcomes that are lost, so that calls that ran count as unknown, because an upstream's
// response in the same entry has a content type that is no text or a body larger than is recorded.
func TestResponseThatCanNotBeRecordedCostsNoOutcome(t *testing.T) {
	for name, response := range map[string]*state.RecordedResponse{
		"content type": {Status: 200, ContentType: invalidText},
		"body":         {Status: 200, Body: make([]byte, 48<<20)},
	} {
		t.Run(name, func(t *testing.T) {
			a := newFakeProposer()
			s := New(a, Options{})
			defer s.Close(t.Context())
			for _, key := range []string{"k", "other"} {
				_, err := s.Claim(t.Context(), claim(key, "a"))
				require.NoError(t, err)
			}
			a.gate = make(chan struct{})
			go func() { _, _ = s.Finish(t.Context(), state.Finish{Workspace: "w", Key: "none", Attempt: "a"}) }()
			require.Eventually(t, func() bool { return a.proposalCount() == 3 }, waitTimeout, time.Millisecond)
			done := make(chan error, 2)
			for _, f := range []state.Finish{
				{Workspace: "w", Key: "k", Attempt: "a", Verdict: verdict.Ran, Response: response},
				{Workspace: "w", Key: "other", Attempt: "a", Verdict: verdict.Ran, Response: &state.RecordedResponse{Status: 200}},
			} {
				go func() {
					_, err := s.Finish(t.Context(), f)
					done <- err
				}()
			}
			require.Eventually(t, func() bool { return s.finishes.pendingCount() == 2 }, waitTimeout, time.Millisecond)
			close(a.gate)
			require.NoError(t, <-done)
			require.NoError(t, <-done)
			require.LessOrEqual(t, a.largestProposal(), state.MaxCommandBytes)
			for key, isRecorded := range map[string]bool{"k": false, "other": true} {
				result, err := s.Claim(t.Context(), claim(key, "b"))
				require.NoError(t, err)
				require.Equal(t, state.ClaimFinished, result.Outcome, key)
				require.Equal(t, verdict.Ran, result.Verdict, key)
				require.Equal(t, isRecorded, result.Response != nil, key)
			}
		})
	}
}

// Guards against commands of any text or size that are accepted and that no replica applies: what is refused
// is an error of its proposer and changes nothing.
func TestCommandsThatNoReplicaCanReadAreRefusedAtTheirProposer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := func(label string) string { return string(rapid.SliceOfN(rapid.Byte(), 1, 6).Draw(rt, label)) }
		a := newFakeProposer()
		s := New(a, Options{})
		defer s.Close(context.Background())
		c := state.SubmitDocument{Name: text("name"), ChangeID: text("change"), Author: text("author"), Text: text("text")}
		_, err := s.Submit(t.Context(), c)
		doc, isStored := a.machine.Document(c.Name)
		if err == nil {
			require.True(rt, isStored)
			require.Equal(rt, c.Text, doc.Text)
			return
		}
		requireCode(t, err, verdict.NotRun, verdict.CodeBadRequest)
		require.False(rt, isStored)
		require.Zero(rt, a.proposalCount(), "the log holds an entry that no replica can read")
	})
}

// Guards against a command that is accepted and that is too large for a message to the leader.
func TestCommandLargerThanAMessageIsRefused(t *testing.T) {
	a := newFakeProposer()
	s := New(a, Options{})
	defer s.Close(t.Context())
	_, err := s.Submit(t.Context(), state.SubmitDocument{
		Name: "d", ChangeID: "x", Author: "ann", Text: string(make([]byte, state.MaxCommandBytes)),
	})
	requireCode(t, err, verdict.NotRun, verdict.CodeTooLarge)
	require.Zero(t, a.proposalCount())
}
