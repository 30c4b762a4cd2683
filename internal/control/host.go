// Package control implements the control hosts, which hold the replicated state, and the
// client that other hosts use to reach them.
//
// A Host runs a replica of the log and the state machine to which the log is applied. It
// grants claims of non-idempotent calls, and serves documents and the orders for engines to
// other hosts. It adds or replaces voters when control hosts are added or lose their disks.
package control

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/command"
	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/query"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/replica"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// The replica applies further entries while a snapshot of the state machine is encoded.
var _ replica.StateMachine = (*state.Machine)(nil)

// The replica refuses snapshots that this build can't decode.
var _ replica.RestorePreparer = (*state.Machine)(nil)

const (
	// clockInterval is how often the leader advances the logical clock of the state machine,
	// by which claims expire.
	clockInterval = 5 * time.Second
	// serveTimeout bounds the time to answer one message of another host. A claim may take as long
	// as its caller waits, up to maxClaimTime.
	serveTimeout = 2 * time.Second
	maxClaimTime = time.Minute
)

// Config configures a Host.
type Config struct {
	// Name is the host's name.
	Name string
	// DataCentre is the data centre that the host is in; empty if none is named. Without it,
	// the host forwards engine loads to all entry hosts itself.
	DataCentre string
	// Journal is the open data folder, Recovered what it contained.
	Journal   *journal.Journal
	Recovered journal.Recovered
	Transport *Transport
	Pool      *peer.Pool
	// Peers are the peer addresses of the other control hosts.
	Peers []string
	// InitialVoters are the peer addresses of the hosts that bootstrap the cluster together,
	// including this one; empty if this host must not bootstrap a cluster. All of them must have the
	// same ones.
	InitialVoters []string
	// HasLostDisk is passed to replica.Options.
	HasLostDisk bool
	// Voters is the maximum number of voters. Further control hosts are learners, which
	// replace a voter that becomes silent. Zero means that all control hosts vote.
	Voters int
	// ElectionTicks is passed to replica.Options.
	ElectionTicks int
	// ReplicaSilenceTimeout is the time without contact after which a replica counts as
	// dead; DefaultReplicaSilenceTimeout if zero.
	ReplicaSilenceTimeout time.Duration
	// Registry are the timeouts of upstreams' announcements; zero if upstreams do not
	// announce themselves to control hosts.
	Registry registry.Limits
	// RetryBudget limits the retries of all entry hosts together.
	RetryBudget retrybudget.Params
	// DataCentres are the data centres that can be evacuated; any if empty.
	DataCentres []string
	// LocalStore saves what is not replicated; nil if nothing is saved.
	LocalStore *LocalStore
	// Address is the peer address of this host.
	Address string
	// Tick and SnapshotEntries are passed to replica.Options.
	Tick            time.Duration
	SnapshotEntries uint64
	// ClaimRetention is how long claims are kept. The current leader's value applies to
	// all hosts; zero leaves the replicated value unchanged.
	ClaimRetention time.Duration
	Log            *slog.Logger
	Metrics        metrics.Registry
}

// Host is one control host.
type Host struct {
	cfg      Config
	id       consensus.ReplicaID
	replica  *replica.Replica
	tables   *state.Machine
	store    *catalog.Store
	watchers *watchers
	reports  *reports
	client   *Client
	commands *command.Service
	queries  *query.Service
	joins    joins
	contacts contacts
	quorum   *quorumReporter
	// voterChange holds an element while the voters are being changed.
	voterChange chan struct{}
	addressBook *AddressBook
	fleet       *fleet
	retries     *retryGrantor
}

// ID returns the replica ID of a host. It contains the ID of the disk that holds the
// journal, so that a host with a new disk is a new replica.
func ID(host string, r journal.Recovered) consensus.ReplicaID {
	return consensus.NewReplicaID(host, r.DiskID)
}

// withDefaults replaces zero values by defaults. Tick must have the value that the replica
// uses, because the time since the last contact with a replica is counted in ticks.
func (c Config) withDefaults() Config {
	if c.Tick <= 0 {
		c.Tick = replica.DefaultTick
	}
	if c.ReplicaSilenceTimeout <= 0 {
		c.ReplicaSilenceTimeout = DefaultReplicaSilenceTimeout
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return c
}

// Open starts the replica of a host. Other hosts are served through HandlePeer.
func Open(cfg Config) (*Host, error) {
	cfg = cfg.withDefaults()
	h := &Host{
		cfg:         cfg,
		id:          ID(cfg.Name, cfg.Recovered),
		tables:      state.New(state.Options{}),
		store:       catalog.NewStore(cfg.Log, cfg.Metrics),
		reports:     newReports(),
		addressBook: NewAddressBook(cfg.Peers...),
		voterChange: make(chan struct{}, 1),
	}
	h.client = NewClientWithAddressBook(cfg.Pool, h.addressBook)
	h.fleet = newFleet(h)
	h.retries = newRetryGrantor(h)
	h.quorum = newQuorumReporter(cfg)
	h.watchers = newWatchers(h.store, h.evacuationsMessage)
	var err error
	h.replica, err = replica.Open(replica.Options{
		ID:              h.id,
		Storage:         cfg.Journal,
		StateMachine:    h.tables,
		Transport:       cfg.Transport,
		PersistedState:  persistedState(cfg.Recovered),
		Tick:            cfg.Tick,
		ElectionTicks:   cfg.ElectionTicks,
		SnapshotEntries: cfg.SnapshotEntries,
		HasLostDisk:     cfg.HasLostDisk,
		Logger:          cfg.Log,
		Registry:        cfg.Metrics,

		MemberSilenceTimeout: cfg.ReplicaSilenceTimeout,
	})
	if err != nil {
		return nil, errors.Wrap(err, "open replica")
	}
	h.client.isLeader = h.replica.IsLeader
	cfg.Transport.onSnapshotLost(h.replica.SnapshotLost)
	h.commands = command.New(forwarder{h}, command.Options{ClaimProposer: localProposer{h}})
	h.queries = query.New(reader{h}, h.tables)
	return h, nil
}

func persistedState(r journal.Recovered) consensus.PersistedState {
	return consensus.PersistedState{HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries}
}

// Run does the host's background work until ctx ends. If the replica fails, Run returns
// its error, and the host must stop.
func (h *Host) Run(ctx context.Context) error {
	go KeepConnected(ctx, h.cfg.Pool, h.addressBook)
	go h.bootstrap(ctx)
	go h.fleet.run(ctx)
	go h.publishDocuments(ctx)
	go h.confirmPeriodically(ctx)
	go h.advanceClock(ctx)
	go h.requestMembership(ctx)
	go h.watchQuorum(ctx)
	select {
	case <-ctx.Done():
		return nil
	case <-h.replica.Done():
		return errors.Wrap(h.replica.Err(), "replica stopped")
	}
}

// Close transfers the leadership to another replica and stops this one.
func (h *Host) Close(ctx context.Context) error {
	h.commands.Close(ctx)
	return h.replica.Close(ctx)
}

// publishDocuments copies new documents from the state machine to the catalog and sends
// them to the watchers, until ctx ends.
func (h *Host) publishDocuments(ctx context.Context) {
	for {
		changed := h.tables.DocumentsChanged()
		h.syncStore()
		h.watchers.sendAll(false)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// syncStore copies the documents that are new in the state machine to the catalog.
func (h *Host) syncStore() {
	var docs []wire.Document
	for _, d := range h.tables.DocumentsSince(h.store.Revision()) {
		docs = append(docs, wire.Document{Name: d.Name, Revision: d.Revision, Text: []byte(d.Text)})
	}
	h.store.Merge(docs)
}

// confirmPeriodically tells the watchers at regular intervals that a quorum has confirmed
// that this host has all accepted documents. A host without contact to a quorum sends no
// confirmations, and its watchers change to another control host.
func (h *Host) confirmPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		if h.watchers.hasWatchers() {
			h.confirmUpToDate(ctx)
		}
		pause.For(ctx, confirmInterval)
	}
}

// confirmUpToDate confirms with a quorum that this host is up to date and tells the
// watchers.
func (h *Host) confirmUpToDate(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	if _, err := (reader{h}).Read(ctx); err != nil {
		return
	}
	h.syncStore()
	h.watchers.sendAll(true)
}

// advanceClock regularly advances the logical clock of the state machine by the time that
// passed on this host's monotonic clock, while this host leads.
func (h *Host) advanceClock(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, clockInterval)
		now := time.Now()
		elapsed := now.Sub(last)
		last = now
		if !h.replica.IsLeader() {
			continue
		}
		proposeCtx, cancel := context.WithTimeout(ctx, serveTimeout)
		_, _ = h.commands.AdvanceClock(proposeCtx, elapsed, h.cfg.ClaimRetention)
		cancel()
	}
}

// reader makes linearizable reads possible on any control host. A host that does not lead
// asks the leader for a read index and waits until its own replica has applied it.
type reader struct{ h *Host }

// Read implements query.Reader.
func (r reader) Read(ctx context.Context) (uint64, error) {
	index, err := r.h.replica.Read(ctx)
	var notLeader *replica.NotLeaderError
	if !errors.As(err, &notLeader) {
		return index, err
	}
	index, err = r.h.readAtLeader(ctx)
	if err != nil {
		return 0, err
	}
	return index, r.h.awaitApplied(ctx, index)
}

// readAtLeader asks the leader for a read index, on the session that also carries the log.
// If no leader is known it waits up to leaderSearchTime, enough for a leadership transfer.
// It does not ask the other control hosts meanwhile, since that would only delay their
// election. If another leader is elected before the reply arrives, it asks that one: the former
// one may be frozen or cut off, and its session may live for longer than the caller waits.
func (h *Host) readAtLeader(ctx context.Context) (uint64, error) {
	for {
		leader := h.findLeader(ctx)
		index, err := h.readAt(ctx, leader)
		if err == nil || leader == "" || ctx.Err() != nil || h.follows(leader) {
			return index, err
		}
	}
}

// findLeader returns the leader that this replica knows. If it knows none, it waits up to leaderSearchTime
// for one; the result may be empty.
func (h *Host) findLeader(ctx context.Context) consensus.ReplicaID {
	started := time.Now()
	leader, isKnown := h.replica.Leader()
	for !isKnown && ctx.Err() == nil && time.Since(started) < leaderSearchTime {
		pause.For(ctx, retryDelay)
		leader, isKnown = h.replica.Leader()
	}
	return leader
}

// follows reports whether this replica knows no leader but the given one.
func (h *Host) follows(leader consensus.ReplicaID) bool {
	current, _ := h.replica.Leader()
	return current == leader
}

// readAt asks the given leader for a read index while this replica follows it.
func (h *Host) readAt(ctx context.Context, leader consensus.ReplicaID) (uint64, error) {
	if leader == h.id {
		return h.replica.Read(ctx)
	}
	s := h.cfg.Transport.session(leader)
	if s == nil {
		return 0, noLeaderError(false, nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && h.follows(leader) {
			pause.For(ctx, retryDelay)
		}
		cancel()
	}()
	reply, _, err := s.Call(ctx, &wire.ReadQuery{})
	if err != nil {
		return 0, noLeaderError(false, err)
	}
	answer, ok := reply.(*wire.ReadAnswer)
	if !ok {
		return 0, noLeaderError(false, errors.Errorf("reply of kind %d", reply.Kind()))
	}
	return answer.Index, nil
}

// pollInterval is the delay between two checks of the state of the local replica.
const pollInterval = 5 * time.Millisecond

// awaitApplied waits until this replica has applied the log up to index.
func (h *Host) awaitApplied(ctx context.Context, index uint64) error {
	for h.replica.AppliedIndex() < index {
		if ctx.Err() != nil {
			return verdict.New(verdict.NotRun, verdict.CodeDeadline, "this control host is behind")
		}
		pause.For(ctx, pollInterval)
	}
	return nil
}
