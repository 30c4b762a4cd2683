package control

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/engineload"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// loadHost is a control host, or an entry host that records the loads that it gets.
type loadHost struct {
	pool    *peer.Pool
	address string
	control *Host
	metrics metrics.Registry

	// mu guards the fields below.
	mu       sync.Mutex
	decoders map[*peer.Session]*engineload.Decoder
	// running holds the number of running requests at each engine, as last received.
	running map[string]int
	// frozen blocks the handling of messages while it is locked.
	frozen sync.Mutex
}

func startLoadHost(t *testing.T, name, dataCentre string, isControl bool) *loadHost {
	h := &loadHost{metrics: metrics.NewRegistry(), decoders: make(map[*peer.Session]*engineload.Decoder), running: make(map[string]int)}
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	h.address = strings.TrimPrefix(srv.URL, "http://")
	hello := wire.Hello{Host: name, Address: h.address, DataCentre: dataCentre}
	if isControl {
		hello.Replica = name + "/1"
	}
	transport := NewTransport(metrics.NewRegistry())
	h.pool = peer.NewPool(peer.Config{
		Hello: hello, Secret: "s", Metrics: h.metrics, DialTimeout: 10 * time.Second,
		Handler:   peer.HandlerFunc(h.handle),
		OnSession: transport.SessionUp,
	})
	t.Cleanup(h.pool.Close)
	if isControl {
		h.control = &Host{
			cfg: Config{
				Address: h.address, DataCentre: dataCentre, Transport: transport, Pool: h.pool,
				Log: slog.New(slog.DiscardHandler), Metrics: h.metrics,
			},
			addressBook: NewAddressBook(), tables: state.New(state.Options{}),
		}
		h.control.fleet = newFleet(h.control)
	}
	mux.Handle(peer.Path, peer.NewServer(h.pool))
	return h
}

func (h *loadHost) handle(s *peer.Session, call uint64, m wire.Message) {
	h.frozen.Lock()
	defer h.frozen.Unlock()
	if h.control != nil {
		h.control.HandlePeer(s, call, m)
		return
	}
	loads, ok := m.(*wire.EngineLoads)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.decoders[s] == nil {
		h.decoders[s] = &engineload.Decoder{}
	}
	all, _ := h.decoders[s].Decode(loads)
	for _, l := range all {
		h.running[l.Address] = l.Running
	}
}

// runningAt returns the number of running requests at an engine, as last received.
func (h *loadHost) runningAt(engine string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running[engine]
}

// sentLoads returns how many messages with the loads of engines a host has sent.
func (h *loadHost) sentLoads() int64 {
	name := "peer.kind." + wire.KindEngineLoads.String() + ".sent.messages"
	return metrics.GetOrRegisterCounter(name, h.metrics).Count()
}

// loadFleet is a sender and an agent in data centre "a", and relays and entry hosts in "b".
type loadFleet struct {
	sender  *loadHost
	relays  []*loadHost
	entries []*loadHost
	agent   *peer.Session
}

func startLoadFleet(t *testing.T, relays, entries int) *loadFleet {
	f := &loadFleet{sender: startLoadHost(t, "c0", "a", true)}
	for i := range relays {
		relay := startLoadHost(t, fmt.Sprint("r", i), "b", true)
		f.relays = append(f.relays, relay)
		_, err := f.sender.pool.Get(t.Context(), relay.address)
		require.NoError(t, err)
	}
	for i := range entries {
		f.addEntryHost(t, fmt.Sprint("e", i))
	}
	agent := startLoadHost(t, "agent", "a", false)
	s, err := agent.pool.Get(t.Context(), f.sender.address)
	require.NoError(t, err)
	f.agent = s
	return f
}

// addEntryHost starts an entry host in data centre "b" and attaches it to all control hosts.
func (f *loadFleet) addEntryHost(t *testing.T, name string) {
	entry := startLoadHost(t, name, "b", false)
	for _, c := range append([]*loadHost{f.sender}, f.relays...) {
		s, err := entry.pool.Get(t.Context(), c.address)
		require.NoError(t, err)
		require.NoError(t, s.Post(&wire.Attach{Role: roleEntry}))
	}
	for _, c := range append([]*loadHost{f.sender}, f.relays...) {
		require.Eventually(t, func() bool { return len(c.control.fleet.entrySessions()) == len(f.entries)+1 }, propagationTimeout, time.Millisecond)
	}
	f.entries = append(f.entries, entry)
}

// report reports a load again and again until all entry hosts have it, as agents do, and returns how
// long that took.
func (f *loadFleet) report(t *testing.T, running int) time.Duration {
	t.Helper()
	started := time.Now()
	require.Eventually(t, func() bool {
		_ = f.agent.Post(&wire.EngineLoad{Address: "engine", Running: running})
		for _, e := range f.entries {
			if e.runningAt("engine") != running {
				return false
			}
		}
		return true
	}, propagationTimeout, 10*time.Millisecond)
	return time.Since(started)
}

// What the sender sends must not grow with the entry hosts of other data centres, and all of them
// must get every load. Guards against a control host that sends the loads of all engines to all entry
// hosts of a large fleet.
func TestLoadsAreRelayedInLargeFleets(t *testing.T) {
	f := startLoadFleet(t, 1, maxDirectEntryHosts+1)
	for running := range 3 {
		before := f.sender.sentLoads()
		f.report(t, running+1)
		messages := f.sender.sentLoads() - before
		// The agent's reports are gathered over loadInterval, and each message is one to the relay.
		require.Less(t, messages, int64(maxDirectEntryHosts))
	}
	f.addEntryHost(t, "late")
	f.report(t, 3)
}

// Up to a number of entry hosts they get the loads directly, without a relay between.
func TestLoadsAreSentDirectlyInSmallFleets(t *testing.T) {
	f := startLoadFleet(t, 1, 3)
	f.report(t, 1)
	require.Zero(t, f.relays[0].sentLoads())
}

// A relay that is frozen must be replaced within some tenths of a second, by another control host of
// its data centre, or by the sender if there is none. Guards against entry hosts without loads for as
// long as a session with a frozen host lasts.
func TestFrozenRelayIsReplaced(t *testing.T) {
	for _, relays := range []int{1, 2} {
		t.Run(fmt.Sprint(relays), func(t *testing.T) {
			f := startLoadFleet(t, relays, maxDirectEntryHosts+1)
			f.report(t, 1)
			for _, r := range f.relays {
				if r.sentLoads() > 0 {
					r.frozen.Lock()
					defer r.frozen.Unlock()
				}
			}
			took := f.report(t, 2)
			t.Logf("replaced after %v", took)
			require.Less(t, took, relayPause)
		})
	}
}

// Loads that don't come from a control host must change nothing.
func TestLoadsFromOtherHostsAreRefused(t *testing.T) {
	f := startLoadFleet(t, 1, 1)
	s, err := f.entries[0].pool.Get(t.Context(), f.relays[0].address)
	require.NoError(t, err)
	_, _, err = s.Call(t.Context(), &wire.EngineLoads{FullRecords: []wire.EngineLoad{{Number: 1, Address: "engine", Running: 9}}})
	require.Error(t, err)
	require.Zero(t, f.entries[0].runningAt("engine"))
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter("control.loads.refused", f.relays[0].metrics).Count())
}
