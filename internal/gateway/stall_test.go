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

// addHangingUpstream adds an upstream that never responds. Each request sends its path on the
// channel sent when it arrives and on cancelled when it is cancelled.
func addHangingUpstream(env *testEnv) (sent, cancelled chan string) {
	sent, cancelled = make(chan string, 10), make(chan string, 10)
	env.addUpstream("u1", func(_ http.ResponseWriter, r *http.Request) {
		// The server notices a closed connection only after it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		sent <- r.URL.Path
		<-r.Context().Done()
		cancelled <- r.URL.Path
	})
	env.reportRunning("u1", 0, true)
	return sent, cancelled
}

// passStallTimeout advances the gateway's clock by the time after which attempts in a stalled
// group are cancelled. It returns how many attempts wait for their response header.
func (env *testEnv) passStallTimeout() int {
	env.clockAhead.Add(int64(schedule.StalledAttemptTimeout))
	env.gateway.mu.Lock()
	defer env.gateway.mu.Unlock()
	return len(env.gateway.cancels)
}

// Guards against a request being stuck in a group that stalls after the request was sent there.
// It must be cancelled, and its caller must get a final response before the caller itself gives
// up.
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
	require.Equal(t, 1, env.passStallTimeout(), "not cancelled before the timeout")
	env.reportRunning("u1", 1, true)
	require.Equal(t, 1, env.passStallTimeout(), "not cancelled while the group serves")
	env.reportRunning("u1", 1, false)
	select {
	case resp := <-done:
		require.Equal(t, http.StatusBadGateway, resp.StatusCode, "the request may still run")
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	case <-time.After(testTimeout):
		t.Fatal("no final response")
	}
	require.Equal(t, "/stream/", <-cancelled)
	require.Empty(t, sent, "not sent to another engine of the same group")
	require.Zero(t, env.passStallTimeout())
}

// Guards against cancelling an unsafe request when its group stalls: it must not run twice, so
// the gateway can't retry it.
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
	require.Zero(t, env.passStallTimeout(), "no attempt that may be cancelled")
	env.reportRunning("u1", 1, false)
	close(finish)
	require.Equal(t, http.StatusOK, <-done)
}

// Guards against spending the shared retry budget on a request for which no upstream is left.
// Its caller gets the final response at once.
func TestRetryBudgetIsNotSpentWithoutUpstream(t *testing.T) {
	// sentRetries counts the retries that were sent.
	sentRetries := func(env *testEnv) int {
		env.gateway.mu.Lock()
		defer env.gateway.mu.Unlock()
		sent := 0
		for _, r := range env.gateway.scheduler.TakeRetryReports(env.gateway.now()) {
			require.Equal(t, r.Taken, r.Sent+r.Returned, "no retry is lost")
			sent += r.Sent
		}
		return sent
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
	require.Zero(t, sentRetries(served))
	require.Zero(t, sentRetries(refused), "the retry was given back")
}
