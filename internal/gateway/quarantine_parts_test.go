package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// withParts sets the shared parts of a request's prompt.
func withParts(parts string) func(*http.Request) {
	return func(r *http.Request) { r.Header.Set("X-Parts", parts) }
}

// addUpstreamsEndedBy adds upstreams that end when they begin to write an answer on a part. On other
// requests they call answer.
func (env *testEnv) addUpstreamsEndedBy(part string, answer http.HandlerFunc, ids ...string) {
	for _, id := range ids {
		var s *httptest.Server
		s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-A", r.Header.Get("X-A"))
			if !strings.Contains(r.Header.Get("X-Parts"), part) {
				answer(w, r)
				return
			}
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			_ = s.Listener.Close()
			panic(http.ErrAbortHandler)
		}))
		env.t.Cleanup(s.Close)
		env.addresses[id] = s.Listener.Addr().String()
		_ = env.gateway.Merge("c", []registry.Upstream{{ID: id, Service: "s", Address: env.addresses[id], Slots: 4, Sequence: 1}})
	}
}

func answerText(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

// endTwoUpstreams sends two requests with the part "bad", which differ in all else but the part "first".
func (env *testEnv) endTwoUpstreams() {
	for i := range 2 {
		resp, _ := env.post(fmt.Sprint("/safe/", i), withParts("first bad"))
		require.Equal(env.t, http.StatusBadGateway, resp.StatusCode)
		env.clockAhead.Add(int64(10 * time.Second))
	}
}

// Guards against requests no two of which are alike crashing one upstream after the other by a common
// part, and against others that share only their first part with them being refused.
func TestRequestWithQuarantinedPartIsNotSent(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	env.addUpstreamsEndedBy("bad", answerText, "u1", "u2", "u3", "u4")
	resp, _ := env.post("/safe/x", withParts("first"))
	require.Equal(t, http.StatusOK, resp.StatusCode)
	env.endTwoUpstreams()
	for _, path := range []string{"/safe/2", "/unsafe/3", "/stream/4"} {
		resp, _ := env.post(path, withParts("first bad"))
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
		require.Empty(t, resp.Header.Get("Retry-After"))
	}
	require.Eventually(t, func() bool {
		// Two of the four upstreams are gone, and both attempts of a request may go to these.
		resp, body := env.post("/safe/y", withParts("first good"))
		return resp.StatusCode == http.StatusOK && body == "answer"
	}, testTimeout, time.Millisecond)
}

// Guards against a part that stays trusted, or is taken for sound, because an upstream reported a failure
// on it.
func TestFailureReportClearsNoPart(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	env.addUpstreamsEndedBy("bad", func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.Header.Get("X-Parts"), "ba!d") {
			w.WriteHeader(http.StatusBadRequest)
		}
	}, "u1", "u2", "u3")
	_, _ = env.post("/safe/x", withParts("first"))
	env.gateway.cfg.Dialect.SharedParts = func(h http.Header) []string {
		return strings.Fields(strings.ReplaceAll(h.Get("X-Parts"), "ba!d", "bad"))
	}
	resp, _ := env.post("/safe/y", withParts("first ba!d"))
	require.Equal(t, http.StatusBadRequest, resp.StatusCode)
	env.endTwoUpstreams()
	resp, _ = env.post("/safe/z", withParts("first bad"))
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}

// Guards against a sound part that stays suspect until an answer is complete: one that was begun, and
// went on, shows that the part is sound.
func TestStreamThatGoesOnClearsItsParts(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	ctx, finish := context.WithCancel(t.Context())
	defer finish()
	goOn := make(chan struct{}, 1)
	env.addUpstream("u1", func(w http.ResponseWriter, _ *http.Request) {
		for id := 1; ctx.Err() == nil; id++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-goOn:
			case <-ctx.Done():
			}
		}
	})
	part := env.gateway.cfg.Fingerprints.OfPart("good")
	env.gateway.cfg.Quarantine.Merge([]quarantine.Suspicion{{
		Fingerprint: part, Carrier: quarantine.Fingerprint{1}, Incarnation: quarantine.Incarnation{Upstream: "far"}, Service: "s",
	}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = env.post("/stream/x", withParts("good"))
	}()
	isSuspect := func() bool {
		for _, e := range env.gateway.cfg.Quarantine.List() {
			if e.Fingerprint == part {
				return true
			}
		}
		return false
	}
	require.True(t, isSuspect())
	require.Eventually(t, func() bool {
		// Events that are read together count as one.
		select {
		case goOn <- struct{}{}:
		default:
		}
		return !isSuspect()
	}, testTimeout, time.Millisecond)
	finish()
	<-done
}

// Guards against a queued request being sent after another host has reported its part.
func TestQueuedRequestIsRefusedOnceItsPartIsQuarantined(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(engine)
	runs := env.addCrashingUpstream("u1")
	env.reportRunning("u1", 2, true)
	responses := make(chan *http.Response, 1)
	go func() {
		resp, _ := env.post("/stream/x", withParts("bad"))
		responses <- resp
	}()
	require.Eventually(t, func() bool { return env.waiters() == 1 }, testTimeout, time.Millisecond)
	for i, upstream := range []string{"far-1", "far-2"} {
		env.gateway.cfg.Quarantine.Merge([]quarantine.Suspicion{{
			Fingerprint: env.gateway.cfg.Fingerprints.OfPart("bad"), Carrier: quarantine.Fingerprint{byte(1 + i)},
			Incarnation: quarantine.Incarnation{Upstream: upstream}, AgeMS: int64(9000 - 7000*i), Service: "s",
		}})
	}
	env.reportRunning("u1", 0, true)
	resp := <-responses
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
	require.Zero(t, runs.Load())
}
