package entry_test

import (
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
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// crashHarness is an entry host before engines that a prompt may end.
type crashHarness struct {
	*harness
	keeper *quarantine.Keeper
	// clockOffset is by how much the quarantine's clock is ahead.
	clockOffset atomic.Int64
	// crashes counts the engines' ends.
	crashes atomic.Int64
}

func startCrashHarness(t *testing.T, names ...string) *crashHarness {
	m := &crashHarness{}
	began := time.Now()
	m.keeper = quarantine.NewKeeper(quarantine.Config{
		Limits: quarantine.DefaultLimits, Now: func() time.Duration { return time.Since(began) + time.Duration(m.clockOffset.Load()) },
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	m.harness = startHarness(t, func(c *entry.Config) { c.Quarantine = m.keeper })
	for _, name := range names {
		m.addCrashingUpstream(name)
	}
	return m
}

// addCrashingUpstream adds an engine, and a service of bookings beside it, that end under a poison.
func (m *crashHarness) addCrashingUpstream(name string) {
	var srv *httptest.Server
	end := func() {
		m.crashes.Add(1)
		_ = srv.Listener.Close()
	}
	mux := http.NewServeMux()
	mux.Handle("/", standin.NewEngine(standin.EngineConfig{End: end}))
	mux.HandleFunc("/slots/book", func(http.ResponseWriter, *http.Request) {
		end()
		panic(http.ErrAbortHandler)
	})
	srv = httptest.NewServer(mux)
	m.t.Cleanup(srv.Close)
	base, err := url.Parse(srv.URL)
	require.NoError(m.t, err)
	m.addUpstream(name, http.NotFoundHandler(), func(c *agent.Config) { c.URL = base.String() })
}

// A request under which its upstream ended goes to no other one in the same asking; asked
// again it is held, here and wherever this host is heard.
func TestRequestThatCrashesUpstreamsIsQuarantined(t *testing.T) {
	for _, isStream := range []bool{false, true} {
		m := startCrashHarness(t, "u1", "u2", "u3")
		for n := range 2 {
			r := m.complete(standin.Poison, tokens, isStream)
			require.Equal(t, http.StatusBadGateway, r.status)
			require.Equal(t, "may-have-run", r.verdict())
			require.EqualValues(t, n+1, m.crashes.Load(), "one upstream an asking")
			m.clockOffset.Add(int64(10 * time.Second))
		}
		for range 3 {
			r := m.complete(standin.Poison, tokens, isStream)
			require.Equal(t, http.StatusServiceUnavailable, r.status)
			require.Equal(t, "not-run", r.verdict())
			require.Empty(t, r.header.Get("Retry-After"))
			require.Contains(t, r.body, string(verdict.CodeQuarantined))
		}
		require.EqualValues(t, 2, m.crashes.Load())
		requireWholeStream(t, "innocent", tokens, m.complete("innocent", tokens, true))
		list := m.keeper.List()
		require.Len(t, list, 1)
		require.Equal(t, standin.Poison, list[0].Ends[0].Request, "the id that its caller gave it")
		require.Equal(t, "velotrak", list[0].Workspace)
	}
}

// A call that may not repeat and is held gives its claim back: it has not run, and its key is
// free. What an earlier key has run is not told otherwise.
func TestQuarantinedCallReleasesItsClaim(t *testing.T) {
	m := startCrashHarness(t, "u1", "u2")
	for _, key := range []string{"k1", "k2"} {
		r := m.book(key, "rider")
		require.Equal(t, http.StatusBadGateway, r.status)
		require.Equal(t, "may-have-run", r.verdict())
		m.router.mu.Lock()
		m.router.upstreams = m.router.upstreams[1:]
		m.router.mu.Unlock()
		m.clockOffset.Add(int64(10 * time.Second))
	}
	r := m.book("k3", "rider")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not-run", r.verdict())
	require.Contains(t, r.body, string(verdict.CodeQuarantined))
	m.claims.mu.Lock()
	require.NotContains(t, m.claims.byKey, "k3")
	m.claims.mu.Unlock()
	r = m.book("k1", "rider")
	require.Equal(t, http.StatusConflict, r.status)
	require.Equal(t, "may-have-run", r.verdict())
	require.EqualValues(t, 2, m.crashes.Load())
}

// An answer that breaks off is no end of its upstream: the call is tried again, and nobody is
// suspected.
func TestBrokenResponseIsNotACrash(t *testing.T) {
	m := startCrashHarness(t)
	engines := []*standin.Engine{standin.NewEngine(standin.EngineConfig{}), standin.NewEngine(standin.EngineConfig{})}
	m.addUpstream("u1", engines[0], nil)
	m.addUpstream("u2", engines[1], nil)
	engines[0].Fail(standin.Failure{Mode: standin.Die, After: 2, Times: 1})
	r := m.complete("prompt", tokens, false)
	require.Equal(t, http.StatusOK, r.status)
	require.Empty(t, m.keeper.List())
}
