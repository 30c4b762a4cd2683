package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// drainFor makes the host shut down within a time.
func (env *testEnv) drainFor(d time.Duration) time.Time {
	ctx, cancel := context.WithTimeout(env.t.Context(), d)
	env.t.Cleanup(cancel)
	env.gateway.StartDraining(ctx)
	return time.Now().Add(d)
}

// requireRefused requires the refusal of a request that has not run, in time.
func requireRefused(t *testing.T, resp *http.Response, endsAt time.Time) {
	t.Helper()
	require.True(t, time.Now().Before(endsAt), "the refusal is late")
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, verdict.NotRun.String(), resp.Header.Get(verdict.Header))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// slowEngine has one slot.
var slowEngine = &routetable.Engine{Slots: 1, StepTime: time.Millisecond, StepsPerPass: 1, MeanPromptTokens: 10, MeanAnswerTokens: 10, PrefillRate: 1000}

// Guards against a queued request that gets a slot when the host that shuts down can't wait for its response any
// more, and against one that waits until its connection ends.
func TestQueuedRequestIsRefusedOnceAHostThatDrainsCannotServeIt(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(slowEngine)
	var runs atomic.Int64
	release, started := make(chan struct{}), make(chan struct{}, 1)
	env.addUpstream("u1", func(http.ResponseWriter, *http.Request) {
		runs.Add(1)
		started <- struct{}{}
		<-release
	})
	busy := make(chan *http.Response, 1)
	go func() { resp, _ := env.post("/safe/", nil); busy <- resp }()
	<-started
	endsAt := env.drainFor(2 * time.Second)
	resp, _ := env.post("/unsafe/", nil)
	requireRefused(t, resp, endsAt)
	require.True(t, time.Now().Before(endsAt.Add(-drainMargin)), "the refusal waits for the end")
	require.EqualValues(t, 1, runs.Load())
	close(release)
	require.Equal(t, http.StatusOK, (<-busy).StatusCode)
}

// Guards against a retry that is sent when the host that shuts down can't wait for its response any more.
func TestRequestIsNotRetriedOnceAHostThatDrainsCannotServeIt(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	var sends atomic.Int64
	for _, id := range []string{"u1", "u2"} {
		env.addUpstream(id, func(w http.ResponseWriter, r *http.Request) {
			sends.Add(1)
			time.Sleep(1300 * time.Millisecond)
			refuseNotRun(w, r)
		})
	}
	endsAt := env.drainFor(2400 * time.Millisecond)
	resp, _ := env.post("/unsafe/", nil)
	requireRefused(t, resp, endsAt)
	require.EqualValues(t, 1, sends.Load())
}

// Guards against requests that are refused during a shutdown although there is time enough: their own deadline is
// near, or requests of their route take less time than its operator aims at.
func TestHostThatDrainsServesWhatItCan(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	env.addUpstream("u1", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/slow" {
			time.Sleep(200 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "whole")
	})
	env.post("/unsafe/", nil)
	endsAt := env.drainFor(1200 * time.Millisecond)
	resp, _ := env.post("/safe/", nil)
	requireRefused(t, resp, endsAt)
	resp, body := env.post("/safe/slow", func(r *http.Request) { r.Header.Set("X-D", "450") })
	require.Equal(t, http.StatusOK, resp.StatusCode, "its deadline comes before the end")
	require.Equal(t, "whole", body)
	resp, _ = env.post("/unsafe/", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode, "requests of its route are short")
}

// Guards against service times that are kept for routes that are gone.
func TestServiceTimesOfRemovedRoutesAreForgotten(t *testing.T) {
	d := newDrain()
	d.recordServiceTime("a", time.Second)
	d.recordServiceTime("b", time.Second)
	d.retainRoutes(&routetable.Table{Routes: []routetable.Route{{Name: "b"}}})
	require.Len(t, d.serviceTimes, 1)
	require.Contains(t, d.serviceTimes, "b")
}

// Guards against connections that end without a response because the body became whole just as its reading was ended.
func TestBodiesThatEndAsTheirRequestsAreRefusedGetResponses(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	env.addUpstream("u1", func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	const requests, spread = 400, 60 * time.Millisecond
	var conns []net.Conn
	for range requests {
		conn, err := net.Dial("tcp", env.front.Listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "POST /unsafe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-A: a\r\nX-K: key\r\nContent-Length: 2\r\n\r\na")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	// The reading ends when the time that the operator aims at is left.
	endsAt := env.drainFor(1600 * time.Millisecond)
	first := endsAt.Add(-drainMargin - time.Second - spread/2)
	var wg sync.WaitGroup
	for i, conn := range conns {
		wg.Go(func() {
			time.Sleep(time.Until(first.Add(spread * time.Duration(i) / requests)))
			_, _ = io.WriteString(conn, "b")
			_ = conn.SetReadDeadline(endsAt.Add(time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if assert.NoError(t, err, "no response") {
				assert.Contains(t, []int{http.StatusOK, http.StatusServiceUnavailable}, resp.StatusCode)
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
}
