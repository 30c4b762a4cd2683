package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// addCrashingUpstream adds an upstream that stops listening and breaks off the response, as if
// its process had crashed, when it gets a request whose path ends in /poison. It answers other
// requests. The result counts the requests that it ran.
func (env *testEnv) addCrashingUpstream(id string) *atomic.Int64 {
	runs := &atomic.Int64{}
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		w.Header().Set("X-A", r.Header.Get("X-A"))
		if !strings.HasSuffix(r.URL.Path, "/poison") {
			_, _ = io.WriteString(w, "answer")
			return
		}
		_ = s.Listener.Close()
		panic(http.ErrAbortHandler)
	}))
	env.t.Cleanup(s.Close)
	env.addresses[id] = s.Listener.Addr().String()
	_ = env.gateway.Merge("c", []registry.Upstream{{ID: id, Service: "s", Address: env.addresses[id], Slots: 4, Sequence: 1}})
	return runs
}

// Guards against a request that crashes one upstream after the other: if an upstream ends while
// it runs a request, the request is not sent to a second one, and the caller learns that it may
// have run.
func TestRequestIsNotRetriedAfterUpstreamEnded(t *testing.T) {
	for path, engine := range map[string]*routetable.Engine{"/safe/poison": nil, "/stream/poison": engine} {
		env := newTestEnv(t)
		env.setTable(engine)
		runs := []*atomic.Int64{env.addCrashingUpstream("u1"), env.addCrashingUpstream("u2")}
		for _, id := range []string{"u1", "u2"} {
			env.reportLoad(id, wire.EngineLoad{IsOpen: true})
		}
		resp, _ := env.post(path, nil)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		require.Equal(t, "may-have-run", resp.Header.Get(verdict.Header))
		require.Equal(t, engine != nil, resp.Header.Get("Retry-After") != "", "the engine's group does not serve until the engine is back")
		require.EqualValues(t, 1, runs[0].Load()+runs[1].Load())
	}
}

// Guards against a quarantined request reaching another upstream. The response says that the
// request has not run this time, and has no Retry-After. Other requests of the same caller are
// still served.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	runs := []*atomic.Int64{env.addCrashingUpstream("u1"), env.addCrashingUpstream("u2"), env.addCrashingUpstream("u3")}
	totalRuns := func() (n int64) {
		for _, r := range runs {
			n += r.Load()
		}
		return n
	}
	for range 2 {
		resp, _ := env.post("/safe/poison", nil)
		require.Equal(t, http.StatusBadGateway, resp.StatusCode)
		env.clockAhead.Add(int64(10 * time.Second))
	}
	require.EqualValues(t, 2, totalRuns())
	for range 3 {
		resp, body := env.post("/safe/poison", nil)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
		require.Empty(t, resp.Header.Get("Retry-After"))
		require.Contains(t, body, "upstreams ended")
	}
	require.EqualValues(t, 2, totalRuns())
	require.Eventually(t, func() bool {
		// Two of the three upstreams are gone, and both attempts of a request may go to these.
		resp, body := env.post("/safe/other", nil)
		return resp.StatusCode == http.StatusOK && body == "answer"
	}, testTimeout, time.Millisecond)
	require.Len(t, env.gateway.cfg.Quarantine.List(), 1)
}

// Guards against a queued request being sent after it was quarantined because of suspicions
// reported by other hosts.
func TestQueuedRequestIsRefusedOnceQuarantined(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(engine)
	runs := env.addCrashingUpstream("u1")
	env.reportRunning("u1", 2, true)
	responses := make(chan *http.Response, 1)
	go func() {
		resp, _ := env.post("/stream/x", nil)
		responses <- resp
	}()
	require.Eventually(t, func() bool { return env.waiters() == 1 }, testTimeout, time.Millisecond)
	fingerprint := env.gateway.cfg.Fingerprints.Of(&quarantine.Request{
		Workspace: "w", Method: http.MethodPost, Host: env.front.Listener.Addr().String(), Target: "/stream/x", Body: []byte("body"),
	})
	suspicion := func(upstream string, age int64) quarantine.Suspicion {
		return quarantine.Suspicion{Fingerprint: fingerprint, Workspace: "w", Incarnation: quarantine.Incarnation{Upstream: upstream}, AgeMS: age}
	}
	env.gateway.cfg.Quarantine.Merge([]quarantine.Suspicion{suspicion("far-1", 9000), suspicion("far-2", 2000)})
	env.reportRunning("u1", 0, true)
	resp := <-responses
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
	require.Empty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, runs.Load())
}

// Guards against a missed crash: if a new incarnation announces itself at the address of an
// upstream before that upstream was probed, the previous incarnation must have ended.
func TestRestartAtSameAddressMeansUpstreamEnded(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	env.addUpstream("u1", breakOff)
	resp, _ := env.post("/safe/x", nil)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Empty(t, env.gateway.cfg.Quarantine.List(), "a broken response alone does not mean that the upstream ended")
	_ = env.gateway.Merge("c", []registry.Upstream{{ID: "u1b", Service: "s", Address: env.addresses["u1"], Slots: 4, Sequence: 1}})
	list := env.gateway.cfg.Quarantine.List()
	require.Len(t, list, 1)
	require.Equal(t, quarantine.Suspect, list[0].Verdict)
	require.Equal(t, "u1", list[0].Ends[0].Upstream)
}

// Guards against a request that stays suspect after it got a complete response.
func TestCompleteResponseClearsSuspicion(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	env.addCrashingUpstream("u1")
	resp, _ := env.post("/safe/poison", nil)
	require.Equal(t, http.StatusBadGateway, resp.StatusCode)
	require.Len(t, env.gateway.cfg.Quarantine.List(), 1)
	env.addUpstream("u2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	require.Eventually(t, func() bool {
		resp, _ := env.post("/safe/poison", nil)
		return resp.StatusCode == http.StatusOK
	}, testTimeout, time.Millisecond)
	require.Empty(t, env.gateway.cfg.Quarantine.List())
}

// Guards against a request being suspected because a draining upstream ended while it ran the
// request. Such an end is expected, and the request is retried at another upstream if it may
// be.
func TestEndOfDrainingUpstreamRaisesNoSuspicion(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	var ended atomic.Bool
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = env.gateway.Merge("c", []registry.Upstream{{
			ID: "u1", Service: "s", Address: env.addresses["u1"], Slots: 4, Sequence: 2, State: registry.Draining,
		}})
		_ = s.Listener.Close()
		ended.Store(true)
		breakOff(w, r)
	}))
	t.Cleanup(s.Close)
	env.addresses["u1"] = s.Listener.Addr().String()
	_ = env.gateway.Merge("c", []registry.Upstream{{ID: "u1", Service: "s", Address: env.addresses["u1"], Slots: 4, Sequence: 1}})
	env.addUpstream("u2", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	require.Eventually(t, func() bool {
		resp, body := env.post("/safe/x", nil)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "answer", body)
		return ended.Load()
	}, testTimeout, time.Millisecond)
	require.Empty(t, env.gateway.cfg.Quarantine.List())
}
