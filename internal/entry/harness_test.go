package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

const (
	testTimeout = 15 * time.Second
	// secret is the shared secret of the peer sessions.
	secret      = "a secret of the processes"
	incarnation = 7
)

// testCatalog plans all calls as idempotent except bookings.
type testCatalog struct{ resumable bool }

func (c testCatalog) Resolve(l entry.Lookup) (entry.Plan, error) {
	if l.Model == "unknown" {
		return entry.Plan{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such model")
	}
	p := entry.Plan{Workspace: "velotrak", Pool: "pool", Kind: entry.KindModel, Model: l.Model, Resumable: c.resumable}
	p.Idempotent = l.Path != "/slots/book"
	return p, nil
}

// admitAll is an Admission that admits every request at once.
type admitAll struct{}

func (admitAll) Admit(context.Context, entry.AdmitRequest) (func(), error) {
	return func() {}, nil
}

// testRouter picks the first upstream that was not tried, and keeps the outcomes of attempts.
type testRouter struct {
	mu        sync.Mutex
	upstreams []wire.Upstream
	outcomes  []entry.Outcome
	// withheld has the upstreams to which nothing may be sent any more once they are chosen.
	withheld map[string]bool
}

func (r *testRouter) Pick(req entry.PickRequest) (entry.Pick, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		if !contains(req.Tried, u.Name) {
			return entry.Pick{Upstream: u, HasAlternative: len(r.upstreams)-len(req.Tried) > 1, Done: r.done, MaySend: func() bool { return !r.withheld[u.Name] }}, nil
		}
	}
	return entry.Pick{}, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "none left")
}

func (r *testRouter) done(o entry.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

func (r *testRouter) add(u wire.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.upstreams = append(r.upstreams, u)
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// testClaims behaves like the replicated claims of the control hosts, in memory.
type testClaims struct {
	mu    sync.Mutex
	byKey map[string]*testClaim
	// claimErr, if set, is the error of Claim.
	claimErr error
	// loseFinish makes Finish fail without an effect.
	loseFinish bool
}

type testClaim struct {
	digest  [32]byte
	attempt wire.AttemptID
	state   wire.ClaimState
	answer  *wire.Response
}

func (c *testClaims) Claim(_ context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claimErr != nil {
		return nil, c.claimErr
	}
	claim := c.byKey[r.Key]
	switch {
	case claim == nil:
		c.byKey[r.Key] = &testClaim{digest: r.Digest, attempt: r.Attempt, state: wire.ClaimInProgress}
		return &wire.ClaimReply{State: wire.ClaimGranted}, nil
	case claim.digest != r.Digest:
		return &wire.ClaimReply{State: wire.ClaimKeyReused}, nil
	}
	return &wire.ClaimReply{State: claim.state, Response: claim.answer}, nil
}

func (c *testClaims) Finish(_ context.Context, r *wire.FinishRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim := c.byKey[r.Key]
	if c.loseFinish || claim == nil || claim.attempt != r.Attempt {
		return verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "lost")
	}
	switch verdict.Verdict(r.Verdict) {
	case verdict.NotRun:
		delete(c.byKey, r.Key)
	case verdict.Ran:
		claim.state, claim.answer = wire.ClaimFinished, r.Response
	default:
		claim.state = wire.ClaimUnknown
	}
	return nil
}

// testProxy is an entry host with real HTTP callers and real peer sessions with agents, all in one
// process.
type testProxy struct {
	t       testing.TB
	url     string
	pool    *peer.Pool
	server  *entry.Server
	router  *testRouter
	claims  *testClaims
	metrics metrics.Registry
}

func startTestProxy(t testing.TB, change func(*entry.Config)) *testProxy {
	p := &testProxy{
		t:       t,
		router:  &testRouter{},
		claims:  &testClaims{byKey: make(map[string]*testClaim)},
		metrics: metrics.NewRegistry(),
	}
	p.pool = peer.NewPool(peer.Config{
		Hello:   wire.Hello{Host: "entry", Address: "127.0.0.1:1"},
		Secret:  secret,
		Metrics: p.metrics,
		Handler: peer.HandlerFunc(func(s *peer.Session, _ uint64, m wire.Message) { p.server.HandlePeer(s, m) }),
	})
	t.Cleanup(p.pool.Close)
	cfg := entry.Config{
		Catalog:     testCatalog{},
		Admission:   admitAll{},
		Router:      p.router,
		Claims:      p.claims,
		Sessions:    p.pool,
		Metrics:     p.metrics,
		MaxDeadline: testTimeout,
	}
	if change != nil {
		change(&cfg)
	}
	p.server = entry.New(cfg)
	srv := httptest.NewServer(p.server)
	t.Cleanup(srv.Close)
	p.url = srv.URL
	return p
}

// addHost adds an upstream whose host handles peer messages with h.
func (p *testProxy) addHost(name string, h peer.Handler) *peer.Pool {
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	p.t.Cleanup(srv.Close)
	address := strings.TrimPrefix(srv.URL, "http://")
	pool := peer.NewPool(peer.Config{Hello: wire.Hello{Host: name, Address: address}, Secret: secret, Metrics: p.metrics, Handler: h})
	p.t.Cleanup(pool.Close)
	mux.Handle(peer.Path, peer.NewServer(pool))
	p.router.add(wire.Upstream{Name: name, Address: address, Incarnation: incarnation, Pool: "pool"})
	return pool
}

// addUpstream adds an upstream with the HTTP handler h and a real agent in front of it.
func (p *testProxy) addUpstream(name string, h http.Handler, change func(*agent.Config)) (*agent.Agent, *peer.Pool) {
	srv := httptest.NewServer(h)
	p.t.Cleanup(srv.Close)
	return p.addUpstreamAt(name, srv.URL, change)
}

// addUpstreamAt adds the upstream at a URL and a real agent in front of it. change may be nil.
func (p *testProxy) addUpstreamAt(name, url string, change func(*agent.Config)) (*agent.Agent, *peer.Pool) {
	cfg := agent.Config{
		Identity: wire.Upstream{Name: name, Incarnation: incarnation, Pool: "pool"},
		URL:      url,
		Metrics:  p.metrics,
	}
	if change != nil {
		change(&cfg)
	}
	a, err := agent.New(cfg)
	require.NoError(p.t, err)
	a.MarkReady()
	pool := p.addHost(name, peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) { a.HandlePeer(s, call, m) }))
	return a, pool
}

func (p *testProxy) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.metrics).Count()
}

// response is a response as the caller received it.
type response struct {
	status int
	header http.Header
	body   string
	// err is the error of reading the body, nil if the body is complete.
	err error
}

func (r response) verdict() string { return r.header.Get(verdict.Header) }

func (p *testProxy) newRequest(ctx context.Context, method, target, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, p.url+target, strings.NewReader(body))
	require.NoError(p.t, err)
	r.Header.Set("Authorization", "Bearer token")
	return r
}

// do sends a request and reads the response to its end.
func (p *testProxy) do(r *http.Request) response {
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(p.t, err)
	return read(resp)
}

// read reads a response to its end.
func read(resp *http.Response) response {
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, err := io.Copy(&b, resp.Body)
	return response{resp.StatusCode, resp.Header, b.String(), err}
}

// complete sends a completion call. The prompt is also its request id.
func (p *testProxy) complete(prompt string, tokens int, stream bool) response {
	return p.do(p.newCompletion(context.Background(), prompt, tokens, stream))
}

func (p *testProxy) completionBody(prompt string, tokens int, stream bool) []byte {
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	require.NoError(p.t, err)
	return body
}

func (p *testProxy) newCompletion(ctx context.Context, prompt string, tokens int, stream bool) *http.Request {
	r := p.newRequest(ctx, http.MethodPost, "/v1/completions", string(p.completionBody(prompt, tokens, stream)))
	r.Header.Set(entry.RequestIDHeader, prompt)
	return r
}

// book sends a booking, which is the non-idempotent call of the stand-in service.
func (p *testProxy) book(key, rider string) response {
	r := p.newRequest(context.Background(), http.MethodPost, "/slots/book", `{"slot":"A1","rider":"`+rider+`"}`)
	if key != "" {
		r.Header.Set(entry.IdempotencyKeyHeader, key)
	}
	return p.do(r)
}

// expectedStream is the complete body of a streamed completion.
func expectedStream(prompt string, tokens int) string {
	return strings.Join(standin.Stream(prompt, tokens), "")
}

func requireCompleteStream(t testing.TB, prompt string, tokens int, r response) {
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, expectedStream(prompt, tokens), r.body)
	require.Equal(t, "ran", r.verdict())
}
