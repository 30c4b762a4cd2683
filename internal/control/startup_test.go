package control

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// followerHosts hosts start at the same time and dial controlHosts control hosts.
	followerHosts, controlHosts = 279, 5
	// handshakeCost is the processor time that a control host needs for the handshake of a new
	// session. It is spent even if the dialling host no longer waits. 279 handshakes take more
	// than half a second.
	handshakeCost = 2500 * time.Microsecond
	// dialTimeout is how long a dialling host waits for its connection to be accepted.
	dialTimeout = 400 * time.Millisecond
	// connectTimeout bounds the wait for all sessions. It is reached only in tests that fail.
	connectTimeout = 60 * time.Second
)

// slowHost is a control host with one slow processor.
type slowHost struct {
	pool    *peer.Pool
	address string
	metrics metrics.Registry
	// processor is held while the processor is busy. open is the number of connections being
	// accepted and maxOpen its maximum; both are guarded by countMu.
	processor     sync.Mutex
	countMu       sync.Mutex
	open, maxOpen int
}

func startSlowHost(t *testing.T, n int) *slowHost {
	h := &slowHost{metrics: metrics.NewRegistry()}
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	h.address = strings.TrimPrefix(srv.URL, "http://")
	h.pool = peer.NewPool(peer.Config{
		Hello:  wire.Hello{Host: fmt.Sprint("c", n), Address: h.address, Replica: fmt.Sprint("c", n, "/1")},
		Secret: "s", Metrics: h.metrics, DialTimeout: dialTimeout,
		Handler:         peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}),
		BeforeHandshake: h.handshake,
	})
	t.Cleanup(h.pool.Close)
	server := peer.NewServer(h.pool)
	mux.HandleFunc(peer.Path, func(w http.ResponseWriter, r *http.Request) {
		h.addOpen(1)
		defer h.addOpen(-1)
		server.ServeHTTP(w, r)
	})
	return h
}

// maxConnections returns the maximum number of connections that were being accepted at the
// same time.
func (h *slowHost) maxConnections() int {
	h.countMu.Lock()
	defer h.countMu.Unlock()
	return h.maxOpen
}

// maxDials returns how often a host may dial another one within a duration if the timeout
// doubles with each dial. The result is 1 unless the test runs on a slow host.
func maxDials(during time.Duration) int {
	const minTimeout, maxTimeout = time.Second, 4 * time.Second
	n, waited, timeout := 1, minTimeout, minTimeout
	for waited < during {
		timeout = min(2*timeout, maxTimeout)
		waited += timeout
		n++
	}
	return n
}

// handshake keeps the host's processor busy for handshakeCost. The sleep simulates processor time;
// it does not wait for an event.
func (h *slowHost) handshake() {
	h.processor.Lock()
	defer h.processor.Unlock()
	time.Sleep(handshakeCost)
}

// addOpen adds n to the number of open connections.
func (h *slowHost) addOpen(n int) {
	h.countMu.Lock()
	defer h.countMu.Unlock()
	h.open += n
	h.maxOpen = max(h.maxOpen, h.open)
}

// Guards against a flood of dials when hundreds of hosts start at the same time. No host may
// dial again while its handshake is in progress. The sessions between control hosts must not
// be delayed by those of other hosts.
func TestHostsStartingTogetherDialOnceAndControlHostsConnectFirst(t *testing.T) {
	control := make([]*slowHost, controlHosts)
	var seeds []string
	for i := range control {
		control[i] = startSlowHost(t, i)
		seeds = append(seeds, control[i].address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(running.Wait)
	t.Cleanup(cancel)
	started := time.Now()
	pools := make([]*peer.Pool, followerHosts)
	registries := make([]metrics.Registry, followerHosts)
	for i := range pools {
		registries[i] = metrics.NewRegistry()
		pools[i] = peer.NewPool(peer.Config{
			Hello: wire.Hello{Host: fmt.Sprint("h", i)}, Secret: "s", Metrics: registries[i], DialTimeout: dialTimeout,
			Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}),
		})
		t.Cleanup(pools[i].Close)
		running.Go(func() { KeepFollowerConnected(ctx, pools[i], NewAddressBook(seeds...)) })
	}
	for i, h := range control {
		others := append(append([]string(nil), seeds[:i]...), seeds[i+1:]...)
		running.Go(func() { KeepConnected(ctx, h.pool, NewAddressBook(others...)) })
	}
	var controlTime time.Duration
	require.Eventually(t, func() bool {
		for _, h := range control {
			for _, address := range seeds {
				if address != h.address && h.pool.LiveSession(address) == nil {
					return false
				}
			}
		}
		controlTime = time.Since(started)
		return true
	}, connectTimeout, 2*time.Millisecond)
	require.Eventually(t, func() bool {
		for _, p := range pools {
			if len(p.Sessions()) < controlHosts {
				return false
			}
		}
		return true
	}, connectTimeout, 5*time.Millisecond)
	totalTime := time.Since(started)
	dials, most := int64(0), 0
	for _, reg := range registries {
		dials += metrics.GetOrRegisterCounter("peer.dials.begun", reg).Count()
	}
	for _, h := range control {
		most = max(most, h.maxConnections())
	}
	t.Logf("control hosts know each other after %v, all hosts after %v, %d dials, %d connections at once", controlTime, totalTime, dials, most)
	require.Less(t, controlTime, totalTime/2, "control hosts wait behind the others")
	require.LessOrEqual(t, dials, int64(float64(followerHosts*controlHosts)*(0.1+float64(maxDials(totalTime)))))
	require.LessOrEqual(t, most, 2*followerHosts)
}
