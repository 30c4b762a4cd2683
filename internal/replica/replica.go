// Package replica drives one consensus core: it owns the core's goroutine, its
// ticks, the storage of its log and the machine that its entries change.
package replica

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// Storage keeps what a replica must not forget. A failed call is final: the
// replica stops and calls nothing but Close.
type Storage interface {
	// Append writes and syncs hs, unless it is nil, and entries, which replace
	// any conflicting suffix.
	Append(hs *consensus.HardState, entries []consensus.Entry) error
	// SaveSnapshot makes a snapshot durable and then drops the log that it covers.
	SaveSnapshot(consensus.Snapshot) error
	Close() error
}

// StateMachine holds the replicated tables. Only the replica's goroutine calls it.
type StateMachine interface {
	// Apply changes the tables in a deterministic way.
	Apply(index uint64, data []byte) (result any)
	Snapshot() ([]byte, error)
	Restore([]byte) error
}

// MembershipObserver is a Machine that is told of committed memberships.
type MembershipObserver interface {
	ApplyMembership(index uint64, m consensus.Membership)
}

// SnapshotCapturer is a Machine that can set a consistent copy aside quickly. The function
// returned by Capture encodes the copy on another goroutine, beside the loop.
type SnapshotCapturer interface {
	Capture() (encode func() ([]byte, error))
}

// Transport sends messages, best effort. Send must not block, and must not change
// the message, which shares memory with the log.
type Transport interface {
	Send(to consensus.ReplicaID, m consensus.Message)
}

// The defaults of Options.
const (
	DefaultTick            = 50 * time.Millisecond
	DefaultElectionTicks   = 20
	DefaultHeartbeatTicks  = 2
	DefaultSnapshotEntries = 10000
)

// The bounds of the replica's queues; what does not fit is refused or dropped.
const (
	maxQueuedMessages  = 4096
	maxQueuedProposals = 4096
	maxQueuedReads     = 4096
)

// Options sets up a Replica. ID, Storage, Machine and Transport are required.
type Options struct {
	ID           consensus.ReplicaID
	Storage      Storage
	StateMachine StateMachine
	Transport    Transport
	// PersistedState is what Storage held.
	PersistedState consensus.PersistedState
	// Tick is the unit of the two fields below.
	Tick time.Duration
	// ElectionTicks is the least election timeout.
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries is how many entries are applied between two snapshots.
	SnapshotEntries uint64
	// TrailingEntries is how many entries stay in memory before a snapshot; zero is the
	// default of consensus.Config.
	TrailingEntries uint64
	// MaxUncommittedBytes bounds a leader's uncommitted data; zero is the default
	// of consensus.Config.
	MaxUncommittedBytes int
	// Rand spreads the election timeouts; nil is a random seed.
	Rand *rand.Rand
	// Logger receives changes of state; nil is slog.Default.
	Logger *slog.Logger
	// Registry receives the metrics; nil keeps them private.
	Registry metrics.Registry
}

func (o Options) withDefaults() Options {
	if o.Tick <= 0 {
		o.Tick = DefaultTick
	}
	if o.ElectionTicks <= 0 {
		o.ElectionTicks = DefaultElectionTicks
	}
	if o.HeartbeatTicks <= 0 {
		o.HeartbeatTicks = DefaultHeartbeatTicks
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = DefaultSnapshotEntries
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if o.Logger == nil {
		o.Logger = slog.Default()
	}
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return o
}

// Replica is one running replica. Its methods may be called concurrently.
type Replica struct {
	opts    Options
	metrics replicaMetrics

	messages  chan consensus.Message
	proposals chan *proposal
	reads     chan *read
	controls  chan func()
	encoded   chan encodedSnapshot
	stop      chan struct{}
	done      chan struct{}
	closing   sync.Once
	closeErr  error
	// err is written before done is closed, and read after.
	err error
	// soft and last are published by the loop.
	soft atomic.Pointer[consensus.SoftState]
	last atomic.Pointer[consensus.Status]
	// shownApplied is applied, for other goroutines.
	shownApplied atomic.Uint64

	// The fields below belong to the loop.
	core *consensus.Core
	// waiting holds the proposals in the log by index. An index may have several,
	// of different terms, of which one at most will be committed.
	waiting map[uint64][]*waiter
	// stale is set while waiting may hold proposals of a leadership that ended.
	stale bool
	// queued reads wait for the next round, asked ones for the answer of this one.
	queued, asked []*read
	round         uint64
	applied       uint64
	snapshot      uint64
	capturing     bool
}

// Open starts a replica from what its storage held. It fails when the log or the
// snapshot can't be read.
func Open(o Options) (*Replica, error) {
	if o.Storage == nil || o.StateMachine == nil || o.Transport == nil {
		return nil, errors.New("replica: Storage, Machine and Transport are required")
	}
	o = o.withDefaults()
	core, err := consensus.New(consensus.Config{
		ID: o.ID, ElectionTicks: o.ElectionTicks, HeartbeatTicks: o.HeartbeatTicks,
		MaxUncommittedBytes: o.MaxUncommittedBytes, TrailingEntries: o.TrailingEntries, Rand: o.Rand,
	}, o.PersistedState)
	if err != nil {
		return nil, err
	}
	r := newReplica(o, core)
	if r.snapshot > 0 {
		if err := o.StateMachine.Restore(o.PersistedState.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "restore the machine")
		}
	}
	r.shownApplied.Store(r.applied)
	r.publish()
	go r.run()
	return r, nil
}

func newReplica(o Options, core *consensus.Core) *Replica {
	at := o.PersistedState.Snapshot.Meta.Index
	return &Replica{
		opts: o, core: core, metrics: newMetrics(o.Registry),
		messages:  make(chan consensus.Message, maxQueuedMessages),
		proposals: make(chan *proposal, maxQueuedProposals),
		reads:     make(chan *read, maxQueuedReads),
		controls:  make(chan func()),
		encoded:   make(chan encodedSnapshot, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
		waiting:   map[uint64][]*waiter{},
		applied:   at,
		snapshot:  at,
	}
}

// Step hands over a message from another replica. It does not block: where the
// queue is full the message is dropped and counted.
func (r *Replica) Step(m consensus.Message) {
	select {
	case r.messages <- m:
	default:
		r.metrics.dropped.Inc(1)
	}
}

// ID returns the replica's own id.
func (r *Replica) ID() consensus.ReplicaID { return r.opts.ID }

// Leader returns the leader that this replica knows of, and whether it knows one.
// It may be out of date; Read tells for sure.
func (r *Replica) Leader() (consensus.ReplicaID, bool) {
	id := r.soft.Load().Leader
	return id, id != ""
}

// IsLeader reports whether this replica believes that it leads.
func (r *Replica) IsLeader() bool { return r.soft.Load().Role == consensus.Leader }

// AppliedIndex returns up to which entry the machine is, those that change nothing in it
// included. It does not wait for the loop, which may wait for a disk.
func (r *Replica) AppliedIndex() uint64 { return r.shownApplied.Load() }

// Status returns the state of the core, the last one when the replica has stopped.
func (r *Replica) Status() consensus.Status {
	var s consensus.Status
	if r.do(context.Background(), func() { s = r.core.Status() }) != nil {
		return *r.last.Load()
	}
	return s
}

// Done is closed when the replica has stopped, by Close or by a failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that ended the replica; nil before, and after Close.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Close hands the leadership over, if this replica leads and ctx leaves time,
// stops the replica and closes its storage.
func (r *Replica) Close(ctx context.Context) error {
	r.closing.Do(func() {
		if r.IsLeader() {
			r.handOver(ctx)
		}
		close(r.stop)
		<-r.done
		r.closeErr = r.opts.Storage.Close()
	})
	return r.closeErr
}

func (r *Replica) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.electionTimeout())
	defer cancel()
	err := r.TransferLeadership(ctx, "")
	if err != nil && !errors.Is(err, consensus.ErrNoTransferee) {
		r.opts.Logger.Warn("leadership not handed over", "error", err)
	}
}

// electionTimeout is the time within which a leadership that lost its majority ends.
func (r *Replica) electionTimeout() time.Duration {
	return time.Duration(r.opts.ElectionTicks) * r.opts.Tick
}

// do runs f on the loop.
func (r *Replica) do(ctx context.Context, f func()) error {
	ran := make(chan struct{})
	select {
	case r.controls <- func() { f(); close(ran) }:
	case <-ctx.Done():
		return ended(ctx)
	case <-r.done:
		return r.stopped()
	}
	// The loop runs what it has received before it can stop.
	<-ran
	return nil
}

// poll waits until ok, checked once a tick, is true.
func (r *Replica) poll(ctx context.Context, ok func() bool) error {
	t := time.NewTicker(r.opts.Tick)
	defer t.Stop()
	for !ok() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ended(ctx)
		case <-r.done:
			return r.stopped()
		}
	}
	return nil
}
