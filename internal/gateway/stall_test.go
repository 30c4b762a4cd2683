package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/schedule"
)

const patience = 20 * time.Second

// hanging is an upstream that never answers; sent and gone tell of its requests.
func hanging(l *lab) (sent, gone chan string) {
	sent, gone = make(chan string, 10), make(chan string, 10)
	l.upstream("u1", func(_ http.ResponseWriter, r *http.Request) {
		// The server hears of a hang-up only once it has read the body.
		_, _ = io.Copy(io.Discard, r.Body)
		sent <- r.URL.Path
		<-r.Context().Done()
		gone <- r.URL.Path
	})
	l.load("u1", 0, true)
	return sent, gone
}

// age makes all attempts that wait for an answer older by the patience with a group that
// stands still, and returns how many there are.
func (l *lab) age() int {
	l.later.Add(int64(schedule.StalledAttemptTimeout))
	l.gateway.mu.Lock()
	defer l.gateway.mu.Unlock()
	return len(l.gateway.taken)
}

// A request that was sent into a group that then stands still gets its final answer before
// its caller gives up, and is taken back.
func TestRequestInAStalledGroupIsGivenUp(t *testing.T) {
	l := newLab(t)
	l.table(engine)
	sent, gone := hanging(l)
	done := make(chan *http.Response, 1)
	go func() {
		resp, _ := l.ask("/stream/", nil)
		done <- resp
	}()
	<-sent
	l.load("u1", 1, false)
	require.Equal(t, 1, l.age(), "it had time left yet")
	l.load("u1", 1, true)
	require.Equal(t, 1, l.age(), "the group serves")
	l.load("u1", 1, false)
	select {
	case resp := <-done:
		require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it may run later")
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
	case <-time.After(patience):
		t.Fatal("no final answer")
	}
	require.Equal(t, "/stream/", <-gone)
	require.Empty(t, sent, "nor is it sent elsewhere in the same group")
	require.Zero(t, l.age())
}

// What may run only once is never given up for its group.
func TestUnsafeRequestInAStalledGroupIsWaitedFor(t *testing.T) {
	l := newLab(t)
	l.table(engine)
	sent, answer := make(chan bool, 1), make(chan bool)
	l.upstream("u1", func(http.ResponseWriter, *http.Request) {
		sent <- true
		<-answer
	})
	l.load("u1", 0, true)
	done := make(chan int, 1)
	go func() {
		resp, _ := l.ask("/unsafe/", nil)
		done <- resp.StatusCode
	}()
	<-sent
	require.Zero(t, l.age(), "nothing that could be taken back")
	l.load("u1", 1, false)
	close(answer)
	require.Equal(t, http.StatusOK, <-done)
}

// Once no upstream is left the caller has its answer at once, and the repeats that others
// share are not spent on looking again.
func TestNoUpstreamLeftIsTheEnd(t *testing.T) {
	// repeats counts those that are left after one request.
	repeats := func(l *lab) int {
		l.gateway.mu.Lock()
		defer l.gateway.mu.Unlock()
		left := 0
		for l.gateway.scheduler.TakeRetry("s", l.gateway.now()) {
			left++
		}
		return left
	}
	one, none := newLab(t), newLab(t)
	one.table(nil)
	one.upstream("u1", func(http.ResponseWriter, *http.Request) {})
	resp, _ := one.ask("/safe/", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	none.table(nil)
	none.upstream("u1", notRun)
	resp, _ = none.ask("/safe/", nil)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, repeats(one)-1, repeats(none))
}
