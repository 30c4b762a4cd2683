package peer

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// A host that is so slow that its part of a handshake takes longer than maxPermitTime must not begin
// more handshakes at once. With each one that it begins, all of them take longer, until no host
// waits long enough for its own, and control hosts wait behind all of them.
func TestSlowHostLimitsConcurrentHandshakes(t *testing.T) {
	const hosts = 3 * maxConcurrentHandshakes
	var inProgress atomic.Int64
	proceed := make(chan struct{})
	letProceed := sync.OnceFunc(func() { close(proceed) })
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	discard := HandlerFunc(func(*Session, uint64, wire.Message) {})
	slow := NewPool(Config{Hello: wire.Hello{Host: "slow"}, Secret: testSecret, Handler: discard, BeforeHandshake: func() {
		inProgress.Add(1)
		<-proceed
	}})
	t.Cleanup(slow.Close)
	t.Cleanup(letProceed)
	mux.Handle(Path, NewServer(slow))
	address := strings.TrimPrefix(srv.URL, "http://")

	var wg sync.WaitGroup
	for range hosts {
		pool := NewPool(Config{Hello: wire.Hello{Host: "host"}, Secret: testSecret, Handler: discard})
		t.Cleanup(pool.Close)
		wg.Go(func() {
			for t.Context().Err() == nil {
				if _, err := pool.Get(t.Context(), address); err == nil {
					return
				}
			}
		})
	}
	require.Eventually(t, func() bool { return inProgress.Load() == maxConcurrentHandshakes }, 10*time.Second, time.Millisecond)
	// Nothing must happen in this time, so there is no condition to wait for.
	time.Sleep(2 * maxPermitTime)
	require.EqualValues(t, maxConcurrentHandshakes, inProgress.Load())
	letProceed()
	wg.Wait()
}

// Guards against a stranger's first message that takes as much memory as the largest message of a session.
func TestHelloIsBounded(t *testing.T) {
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	discard := HandlerFunc(func(*Session, uint64, wire.Message) {})
	host := NewPool(Config{Hello: wire.Hello{Host: "host"}, Secret: testSecret, Handler: discard})
	t.Cleanup(host.Close)
	mux.Handle(Path, NewServer(host))
	for name, isAccepted := range map[string]bool{"other": true, strings.Repeat("x", 2*maxHelloBytes): false} {
		other := NewPool(Config{Hello: wire.Hello{Host: name}, Secret: testSecret, Handler: discard})
		t.Cleanup(other.Close)
		_, err := other.Get(t.Context(), strings.TrimPrefix(srv.URL, "http://"))
		require.Equal(t, isAccepted, err == nil, "%d bytes: %v", len(name), err)
	}
}

// Guards against sessions without a bound, which take all descriptors, and against control hosts that are kept out by
// those of others.
func TestSessionsAreBounded(t *testing.T) {
	const limit = 3
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	discard := HandlerFunc(func(*Session, uint64, wire.Message) {})
	host := NewPool(Config{Hello: wire.Hello{Host: "host"}, Secret: testSecret, Handler: discard, MaxSessions: limit})
	t.Cleanup(host.Close)
	mux.Handle(Path, NewServer(host))
	address := strings.TrimPrefix(srv.URL, "http://")
	dial := func(replica string) (*Pool, error) {
		pool := NewPool(Config{Hello: wire.Hello{Host: "other", Replica: replica}, Secret: testSecret, Handler: discard})
		t.Cleanup(pool.Close)
		_, err := pool.Get(t.Context(), address)
		return pool, err
	}
	var first *Pool
	for range limit {
		pool, err := dial("")
		require.NoError(t, err)
		first = pool
	}
	_, err := dial("")
	require.Error(t, err)
	_, err = dial("replica")
	require.NoError(t, err)
	first.Close()
	require.Eventually(t, func() bool { _, err := dial(""); return err == nil }, 10*time.Second, 10*time.Millisecond)
}
