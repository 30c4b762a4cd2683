// Package replica runs one consensus core: it owns the core's goroutine and ticks, the
// storage of the log, and the state machine to which committed entries are applied.
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

// Storage persists the log and the snapshots of a replica. One goroutine calls it, apart from
// the replica's loop, so a call may take long. After a failed call the replica stops and calls
// nothing but Close.
type Storage interface {
	// Append writes and syncs hs, unless it is nil, and entries. The entries replace any
	// conflicting suffix of the log.
	Append(hs *consensus.HardState, entries []consensus.Entry) error
	// SaveSnapshot persists a snapshot and then removes the log entries that it covers.
	SaveSnapshot(consensus.Snapshot) error
	Close() error
}

// StateMachine holds the replicated state. Only the replica's goroutine calls its methods.
type StateMachine interface {
	// Apply executes a command. It must be deterministic.
	Apply(index uint64, data []byte) (result any)
	// Capture quickly makes a consistent copy of the state. The function that it returns encodes the copy
	// and runs on another goroutine: a leader whose loop encoded its whole state would send no heartbeat
	// for so long, and lose its leadership.
	Capture() (encode func() ([]byte, error))
	Restore([]byte) error
}

// MembershipObserver is a StateMachine that is notified of committed memberships.
type MembershipObserver interface {
	ApplyMembership(index uint64, m consensus.Membership)
}

// RestorePreparer is a StateMachine that decodes a snapshot before the replica takes it. The replica refuses one
// that can't be decoded, as that of a newer build, and stays as it is. Otherwise it would end, and could not start
// again, since the snapshot is on its disk by then.
type RestorePreparer interface {
	// PrepareRestore decodes a snapshot and changes nothing. The function that it returns does the rest of Restore.
	PrepareRestore(data []byte) (restore func() error, err error)
}

// Transport sends messages and may lose them. Send may be called concurrently. It must not block
// and must not change the message, which shares memory with the log.
type Transport interface {
	Send(to consensus.ReplicaID, m consensus.Message)
}

// Defaults for the fields of Options that are not set.
const (
	DefaultTick            = 50 * time.Millisecond
	DefaultElectionTicks   = 20
	DefaultHeartbeatTicks  = 2
	DefaultSnapshotEntries = 10000
	DefaultSnapshotBytes   = 8 << 20
	// DefaultMaxSnapshotBytes is somewhat below the longest message between control hosts, 1 GiB.
	DefaultMaxSnapshotBytes = 1<<30 - 1<<20
	// DefaultMemberSilenceTimeout is above the duration of an election at the default tick.
	DefaultMemberSilenceTimeout = 3 * time.Second
)

// Limits of the replica's queues. Proposals and reads beyond them are refused, messages are
// dropped.
const (
	maxQueuedMessages  = 4096
	maxQueuedProposals = 4096
	maxQueuedReads     = 4096
)

// Options configures a Replica. ID, Storage, StateMachine and Transport are required.
type Options struct {
	ID           consensus.ReplicaID
	Storage      Storage
	StateMachine StateMachine
	Transport    Transport
	// PersistedState is what Storage contained at the start.
	PersistedState consensus.PersistedState
	// Tick is the unit of ElectionTicks and HeartbeatTicks.
	Tick time.Duration
	// ElectionTicks is the shortest election timeout.
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries is how many entries are applied between two snapshots, and SnapshotBytes how much
	// data of entries: the log takes up that much of the disk and of memory.
	SnapshotEntries uint64
	SnapshotBytes   int
	// MaxSnapshotBytes limits a snapshot. The log is kept instead of a larger one, which a replica that joins
	// would never get.
	MaxSnapshotBytes int
	// TrailingEntries is how many entries that the latest snapshot covers stay in memory.
	// Zero means the default of consensus.Config.
	TrailingEntries uint64
	// MaxUncommittedBytes limits the data of a leader's uncommitted entries. Zero means the
	// default of consensus.Config.
	MaxUncommittedBytes int
	// MemberSilenceTimeout is the time without contact after which the leader gives up a replica that
	// joins. A replica that is heard may take longer.
	MemberSilenceTimeout time.Duration
	// HasLostDisk is passed to consensus.Config.
	HasLostDisk bool
	// Rand randomizes the election timeouts. If nil, a generator with a random seed is
	// used.
	Rand *rand.Rand
	// Logger receives changes of state and failures. If nil, slog.Default is used.
	Logger *slog.Logger
	// Registry receives the metrics. If nil, they are not exported.
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
	if o.SnapshotBytes <= 0 {
		o.SnapshotBytes = DefaultSnapshotBytes
	}
	if o.MaxSnapshotBytes <= 0 {
		o.MaxSnapshotBytes = DefaultMaxSnapshotBytes
	}
	if o.MemberSilenceTimeout <= 0 {
		o.MemberSilenceTimeout = DefaultMemberSilenceTimeout
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

// Replica is a running replica. Its methods may be called concurrently.
type Replica struct {
	opts    Options
	metrics replicaMetrics

	messages         chan consensus.Message
	proposals        chan *proposal
	reads            chan *readRequest
	loopCalls        chan func()
	encodedSnapshots chan encodedSnapshot
	stop             chan struct{}
	done             chan struct{}
	closeOnce        sync.Once
	closeErr         error
	// err is written before done is closed and may be read only after that.
	err error
	// The loop publishes softState and lastStatus for callers on other goroutines.
	softState  atomic.Pointer[consensus.SoftState]
	lastStatus atomic.Pointer[consensus.Status]
	// publishedAppliedIndex is a copy of appliedIndex for other goroutines.
	publishedAppliedIndex atomic.Uint64

	writer *writer

	// Only the loop may use the fields below.
	core *consensus.Core
	// pendingProposals holds the proposals in the log by index. One index may have several
	// proposals of different terms, at most one of which will be committed.
	pendingProposals map[uint64][]*pendingProposal
	// hasStaleProposals is set while pendingProposals may contain proposals of a leadership
	// that has ended.
	hasStaleProposals bool
	// queuedReads wait for the next read-index request. activeReads wait for the answer to
	// the current one.
	queuedReads, activeReads []*readRequest
	readRound                uint64
	appliedIndex             uint64
	// snapshot is the index of the latest snapshot. A failed attempt to take one counts too.
	snapshot         uint64
	encodingSnapshot bool
	// prepared is the snapshot that was decoded for the messages that are being processed, nil if there is none.
	prepared *preparedSnapshot
	// refusalLoggedAt is when the last line about a refused snapshot was logged.
	refusalLoggedAt time.Time
	// appliedBytes is the data of the entries that were applied since the latest snapshot was begun.
	appliedBytes int
}

// Open starts a replica from its persisted state. It fails if the log or the snapshot can't
// be decoded.
func Open(o Options) (*Replica, error) {
	if o.Storage == nil || o.StateMachine == nil || o.Transport == nil {
		return nil, errors.New("replica: Storage, StateMachine and Transport are required")
	}
	o = o.withDefaults()
	core, err := consensus.New(consensus.Config{
		ID: o.ID, ElectionTicks: o.ElectionTicks, HeartbeatTicks: o.HeartbeatTicks,
		MaxUncommittedBytes: o.MaxUncommittedBytes, TrailingEntries: o.TrailingEntries, HasLostDisk: o.HasLostDisk, Rand: o.Rand,
	}, o.PersistedState)
	if err != nil {
		return nil, err
	}
	r := newReplica(o, core)
	if r.snapshot > 0 {
		if err := o.StateMachine.Restore(o.PersistedState.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "restore the state machine")
		}
	}
	r.publishedAppliedIndex.Store(r.appliedIndex)
	r.publishStatus()
	go r.run()
	return r, nil
}

func newReplica(o Options, core *consensus.Core) *Replica {
	index := o.PersistedState.Snapshot.Meta.Index
	r := &Replica{
		opts: o, core: core, metrics: newMetrics(o.Registry),
		messages:         make(chan consensus.Message, maxQueuedMessages),
		proposals:        make(chan *proposal, maxQueuedProposals),
		reads:            make(chan *readRequest, maxQueuedReads),
		loopCalls:        make(chan func()),
		encodedSnapshots: make(chan encodedSnapshot, 1),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		pendingProposals: map[uint64][]*pendingProposal{},
		appliedIndex:     index,
		snapshot:         index,
	}
	r.writer = newWriter(r)
	return r
}

// Step queues a message from another replica. It does not block: if the queue is full, the
// message is dropped and counted.
func (r *Replica) Step(m consensus.Message) {
	select {
	case r.messages <- m:
	default:
		r.metrics.dropped.Inc(1)
	}
}

// SnapshotLost is consensus.Core.SnapshotLost. It must not be called by Transport.Send, since it waits for
// the loop.
func (r *Replica) SnapshotLost(to consensus.ReplicaID) {
	_ = r.runOnLoop(context.Background(), func() { r.core.SnapshotLost(to) })
}

// ID returns the replica's own ID.
func (r *Replica) ID() consensus.ReplicaID { return r.opts.ID }

// Leader returns the leader that this replica knows, and whether it knows one. The result
// may be out of date; only a successful Read confirms a leader.
func (r *Replica) Leader() (consensus.ReplicaID, bool) {
	id := r.softState.Load().Leader
	return id, id != ""
}

// IsLeader reports whether this replica believes that it leads.
func (r *Replica) IsLeader() bool { return r.softState.Load().Role == consensus.Leader }

// LeaderTerm returns the term in which this replica believes that it leads, and false if it does
// not lead.
func (r *Replica) LeaderTerm() (uint64, bool) {
	s := r.softState.Load()
	return s.Term, s.Role == consensus.Leader
}

// AppliedIndex returns the index of the last applied entry. Entries that don't change the
// state machine count too. It does not wait for the loop.
func (r *Replica) AppliedIndex() uint64 { return r.publishedAppliedIndex.Load() }

// Status returns the current state of the core, or the final one if the replica has
// stopped.
func (r *Replica) Status() consensus.Status {
	var s consensus.Status
	if r.runOnLoop(context.Background(), func() { s = r.core.Status() }) != nil {
		return *r.lastStatus.Load()
	}
	return s
}

// Done returns a channel that is closed when the replica has stopped, by Close or by a
// failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the failure that stopped the replica. It is nil while the replica runs and
// after Close.
func (r *Replica) Err() error {
	select {
	case <-r.done:
		return r.err
	default:
		return nil
	}
}

// Close hands the leadership over if this replica leads and ctx allows the time. It then
// stops the replica and closes its storage.
func (r *Replica) Close(ctx context.Context) error {
	r.closeOnce.Do(func() {
		if r.IsLeader() {
			r.transferBeforeClose(ctx)
		}
		close(r.stop)
		<-r.done
		r.closeErr = r.opts.Storage.Close()
	})
	return r.closeErr
}

func (r *Replica) transferBeforeClose(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.electionTimeout())
	defer cancel()
	err := r.TransferLeadership(ctx, "")
	if err != nil && !errors.Is(err, consensus.ErrNoTransferee) {
		r.opts.Logger.Warn("leadership transfer failed", "error", err)
	}
}

// electionTimeout is the time within which a leader without a quorum steps down.
func (r *Replica) electionTimeout() time.Duration {
	return time.Duration(r.opts.ElectionTicks) * r.opts.Tick
}

// runOnLoop runs f on the replica's goroutine.
func (r *Replica) runOnLoop(ctx context.Context, f func()) error {
	finished := make(chan struct{})
	select {
	case r.loopCalls <- func() { f(); close(finished) }:
	case <-ctx.Done():
		return contextError(ctx)
	case <-r.done:
		return r.stoppedError()
	}
	// The loop always runs a function that it has received before it stops.
	<-finished
	return nil
}

// waitUntil waits until ok returns true. It calls ok once per tick.
func (r *Replica) waitUntil(ctx context.Context, ok func() bool) error {
	t := time.NewTicker(r.opts.Tick)
	defer t.Stop()
	for !ok() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return contextError(ctx)
		case <-r.done:
			return r.stoppedError()
		}
	}
	return nil
}
