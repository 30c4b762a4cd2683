package gateway

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

// setColdRate applies a further configuration in which upstreams of the service may be cold.
func (env *testEnv) setColdRate(perSecond float64) {
	old := env.gateway.Table()
	t := &routetable.Table{Number: old.Number + 1, Routes: old.Routes, Workspaces: old.Workspaces}
	for _, s := range old.Services {
		s.ColdDuration, s.ColdRate = 3*time.Second, perSecond
		t.Services = append(t.Services, s)
	}
	require.NoError(env.t, t.Build())
	require.True(env.t, env.gateway.SetTable(t))
}

// announceCold announces that an upstream is cold for the given time.
func (env *testEnv) announceCold(id string, sequence uint64, remaining time.Duration) {
	require.NoError(env.t, env.gateway.Merge("c", []registry.Upstream{{
		ID: id, Service: "s", Address: env.addresses[id], Slots: 4, Sequence: sequence, ColdRemainingMS: remaining.Milliseconds(),
	}}))
}

// metric returns the value of a counter.
func (env *testEnv) metric(name string) int64 {
	return metrics.GetOrRegisterCounter("gateway."+name, env.gateway.cfg.Metrics).Count()
}

// Guards against a request that is sent to a cold upstream without a token, on each way that a
// request takes: at once, after another upstream refused it, and as the rest of a broken stream.
func TestColdUpstreamGetsNoRequestWithoutToken(t *testing.T) {
	for name, c := range sendingPaths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			env := c.start(t, func(http.ResponseWriter, *http.Request) { requests.Add(1) })
			env.setColdRate(17)
			env.announceCold("u1", 2, time.Hour)
			for range 4 {
				env.tryPost(c.path)
			}
			require.Zero(t, requests.Load())
		})
	}
}

// Guards against an upstream that is limited although the configuration has no cold upstreams.
func TestUpstreamIsNotColdWithoutConfiguration(t *testing.T) {
	env := newLimitedTestEnv(t, &tokenSource{})
	env.setTable(nil)
	env.setColdRate(0)
	env.addUpstream("u1", func(http.ResponseWriter, *http.Request) {})
	env.announceCold("u1", 2, time.Hour)
	resp, _ := env.post("/safe/x", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Zero(t, env.metric("cold.begun"))
}

// Guards against a request to a service whose upstreams are all cold that waits in vain, is refused
// although a token comes, or is not told when to return; and against an operator who can't see it.
func TestRequestToColdUpstreams(t *testing.T) {
	var log bytes.Buffer
	source := &tokenSource{tokens: 2, again: 7 * time.Second}
	env := newLimitedTestEnv(t, source)
	env.gateway.cfg.Log = slog.New(slog.NewTextHandler(&log, nil))
	env.setTable(nil)
	env.setColdRate(17)
	env.addUpstream("u1", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	env.announceCold("u1", 2, time.Minute)
	for range 2 {
		resp, _ := env.post("/safe/x", nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		env.clockAhead.Add(int64(8 * time.Second))
	}
	resp, _ := env.post("/safe/x", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode, "no token is left")
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.EqualValues(t, 1, env.metric("cold.refused"))
	require.EqualValues(t, 3, env.metric("cold.tokens.asked"))
	require.EqualValues(t, 2, env.metric("cold.tokens.granted"))
	require.Contains(t, log.String(), `msg="upstream is cold" upstream=u1 service=s cold_ms=`)
}

// Guards against requests that wait on after the cold time of the only upstream has ended.
func TestWaitingRequestIsSentWhenColdTimeEnds(t *testing.T) {
	env := newLimitedTestEnv(t, &tokenSource{again: time.Minute})
	env.setTable(nil)
	env.setColdRate(17)
	env.addUpstream("u1", func(http.ResponseWriter, *http.Request) {})
	env.announceCold("u1", 2, 100*time.Millisecond)
	resp, _ := env.post("/safe/x", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against what an upstream states in a response being ignored: that it is cold.
func TestResponseTellsOfColdTime(t *testing.T) {
	env := newLimitedTestEnv(t, &tokenSource{again: time.Minute})
	env.setTable(nil)
	env.setColdRate(17)
	env.gateway.cfg.Dialect.Statement = func(_ int, h http.Header) (s backpressure.Statement, err error) {
		if h.Get("X-Cold") != "" {
			s.Cold = time.Minute
		}
		return s, nil
	}
	var requests atomic.Int64
	env.addUpstream("u1", func(w http.ResponseWriter, _ *http.Request) {
		requests.Add(1)
		w.Header().Set("X-Cold", "1")
	})
	env.post("/safe/x", nil)
	resp, _ := env.post("/safe/x", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.EqualValues(t, 1, requests.Load())
}
