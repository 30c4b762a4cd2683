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
	patience    = 15 * time.Second
	secret      = "a secret of the processes"
	incarnation = 7
)

// testCatalog plans all calls as idempotent but for bookings.
type testCatalog struct{ resumable bool }

func (c testCatalog) Resolve(l entry.Lookup) (entry.Plan, error) {
	if l.Model == "unknown" {
		return entry.Plan{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no such model")
	}
	p := entry.Plan{Workspace: "velotrak", Pool: "pool", Kind: entry.KindModel, Model: l.Model, Resumable: c.resumable}
	p.Idempotent = l.Path != "/slots/book"
	return p, nil
}

type openAdmission struct{}

func (openAdmission) Admit(context.Context, entry.AdmitRequest) (func(), error) {
	return func() {}, nil
}

// testRouter picks the first upstream that was not tried.
type testRouter struct {
	mu        sync.Mutex
	upstreams []wire.Upstream
	outcomes  []entry.Outcome
}

func (r *testRouter) Pick(q entry.PickRequest) (entry.Pick, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range r.upstreams {
		if !contains(q.Tried, u.Name) {
			return entry.Pick{Upstream: u, Done: r.done}, nil
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

// testClaims follows the rules of the replicated claims in one process.
type testClaims struct {
	mu     sync.Mutex
	byKey  map[string]*testClaim
	refuse error
	// lose makes Finish fail.
	lose bool
}

type testClaim struct {
	digest  [32]byte
	attempt wire.AttemptID
	state   wire.ClaimState
	answer  *wire.Answer
}

func (c *testClaims) Claim(_ context.Context, r *wire.ClaimRequest) (*wire.ClaimReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refuse != nil {
		return nil, c.refuse
	}
	held := c.byKey[r.Key]
	switch {
	case held == nil:
		c.byKey[r.Key] = &testClaim{digest: r.Digest, attempt: r.Attempt, state: wire.ClaimInProgress}
		return &wire.ClaimReply{State: wire.ClaimGranted}, nil
	case held.digest != r.Digest:
		return &wire.ClaimReply{State: wire.ClaimKeyReused}, nil
	}
	return &wire.ClaimReply{State: held.state, Answer: held.answer}, nil
}

func (c *testClaims) Finish(_ context.Context, r *wire.FinishRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.byKey[r.Key]
	if c.lose || held == nil || held.attempt != r.Attempt {
		return verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "lost")
	}
	switch verdict.Verdict(r.Verdict) {
	case verdict.NotRun:
		delete(c.byKey, r.Key)
	case verdict.Ran:
		held.state, held.answer = wire.ClaimFinished, r.Answer
	default:
		held.state = wire.ClaimUnknown
	}
	return nil
}

// path is an entry host with real sessions to agents, in one process.
type path struct {
	t       testing.TB
	url     string
	pool    *peer.Pool
	server  *entry.Server
	router  *testRouter
	claims  *testClaims
	metrics metrics.Registry
}

func startPath(t testing.TB, change func(*entry.Config)) *path {
	p := &path{
		t:       t,
		router:  &testRouter{},
		claims:  &testClaims{byKey: make(map[string]*testClaim)},
		metrics: metrics.NewRegistry(),
	}
	p.pool = peer.NewPool(peer.Config{
		Hello:   wire.Hello{Host: "entry", Address: "127.0.0.1:1"},
		Secret:  secret,
		Handler: peer.HandlerFunc(func(s *peer.Session, _ uint64, m wire.Message) { p.server.HandlePeer(s, m) }),
	})
	t.Cleanup(p.pool.Close)
	cfg := entry.Config{
		Catalog:     testCatalog{},
		Admission:   openAdmission{},
		Router:      p.router,
		Claims:      p.claims,
		Sessions:    p.pool,
		Metrics:     p.metrics,
		MaxDeadline: patience,
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

// host is an upstream host whose peer listener hands messages to h.
func (p *path) host(name string, h peer.Handler) *peer.Pool {
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	p.t.Cleanup(srv.Close)
	address := strings.TrimPrefix(srv.URL, "http://")
	pool := peer.NewPool(peer.Config{Hello: wire.Hello{Host: name, Address: address}, Secret: secret, Handler: h})
	p.t.Cleanup(pool.Close)
	mux.Handle(peer.Path, peer.NewServer(pool))
	p.router.add(wire.Upstream{Name: name, Address: address, Incarnation: incarnation, Pool: "pool"})
	return pool
}

// upstream starts a real agent in front of h.
func (p *path) upstream(name string, h http.Handler, change func(*agent.Config)) (*agent.Agent, *peer.Pool) {
	srv := httptest.NewServer(h)
	p.t.Cleanup(srv.Close)
	cfg := agent.Config{
		Identity: wire.Upstream{Name: name, Incarnation: incarnation, Pool: "pool"},
		URL:      srv.URL,
		Metrics:  p.metrics,
	}
	if change != nil {
		change(&cfg)
	}
	a, err := agent.New(cfg)
	require.NoError(p.t, err)
	a.MarkReady()
	pool := p.host(name, peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) { a.HandlePeer(s, call, m) }))
	return a, pool
}

func (p *path) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.metrics).Count()
}

type reply struct {
	status int
	header http.Header
	body   string
	// err is how reading the body ended, nil for a whole one.
	err error
}

func (r reply) verdict() string { return r.header.Get(verdict.Header) }

func (p *path) newRequest(ctx context.Context, method, target, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, p.url+target, strings.NewReader(body))
	require.NoError(p.t, err)
	r.Header.Set("Authorization", "Bearer token")
	return r
}

func (p *path) do(r *http.Request) reply {
	resp, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(p.t, err)
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	_, err = io.Copy(&b, resp.Body)
	return reply{resp.StatusCode, resp.Header, b.String(), err}
}

func (p *path) complete(prompt string, tokens int, stream bool) reply {
	return p.do(p.completion(context.Background(), prompt, tokens, stream))
}

func (p *path) body(prompt string, tokens int, stream bool) []byte {
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	require.NoError(p.t, err)
	return body
}

func (p *path) completion(ctx context.Context, prompt string, tokens int, stream bool) *http.Request {
	r := p.newRequest(ctx, http.MethodPost, "/v1/completions", string(p.body(prompt, tokens, stream)))
	r.Header.Set(entry.RequestIDHeader, prompt)
	return r
}

func (p *path) book(key, rider string) reply {
	r := p.newRequest(context.Background(), http.MethodPost, "/slots/book", `{"slot":"A1","rider":"`+rider+`"}`)
	if key != "" {
		r.Header.Set(entry.KeyHeader, key)
	}
	return p.do(r)
}

func stream(prompt string, tokens int) string {
	return strings.Join(standin.Stream(prompt, tokens), "")
}

func whole(t testing.TB, prompt string, tokens int, r reply) {
	require.NoError(t, r.err)
	require.Equal(t, http.StatusOK, r.status, r.body)
	require.Equal(t, stream(prompt, tokens), r.body)
	require.Equal(t, "ran", r.verdict())
}
