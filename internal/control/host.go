// Package control is the role of the hosts that hold the replicated state, and the
// client by which the other roles reach them.
//
// A Host joins the replica of the log with the tables that it changes, serves
// claims, orders and documents to the other roles, and keeps the membership of the
// log in line with the hosts that exist.
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
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// The tables are set aside quickly for a snapshot, and encoded beside the log.
var _ replica.SnapshotCapturer = (*state.Machine)(nil)

const (
	// ageInterval is how often the leader moves the age of the tables on.
	ageInterval = 5 * time.Second
	// serveTimeout bounds the work for one message of another host.
	serveTimeout = 2 * time.Second
)

// Config is what a Host needs.
type Config struct {
	// Name is the host's name.
	Name string
	// Journal and Recovered are the opened data folder.
	Journal   *journal.Journal
	Recovered journal.Recovered
	Transport *Transport
	Pool      *peer.Pool
	// Peers are the peer addresses of the other control hosts.
	Peers []string
	// Founders are the peer addresses of the hosts that found the cluster together, this
	// one among them; empty where none is to be founded.
	Founders []string
	// Voters is how many replicas vote where there are more control hosts; the others
	// learn and take the place of a voter that falls silent. Zero lets all vote.
	Voters int
	// ElectionTicks is as in replica.Options.
	ElectionTicks int
	// HearingSpan is how lately a replica must have been heard to count as alive;
	// DefaultHearingSpan if zero.
	HearingSpan time.Duration
	// Registry are the limits of the upstreams' announcements; zero values where
	// upstreams announce themselves elsewhere.
	Registry registry.Limits
	// Recall keeps the list of upstreams over a restart; nil where it is not kept.
	Recall *Recall
	// Address is this host's own peer address.
	Address string
	// Tick and SnapshotEntries are as in replica.Options.
	Tick            time.Duration
	SnapshotEntries uint64
	// ClaimRetention is how long claims are kept; the leader's is in force. Zero
	// leaves it as it is.
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
	joins    joinGate
	book     *Book
	fleet    *fleet
}

// ID names the replica of a host by the disk that its journal found.
func ID(host string, r journal.Recovered) consensus.ReplicaID {
	return consensus.NewReplicaID(host, r.DiskID)
}

// withDefaults fills in what is zero. The tick must be the replica's own: silence is
// counted in ticks.
func (c Config) withDefaults() Config {
	if c.Tick <= 0 {
		c.Tick = replica.DefaultTick
	}
	if c.HearingSpan <= 0 {
		c.HearingSpan = DefaultHearingSpan
	}
	return c
}

// Open starts the replica of a host. It serves nobody before HandlePeer is called.
func Open(cfg Config) (*Host, error) {
	cfg = cfg.withDefaults()
	h := &Host{
		cfg:     cfg,
		id:      ID(cfg.Name, cfg.Recovered),
		tables:  state.New(state.Options{}),
		store:   catalog.NewStore(cfg.Log, cfg.Metrics),
		reports: newReports(),
		book:    NewBook(cfg.Peers...),
	}
	h.client = NewClientOf(cfg.Pool, h.book)
	h.fleet = newFleet(h)
	h.watchers = newWatchers(h.store)
	var err error
	h.replica, err = replica.Open(replica.Options{
		ID:              h.id,
		Storage:         cfg.Journal,
		StateMachine:    h.tables,
		Transport:       cfg.Transport,
		PersistedState:  restored(cfg.Recovered),
		Tick:            cfg.Tick,
		ElectionTicks:   cfg.ElectionTicks,
		SnapshotEntries: cfg.SnapshotEntries,
		Logger:          cfg.Log,
		Registry:        cfg.Metrics,
	})
	if err != nil {
		return nil, errors.Wrap(err, "open replica")
	}
	h.commands = command.New(forwarder{h}, command.Options{})
	h.queries = query.New(reader{h}, h.tables)
	return h, nil
}

func restored(r journal.Recovered) consensus.PersistedState {
	return consensus.PersistedState{HardState: r.HardState, Snapshot: r.Snapshot, Entries: r.Entries}
}

// Run does the host's background work until ctx ends. The error is what ended the
// replica; the host must then stop.
func (h *Host) Run(ctx context.Context) error {
	go KeepDialled(ctx, h.cfg.Pool, h.book)
	go h.found(ctx)
	go h.fleet.run(ctx)
	go h.passDocuments(ctx)
	go h.showCurrency(ctx)
	go h.advanceAge(ctx)
	go h.keepJoined(ctx)
	select {
	case <-ctx.Done():
		return nil
	case <-h.replica.Done():
		return errors.Wrap(h.replica.Err(), "replica stopped")
	}
}

// Close hands the leadership over and stops the replica.
func (h *Host) Close(ctx context.Context) error {
	h.commands.Close(ctx)
	return h.replica.Close(ctx)
}

// passDocuments keeps the catalog at what the tables hold, and the watchers with it.
func (h *Host) passDocuments(ctx context.Context) {
	for {
		changed := h.tables.DocumentsChanged()
		h.syncStore()
		h.watchers.send(false)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// syncStore brings the catalog up to the tables.
func (h *Host) syncStore() {
	var docs []wire.Document
	for _, d := range h.tables.DocumentsSince(h.store.Revision()) {
		docs = append(docs, wire.Document{Name: d.Name, Revision: d.Revision, Text: []byte(d.Text)})
	}
	h.store.Offer(docs)
}

// showCurrency tells watchers at intervals that this host holds all that was
// accepted, as a quorum confirmed. One that is cut off falls silent on this, and
// its watchers go elsewhere.
func (h *Host) showCurrency(ctx context.Context) {
	for ctx.Err() == nil {
		if h.watchers.any() {
			h.confirmCurrency(ctx)
		}
		pause.For(ctx, currencyInterval)
	}
}

// confirmCurrency asks a quorum and tells the watchers.
func (h *Host) confirmCurrency(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	if _, err := (reader{h}).Read(ctx); err != nil {
		return
	}
	h.syncStore()
	h.watchers.send(true)
}

// advanceAge moves the age of the tables on by the leader's own monotonic clock.
func (h *Host) advanceAge(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, ageInterval)
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

// reader is the barrier of linearizable reads on any control host: a follower asks
// the leader for the index and waits until its own tables are there.
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

// readAtLeader asks the leader that this replica knows, on the session that carries its
// log. While none is known it waits here, for the time of a hand-over: asking the other
// hosts then would only keep them from electing one.
func (h *Host) readAtLeader(ctx context.Context) (uint64, error) {
	began := time.Now()
	leader, isKnown := h.replica.Leader()
	for !isKnown && ctx.Err() == nil && time.Since(began) < handOver {
		pause.For(ctx, clientDelay)
		leader, isKnown = h.replica.Leader()
	}
	if leader == h.id {
		return h.replica.Read(ctx)
	}
	s := h.cfg.Transport.session(leader)
	if s == nil {
		return 0, unreachable(false, nil)
	}
	reply, _, err := s.Call(ctx, &wire.ReadQuery{})
	if err != nil {
		return 0, unreachable(false, err)
	}
	answer, ok := reply.(*wire.ReadAnswer)
	if !ok {
		return 0, unreachable(false, errors.Errorf("reply of kind %d", reply.Kind()))
	}
	return answer.Index, nil
}

const appliedPoll = 5 * time.Millisecond

func (h *Host) awaitApplied(ctx context.Context, index uint64) error {
	for h.replica.AppliedIndex() < index {
		if ctx.Err() != nil {
			return verdict.New(verdict.NotRun, verdict.CodeDeadline, "this control host is behind")
		}
		pause.For(ctx, appliedPoll)
	}
	return nil
}
