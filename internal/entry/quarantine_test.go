package entry_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// crashTestProxy is an entry host with a quarantine and with engines that some prompts crash.
type crashTestProxy struct {
	*testProxy
	keeper *quarantine.Keeper
	// clockOffset is how far the quarantine's clock is ahead of the real one.
	clockOffset atomic.Int64
	// crashes counts the crashes of all engines.
	crashes atomic.Int64
}

func startCrashTestProxy(t *testing.T, names ...string) *crashTestProxy {
	p := &crashTestProxy{}
	began := time.Now()
	p.keeper = quarantine.NewKeeper(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: func() time.Duration { return time.Since(began) + time.Duration(p.clockOffset.Load()) },
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	p.testProxy = startTestProxy(t, func(c *entry.Config) { c.Quarantine = p.keeper })
	for _, name := range names {
		p.addCrashingUpstream(name)
	}
	return p
}

// addCrashingUpstream adds an upstream that stops listening, as after a crash, when it runs the
// prompt standin.Poison or any booking.
func (p *crashTestProxy) addCrashingUpstream(name string) {
	var srv *httptest.Server
	crash := func() {
		p.crashes.Add(1)
		_ = srv.Listener.Close()
	}
	mux := http.NewServeMux()
	mux.Handle("/", standin.NewEngine(standin.EngineConfig{Crash: crash}))
	mux.HandleFunc("/slots/book", func(http.ResponseWriter, *http.Request) {
		crash()
		panic(http.ErrAbortHandler)
	})
	srv = httptest.NewServer(mux)
	p.t.Cleanup(srv.Close)
	base, err := url.Parse(srv.URL)
	require.NoError(p.t, err)
	p.addUpstream(name, http.NotFoundHandler(), func(c *agent.Config) { c.URL = base.String() })
}

// A request whose upstream crashed must not be retried on another upstream. After it has crashed
// two upstreams, it must be refused with not-run and without a Retry-After, while other requests
// are served.
func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	for _, isStream := range []bool{false, true} {
		p := startCrashTestProxy(t, "u1", "u2", "u3")
		for n := range 2 {
			r := p.complete(standin.Poison, tokens, isStream)
			require.Equal(t, http.StatusBadGateway, r.status)
			require.Equal(t, "may-have-run", r.verdict())
			require.EqualValues(t, n+1, p.crashes.Load(), "each request reaches one upstream only")
			p.clockOffset.Add(int64(10 * time.Second))
		}
		for range 3 {
			r := p.complete(standin.Poison, tokens, isStream)
			require.Equal(t, http.StatusServiceUnavailable, r.status)
			require.Equal(t, "not-run", r.verdict())
			require.Empty(t, r.header.Get("Retry-After"))
			require.Contains(t, r.body, string(verdict.CodeQuarantined))
		}
		require.EqualValues(t, 2, p.crashes.Load())
		requireCompleteStream(t, "innocent", tokens, p.complete("innocent", tokens, true))
		list := p.keeper.List()
		require.Len(t, list, 1)
		require.Equal(t, standin.Poison, list[0].Ends[0].Request, "the id that its caller gave it")
		require.Equal(t, "velotrak", list[0].Workspace)
	}
}

// A non-idempotent call that is refused because it is in quarantine did not run, so its claim must
// be released. A repeated request with a key that was dispatched before must still get
// may-have-run.
func TestQuarantinedCallReleasesItsClaim(t *testing.T) {
	p := startCrashTestProxy(t, "u1", "u2")
	for _, key := range []string{"k1", "k2"} {
		r := p.book(key, "rider")
		require.Equal(t, http.StatusBadGateway, r.status)
		require.Equal(t, "may-have-run", r.verdict())
		p.router.mu.Lock()
		p.router.upstreams = p.router.upstreams[1:]
		p.router.mu.Unlock()
		p.clockOffset.Add(int64(10 * time.Second))
	}
	r := p.book("k3", "rider")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not-run", r.verdict())
	require.Contains(t, r.body, string(verdict.CodeQuarantined))
	p.claims.mu.Lock()
	require.NotContains(t, p.claims.byKey, "k3")
	p.claims.mu.Unlock()
	r = p.book("k1", "rider")
	require.Equal(t, http.StatusConflict, r.status)
	require.Equal(t, "may-have-run", r.verdict())
	require.EqualValues(t, 2, p.crashes.Load())
}

// If a response breaks off but the upstream still runs, the call must be retried and the request
// must not be suspected.
func TestBrokenResponseIsNotACrash(t *testing.T) {
	p := startCrashTestProxy(t)
	engines := []*standin.Engine{standin.NewEngine(standin.EngineConfig{}), standin.NewEngine(standin.EngineConfig{})}
	p.addUpstream("u1", engines[0], nil)
	p.addUpstream("u2", engines[1], nil)
	engines[0].Fail(standin.Failure{Mode: standin.Die, After: 2, Times: 1})
	r := p.complete("prompt", tokens, false)
	require.Equal(t, http.StatusOK, r.status)
	require.Empty(t, p.keeper.List())
}

// Guards against a crash that is found only by the agent's next poll, when the attempt that caused it has
// been forgotten: nothing is sent to the upstream after the caller has left, and the agent does not poll.
func TestAgentFindsCrashAfterAbandonedAttemptWithoutPoll(t *testing.T) {
	p := startTestProxy(t, nil)
	running, left := make(chan struct{}), make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(running)
		<-r.Context().Done()
		close(left)
	}))
	t.Cleanup(srv.Close)
	abandoned, ends := make(chan struct{}), make(chan int64, 1)
	p.addUpstream("u1", http.NotFoundHandler(), func(c *agent.Config) {
		c.URL = srv.URL
		c.OnAbandoned = func(*wire.Dispatch, time.Duration) { close(abandoned) }
		c.OnUpstreamEnded = func(at int64) { ends <- at }
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-running
		leave()
	}()
	if resp, err := http.DefaultTransport.RoundTrip(p.newCompletion(ctx, "prompt", tokens, true)); err == nil {
		_ = resp.Body.Close()
	}
	<-left
	<-abandoned
	// Within the second for which the attempt is remembered.
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, srv.Listener.Close())
	select {
	case at := <-ends:
		require.NotZero(t, at)
	case <-time.After(10 * time.Second):
		require.Fail(t, "the crash was not found")
	}
}

// Guards against a crash that nobody attributes because its report was queued on a session that broke before
// the entry host could read it. Whether it was read does not matter, so the session ends afterwards here.
func TestAgentReportsCrashAgainWhenItsSessionEnds(t *testing.T) {
	for _, hasHeader := range []bool{false, true} {
		p := startTestProxy(t, nil)
		var srv *httptest.Server
		srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if hasHeader {
				_ = http.NewResponseController(w).Flush()
			}
			_ = srv.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(srv.Close)
		calls := make(chan string, 4)
		_, pool := p.addUpstream("u1", http.NotFoundHandler(), func(c *agent.Config) {
			c.URL = srv.URL
			c.OnAbandoned = func(d *wire.Dispatch, _ time.Duration) { calls <- "abandoned " + d.RequestID }
			c.OnUpstreamEnded = func(int64) { calls <- "ended" }
		})
		require.Equal(t, http.StatusBadGateway, p.complete("prompt", tokens, false).status)
		require.Equal(t, "ended", <-calls)
		for _, s := range pool.Sessions() {
			s.Close()
		}
		for _, want := range []string{"abandoned prompt", "ended"} {
			select {
			case got := <-calls:
				require.Equal(t, want, got)
			case <-time.After(10 * time.Second):
				require.Fail(t, "the crash was not reported again")
			}
		}
	}
}

// If the caller leaves just before the upstream crashes, the entry host does not learn of the crash.
// The agent must report the attempt as well as the crash, whichever it notices first: otherwise a
// request that crashes upstreams goes unsuspected.
func TestAgentReportsCrashUnderAbandonedAttempt(t *testing.T) {
	for name, crashesFirst := range map[string]bool{"the caller leaves first": false, "the upstream crashes first": true} {
		t.Run(name, func(t *testing.T) {
			p := startTestProxy(t, nil)
			running, left := make(chan struct{}), make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					// The server notices that its client has left only once the body is read.
					_, _ = io.Copy(io.Discard, r.Body)
					close(running)
					<-r.Context().Done()
					close(left)
				}
			}))
			t.Cleanup(srv.Close)
			abandoned, ends := make(chan string, 1), make(chan int64, 2)
			a, _ := p.addUpstream("u1", http.NotFoundHandler(), func(c *agent.Config) {
				c.URL, c.IsEngine = srv.URL, true
				c.OnAbandoned = func(d *wire.Dispatch, _ time.Duration) { abandoned <- d.RequestID }
				c.OnUpstreamEnded = func(at int64) { ends <- at }
			})
			crash := func() {
				require.NoError(t, srv.Listener.Close())
				// The agent has no connection left on which it could ask for the load.
				require.Error(t, a.PollOnce(t.Context()))
			}
			ctx, leave := context.WithCancel(t.Context())
			go func() {
				<-running
				if crashesFirst {
					crash()
				}
				leave()
			}()
			resp, err := http.DefaultTransport.RoundTrip(p.newCompletion(ctx, "prompt", tokens, true))
			if err == nil {
				_ = resp.Body.Close()
			}
			<-left
			require.Equal(t, "prompt", <-abandoned)
			if !crashesFirst {
				crash()
			}
			at := <-ends
			require.NotZero(t, at)
			if crashesFirst {
				require.Equal(t, at, <-ends, "the end must be reported again, after the attempt")
			}
		})
	}
}
