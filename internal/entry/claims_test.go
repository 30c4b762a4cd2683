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
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// A request that exceeds the memory budget of all requests must be refused at once, and accepted
// again once other requests have ended. Without reserveResponse in prepare the second booking runs
// at the same time as the first.
func TestBytesOfAllRequestsAreBounded(t *testing.T) {
	const answerBytes = 64 << 10
	p := startTestProxy(t, func(c *entry.Config) {
		c.MaxResponse, c.FlowWindow = answerBytes, 1<<10
		const limit = (answerBytes + 8<<10) * 4 / 3 // of it three quarters for responses
		c.Memory = memory.NewBudget(memory.Limits{Total: limit, Connection: limit})
	})
	s := standin.NewService(0)
	started, release := make(chan struct{}, 8), make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	defer unblock()
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
	unblock()
	require.Equal(t, "ran", (<-first).verdict())
	require.Eventually(t, func() bool { return p.book("k2", "ana").verdict() == "ran" }, testTimeout, time.Millisecond)
	require.Equal(t, 1, s.Executions().ByKey["k2"].Started)
}

// tokenCatalog accepts a single bearer token.
type tokenCatalog struct{ testCatalog }

func (c tokenCatalog) Resolve(l entry.Lookup) (entry.Plan, error) {
	if l.TokenHash != sha256.Sum256([]byte("token")) {
		return entry.Plan{}, verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown bearer token")
	}
	return c.testCatalog.Resolve(l)
}

// blockedBody is a request body that never arrives. Read blocks until the context of the request
// times out.
type blockedBody struct{ ctx context.Context }

func (u blockedBody) Read([]byte) (int, error) {
	<-u.ctx.Done()
	return 0, io.ErrUnexpectedEOF
}

// An unknown caller must be refused before its body arrives. Without resolveEarly the response
// waits for the body.
func TestUnknownCallerIsRefusedBeforeItsBodyIsRead(t *testing.T) {
	p := startTestProxy(t, func(c *entry.Config) { c.Catalog = tokenCatalog{} })
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

// lossyClaims commits claims but can lose their replies, and loses the first calls of Finish.
type lossyClaims struct {
	*testClaims
	loseReply bool
	// finishesToLose is how many further calls of Finish fail without an effect.
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

// A claim whose reply was lost must be released even if there is no leader for a while, so that
// the key can be used again. If finishInBackground did not retry, the key would stay in progress.
func TestClaimWithLostReplyIsReleased(t *testing.T) {
	claims := &lossyClaims{testClaims: &testClaims{byKey: make(map[string]*testClaim)}, loseReply: true, finishesToLose: 1}
	p := startTestProxy(t, func(c *entry.Config) { c.Claims = claims })
	s := standin.NewService(0)
	p.addUpstream("u1", s, nil)
	r := p.book("k", "ana")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.True(t, strings.Contains(r.body, "SAME key"), r.body)
	claims.loseReply = false
	require.Eventually(t, func() bool { return p.book("k", "ana").verdict() == "ran" }, testTimeout, 10*time.Millisecond)
	require.Equal(t, 1, s.Executions().ByKey["k"].Started)
}

// delayedClaims commits the first claim only after the first Finish of its attempt, as happens
// if the claim is delayed on the network.
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

// A claim that is committed after its Finish must be released too. Without mayClaimCommitLate in
// finishInBackground, Finish is not sent again and the key stays in progress.
func TestClaimCommittedAfterItsFinishIsReleased(t *testing.T) {
	claims := &delayedClaims{testClaims: &testClaims{byKey: make(map[string]*testClaim)}}
	p := startTestProxy(t, func(c *entry.Config) { c.Claims = claims })
	s := standin.NewService(0)
	p.addUpstream("u1", s, nil)
	require.Contains(t, p.book("k", "ana").body, "SAME key")
	require.Eventually(t, func() bool {
		claims.mu.Lock()
		defer claims.mu.Unlock()
		return claims.isCommitted
	}, testTimeout, time.Millisecond, "the delayed claim is committed")
	require.Eventually(t, func() bool { return p.book("k", "ana").verdict() == "ran" }, testTimeout, 10*time.Millisecond)
	require.Equal(t, 1, s.Executions().ByKey["k"].Started)
}

// An outcome that could not be recorded at first must be recorded in the background. Without
// finishInBackground in finish, a repeated request is told that the call is in progress.
func TestFailedFinishIsRetriedInBackground(t *testing.T) {
	claims := &lossyClaims{testClaims: &testClaims{byKey: make(map[string]*testClaim)}, finishesToLose: 2}
	p := startTestProxy(t, func(c *entry.Config) { c.Claims = claims })
	s := standin.NewService(0)
	p.addUpstream("u1", s, nil)
	first := p.book("k", "ana")
	require.Equal(t, "ran", first.verdict())
	require.Eventually(t, func() bool {
		again := p.book("k", "ana")
		return again.body == first.body && again.header.Get(entry.ReplayedHeader) == "true"
	}, testTimeout, 10*time.Millisecond)
	require.Equal(t, 1, s.Executions().ByKey["k"].Started)
}

// refuseAll is an Admission that refuses every request.
type refuseAll struct{}

func (refuseAll) Admit(context.Context, entry.AdmitRequest) (func(), error) {
	return nil, verdict.New(verdict.NotRun, verdict.CodeLimited, "limit").WithRetryAfter(time.Second)
}

// A booking that is refused before its claim is checked must not get the verdict not-run, since an
// earlier request with the same key may have run. An idempotent call keeps not-run. Without
// isClaimUnchecked the booking gets not-run.
func TestRefusalBeforeTheClaimCheckIsNotCalledNotRun(t *testing.T) {
	p := startTestProxy(t, func(c *entry.Config) { c.Admission = refuseAll{} })
	r := p.book("k", "ana")
	require.Equal(t, http.StatusTooManyRequests, r.status)
	require.Equal(t, "may-have-run", r.verdict())
	require.Contains(t, r.body, "SAME key")
	require.Equal(t, "not-run", p.complete("x", 1, false).verdict())
}
