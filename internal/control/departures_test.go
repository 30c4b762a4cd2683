package control

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// testDisk is a disk that counts its writes, and can refuse them or make them wait.
type testDisk struct {
	journal.OS
	writes atomic.Int64
	// isFull is set while writes fail, as at a full disk, or for good once the process has ended.
	isFull atomic.Bool
	// stalled is held while writes must wait.
	stalled sync.Mutex
}

func (d *testDisk) Create(name string) (journal.File, error) {
	d.stalled.Lock()
	defer d.stalled.Unlock()
	d.writes.Add(1)
	if d.isFull.Load() {
		return nil, errors.New("no space left")
	}
	return d.OS.Create(name)
}

// voter is a control host with a disk, and the host that runs on it.
type voter struct {
	*testHost
	host   *Host
	disk   *testDisk
	folder string
}

// newVoter starts a control host on a folder. It accepts leaves at once.
func newVoter(t *testing.T, name, folder string, voters ...string) *voter {
	v := &voter{disk: &testDisk{}, folder: folder}
	v.testHost = startTestHost(t, name, func(th *testHost) *Host {
		h := &Host{
			id: consensus.ReplicaID(name + "/1"),
			cfg: Config{
				Address: th.address, Transport: NewTransport(metrics.NewRegistry()), Pool: th.pool, LocalStore: NewLocalStore(v.disk, folder),
				Registry: registry.Limits{SilenceTimeout: time.Minute, ForgetTimeout: time.Minute},
				Log:      slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
			},
			addressBook: NewAddressBook(), tables: state.New(state.Options{}),
		}
		h.fleet = newFleet(h)
		h.fleet.started = h.fleet.started.Add(-attachPeriod)
		h.fleet.voters = func() []consensus.ReplicaID {
			var out []consensus.ReplicaID
			for _, name := range voters {
				out = append(out, consensus.ReplicaID(name+"/1"))
			}
			return out
		}
		v.host = h
		return h
	})
	ctx, cancel := context.WithCancel(t.Context())
	stopHost := v.stop
	v.stop = func() {
		cancel()
		v.disk.isFull.Store(true)
		stopHost()
	}
	saverEnded := make(chan struct{})
	go func() {
		defer close(saverEnded)
		v.host.fleet.departures.run(ctx)
	}()
	t.Cleanup(func() {
		// A write in progress would create files in a folder that is being removed. A test that fails may
		// leave the disk stalled.
		cancel()
		select {
		case <-saverEnded:
		case <-time.After(propagationTimeout):
		}
	})
	return v
}

var threeVoters = []string{"c1", "c2", "c3"}

// startVoters starts three control hosts that are connected with each other.
func startVoters(t *testing.T) []*voter {
	var all []*voter
	for _, name := range threeVoters {
		all = append(all, newVoter(t, name, t.TempDir(), threeVoters...))
	}
	for i, v := range all {
		for _, other := range all[:i] {
			v.connect(t, other)
		}
	}
	return all
}

// connect begins a session between two control hosts.
func (v *voter) connect(t *testing.T, other *voter) {
	t.Helper()
	_, err := v.pool.Get(t.Context(), other.address)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return v.host.cfg.Transport.session(other.host.id) != nil && other.host.cfg.Transport.session(v.host.id) != nil
	}, propagationTimeout, time.Millisecond)
}

// leaveOf is the call of an upstream that leaves without its start time.
var leaveOf = registry.Upstream{ID: "u", State: registry.Gone}

// attachEntryHost starts an entry host and attaches it to the control host.
func (v *voter) attachEntryHost(t *testing.T, name string) *entryHost {
	t.Helper()
	e := newEntryHost(t, name)
	e.attachTo(t, v)
	return e
}

// entryHost is an entry host of which only the view of upstreams is real.
type entryHost struct {
	*testHost
	mu   sync.Mutex
	view *registry.View
	// lists counts the messages with records of upstreams.
	lists int
}

func newEntryHost(t *testing.T, name string) *entryHost {
	e := &entryHost{testHost: startTestHost(t, name, nil), view: registry.NewView()}
	e.testHost.apply = e.applyMessage
	return e
}

func (e *entryHost) attachTo(t *testing.T, v *voter) {
	t.Helper()
	s, err := e.pool.Get(t.Context(), v.address)
	require.NoError(t, err)
	require.NoError(t, s.Post(&wire.Attach{Role: roleEntry}))
}

// awaitAttached waits until a number of entry hosts are attached to the control host.
func (v *voter) awaitAttached(t *testing.T, hosts int) {
	t.Helper()
	require.Eventually(t, func() bool { return len(v.host.fleet.entrySessions()) == hosts }, propagationTimeout, time.Millisecond)
}

// applyMessage applies what a control host tells of upstreams and returns the reply.
func (e *entryHost) applyMessage(m wire.Message) wire.Message {
	u, ok := m.(*wire.Upstreams)
	if !ok {
		return &wire.Ack{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if u.Leaving != "" {
		startedAt, err := e.view.Resolve(u.Leaving, time.Hour)
		return ResolvedReply(u.Leaving, startedAt, err)
	}
	e.lists++
	if _, err := e.view.Merge("control", u.All, time.Hour); err != nil {
		return peer.NewFailure(verdict.New(verdict.NotRun, verdict.CodeConflict, err.Error()))
	}
	e.view.MergeDepartures(u.Departures)
	return &wire.Ack{}
}

// offers reports whether the entry host sends requests to the upstream of these tests.
func (e *entryHost) offers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.view.Serving()["s"]) > 0
}

func testUpstream(sequence uint64, s registry.State) registry.Upstream {
	return registry.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", StartedAt: 5, Sequence: sequence, State: s}
}

// savedState returns the state of an upstream's departure on a control host's disk; Ready if there is
// none.
func (v *voter) savedState(id string) registry.State {
	all, err := NewLocalStore(journal.OS{}, v.folder).LoadDepartures(time.Now())
	if err != nil {
		return registry.Ready
	}
	for _, d := range all {
		if d.ID == id {
			return d.State
		}
	}
	return registry.Ready
}

// Guards against an acknowledged departure that is lost with the control host that acknowledged it: it
// must be on the disks of a majority by then.
func TestDepartureIsOnMajorityOfDisksWhenAcknowledged(t *testing.T) {
	for _, departed := range []registry.State{registry.Draining, registry.Gone} {
		all := startVoters(t)
		require.NoError(t, all[0].host.Announce(t.Context(), testUpstream(1, registry.Ready)))
		require.NoError(t, all[0].host.Announce(t.Context(), testUpstream(2, departed)))
		saved := 0
		for _, v := range all {
			if v.savedState("u") == departed {
				saved++
			}
		}
		require.GreaterOrEqual(t, saved, 2)
	}
}

// Guards against a control host that hands out an upstream that has left: one that returns with a list
// of upstreams from before, or with an empty disk, and the others after a restart.
func TestDepartureSurvivesRestartsAndLostDisks(t *testing.T) {
	all := startVoters(t)
	first := all[0].host
	require.NoError(t, first.Announce(t.Context(), testUpstream(1, registry.Ready)))
	require.NoError(t, first.cfg.LocalStore.SaveUpstreams(first.fleet.registry.All()))
	stale := t.TempDir()
	require.NoError(t, NewLocalStore(journal.OS{}, stale).SaveUpstreams(first.fleet.registry.All()))
	require.NoError(t, first.Announce(t.Context(), testUpstream(2, registry.Gone)))
	for _, v := range all {
		require.Eventually(t, func() bool { return v.savedState("u") == registry.Gone }, propagationTimeout, time.Millisecond)
	}

	for _, folder := range []string{all[0].folder, all[1].folder} {
		restarted := newVoter(t, "c1", folder, threeVoters...)
		e := restarted.attachEntryHost(t, "e1")
		require.Never(t, e.offers, 100*time.Millisecond, time.Millisecond, "a restart with the disk")
	}
	for name, folder := range map[string]string{"an older list": stale, "an empty disk": t.TempDir()} {
		restarted := newVoter(t, "c1", folder, threeVoters...)
		e := restarted.attachEntryHost(t, "e2")
		require.Eventually(t, func() bool { return e.offers() == (folder == stale) }, propagationTimeout, time.Millisecond, name)
		restarted.connect(t, all[2])
		require.Eventually(t, func() bool { return !e.offers() && restarted.savedState("u") == registry.Gone }, propagationTimeout, time.Millisecond, name)
	}
}

// Guards against an acknowledgement by a control host that no other one can vouch for, and against an
// upstream whose leave is not acknowledged and that gets no requests all the same.
func TestDepartureIsNotAcknowledgedWithoutMajority(t *testing.T) {
	alone := newVoter(t, "c1", t.TempDir(), threeVoters...)
	e := alone.attachEntryHost(t, "e1")
	require.NoError(t, alone.host.Announce(t.Context(), testUpstream(1, registry.Ready)))
	require.Eventually(t, e.offers, propagationTimeout, time.Millisecond)
	var refusal *verdict.Error
	require.ErrorAs(t, alone.host.Announce(t.Context(), testUpstream(2, registry.Gone)), &refusal)
	require.Equal(t, verdict.MayHaveRun, refusal.Verdict)
	require.Never(t, func() bool { return !e.offers() }, 100*time.Millisecond, time.Millisecond)

	other := newVoter(t, "c2", t.TempDir(), threeVoters...)
	alone.connect(t, other)
	require.NoError(t, alone.host.Announce(t.Context(), testUpstream(2, registry.Gone)), "the call is sent again")
	require.Eventually(t, func() bool { return !e.offers() }, propagationTimeout, time.Millisecond)
}

// Guards against an acknowledgement by a control host that has come to the cluster just now: it knows no
// voters, and its own disk may be the only one that has the departure.
func TestDepartureIsNotAcknowledgedWithoutKnownVoters(t *testing.T) {
	unknowing := newVoter(t, "c4", t.TempDir())
	unknowing.connect(t, newVoter(t, "c1", t.TempDir(), threeVoters...))
	require.NoError(t, unknowing.host.Announce(t.Context(), testUpstream(1, registry.Ready)))
	var refusal *verdict.Error
	require.ErrorAs(t, unknowing.host.Announce(t.Context(), testUpstream(2, registry.Gone)), &refusal)
	require.Equal(t, verdict.CodeNoQuorum, refusal.Code)
}

// Guards against a leave that waits for one control host whose disk stalls or is full, its own one
// or another's.
func TestDepartureIsAcknowledgedBesideOneBadDisk(t *testing.T) {
	for i := range threeVoters {
		all := startVoters(t)
		require.NoError(t, all[0].host.Announce(t.Context(), testUpstream(1, registry.Ready)))
		all[i].disk.isFull.Store(true)
		require.NoError(t, all[0].host.Announce(t.Context(), testUpstream(2, registry.Draining)))
		all[i].disk.isFull.Store(false)
		all[i].disk.stalled.Lock()
		require.NoError(t, all[0].host.Announce(t.Context(), testUpstream(3, registry.Gone)))
		all[i].disk.stalled.Unlock()
	}
}

// Guards against a release of hundreds of upstreams in which each departure waits for syncs of its own,
// and is a message to each entry host from each control host.
func TestDeparturesOfReleaseShareWritesAndMessages(t *testing.T) {
	const upstreams = 300
	all := startVoters(t)
	e := newEntryHost(t, "e1")
	for _, v := range all {
		e.attachTo(t, v)
		v.awaitAttached(t, 1)
	}
	var wg sync.WaitGroup
	var refused atomic.Int64
	for i := range upstreams {
		wg.Go(func() {
			u := registry.Upstream{ID: fmt.Sprint("u", i), Service: "s", Address: "10.0.0.1:80", State: registry.Draining, Sequence: 1}
			if all[0].host.Announce(t.Context(), u) != nil {
				refused.Add(1)
			}
		})
	}
	wg.Wait()
	require.Zero(t, refused.Load())
	require.Less(t, all[0].disk.writes.Load(), int64(upstreams/2))
	e.mu.Lock()
	defer e.mu.Unlock()
	require.Less(t, e.lists, upstreams/2)
}

// Guards against a departure that counts as put in force, or as refused, since another one in the same
// message is refused by an entry host.
func TestRefusalConcernsItsDepartureOnly(t *testing.T) {
	all := startVoters(t)
	e := all[0].attachEntryHost(t, "e1")
	all[0].awaitAttached(t, 1)
	// The entry host knows an incarnation with a start time that has just replaced another one.
	e.mu.Lock()
	for _, startedAt := range []int64{5, 9} {
		_, err := e.view.Merge("other", []registry.Upstream{{ID: "doubted", Service: "s", Address: "10.0.0.2:80", StartedAt: startedAt}}, time.Hour)
		require.NoError(t, err)
	}
	e.mu.Unlock()
	var wg sync.WaitGroup
	var doubted, clear error
	call := func(id string, err *error) func() {
		return func() {
			*err = all[0].host.fleet.notifyDeparture(t.Context(), notifyTimeout, []registry.Upstream{{ID: id, State: registry.Gone}})
		}
	}
	wg.Go(call("doubted", &doubted))
	wg.Go(call("clear", &clear))
	wg.Wait()
	require.Error(t, doubted)
	require.NoError(t, clear)
}

// Guards against a heartbeat of an upstream that drains that costs a write each time.
func TestRepeatedDepartureIsSavedOnce(t *testing.T) {
	all := startVoters(t)
	require.NoError(t, all[0].host.Announce(t.Context(), testUpstream(1, registry.Draining)))
	require.Eventually(t, func() bool { return all[0].savedState("u") == registry.Draining }, propagationTimeout, time.Millisecond)
	before := all[0].disk.writes.Load()
	for sequence := range uint64(5) {
		require.NoError(t, all[0].host.Announce(t.Context(), testUpstream(2+sequence, registry.Draining)))
	}
	require.Equal(t, before, all[0].disk.writes.Load())
}

// Guards against departures that replace a later incarnation, or are told by another host than a
// control host.
func TestDepartureConcernsItsIncarnationOnly(t *testing.T) {
	all := startVoters(t)
	later := testUpstream(1, registry.Ready)
	later.StartedAt = 9
	require.NoError(t, all[1].host.Announce(t.Context(), later))
	e := all[1].attachEntryHost(t, "e1")
	require.NoError(t, all[0].host.Announce(t.Context(), testUpstream(1, registry.Gone)))
	s, err := e.pool.Get(t.Context(), all[1].address)
	require.NoError(t, err)
	require.NoError(t, s.Post(&wire.Upstreams{Departures: []registry.Departure{{ID: "u", StartedAt: 9, State: registry.Gone}}}))
	require.Eventually(t, e.offers, propagationTimeout, time.Millisecond)
	require.Never(t, func() bool { return !e.offers() }, 100*time.Millisecond, time.Millisecond)
}

// Guards against a leave that is acknowledged by a control host without the upstream's heartbeats and
// kept nowhere. The control host that has them must know of it, whether it runs then or not.
func TestLeaveAtUnknowingControlHostIsKept(t *testing.T) {
	for _, startedAt := range []int64{0, 5} {
		for _, isDown := range []bool{false, true} {
			all := startVoters(t)
			u := testUpstream(1, registry.Ready)
			u.StartedAt = startedAt
			require.NoError(t, all[0].host.Announce(t.Context(), u))
			require.NoError(t, all[0].host.cfg.LocalStore.SaveUpstreams(all[0].host.fleet.registry.All()))
			knowing := all[0]
			if isDown {
				knowing.stop()
			}
			require.NoError(t, all[1].host.Announce(t.Context(), leaveOf))
			saved := 0
			for _, v := range all {
				if v.savedState("u") == registry.Gone {
					saved++
				}
			}
			require.GreaterOrEqual(t, saved, 2)
			if isDown {
				knowing = newVoter(t, "c1", knowing.folder, threeVoters...)
				knowing.connect(t, all[2])
				require.Eventually(t, func() bool { return knowing.savedState("u") == registry.Gone }, propagationTimeout, time.Millisecond)
			}
			e := knowing.attachEntryHost(t, "e1")
			require.Eventually(t, func() bool { return !e.offers() && knowing.savedState("u") == registry.Gone }, propagationTimeout, time.Millisecond)
			require.Never(t, e.offers, 100*time.Millisecond, time.Millisecond)
			e.attachTo(t, all[2])
			require.Never(t, e.offers, 100*time.Millisecond, time.Millisecond)
		}
	}
}

// Guards against a leave that is acknowledged although it may come from an earlier incarnation than the
// one that another control host knows.
func TestLeaveIsRefusedIfAnotherControlHostDoubtsIt(t *testing.T) {
	all := startVoters(t)
	for _, startedAt := range []int64{5, 9} {
		u := testUpstream(1, registry.Ready)
		u.StartedAt = startedAt
		require.NoError(t, all[0].host.Announce(t.Context(), u))
	}
	var refusal *verdict.Error
	require.ErrorAs(t, all[1].host.Announce(t.Context(), leaveOf), &refusal)
	require.Equal(t, verdict.CodeConflict, refusal.Code)
	e := all[0].attachEntryHost(t, "e1")
	e.attachTo(t, all[1])
	require.Eventually(t, e.offers, propagationTimeout, time.Millisecond)
	require.Never(t, func() bool { return !e.offers() }, 100*time.Millisecond, time.Millisecond)
}
