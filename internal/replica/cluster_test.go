package replica

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	testTick     = 5 * time.Millisecond
	waitTimeout  = 20 * time.Second
	pollInterval = 2 * time.Millisecond
)

// init starts the goroutine that go-metrics has for all meters of the process. Started in a synctest bubble
// it would keep the time there from passing.
func init() { metrics.NewMeter().Stop() }

var errDisk = errors.New("disk failed")

// memStorage keeps the log in memory. If appendGate is set, each Append waits for it to
// close.
type memStorage struct {
	mu            sync.Mutex
	persisted     consensus.PersistedState
	failAppends   bool
	appendCalls   int
	failedAppends int
	appendGate    chan struct{}
}

func (s *memStorage) Append(hs *consensus.HardState, entries []consensus.Entry) error {
	s.mu.Lock()
	gate := s.appendGate
	s.mu.Unlock()
	if gate != nil {
		<-gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appendCalls++
	if s.failAppends {
		s.failedAppends++
		return errDisk
	}
	if hs != nil {
		s.persisted.HardState = *hs
	}
	if len(entries) > 0 {
		keep := entries[0].Index - s.persisted.Snapshot.Meta.Index - 1
		s.persisted.Entries = append(slices.Clone(s.persisted.Entries[:keep]), entries...)
	}
	return nil
}

func (s *memStorage) SaveSnapshot(snap consensus.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	drop := min(snap.Meta.Index-s.persisted.Snapshot.Meta.Index, uint64(len(s.persisted.Entries)))
	s.persisted.Snapshot = snap
	s.persisted.Entries = slices.Clone(s.persisted.Entries[drop:])
	return nil
}

func (s *memStorage) Close() error { return nil }

func (s *memStorage) appendCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appendCalls
}

func (s *memStorage) update(f func(*memStorage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// listMachine appends each command to a list and records the latest membership. If encodeGate is set, the
// encoding of a snapshot waits for it to close. While isUnreadable is set, it refuses snapshots and counts them.
type listMachine struct {
	mu         sync.Mutex
	commands   []string
	membership consensus.Membership
	encodeGate chan struct{}

	isUnreadable atomic.Bool
	refused      atomic.Int64
}

func (m *listMachine) Apply(_ uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = append(m.commands, string(data))
	return len(m.commands)
}

func (m *listMachine) ApplyMembership(_ uint64, membership consensus.Membership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.membership = membership
}

func (m *listMachine) Capture() func() ([]byte, error) {
	commands := m.appliedCommands()
	m.mu.Lock()
	defer m.mu.Unlock()
	gate := m.encodeGate
	return func() ([]byte, error) {
		if gate != nil {
			<-gate
		}
		return []byte(strings.Join(commands, ",")), nil
	}
}

func (m *listMachine) Restore(data []byte) error {
	if m.isUnreadable.Load() {
		m.refused.Add(1)
		return errors.New("unknown version of the snapshot")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commands = strings.Split(string(data), ",")
	return nil
}

func (m *listMachine) PrepareRestore(data []byte) (restore func() error, err error) {
	if m.isUnreadable.Load() {
		return nil, m.Restore(data)
	}
	return func() error { return m.Restore(data) }, nil
}

func (m *listMachine) appliedCommands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.commands)
}

type member struct {
	*Replica
	storage *memStorage
	machine *listMachine
}

// cluster is a group of replicas on a network in memory. An isolated replica neither sends
// nor receives. Messages that the replica recordFrom sends are recorded, to be delivered
// late.
//
// Tests in which a leader has to stay run in a synctest bubble. A thread that gets no processor time for an
// election timeout, which is 50 ms with testTick, would end the leadership in real time.
type cluster struct {
	t          *testing.T
	mu         sync.Mutex
	members    map[consensus.ReplicaID]*member
	isolated   map[consensus.ReplicaID]bool
	recorded   map[consensus.ReplicaID][]consensus.Message
	recordFrom consensus.ReplicaID
	// configure changes the options of each replica that is opened; nil changes nothing.
	configure func(*Options)
}

type memTransport struct {
	cluster *cluster
	from    consensus.ReplicaID
}

func (t memTransport) Send(to consensus.ReplicaID, m consensus.Message) {
	t.cluster.mu.Lock()
	if t.cluster.recordFrom == t.from {
		t.cluster.recorded[t.from] = append(t.cluster.recorded[t.from], m)
	}
	dest := t.cluster.members[to]
	lost := dest == nil || t.cluster.isolated[t.from] || t.cluster.isolated[to]
	t.cluster.mu.Unlock()
	if !lost {
		dest.Step(m)
	}
}

func (c *cluster) setIsolated(id consensus.ReplicaID, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[id] = isolated
}

func (c *cluster) open(id consensus.ReplicaID, storage *memStorage) *member {
	m := &member{storage: storage, machine: &listMachine{}}
	o := Options{ID: id, Storage: storage, StateMachine: m.machine, Transport: memTransport{c, id}, PersistedState: storage.persisted,
		Tick: testTick, ElectionTicks: 10, HeartbeatTicks: 1, SnapshotEntries: 20, TrailingEntries: 5, MemberSilenceTimeout: 40 * testTick,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil))}
	if c.configure != nil {
		c.configure(&o)
	}
	r, err := Open(o)
	require.NoError(c.t, err)
	m.Replica = r
	c.mu.Lock()
	c.members[id] = m
	c.mu.Unlock()
	c.t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		require.NoError(c.t, r.Close(ctx))
	})
	return m
}

func newCluster(t *testing.T, ids ...consensus.ReplicaID) *cluster {
	return newClusterWith(t, nil, ids...)
}

// newClusterWith is newCluster with other options.
func newClusterWith(t *testing.T, configure func(*Options), ids ...consensus.ReplicaID) *cluster {
	c := &cluster{t: t, members: map[consensus.ReplicaID]*member{}, isolated: map[consensus.ReplicaID]bool{},
		recorded: map[consensus.ReplicaID][]consensus.Message{}, configure: configure}
	for _, id := range ids {
		c.open(id, &memStorage{})
	}
	require.NoError(t, c.members[ids[0]].Bootstrap(c.ctx(), consensus.Membership{Voters: ids}))
	return c
}

func (c *cluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	c.t.Cleanup(cancel)
	return ctx
}

// leader waits until a replica other than except leads and answers a read.
func (c *cluster) leader(except consensus.ReplicaID) *member {
	var found *member
	require.Eventually(c.t, func() bool {
		for id, m := range c.members {
			if id == except || !m.IsLeader() {
				continue
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			_, err := m.Read(ctx)
			cancel()
			if err == nil {
				found = m
				return true
			}
		}
		return false
	}, waitTimeout, pollInterval)
	return found
}

func (c *cluster) follower(leader *member) *member {
	for id, m := range c.members {
		if id != leader.ID() {
			return m
		}
	}
	return nil
}

func (c *cluster) mustPropose(m *member, data ...string) {
	c.t.Helper()
	for _, d := range data {
		_, err := m.Propose(c.ctx(), []byte(d))
		require.NoError(c.t, err)
	}
}

// waitForSameCommands waits until all members have applied the same commands as want.
func (c *cluster) waitForSameCommands(want *member, members ...*member) {
	c.t.Helper()
	for _, m := range members {
		require.Eventually(c.t, func() bool { return slices.Equal(m.machine.appliedCommands(), want.machine.appliedCommands()) }, waitTimeout, pollInterval)
	}
}

func requireVerdict(t *testing.T, err error, v verdict.Verdict, code verdict.Code) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, v, verdict.FromError(err).Verdict, err)
	require.Equal(t, code, verdict.FromError(err).Code, err)
}
