package entry_test

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// The bytes of all requests together are bounded; what does not fit is refused at
// once and fits again when others have ended. Without reserve in prepare this
// fails: the second booking runs.
func TestBytesOfAllRequestsAreBounded(t *testing.T) {
	const answerBytes = 64 << 10
	p := startHarness(t, func(c *entry.Config) {
		c.MaxResponse, c.Window = answerBytes, 1<<10
		c.MaxBuffered = answerBytes + 8<<10
	})
	s := standin.NewService(0)
	started, release := make(chan struct{}, 8), make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end()
	p.addUpstream("u1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-release
		s.ServeHTTP(w, r)
	}), nil)
	first := make(chan response, 1)
	go func() { first <- p.book("k1", "ana") }()
	<-started
	r := p.book("k2", "ana")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "1", r.header.Get("Retry-After"))
	require.Contains(t, r.body, "too many bytes")
	end()
	require.Equal(t, "ran", (<-first).verdict())
	require.Eventually(t, func() bool { return p.book("k2", "ana").verdict() == "ran" }, testTimeout, time.Millisecond)
	require.Equal(t, 1, s.Executions().ByKey["k2"].Begun)
}

// tokenCatalog knows one token.
type tokenCatalog struct{ testCatalog }

func (c tokenCatalog) Resolve(l entry.Lookup) (entry.Plan, error) {
	if l.TokenHash != sha256.Sum256([]byte("token")) {
		return entry.Plan{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown bearer token")
	}
	return c.testCatalog.Resolve(l)
}

// blockedBody is a body that never comes; reading it fails the test's time limit.
type blockedBody struct{ ctx context.Context }

func (u blockedBody) Read([]byte) (int, error) {
	<-u.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}

// An unknown caller is refused before any byte of its body. Without resolveEarly
// this fails: the answer does not come as long as the body does not.
func TestUnknownCallerIsRefusedBeforeItsBodyIsRead(t *testing.T) {
	p := startHarness(t, func(c *entry.Config) { c.Catalog = tokenCatalog{} })
	for _, target := range []string{"/v1/completions", "/slots/book"} {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url+target, blockedBody{ctx})
		require.NoError(t, err)
		r.Header.Set("Authorization", "Bearer another")
		resp, err := http.DefaultTransport.RoundTrip(r)
		require.NoError(t, err, target)
		require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
		require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
		cancel()
		_ = resp.Body.Close()
	}
}

// lossyClaims loses the reply of each claim that it grants, and the first finishes.
type lossyClaims struct {
	*testClaims
	loseReply      bool
	finishesToLose int
}

func (c *lossyClaims) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	reply, err := c.testClaims.Claim(ctx, r)
	if err == nil && c.loseReply {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "reply lost")
	}
	return reply, err
}

func (c *lossyClaims) Finish(ctx context.Context, r *wire.FinishRequest) error {
	c.mu.Lock()
	isLost := c.finishesToLose > 0
	c.finishesToLose--
	c.mu.Unlock()
	if isLost {
		return verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "leader died")
	}
	return c.testClaims.Finish(ctx, r)
}

// A claim whose reply was lost is given back also where the leader is gone for a
// while, so that the key can be used. Without the tries of keepFinishing this
// fails: the key stays in progress.
func TestClaimWithLostReplyIsReleased(t *testing.T) {
	claims := &lossyClaims{testClaims: &testClaims{byKey: make(map[string]*testClaim)}, loseReply: true, finishesToLose: 1}
	p := startHarness(t, func(c *entry.Config) { c.Claims = claims })
	s := standin.NewService(0)
	p.addUpstream("u1", s, nil)
	r := p.book("k", "ana")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.True(t, strings.Contains(r.body, "SAME key"), r.body)
	claims.loseReply = false
	require.Eventually(t, func() bool { return p.book("k", "ana").verdict() == "ran" }, testTimeout, 10*time.Millisecond)
	require.Equal(t, 1, s.Executions().ByKey["k"].Begun)
}

// delayedClaims commits a claim only after the first finish of its attempt.
type delayedClaims struct {
	*testClaims
	delayedClaim *wire.ClaimRequest
	isCommitted  bool
}

func (c *delayedClaims) Claim(ctx context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	c.mu.Lock()
	isFirst := c.delayedClaim == nil
	if isFirst {
		c.delayedClaim = r
	}
	c.mu.Unlock()
	if isFirst {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "no reply")
	}
	return c.testClaims.Claim(ctx, r)
}

func (c *delayedClaims) Finish(ctx context.Context, r *wire.FinishRequest) error {
	err := c.testClaims.Finish(ctx, r)
	c.mu.Lock()
	isFirst := !c.isCommitted && c.delayedClaim.Attempt == r.Attempt && err != nil
	c.mu.Unlock()
	if isFirst {
		_, _ = c.testClaims.Claim(ctx, c.delayedClaim)
		c.mu.Lock()
		c.isCommitted = true
		c.mu.Unlock()
	}
	return nil
}

// A claim that is committed after its finish is given back too. Without isClaimUnclear
// in keepFinishing this fails: the key stays in progress.
func TestClaimCommittedAfterItsFinishIsReleased(t *testing.T) {
	claims := &delayedClaims{testClaims: &testClaims{byKey: make(map[string]*testClaim)}}
	p := startHarness(t, func(c *entry.Config) { c.Claims = claims })
	s := standin.NewService(0)
	p.addUpstream("u1", s, nil)
	require.Contains(t, p.book("k", "ana").body, "SAME key")
	require.Eventually(t, func() bool {
		claims.mu.Lock()
		defer claims.mu.Unlock()
		return claims.isCommitted
	}, testTimeout, time.Millisecond, "the late claim")
	require.Eventually(t, func() bool { return p.book("k", "ana").verdict() == "ran" }, testTimeout, 10*time.Millisecond)
	require.Equal(t, 1, s.Executions().ByKey["k"].Begun)
}

// An outcome that could not be recorded at first is recorded beside the answer.
// Without finishLater in finish this fails: a resend finds the call in progress.
func TestFailedFinishIsRetriedInBackground(t *testing.T) {
	claims := &lossyClaims{testClaims: &testClaims{byKey: make(map[string]*testClaim)}, finishesToLose: 2}
	p := startHarness(t, func(c *entry.Config) { c.Claims = claims })
	s := standin.NewService(0)
	p.addUpstream("u1", s, nil)
	first := p.book("k", "ana")
	require.Equal(t, "ran", first.verdict())
	require.Eventually(t, func() bool {
		again := p.book("k", "ana")
		return again.body == first.body && again.header.Get(entry.ReplayedHeader) == "true"
	}, testTimeout, 10*time.Millisecond)
	require.Equal(t, 1, s.Executions().ByKey["k"].Begun)
}

// rejectingAdmission refuses everything.
type rejectingAdmission struct{}

func (rejectingAdmission) Admit(context.Context, entry.AdmitRequest) (func(), error) {
	return nil, verdict.New(verdict.NotRun, verdict.CodeLimited, "limit").WithRetryAfter(time.Second)
}

// A refusal before the claim is looked at says nothing of a key's earlier sendings;
// without a key, and on calls that may repeat, "not run" stays. Without isKeyOpen
// this fails: the booking is told not-run.
func TestRefusalBeforeTheClaimCheckIsNotCalledNotRun(t *testing.T) {
	p := startHarness(t, func(c *entry.Config) { c.Admission = rejectingAdmission{} })
	r := p.book("k", "ana")
	require.Equal(t, http.StatusTooManyRequests, r.status)
	require.Equal(t, "may-have-run", r.verdict())
	require.Contains(t, r.body, "SAME key")
	require.Equal(t, "not-run", p.complete("x", 1, false).verdict())
}
