package consensus

import (
	"math/rand/v2"

	"github.com/pkg/errors"
)

// The errors of the core. None of them leaves anything proposed.
var (
	ErrNotLeader         = errors.New("not the leader")
	ErrNoQuorum          = errors.New("no majority was heard of late")
	ErrUncommittedLimit  = errors.New("too much is uncommitted")
	ErrTransferring      = errors.New("the leadership is being handed over")
	ErrChangePending     = errors.New("a membership change can't begin yet")
	ErrInvalidMembership = errors.New("membership refused")
	ErrLogNotEmpty       = errors.New("the log is not empty")
	ErrNoTransferee      = errors.New("no voter can take the leadership")
	ErrCorrupt           = errors.New("the logs contradict each other")
)

// The defaults of Config.
const (
	DefaultElectionTicks       = 10
	DefaultHeartbeatTicks      = 1
	DefaultMaxAppendBytes      = 1 << 20
	DefaultMaxInflightAppends  = 64
	DefaultMaxUncommittedBytes = 64 << 20
	DefaultSnapshotRetryTicks  = 100
	DefaultTrailingEntries     = 1024
)

// Config sets up a Core. ID and Rand are required.
type Config struct {
	ID ReplicaID
	// ElectionTicks is the least election timeout; the greatest is twice as much.
	ElectionTicks  int
	HeartbeatTicks int
	// MaxAppendBytes bounds the data of an append that carries several entries.
	MaxAppendBytes int
	// MaxInflightAppends bounds the unanswered appends to a replica.
	MaxInflightAppends int
	// MaxUncommittedBytes bounds the data of a leader's uncommitted entries.
	MaxUncommittedBytes int
	// SnapshotRetryTicks is when an unanswered snapshot is sent again.
	SnapshotRetryTicks int
	// TrailingEntries is how many entries stay in memory before a snapshot, so that a
	// replica that is a little behind needs no snapshot. Negative is not allowed;
	// zero takes the default.
	TrailingEntries uint64
	Rand            *rand.Rand
}

func (cfg Config) withDefaults() Config {
	orInt := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	orInt(&cfg.ElectionTicks, DefaultElectionTicks)
	orInt(&cfg.HeartbeatTicks, DefaultHeartbeatTicks)
	orInt(&cfg.MaxAppendBytes, DefaultMaxAppendBytes)
	orInt(&cfg.MaxInflightAppends, DefaultMaxInflightAppends)
	orInt(&cfg.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	orInt(&cfg.SnapshotRetryTicks, DefaultSnapshotRetryTicks)
	if cfg.TrailingEntries == 0 {
		cfg.TrailingEntries = DefaultTrailingEntries
	}
	return cfg
}

// PersistedState is what a replica had persisted. The zero value is a new disk.
type PersistedState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// Role is what a replica is at present.
type Role uint8

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the form used in logs.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// SoftState is what changes without being persisted.
type SoftState struct {
	Role   Role
	Leader ReplicaID
	Term   uint64
}

// Ready is the work that a driver does, in this order: persist Snapshot, then
// HardState and Entries, in a durable way; send Messages; restore Snapshot; apply
// Committed; answer ReadStates; call Advance. Between Ready and Advance the core
// must not be stepped.
type Ready struct {
	SoftState        *SoftState
	Snapshot         *Snapshot
	HardState        *HardState
	Entries          []Entry
	Messages         []Message
	CommittedEntries []Entry
	ReadStates       []ReadState
}

// Core is one replica. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	id   ReplicaID
	hard HardState
	log  *raftLog

	members  memberships
	snapshot Snapshot
	// restored is a snapshot from the leader that is not persisted yet.
	restored *Snapshot
	applied  uint64

	role   Role
	leader ReplicaID
	votes  map[ReplicaID]bool

	electionElapsed  int
	heartbeatElapsed int
	timeout          int
	// hasHeard is set once a leader was known since the start; campaigns counts those
	// before.
	hasHeard  bool
	campaigns int

	// The fields up to dirty belong to a leader.
	progress        map[ReplicaID]*progress
	peers           []ReplicaID
	firstIndex      uint64
	uncommitted     int
	transferee      ReplicaID
	transferElapsed int
	round           uint64
	reads           []pendingRead
	dirty           bool

	messages   []Message
	readStates []ReadState
	lastHard   HardState
	lastSoft   SoftState
	// persisting is the last index of the entries in the outstanding Ready.
	persisting uint64
}

// New returns a follower with the persisted state. It fails when the log has a
// gap or a membership in it can't be read.
func New(cfg Config, r PersistedState) (*Core, error) {
	if cfg.ID == "" || cfg.Rand == nil {
		return nil, errors.New("consensus: ID and Rand are required")
	}
	log, err := restoreLog(r)
	if err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg.withDefaults(), id: cfg.ID, log: log, snapshot: r.Snapshot}
	c.members = newMemberships(r.Snapshot.Meta)
	if len(log.entries) > 0 {
		if err := c.members.put(log.entries); err != nil {
			return nil, err
		}
	}
	c.hard = restoreHardState(r, log)
	c.lastHard = c.hard
	c.applied = log.base
	c.becomeFollower(c.hard.Term, "")
	c.lastSoft = c.soft()
	return c, nil
}

// restoreHardState allows for a crash between the writes of a snapshot and of the
// hard state. A vote in a newer term than the persisted one can't have been sent.
func restoreHardState(r PersistedState, log *raftLog) HardState {
	h := r.HardState
	if t := log.lastTerm(); t > h.Term {
		h.Term, h.Vote = t, ""
	}
	h.Commit = min(max(h.Commit, log.base), log.last())
	return h
}

// Tick tells the core that one tick has passed.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionElapsed >= c.timeout && c.mayCampaign() {
		c.campaign(PreCandidate, false)
	}
}

func (c *Core) tickLeader() {
	for _, id := range c.peers {
		c.tickPeer(c.progress[id])
	}
	if c.quorumSilence() >= c.cfg.ElectionTicks {
		c.becomeFollower(c.hard.Term, "")
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
}

func (c *Core) tickPeer(p *progress) {
	p.silent++
	if p.state != snapshotting {
		return
	}
	p.waited++
	if p.waited >= c.cfg.SnapshotRetryTicks {
		p.probe()
		c.dirty = true
	}
}

// Step takes in a message. A message to another ReplicaID is ignored. An error
// means that a log is damaged; the replica must stop.
func (c *Core) Step(m Message) error {
	if m.To != c.id || m.From == c.id {
		return nil
	}
	if m.Term > c.hard.Term && !c.acceptTerm(m) {
		return nil
	}
	if m.Term < c.hard.Term {
		c.answerStale(m)
		return nil
	}
	return c.dispatch(m)
}

// acceptTerm moves on to a newer term, unless the message asks for a vote while
// a leader is there, or is a pre-vote, which changes nothing.
func (c *Core) acceptTerm(m Message) bool {
	switch m.Type {
	case MessagePreVote:
		return !c.heardLeader()
	case MessageVote:
		if c.heardLeader() && !m.Transfer {
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

// answerStale tells a leader or candidate of an older term that it is one.
func (c *Core) answerStale(m Message) {
	switch m.Type {
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		c.send(Message{Type: MessageAppendResponse, To: m.From, Term: c.hard.Term, Reject: true})
	case MessagePreVote:
		c.send(Message{Type: MessagePreVoteResponse, To: m.From, Term: c.hard.Term, Reject: true})
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

// followLeader accepts the sender as the leader of the present term.
func (c *Core) followLeader(id ReplicaID) {
	if c.role != Follower {
		c.becomeFollower(c.hard.Term, id)
	}
	c.leader = id
	c.electionElapsed = 0
	if !c.hasHeard {
		// The short time of a start ends with it: two followers that both kept it would
		// depose a living leader after a quarter of an election timeout without a word.
		c.hasHeard = true
		c.timeout = c.drawTimeout()
	}
}

// mayPropose refuses what a leader could not commit soon. Proposals stop before
// check-quorum ends the leadership, so that they are refused rather than left open.
func (c *Core) mayPropose() error {
	doubt := max(c.cfg.ElectionTicks/2, 2*c.cfg.HeartbeatTicks)
	switch {
	case c.role != Leader:
		return ErrNotLeader
	case c.transferee != "":
		return ErrTransferring
	case c.quorumSilence() > doubt:
		return ErrNoQuorum
	}
	return nil
}

// Propose appends data to the leader's log and returns its place. The entry is
// committed if and only if it comes back in Ready.Committed with this term at
// this index. It is refused with ErrNotLeader, ErrNoQuorum, ErrTransferring or
// ErrBusy. Proposals up to the next Ready travel together.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.mayPropose(); err != nil {
		return 0, 0, err
	}
	if c.uncommitted > 0 && c.uncommitted+len(data) > c.cfg.MaxUncommittedBytes {
		return 0, 0, ErrUncommittedLimit
	}
	index, err = c.appendOwn(EntryCommand, data)
	return index, c.hard.Term, err
}

func (c *Core) send(m Message) {
	m.From = c.id
	c.messages = append(c.messages, m)
}

func (c *Core) soft() SoftState {
	return SoftState{Role: c.role, Leader: c.leader, Term: c.hard.Term}
}

// hardChanged reports whether the hard state must be persisted now. A commit
// index alone can wait for the next entries: after a crash the leader tells it again.
func (c *Core) hardChanged() bool {
	if c.hard.Term != c.lastHard.Term || c.hard.Vote != c.lastHard.Vote {
		return true
	}
	return c.hard.Commit != c.lastHard.Commit && (c.log.stable < c.log.last() || c.restored != nil)
}

// HasReady reports whether Ready would return work.
func (c *Core) HasReady() bool {
	return c.dirty || len(c.messages) > 0 || len(c.readStates) > 0 ||
		c.log.stable < c.log.last() || c.applied < c.hard.Commit ||
		c.restored != nil || c.hardChanged() || c.soft() != c.lastSoft
}

// Ready returns the work since the last Advance.
func (c *Core) Ready() Ready {
	c.replicate()
	rd := Ready{Snapshot: c.restored, Messages: c.messages, ReadStates: c.readStates}
	if s := c.soft(); s != c.lastSoft {
		rd.SoftState = &s
		c.lastSoft = s
	}
	if c.hardChanged() {
		h := c.hard
		rd.HardState = &h
		c.lastHard = h
	}
	rd.Entries = c.log.slice(c.log.stable+1, c.log.last())
	c.persisting = c.log.last()
	rd.CommittedEntries = c.log.slice(c.applied+1, c.hard.Commit)
	c.applied = c.hard.Commit
	c.messages, c.readStates, c.restored = nil, nil, nil
	return rd
}

// Advance tells that the last Ready is done. Only now does a leader count its own
// entries as persisted.
func (c *Core) Advance() {
	c.log.stable = max(c.log.stable, min(c.persisting, c.log.last()))
	if c.role != Leader {
		return
	}
	if p := c.progress[c.id]; p.match < c.log.stable {
		p.match = c.log.stable
		c.advanceCommit()
	}
}
