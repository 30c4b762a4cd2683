package gateway

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// evacuate puts a list of evacuated data centres into force.
func (env *testEnv) evacuate(index uint64, dataCentres ...string) {
	env.gateway.SetEvacuations("c", &wire.Evacuations{Index: index, DataCentres: dataCentres})
}

// addUpstreamIn adds an upstream in a data centre.
func (env *testEnv) addUpstreamIn(dataCentre, id string, h http.HandlerFunc) {
	env.dataCentre = dataCentre
	env.addUpstream(id, h)
}

// requireRefusedAtOnce requires that a request is refused without waiting, and that its caller is
// told to retry.
func (env *testEnv) requireRefusedAtOnce(path string) {
	env.t.Helper()
	began := time.Now()
	resp, body := env.post(path, nil)
	require.Less(env.t, time.Since(began), startupWait/2)
	require.Equal(env.t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(env.t, "not-run", resp.Header.Get(verdict.Header))
	require.Contains(env.t, body, schedule.Evacuated.String())
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	require.NoError(env.t, err)
	require.Greater(env.t, after, 1.0)
}

// Guards against requests to an evacuated data centre on any path: first attempts, retries and
// resumed streams. Its upstream must serve again after the end of the evacuation.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	for name, path := range sendingPaths {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			if path.isPlain {
				env.setTable(nil)
			} else {
				env.setTable(engine)
			}
			var sends atomic.Int64
			env.addUpstreamIn("east", "u1", func(w http.ResponseWriter, _ *http.Request) {
				sends.Add(1)
				_, _ = io.WriteString(w, "id: 2\ndata: e\n\n")
			})
			env.addUpstreamIn("west", "u2", path.other)
			env.reportLoad("u1", wire.EngineLoad{IsOpen: true})
			env.reportLoad("u2", wire.EngineLoad{IsOpen: true})
			env.evacuate(5, "east")
			// A retry on an engine waits in the queue, so there are fewer of them.
			requests := 3
			if path.isPlain {
				requests = 16
			}
			for range requests {
				env.tryPost(path.path)
				env.reportLoad("u2", wire.EngineLoad{IsOpen: true})
			}
			require.Zero(t, sends.Load())
			env.evacuate(7, "west")
			env.reportLoad("u1", wire.EngineLoad{IsOpen: true})
			resp, _ := env.post(path.path, nil)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.EqualValues(t, 1, sends.Load())
		})
	}
}

// Guards against a list that reverts a newer one because it arrives late, and against changes and
// refusals that leave no trace.
func TestOlderEvacuationsAreIgnored(t *testing.T) {
	env := newTestEnv(t)
	var log bytes.Buffer
	env.gateway.cfg.Log = slog.New(slog.NewTextHandler(&log, nil))
	env.setTable(nil)
	env.addUpstreamIn("east", "u1", func(http.ResponseWriter, *http.Request) {})
	env.evacuate(5, "east")
	env.evacuate(4)
	env.requireRefusedAtOnce("/safe/")
	env.evacuate(6)
	env.evacuate(5, "east")
	resp, _ := env.post("/safe/", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Contains(t, log.String(), "evacuations in force")
	require.Contains(t, log.String(), schedule.Evacuated.String())
	counter := func(name string) int64 { return metrics.GetOrRegisterCounter(name, env.gateway.cfg.Metrics).Count() }
	require.EqualValues(t, 2, counter("gateway.evacuations.changed"))
	require.EqualValues(t, 1, counter("gateway.refused.evacuated"))
}

// Guards against callers that wait in vain when all data centres are evacuated: those that come then,
// also while the host starts, and those that wait for a slot already.
func TestRequestsAreRefusedAtOnceIfAllIsEvacuated(t *testing.T) {
	for name, setTable := range map[string]func(*testEnv){
		"plain":  func(env *testEnv) { env.setTable(nil) },
		"engine": func(env *testEnv) { env.setTable(engine) },
	} {
		t.Run(name, func(t *testing.T) {
			env := newStartingTestEnv(t)
			setTable(env)
			env.evacuate(5, "east", "west")
			env.addUpstreamIn("east", "u1", func(http.ResponseWriter, *http.Request) { t.Error("sent") })
			env.addUpstreamIn("west", "u2", func(http.ResponseWriter, *http.Request) { t.Error("sent") })
			env.requireRefusedAtOnce("/stream/")
			env.requireRefusedAtOnce("/unsafe/")
		})
	}
	env := newTestEnv(t)
	env.setTable(engine)
	env.addUpstreamIn("east", "u1", func(http.ResponseWriter, *http.Request) { t.Error("sent") })
	env.reportRunning("u1", 2, true)
	done := make(chan *http.Response, 1)
	go func() {
		resp, _ := env.post("/stream/", nil)
		done <- resp
	}()
	require.Eventually(t, func() bool { return env.waiters() == 1 }, testTimeout, time.Millisecond)
	env.evacuate(5, "east")
	resp := <-done
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
	require.Zero(t, env.waiters())
}

// Guards against the first byte of a request that has reserved an upstream before its data centre is
// evacuated, for example while it waits for a connection.
func TestReservedRequestIsWithheldAfterEvacuation(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	env.addUpstreamIn("east", "u1", func(http.ResponseWriter, *http.Request) {})
	_, r, err := env.gateway.reservePlain(t.Context(), "s", nil)
	require.NoError(t, err)
	require.NoError(t, r.maySend())
	env.evacuate(5, "east")
	require.ErrorIs(t, r.maySend(), errWithheld)
	r.release(outcomeNeutral)
	_, _, err = env.gateway.reservePlain(context.Background(), "s", nil)
	require.Equal(t, verdict.CodeOverloaded, verdict.FromError(err).Code)
}

// Guards against running requests that are cancelled because nothing is known of their group any
// more, once none of its upstreams may get requests.
func TestRunningRequestsFinishInEvacuatedDataCentre(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(engine)
	sent, finish := make(chan bool, 1), make(chan bool)
	env.addUpstreamIn("east", "u1", func(w http.ResponseWriter, _ *http.Request) {
		sent <- true
		<-finish
		_, _ = io.WriteString(w, "id: 1\ndata: e\n\n")
	})
	env.reportLoad("u1", wire.EngineLoad{IsOpen: true, Group: "g", Epoch: 1})
	done := make(chan string, 1)
	go func() {
		_, body := env.post("/stream/", nil)
		done <- body
	}()
	<-sent
	env.evacuate(5, "east")
	for range 3 {
		require.Equal(t, 1, env.passStallTimeout())
		env.reportLoad("u1", wire.EngineLoad{IsOpen: true, Group: "g", Epoch: 1, Running: 1})
	}
	close(finish)
	require.Equal(t, "id: 1\ndata: e\n\n", <-done)
}
