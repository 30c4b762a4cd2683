package directory

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	testSecret       = "a secret of the processes"
	conditionTimeout = 20 * time.Second
)

// start is the origin of the clock that the tests use.
var start = time.Now()

func since() time.Duration { return time.Since(start) }

// entryHost is an entry host with its directory, sessions and listener.
type entryHost struct {
	service *Service
	pool    *peer.Pool
	server  *http.Server
	cancel  context.CancelFunc
}

func (e *entryHost) stop() {
	e.cancel()
	_ = e.server.Close()
	e.pool.Close()
}

// startEntries starts n entry hosts of one data centre on the loopback interface.
func startEntries(t *testing.T, n int) ([]*entryHost, []Host) {
	t.Helper()
	var hosts []Host
	var listeners []net.Listener
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		listeners = append(listeners, l)
		hosts = append(hosts, Host{Name: string(rune('a' + i)), Address: l.Addr().String()})
	}
	var out []*entryHost
	for i, l := range listeners {
		out = append(out, startEntry(t, hosts, i, l))
	}
	return out, hosts
}

func startEntry(t *testing.T, hosts []Host, i int, l net.Listener) *entryHost {
	e := &entryHost{}
	handler := peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) { e.service.HandlePeer(s, call, m) })
	e.pool = peer.NewPool(peer.Config{
		Hello:  wire.Hello{Host: hosts[i].Name, Address: hosts[i].Address},
		Secret: testSecret, Handler: handler,
	})
	e.service = NewService(ServiceConfig{
		Self: hosts[i].Name, Hosts: hosts, Incarnation: 1, Pool: e.pool,
		Now: since, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.NewServer(e.pool))
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	go e.service.Run(ctx)
	t.Cleanup(e.stop)
	return e
}

// startAnnouncer starts the announcements of one upstream. state is the state that it
// announces.
func startAnnouncer(t *testing.T, hosts []Host, name string, state *atomic.Uint32, incarnation uint64) *Announcer {
	t.Helper()
	pool := peer.NewPool(peer.Config{Hello: wire.Hello{Host: name}, Secret: testSecret,
		Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {})})
	var number atomic.Uint64
	number.Store(incarnation)
	a := NewAnnouncer(AnnouncerConfig{
		Hosts: hosts, Pool: pool, Interval: 200 * time.Millisecond, Now: since, Log: slog.New(slog.DiscardHandler),
		Record: func() (wire.Upstream, []wire.CacheEvent) {
			return wire.Upstream{Name: name, Incarnation: number.Load(), State: wire.UpstreamState(state.Load())}, nil
		},
		RaiseIncarnation: func(known uint64) { number.Store(known + 1) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); pool.Close() })
	go a.Run(ctx)
	return a
}

// allSee returns a condition: each entry host knows exactly one upstream, and it satisfies ok.
func allSee(entries []*entryHost, ok func(Entry) bool) func() bool {
	return func() bool {
		for _, e := range entries {
			got := e.service.Entries()
			if len(got) != 1 || !ok(got[0]) {
				return false
			}
		}
		return true
	}
}

// Every entry host must know an announced upstream. If its owners crash, the next hosts must
// become owners before the upstream is removed. A shutdown must reach all remaining hosts.
func TestUpstreamIsKnownToAllEntryHostsAfterItsOwnersCrash(t *testing.T) {
	entries, hosts := startEntries(t, 4)
	var state atomic.Uint32
	state.Store(uint32(wire.UpstreamReady))
	a := startAnnouncer(t, hosts, "w", &state, 1)
	ready := func(e Entry) bool { return e.Upstream.State == wire.UpstreamReady && !e.Suspect }
	require.Eventually(t, allSee(entries, ready), conditionTimeout, 5*time.Millisecond)

	var rest []*entryHost
	owners := Owners(hosts, "w")
	for i, h := range hosts {
		if h == owners[0] || h == owners[1] {
			entries[i].stop()
			continue
		}
		rest = append(rest, entries[i])
	}
	require.Eventually(t, allSee(rest, ready), conditionTimeout, 5*time.Millisecond, "the next owners take over")

	state.Store(uint32(wire.UpstreamDraining))
	a.AnnounceNow()
	isDraining := func(e Entry) bool { return e.Upstream.State == wire.UpstreamDraining }
	require.Eventually(t, allSee(rest, isDraining), conditionTimeout, 5*time.Millisecond)
}

// After a restart the clock of an agent may be behind, so that it chooses a lower incarnation
// than before. It must use a higher one, or its records would be ignored as out of date.
func TestRestartedAgentUsesHigherIncarnation(t *testing.T) {
	entries, hosts := startEntries(t, 2)
	var state atomic.Uint32
	state.Store(uint32(wire.UpstreamDraining))
	startAnnouncer(t, hosts, "w", &state, 50)
	require.Eventually(t, allSee(entries, func(e Entry) bool { return e.Upstream.Incarnation == 50 }), conditionTimeout, 5*time.Millisecond)
	var restarted atomic.Uint32
	restarted.Store(uint32(wire.UpstreamReady))
	startAnnouncer(t, hosts, "w", &restarted, 7) // lower than 50, as if its clock had been set back
	require.Eventually(t, allSee(entries, func(e Entry) bool {
		return e.Upstream.Incarnation > 50 && e.Upstream.State == wire.UpstreamReady
	}), conditionTimeout, 5*time.Millisecond)
}
