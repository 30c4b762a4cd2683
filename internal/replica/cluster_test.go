package replica

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	testTick = 5 * time.Millisecond
	patience = 20 * time.Second
	glance   = 2 * time.Millisecond
)

var errDisk = errors.New("disk failed")

// memStorage keeps the log in memory. gate, if set, holds each Append.
type memStorage struct {
	mu      sync.Mutex
	saved   consensus.PersistedState
	fail    bool
	appends int
	failed  int
	gate    chan struct{}
}

func (s *memStorage) Append(hs *consensus.HardState, entries []consensus.Entry) error {
	s.mu.Lock()
	gate := s.gate
	s.mu.Unlock()
	if gate != nil {
		<-gate
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	if s.fail {
		s.failed++
		return errDisk
	}
	if hs != nil {
		s.saved.HardState = *hs
	}
	if len(entries) > 0 {
		keep := entries[0].Index - s.saved.Snapshot.Meta.Index - 1
		s.saved.Entries = append(slices.Clone(s.saved.Entries[:keep]), entries...)
	}
	return nil
}

func (s *memStorage) SaveSnapshot(snap consensus.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	drop := min(snap.Meta.Index-s.saved.Snapshot.Meta.Index, uint64(len(s.saved.Entries)))
	s.saved.Snapshot = snap
	s.saved.Entries = slices.Clone(s.saved.Entries[drop:])
	return nil
}

func (s *memStorage) Close() error { return nil }

func (s *memStorage) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

func (s *memStorage) set(f func(*memStorage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// listMachine appends each command to a list and keeps the latest membership.
type listMachine struct {
	mu      sync.Mutex
	list    []string
	members consensus.Membership
}

func (m *listMachine) Apply(_ uint64, data []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, string(data))
	return len(m.list)
}

func (m *listMachine) ApplyMembership(_ uint64, members consensus.Membership) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = members
}

func (m *listMachine) Snapshot() ([]byte, error) {
	return []byte(strings.Join(m.get(), ",")), nil
}

func (m *listMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = strings.Split(string(data), ",")
	return nil
}

func (m *listMachine) get() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.list)
}

// capturingMachine encodes its snapshots beside the loop.
type capturingMachine struct{ *listMachine }

func (m capturingMachine) Capture() func() ([]byte, error) {
	list := m.get()
	return func() ([]byte, error) { return []byte(strings.Join(list, ",")), nil }
}

type member struct {
	*Replica
	storage *memStorage
	machine *listMachine
}

// cluster is replicas on a network in memory. A cut replica neither sends nor
// receives; what a held one sends is kept for later.
type cluster struct {
	t       *testing.T
	mu      sync.Mutex
	members map[consensus.ReplicaID]*member
	cut     map[consensus.ReplicaID]bool
	held    map[consensus.ReplicaID][]consensus.Message
	hold    consensus.ReplicaID
	capture bool
}

type port struct {
	c    *cluster
	from consensus.ReplicaID
}

func (p port) Send(to consensus.ReplicaID, m consensus.Message) {
	p.c.mu.Lock()
	if p.c.hold == p.from {
		p.c.held[p.from] = append(p.c.held[p.from], m)
	}
	dest := p.c.members[to]
	lost := dest == nil || p.c.cut[p.from] || p.c.cut[to]
	p.c.mu.Unlock()
	if !lost {
		dest.Step(m)
	}
}

func (c *cluster) setCut(id consensus.ReplicaID, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[id] = cut
}

func (c *cluster) open(id consensus.ReplicaID, storage *memStorage) *member {
	m := &member{storage: storage, machine: &listMachine{}}
	var machine StateMachine = m.machine
	if c.capture {
		machine = capturingMachine{m.machine}
	}
	r, err := Open(Options{ID: id, Storage: storage, StateMachine: machine, Transport: port{c, id}, PersistedState: storage.saved,
		Tick: testTick, ElectionTicks: 10, HeartbeatTicks: 1, SnapshotEntries: 20, TrailingEntries: 5,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
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
	return newClusterOf(t, false, ids...)
}

func newClusterOf(t *testing.T, capture bool, ids ...consensus.ReplicaID) *cluster {
	c := &cluster{t: t, capture: capture, members: map[consensus.ReplicaID]*member{}, cut: map[consensus.ReplicaID]bool{},
		held: map[consensus.ReplicaID][]consensus.Message{}}
	for _, id := range ids {
		c.open(id, &memStorage{})
	}
	require.NoError(t, c.members[ids[0]].Bootstrap(c.ctx(), consensus.Membership{Voters: ids}))
	return c
}

func (c *cluster) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	c.t.Cleanup(cancel)
	return ctx
}

// leader waits for a leader that answers a read, other than not.
func (c *cluster) leader(not consensus.ReplicaID) *member {
	var found *member
	require.Eventually(c.t, func() bool {
		for id, m := range c.members {
			if id == not || !m.IsLeader() {
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
	}, patience, glance)
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

// agree waits until the members hold the same list as want.
func (c *cluster) agree(want *member, members ...*member) {
	c.t.Helper()
	for _, m := range members {
		require.Eventually(c.t, func() bool { return slices.Equal(m.machine.get(), want.machine.get()) }, patience, glance)
	}
}

func requireVerdict(t *testing.T, err error, v verdict.Verdict, code verdict.Code) {
	t.Helper()
	require.Error(t, err)
	require.Equal(t, v, verdict.Of(err).Verdict, err)
	require.Equal(t, code, verdict.Of(err).Code, err)
}
