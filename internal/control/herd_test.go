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
	// followerHosts start at once and dial herdControl control hosts.
	followerHosts, controlHosts = 279, 5
	// greetingCost is how long the one processor of a control host works on a greeting, whether
	// or not the dialler still waits for it: 279 of them are more than half a second.
	greetingCost = 2500 * time.Microsecond
	// dialTimeout is what a host gives a connection to be accepted.
	dialTimeout = 400 * time.Millisecond
	// connectTimeout is generous: it ends a test that hangs.
	connectTimeout = 60 * time.Second
)

// slowHost is a control host with a slow processor.
type slowHost struct {
	pool    *peer.Pool
	address string
	metrics metrics.Registry
	// processor is the processor. open and most count connections in work, under count.
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
		Handler:        peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}),
		BeforeGreeting: h.greet,
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

// maxConnections returns the most connections that were in work at once.
func (h *slowHost) maxConnections() int {
	h.countMu.Lock()
	defer h.countMu.Unlock()
	return h.maxOpen
}

// maxDials is how often a host may dial another one in that time if each dial waits twice as
// long as the one before: once, unless the machine that runs this is slow.
func maxDials(during time.Duration) int {
	const first, most = time.Second, 4 * time.Second
	n, waited, limit := 1, first, first
	for waited < during {
		limit = min(2*limit, most)
		waited += limit
		n++
	}
	return n
}

// greet keeps the host's one processor busy for as long as a greeting costs. It models that
// time and waits for nothing.
func (h *slowHost) greet() {
	h.processor.Lock()
	defer h.processor.Unlock()
	time.Sleep(greetingCost)
}

func (h *slowHost) addOpen(n int) {
	h.countMu.Lock()
	defer h.countMu.Unlock()
	h.open += n
	h.maxOpen = max(h.maxOpen, h.open)
}

// Guards against a herd of dials after a common start: nobody dials again while a greeting is
// under way, and control hosts don't wait behind the others for one another.
func TestHostsThatStartTogetherDialOnceAndControlHostsGoFirst(t *testing.T) {
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
	began := time.Now()
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
	var quorum time.Duration
	require.Eventually(t, func() bool {
		for _, h := range control {
			for _, address := range seeds {
				if address != h.address && h.pool.Live(address) == nil {
					return false
				}
			}
		}
		quorum = time.Since(began)
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
	all := time.Since(began)
	dials, most := int64(0), 0
	for _, reg := range registries {
		dials += metrics.GetOrRegisterCounter("peer.dials.begun", reg).Count()
	}
	for _, h := range control {
		most = max(most, h.maxConnections())
	}
	t.Logf("control hosts know each other after %v, all hosts after %v, %d dials, %d connections at once", quorum, all, dials, most)
	require.Less(t, quorum, all/2, "control hosts wait behind the others")
	require.LessOrEqual(t, dials, int64(float64(followerHosts*controlHosts)*(0.1+float64(maxDials(all)))))
	require.LessOrEqual(t, most, 2*followerHosts)
}
