package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/schedule"
)

const testTimeout = 20 * time.Second

// addHangingUpstream is an upstream that never answers; sent and gone tell of its requests.
func addHangingUpstream(env *testEnv) (sent, cancelled chan string) {
	sent, cancelled = make(chan string, 10), make(chan string, 10)
	env.addUpstream("u1", func(_ http.ResponseWriter, r *http.Request) {
		// The server hears of a hang-up only once it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		sent <- r.URL.Path
		<-r.Context().Done()
		cancelled <- r.URL.Path
	})
	env.reportRunning("u1", 0, true)
	return sent, cancelled
}

// passStallTimeout makes all attempts that wait for an answer older by the patience with a group that
// stands still, and returns how many there are.
func (env *testEnv) passStallTimeout() int {
	env.clockAhead.Add(int64(schedule.StalledAttemptTimeout))
	env.gateway.mu.Lock()
	defer env.gateway.mu.Unlock()
	return len(env.gateway.cancels)
}

// A request that was sent into a group that then stands still gets its final answer before
// its caller gives up, and is taken back.
func TestRequestInStalledGroupIsCancelled(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(engine)
	sent, cancelled := addHangingUpstream(env)
	done := make(chan *http.Response, 1)
	go func() {
		resp, _ := env.post("/stream/", nil)
		done <- resp
	}()
	<-sent
	env.reportRunning("u1", 1, false)
	require.Equal(t, 1, env.passStallTimeout(), "it had time left yet")
	env.reportRunning("u1", 1, true)
	require.Equal(t, 1, env.passStallTimeout(), "the group serves")
	env.reportRunning("u1", 1, false)
	select {
	case resp := <-done:
		require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it may run later")
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	case <-time.After(testTimeout):
		t.Fatal("no final answer")
	}
	require.Equal(t, "/stream/", <-cancelled)
	require.Empty(t, sent, "nor is it sent elsewhere in the same group")
	require.Zero(t, env.passStallTimeout())
}

// What may run only once is never given up for its group.
func TestUnsafeRequestInStalledGroupIsNotCancelled(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(engine)
	sent, finish := make(chan bool, 1), make(chan bool)
	env.addUpstream("u1", func(http.ResponseWriter, *http.Request) {
		sent <- true
		<-finish
	})
	env.reportRunning("u1", 0, true)
	done := make(chan int, 1)
	go func() {
		resp, _ := env.post("/unsafe/", nil)
		done <- resp.StatusCode
	}()
	<-sent
	require.Zero(t, env.passStallTimeout(), "nothing that could be taken back")
	env.reportRunning("u1", 1, false)
	close(finish)
	require.Equal(t, http.StatusOK, <-done)
}

// Once no upstream is left the caller has its answer at once, and the repeats that others
// share are not spent on looking again.
func TestRetryBudgetIsNotSpentWithoutUpstream(t *testing.T) {
	// repeats counts those that are left after one request.
	retriesLeft := func(env *testEnv) int {
		env.gateway.mu.Lock()
		defer env.gateway.mu.Unlock()
		left := 0
		for env.gateway.scheduler.TakeRetry("s", env.gateway.now()) {
			left++
		}
		return left
	}
	served, refused := newTestEnv(t), newTestEnv(t)
	served.setTable(nil)
	served.addUpstream("u1", func(http.ResponseWriter, *http.Request) {})
	resp, _ := served.post("/safe/", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	refused.setTable(nil)
	refused.addUpstream("u1", refuseNotRun)
	resp, _ = refused.post("/safe/", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, retriesLeft(served)-1, retriesLeft(refused))
}
