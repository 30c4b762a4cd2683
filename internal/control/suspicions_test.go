package control

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// told is what the tests' suspicions say.
func told(upstream string, age time.Duration) quarantine.Suspicion {
	return quarantine.Suspicion{
		Fingerprint: quarantine.Fingerprint{1}, Workspace: "w", Incarnation: quarantine.Incarnation{Upstream: upstream}, Request: "r", AgeMS: age.Milliseconds(),
	}
}

// station is a host with sessions: a control host, or an entry host.
type station struct {
	pool    *peer.Pool
	address string
	keeper  *quarantine.Keeper
	// heard gets the messages of an entry host.
	heard chan wire.Message
}

// startStation runs a host; host is nil for an entry host.
func startStation(t *testing.T, name string, host func(*station) *Host) *station {
	st := &station{heard: make(chan wire.Message, 100)}
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	st.address = strings.TrimPrefix(srv.URL, "http://")
	var control *Host
	hello := wire.Hello{Host: name, Address: st.address}
	if host != nil {
		hello.Replica = name + "/1"
	}
	st.pool = peer.NewPool(peer.Config{
		Hello: hello, Secret: "s", Metrics: metrics.NewRegistry(), DialTimeout: 10 * time.Second,
		Handler: peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) {
			if control != nil {
				control.HandlePeer(s, call, m)
				return
			}
			if all, ok := m.(*wire.Suspicions); ok {
				st.keeper.Merge(all.All)
			}
			st.heard <- m
		}),
		OnSession: func(s *peer.Session) {
			if control != nil && s.Remote().Replica != "" {
				control.cfg.Transport.SessionUp(s)
				control.Meet(s)
			}
		},
	})
	t.Cleanup(st.pool.Close)
	if host != nil {
		control = host(st)
		st.keeper = control.Quarantine()
	} else {
		began := time.Now()
		st.keeper = quarantine.NewKeeper(quarantine.Config{
			Limits: quarantine.DefaultLimits, Now: func() time.Duration { return time.Since(began) }, Log: slog.New(slog.DiscardHandler),
			Metrics: metrics.NewRegistry(),
			Publish: func(news []quarantine.Suspicion) {
				for _, s := range st.pool.Sessions() {
					_ = s.Post(&wire.Suspicions{All: news})
				}
			},
		})
	}
	mux.Handle(peer.Path, peer.NewServer(st.pool))
	return st
}

// newControl returns a control host without a replica, as far as the fleet needs one.
func newControl(recall *Recall) func(*station) *Host {
	return func(st *station) *Host {
		h := &Host{
			cfg: Config{
				Address: st.address, Transport: NewTransport(metrics.NewRegistry()), Pool: st.pool, Recall: recall,
				Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
			},
			book: NewBook(), tables: state.New(state.Options{}),
		}
		h.fleet = newFleet(h)
		return h
	}
}

// attach lets an entry host ask a control host to be told.
func (st *station) attach(t *testing.T, control *station) {
	t.Helper()
	s, err := st.pool.Get(t.Context(), control.address)
	require.NoError(t, err)
	require.NoError(t, s.Post(&wire.Attach{Role: roleCallers}))
	require.NoError(t, s.Post(&wire.Suspicions{All: st.keeper.All()}))
}

// holds reports whether a host holds the tests' request.
func (st *station) holds() bool {
	return st.keeper.Verdict(quarantine.Fingerprint{1}) == quarantine.Quarantined
}

// hearTime is generous: it ends a test that has failed.
const hearTime = 60 * time.Second

// What one entry host has seen is known at all, by way of control hosts that some of them
// alone can reach, and at one that comes later before anything else.
func TestSuspicionsReachAllEntryHosts(t *testing.T) {
	one, two := startStation(t, "c1", newControl(nil)), startStation(t, "c2", newControl(nil))
	_, err := one.pool.Get(t.Context(), two.address)
	require.NoError(t, err)
	a, b := startStation(t, "e1", nil), startStation(t, "e2", nil)
	a.attach(t, one)
	b.attach(t, two)
	a.keeper.UpstreamCrashed(quarantine.Attempt{Fingerprint: quarantine.Fingerprint{1}, Incarnation: quarantine.Incarnation{Upstream: "u1"}})
	require.Eventually(t, func() bool { return b.keeper.Verdict(quarantine.Fingerprint{1}) == quarantine.Suspect }, hearTime, time.Millisecond)
	two.keeper.Merge([]quarantine.Suspicion{told("u0", time.Minute)})
	for _, st := range []*station{a, b, one, two} {
		require.Eventually(t, st.holds, hearTime, time.Millisecond)
	}
	late := startStation(t, "e3", nil)
	late.attach(t, two)
	first := <-late.heard
	require.IsType(t, &wire.Suspicions{}, first)
	require.True(t, late.holds())
	require.True(t, late.keeper.Release(quarantine.Fingerprint{1}))
	for _, st := range []*station{a, b, one, two} {
		require.Eventually(t, func() bool { return len(st.keeper.List()) == 0 }, hearTime, time.Millisecond)
	}
}

// What one side of a cut has found out meanwhile, the other knows once they meet.
func TestSuspicionsOfBothSidesMeet(t *testing.T) {
	one, two := startStation(t, "c1", newControl(nil)), startStation(t, "c2", newControl(nil))
	a, b := startStation(t, "e1", nil), startStation(t, "e2", nil)
	a.attach(t, one)
	b.attach(t, two)
	one.keeper.Merge([]quarantine.Suspicion{told("u1", time.Minute)})
	two.keeper.Merge([]quarantine.Suspicion{told("u2", time.Second)})
	for _, st := range []*station{a, b} {
		require.Eventually(t, func() bool { return len(st.keeper.List()) == 1 }, hearTime, time.Millisecond)
	}
	require.False(t, a.holds() || b.holds())
	_, err := one.pool.Get(t.Context(), two.address)
	require.NoError(t, err)
	for _, st := range []*station{a, b, one, two} {
		require.Eventually(t, st.holds, hearTime, time.Millisecond)
	}
}

// After all processes have ended, control hosts know from their disks which requests are held.
func TestSuspicionsOutliveAllProcesses(t *testing.T) {
	recall := NewRecall(journal.OS{}, t.TempDir())
	before := newControl(recall)(&station{})
	before.Quarantine().Merge([]quarantine.Suspicion{told("u1", time.Minute), told("u2", time.Second)})
	require.NoError(t, recall.SaveSuspicions(before.Quarantine().All()))
	after := newControl(recall)(&station{})
	require.Equal(t, quarantine.Quarantined, after.Quarantine().Verdict(quarantine.Fingerprint{1}))
}

// Agents are told nothing of requests, and entry hosts that want suspicions alone nothing else.
func TestOnlyEntryHostsHearSuspicions(t *testing.T) {
	control := startStation(t, "c1", newControl(nil))
	agent := startStation(t, "a1", nil)
	s, err := agent.pool.Get(t.Context(), control.address)
	require.NoError(t, err)
	require.NoError(t, s.Post(&wire.Attach{Role: "agent"}))
	entry := startStation(t, "e1", nil)
	entry.attach(t, control)
	require.IsType(t, &wire.Suspicions{}, <-entry.heard)
	control.keeper.Merge([]quarantine.Suspicion{told("u1", 0)})
	require.IsType(t, &wire.Suspicions{}, <-entry.heard)
	for {
		m := <-agent.heard
		require.IsNotType(t, &wire.Suspicions{}, m)
		if _, ok := m.(*wire.Hosts); ok {
			break
		}
	}
}
