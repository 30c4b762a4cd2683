package consensus

import (
	"math/rand/v2"
	"unicode/utf8"

	"github.com/pkg/errors"
)

// Errors of the core. A proposal or change that fails with one of these errors was not
// appended to the log.
var (
	ErrNotLeader         = errors.New("not the leader")
	ErrNoQuorum          = errors.New("no majority was heard of late")
	ErrUncommittedLimit  = errors.New("too much is uncommitted")
	ErrTransferring      = errors.New("the leadership is being handed over")
	ErrChangePending     = errors.New("a membership change can't begin yet")
	ErrInvalidMembership = errors.New("membership refused")
	ErrLogNotEmpty       = errors.New("the log is not empty")
	ErrNoTransferee      = errors.New("no voter can take the leadership")
	ErrCorrupt           = errors.New("the log is corrupt")
)

// Defaults for the fields of Config that are not set.
const (
	DefaultElectionTicks       = 10
	DefaultHeartbeatTicks      = 1
	DefaultMaxAppendBytes      = 1 << 20
	DefaultMaxInflightAppends  = 64
	DefaultMaxUncommittedBytes = 64 << 20
	DefaultSnapshotRetryTicks  = 100
	DefaultTrailingEntries     = 1024
	DefaultTrailingBytes       = 4 << 20
)

// Config configures a Core. ID and Rand are required.
type Config struct {
	ID ReplicaID
	// ElectionTicks is the shortest election timeout in ticks. Each timeout is drawn
	// between this value and twice as much, except before this replica first knows a
	// leader, when it is shorter.
	ElectionTicks  int
	HeartbeatTicks int
	// MaxAppendBytes limits the entry data in one append message. A larger entry is sent
	// alone.
	MaxAppendBytes int
	// MaxInflightAppends limits the unacknowledged append messages to one replica.
	MaxInflightAppends int
	// MaxUncommittedBytes limits the data of a leader's uncommitted entries, and of any
	// replica's entries that are not synced yet. Beyond it, proposals fail with
	// ErrUncommittedLimit, and a follower ignores entries, which the leader sends again.
	MaxUncommittedBytes int
	// SnapshotRetryTicks is how many ticks a leader waits for the acknowledgement of a
	// snapshot before it sends the snapshot again.
	SnapshotRetryTicks int
	// TrailingEntries is how many entries that the latest snapshot covers stay in memory,
	// so that a replica that lags by a few entries needs no snapshot. Zero means the
	// default; the core always keeps some.
	TrailingEntries uint64
	// TrailingBytes limits the data of these entries.
	TrailingBytes int
	// HasLostDisk is set if the disk may have replaced one that voted for a first leader. The replica
	// then grants no vote to a candidate without a log: a second cluster could begin otherwise.
	HasLostDisk bool
	Rand        *rand.Rand
}

func (cfg Config) withDefaults() Config {
	setDefault := func(field *int, value int) {
		if *field <= 0 {
			*field = value
		}
	}
	setDefault(&cfg.ElectionTicks, DefaultElectionTicks)
	setDefault(&cfg.HeartbeatTicks, DefaultHeartbeatTicks)
	setDefault(&cfg.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&cfg.MaxInflightAppends, DefaultMaxInflightAppends)
	setDefault(&cfg.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	setDefault(&cfg.SnapshotRetryTicks, DefaultSnapshotRetryTicks)
	setDefault(&cfg.TrailingBytes, DefaultTrailingBytes)
	if cfg.TrailingEntries == 0 {
		cfg.TrailingEntries = DefaultTrailingEntries
	}
	return cfg
}

// PersistedState is what a replica reads from its disk when it starts. The zero value
// stands for an empty disk.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries must follow the snapshot without a gap. Entries that the snapshot covers are
	// skipped.
	Entries []Entry
}

// Role is a replica's current role in the consensus protocol.
type Role uint8

// Roles of a replica. A PreCandidate asks whether it would win an election before it starts
// one as a Candidate.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the name used in logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// SoftState holds the role of a replica, the leader that it knows and their term. It is
// reported whenever it changes and need not be persisted.
type SoftState struct {
	Role   Role
	Leader ReplicaID
	Term   uint64
}

// Ready is the work that the caller of a Core has to do, in this order: hand over Write; send
// Messages; restore the state machine from Write.Snapshot; apply CommittedEntries; answer
// ReadStates. The caller need not wait for the disk: the core goes on while writes are
// outstanding.
type Ready struct {
	SoftState *SoftState
	Write     Write
	// Messages depend on nothing that is not synced yet.
	Messages         []Message
	CommittedEntries []Entry
	ReadStates       []ReadState
}

// Core is the consensus state machine of one replica. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	id        ReplicaID
	hardState HardState
	log       *raftLog

	memberships memberships
	snapshot    Snapshot
	// pendingSnapshot was received from the leader. The next Ready returns it for
	// persisting.
	pendingSnapshot *Snapshot
	appliedIndex    uint64

	role   Role
	leader ReplicaID
	votes  map[ReplicaID]bool

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// candidate is the replica that this one has voted for in an election of which it does not know the
	// outcome, empty if there is none.
	candidate ReplicaID
	// unsyncedVote is the number of the write that contains this replica's latest vote, zero once that
	// is on disk. voteTick is the tick at which it was handed over.
	unsyncedVote, voteTick uint64
	// voteSyncTicks is how long the latest vote took to get on disk, zero if a leader is known since.
	voteSyncTicks int
	// lateElections counts the elections in a row that this replica began and that timed out although
	// nobody had voted for another candidate.
	lateElections int
	// hasSeenLeader tells whether this replica has known a leader since it started.
	// campaignCount counts its campaigns since it started. Election timeouts are shorter
	// until a leader is known.
	hasSeenLeader bool
	campaignCount int

	// The fields from progress to needsReplication are used by a leader only.
	progress         map[ReplicaID]*progress
	peers            []ReplicaID
	termStartIndex   uint64
	uncommittedBytes int
	transferee       ReplicaID
	transferElapsed  int
	heartbeatRound   uint64
	pendingReads     []pendingRead
	needsReplication bool

	// messages may be sent at once. promises must wait until everything before them is synced.
	messages, promises []Message
	readStates         []ReadState
	lastHardState      HardState
	lastSoftState      SoftState
	// ticks counts the ticks since the start.
	ticks  uint64
	writes writeQueue
	// syncedTerm is the term of the hard state on disk.
	syncedTerm uint64
}

// New returns a follower that continues from the persisted state. It fails if the ID is not text, or if the log has a
// gap or contains a membership that can't be decoded.
func New(cfg Config, r PersistedState) (*Core, error) {
	if cfg.ID == "" || cfg.Rand == nil {
		return nil, errors.New("consensus: ID and Rand are required")
	}
	if !utf8.ValidString(string(cfg.ID)) {
		// No replica could decode the messages of this one, nor this one its own vote after a restart.
		return nil, errors.New("consensus: ID is not valid UTF-8")
	}
	log, err := restoreLog(r)
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg.withDefaults(), id: cfg.ID, log: log, snapshot: r.Snapshot}
	c.memberships = newMemberships(r.Snapshot.Meta)
	if len(log.entries) > 0 {
		if err := c.memberships.truncateAndAppend(log.entries); err != nil {
			return nil, err
		}
	}
	c.hardState = restoreHardState(r, log)
	c.lastHardState = c.hardState
	c.syncedTerm = r.HardState.Term
	c.appliedIndex = log.baseIndex
	c.becomeFollower(c.hardState.Term, "")
	c.lastSoftState = c.softState()
	return c, nil
}

// restoreHardState handles a crash after a snapshot was written and before the hard state
// was. The term is then raised to that of the log. No vote in the newer term can have been
// sent, since votes are persisted before they are sent, so the vote is cleared.
func restoreHardState(r PersistedState, log *raftLog) HardState {
	h := r.HardState
	if t := log.lastTerm(); t > h.Term {
		h.Term, h.Vote = t, ""
	}
	h.Commit = min(max(h.Commit, log.baseIndex), log.lastIndex())
	return h
}

// Tick advances the core's clock by one tick.
func (c *Core) Tick() {
	c.ticks++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.electionElapsed++
	// While the vote is not on disk, a further campaign could not succeed either.
	if c.electionElapsed >= c.electionTimeout && c.unsyncedVote == 0 && c.canCampaign() {
		c.recordLateElection()
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) tickLeader() {
	for _, id := range c.peers {
		c.tickPeer(c.progress[id])
	}
	if c.ticksSinceQuorumContact() >= c.cfg.ElectionTicks {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	if c.transferee != "" {
		c.transferElapsed++
		if c.transferElapsed >= c.cfg.ElectionTicks {
			c.transferee = ""
		}
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.broadcastHeartbeat()
	}
	c.handOverFromSlowDisk()
}

// handOverFromSlowDisk hands the leadership over if a write of this leader has waited for its
// disk for an election timeout while a majority has committed more than this disk has. With
// such a backlog the leader would sooner or later have to refuse proposals.
func (c *Core) handOverFromSlowDisk() {
	isBehind := c.log.stableIndex < c.hardState.Commit && c.writes.age(c.ticks) >= uint64(c.cfg.ElectionTicks)
	if isBehind && c.transferee == "" {
		// Without a voter to hand over to, this replica goes on leading.
		_ = c.TransferLeadership("")
	}
}

func (c *Core) tickPeer(p *progress) {
	p.ticksSinceContact++
	if p.state != snapshotting {
		return
	}
	p.snapshotWaitTicks++
	if p.snapshotWaitTicks >= c.cfg.SnapshotRetryTicks {
		p.resetToProbing()
		c.needsReplication = true
	}
}

// Step processes a message from another replica. Messages to another ReplicaID are ignored.
// An error means that a log is damaged and that this replica must stop.
func (c *Core) Step(m Message) error {
	if m.To != c.id || m.From == c.id {
		return nil
	}
	if m.Term > c.hardState.Term && !c.acceptTerm(m) {
		return nil
	}
	if m.Term < c.hardState.Term {
		c.rejectOlderTerm(m)
		return nil
	}
	return c.dispatch(m)
}

// acceptTerm reports whether to process a message of a newer term, and usually moves to
// that term. Vote requests and pre-votes are ignored while a leader was heard recently,
// except a vote request that the leader caused by a transfer. Neither a pre-vote nor a
// granted pre-vote response changes the term.
func (c *Core) acceptTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote:
		return !c.hasRecentLeader()
	case MessageVote:
		if c.hasRecentLeader() && !m.Transfer {
			return false
		}
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	}
	c.becomeFollower(m.Term, "")
	return true
}

// rejectOlderTerm tells a leader or pre-candidate of an older term that a newer term
// exists.
func (c *Core) rejectOlderTerm(m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Type: MessageAppendResponse, To: m.From, Term: c.hardState.Term, Reject: true})
	case MessagePreVote:
		c.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: c.hardState.Term, Reject: true})
	}
}

func (c *Core) dispatch(m Message) error {
	switch m.Type {
	case MessageAppend:
		return c.handleAppend(m)
	case MessageHeartbeat:
		c.handleHeartbeat(m)
	case MessageSnapshot:
		c.handleSnapshot(m)
	case MessagePreVote, MessageVote:
		c.handleVote(m)
	case MessagePreVoteResponse, MessageVoteResponse:
		c.handleVoteResponse(m)
	case MessageTimeoutNow:
		c.handleTimeoutNow(m)
	case MessageAppendResponse:
		if c.role == Leader {
			c.handleAppendResponse(m)
		}
	case MessageHeartbeatResponse:
		if c.role == Leader {
			c.handleHeartbeatResponse(m)
		}
	}
	return nil
}

// acceptLeader records id as the leader of the current term and restarts the election
// timeout.
func (c *Core) acceptLeader(id ReplicaID) {
	if c.role != Follower {
		c.becomeFollower(c.hardState.Term, id)
	}
	if c.leader != id {
		// The timeouts of a start, which are shorter, and of late elections, which are longer, end once a
		// leader is known. Two followers that kept a shorter one would depose a live leader after a quarter
		// of an election timeout without a message.
		c.hasSeenLeader = true
		c.lateElections, c.voteSyncTicks = 0, 0
		c.electionTimeout = c.randomElectionTimeout()
	}
	c.leader = id
	c.electionElapsed = 0
}

// checkCanPropose refuses proposals that a leader could not commit soon. It stops accepting
// them before the lack of a quorum ends the leadership, so that callers get a refusal
// instead of an unknown outcome.
func (c *Core) checkCanPropose() error {
	maxSilentTicks := max(c.cfg.ElectionTicks/2, 2*c.cfg.HeartbeatTicks)
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.transferee != "":
		return ErrTransferring
	case c.ticksSinceQuorumContact() > maxSilentTicks:
		return ErrNoQuorum
	}
	return nil
}

// Propose appends data to the leader's log and returns the index and term of the entry. The
// entry is committed if and only if Ready.CommittedEntries later contains an entry with
// this index and term. Propose fails with ErrNotLeader, ErrNoQuorum, ErrTransferring or
// ErrUncommittedLimit. Proposals made before the next Ready are replicated together.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if c.uncommittedBytes > 0 && c.uncommittedBytes+len(data) > c.cfg.MaxUncommittedBytes || c.isDiskBacklogFull() {
		return 0, 0, ErrUncommittedLimit
	}
	index, err = c.appendLeaderEntry(EntryCommand, data)
	return index, c.hardState.Term, err
}

// send sends a message. One that promises something about this replica's disk waits until
// everything that the replica has done before is synced.
func (c *Core) send(m Message) {
	m.From = c.id
	if m.isPromise() {
		c.promises = append(c.promises, m)
		return
	}
	c.messages = append(c.messages, m)
}

func (c *Core) softState() SoftState {
	return SoftState{Role: c.role, Leader: c.leader, Term: c.hardState.Term}
}

// mustPersistHardState reports whether the hard state must be persisted now. A new commit
// index alone can wait until entries are written: after a crash, the leader sends it again.
func (c *Core) mustPersistHardState() bool {
	if c.hardState.Term != c.lastHardState.Term || c.hardState.Vote != c.lastHardState.Vote {
		return true
	}
	return c.hardState.Commit != c.lastHardState.Commit && (c.log.writtenIndex < c.log.lastIndex() || c.pendingSnapshot != nil)
}

// HasReady reports whether Ready would return any work.
func (c *Core) HasReady() bool {
	return c.needsReplication || len(c.messages) > 0 || len(c.promises) > 0 || len(c.readStates) > 0 ||
		c.log.writtenIndex < c.log.lastIndex() || c.appliedIndex < c.hardState.Commit ||
		c.pendingSnapshot != nil || c.mustPersistHardState() || c.softState() != c.lastSoftState
}

// Ready returns the work that has accumulated since the last Ready.
func (c *Core) Ready() Ready {
	c.replicate()
	rd := Ready{Messages: c.messages, ReadStates: c.readStates}
	if s := c.softState(); s != c.lastSoftState {
		rd.SoftState = &s
		c.lastSoftState = s
	}
	rd.Write = c.nextWrite()
	rd.CommittedEntries = c.log.slice(c.appliedIndex+1, c.hardState.Commit)
	c.appliedIndex = c.hardState.Commit
	c.messages, c.readStates = nil, nil
	return rd
}

// nextWrite returns what was not handed over for writing yet.
func (c *Core) nextWrite() Write {
	w := Write{Snapshot: c.pendingSnapshot, Promises: c.promises}
	isVote := c.hardState.Vote != "" && (c.hardState.Vote != c.lastHardState.Vote || c.hardState.Term != c.lastHardState.Term)
	if c.mustPersistHardState() {
		h := c.hardState
		w.HardState = &h
		c.lastHardState = h
	}
	w.Entries = c.log.slice(c.log.writtenIndex+1, c.log.lastIndex())
	c.log.writtenIndex = c.log.lastIndex()
	c.pendingSnapshot, c.promises = nil, nil
	if !w.IsEmpty() {
		w.Number = c.writes.add(w, c.log.lastIndex(), c.hardState.Term, c.ticks)
	}
	if isVote {
		c.unsyncedVote, c.voteTick = w.Number, c.ticks
	}
	return w
}

// Synced tells the core that all writes up to the one with this number are on disk. Only then
// does a candidate count its own vote, and a leader its own entries.
func (c *Core) Synced(number uint64) {
	stable, term := c.writes.finish(number)
	c.log.stableIndex = max(c.log.stableIndex, stable)
	c.syncedTerm = max(c.syncedTerm, term)
	if c.unsyncedVote != 0 && c.unsyncedVote <= number {
		c.voteSynced()
	}
	if c.role == Candidate {
		c.countOwnVote()
	}
	if c.role != Leader {
		return
	}
	if p := c.progress[c.id]; p.matchIndex < c.log.stableIndex {
		p.matchIndex = c.log.stableIndex
		c.advanceCommit()
	}
}
