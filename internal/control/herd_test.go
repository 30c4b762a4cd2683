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
	// herdHosts start at once and dial herdControl control hosts.
	herdHosts, herdControl = 279, 5
	// greetCost is how long the one processor of a control host works on a greeting, whether
	// or not the dialler still waits for it: 279 of them are more than half a second.
	greetCost = 2500 * time.Microsecond
	// darkAfter is what a host gives a connection to be accepted.
	darkAfter = 400 * time.Millisecond
	// herdLimit is generous: it ends a test that hangs.
	herdLimit = 60 * time.Second
)

// slowHost is a control host with a slow processor.
type slowHost struct {
	pool    *peer.Pool
	address string
	metrics metrics.Registry
	// mu is the processor. open and most count connections in work, under count.
	mu         sync.Mutex
	count      sync.Mutex
	open, most int
}

func startSlowHost(t *testing.T, n int) *slowHost {
	h := &slowHost{metrics: metrics.NewRegistry()}
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	h.address = strings.TrimPrefix(srv.URL, "http://")
	h.pool = peer.NewPool(peer.Config{
		Hello:  wire.Hello{Host: fmt.Sprint("c", n), Address: h.address, Replica: fmt.Sprint("c", n, "/1")},
		Secret: "s", Metrics: h.metrics, DialTimeout: darkAfter,
		Handler:         peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}),
		BeforeHandshake: h.work,
	})
	t.Cleanup(h.pool.Close)
	server := peer.NewServer(h.pool)
	mux.HandleFunc(peer.Path, func(w http.ResponseWriter, r *http.Request) {
		h.enter(1)
		defer h.enter(-1)
		server.ServeHTTP(w, r)
	})
	return h
}

// highest returns the most connections that were in work at once.
func (h *slowHost) highest() int {
	h.count.Lock()
	defer h.count.Unlock()
	return h.most
}

// mostDials is how often a host may dial another one in that time if each dial waits twice as
// long as the one before: once, unless the machine that runs this is slow.
func mostDials(during time.Duration) int {
	const first, most = time.Second, 4 * time.Second
	n, waited, limit := 1, first, first
	for waited < during {
		limit = min(2*limit, most)
		waited += limit
		n++
	}
	return n
}

// work keeps the host's one processor busy for as long as a greeting costs. It models that
// time and waits for nothing.
func (h *slowHost) work() {
	h.mu.Lock()
	defer h.mu.Unlock()
	time.Sleep(greetCost)
}

func (h *slowHost) enter(n int) {
	h.count.Lock()
	defer h.count.Unlock()
	h.open += n
	h.most = max(h.most, h.open)
}

// Guards against a herd of dials after a common start: nobody dials again while a greeting is
// under way, and control hosts don't wait behind the others for one another.
func TestHostsThatStartTogetherDialOnceAndControlHostsGoFirst(t *testing.T) {
	control := make([]*slowHost, herdControl)
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
	pools := make([]*peer.Pool, herdHosts)
	registries := make([]metrics.Registry, herdHosts)
	for i := range pools {
		registries[i] = metrics.NewRegistry()
		pools[i] = peer.NewPool(peer.Config{
			Hello: wire.Hello{Host: fmt.Sprint("h", i)}, Secret: "s", Metrics: registries[i], DialTimeout: darkAfter,
			Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}),
		})
		t.Cleanup(pools[i].Close)
		running.Go(func() { FollowDialled(ctx, pools[i], NewBook(seeds...)) })
	}
	for i, h := range control {
		others := append(append([]string(nil), seeds[:i]...), seeds[i+1:]...)
		running.Go(func() { KeepDialled(ctx, h.pool, NewBook(others...)) })
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
	}, herdLimit, 2*time.Millisecond)
	require.Eventually(t, func() bool {
		for _, p := range pools {
			if len(p.Sessions()) < herdControl {
				return false
			}
		}
		return true
	}, herdLimit, 5*time.Millisecond)
	all := time.Since(began)
	dials, most := int64(0), 0
	for _, reg := range registries {
		dials += metrics.GetOrRegisterCounter("peer.dials.begun", reg).Count()
	}
	for _, h := range control {
		most = max(most, h.highest())
	}
	t.Logf("control hosts know each other after %v, all hosts after %v, %d dials, %d connections at once", quorum, all, dials, most)
	require.Less(t, quorum, all/2, "control hosts wait behind the others")
	require.LessOrEqual(t, dials, int64(float64(herdHosts*herdControl)*(0.1+float64(mostDials(all)))))
	require.LessOrEqual(t, most, 2*herdHosts)
}
