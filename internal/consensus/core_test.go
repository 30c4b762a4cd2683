package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

const (
	idA = ReplicaID("a/1")
	idB = ReplicaID("b/1")
	idC = ReplicaID("c/1")
)

func abc() Membership { return Membership{Voters: []ReplicaID{idA, idB, idC}} }

// restoredLog returns a log of the terms, whose first entry states the membership.
func restoredLog(t *testing.T, m Membership, terms ...uint64) PersistedState {
	data, err := EncodeMembership(m)
	require.NoError(t, err)
	r := PersistedState{HardState: HardState{Term: terms[len(terms)-1]}}
	for i, term := range terms {
		e := Entry{Term: term, Index: uint64(i + 1), Data: []byte("x")}
		if i == 0 {
			e.Kind, e.Data = EntryMembership, data
		}
		r.Entries = append(r.Entries, e)
	}
	return r
}

func openCore(t *testing.T, id ReplicaID, r PersistedState) *Core {
	c, err := New(Config{ID: id, ElectionTicks: 10, MaxAppendBytes: 4, MaxInflightAppends: 2, MaxUncommittedBytes: 16, Rand: rand.New(rand.NewPCG(1, 2))}, r)
	require.NoError(t, err)
	return c
}

// work does the outstanding work and returns the messages.
func work(c *Core) []Message {
	var out []Message
	for c.HasReady() {
		out = append(out, c.Ready().Messages...)
		c.Advance()
	}
	return out
}

func ofType(messages []Message, kind MessageType) []Message {
	return slices.DeleteFunc(slices.Clone(messages), func(m Message) bool { return m.Type != kind })
}

// elect makes c the leader with the vote of from.
func elect(t *testing.T, c *Core, from ReplicaID) {
	askForPreVotes(t, c)
	work(c)
	step(t, c, Message{Type: MessagePreVoteResponse, From: from, Term: c.hard.Term + 1})
	work(c)
	step(t, c, Message{Type: MessageVoteResponse, From: from, Term: c.hard.Term})
	require.Equal(t, Leader, c.role)
	work(c)
}

func askForPreVotes(t *testing.T, c *Core) {
	for range 2 * c.cfg.ElectionTicks {
		if c.role == Follower {
			c.Tick()
		}
	}
	require.Equal(t, PreCandidate, c.role)
}

func step(t *testing.T, c *Core, m Message) {
	m.To = c.id
	require.NoError(t, c.Step(m))
}

func TestVoteOutlivesCrash(t *testing.T) {
	r := restoredLog(t, abc(), 1)
	c := openCore(t, idC, r)
	step(t, c, Message{Type: MessageVote, From: idA, Term: 2, Index: 1, LogTerm: 1})
	rd := c.Ready()
	require.False(t, rd.Messages[0].Reject)
	r.HardState = *rd.HardState
	c = openCore(t, idC, r)
	step(t, c, Message{Type: MessageVote, From: idB, Term: 2, Index: 1, LogTerm: 1})
	require.True(t, c.Ready().Messages[0].Reject)
}

// An entry of an older term may be overwritten although a majority holds it.
func TestOlderTermsCommitOnlyBelowOwnTerm(t *testing.T) {
	c := openCore(t, idA, restoredLog(t, abc(), 1, 2))
	elect(t, c, idB)
	step(t, c, Message{Type: MessageAppendResponse, From: idB, Term: c.hard.Term, Index: 2})
	require.Zero(t, c.hard.Commit)
	step(t, c, Message{Type: MessageAppendResponse, From: idB, Term: c.hard.Term, Index: 3})
	require.Equal(t, uint64(3), c.hard.Commit)
}

func TestMembershipChangesGoOneVoterAtATime(t *testing.T) {
	r := restoredLog(t, abc(), 1)
	r.HardState.Commit = 1
	c := openCore(t, idA, r)
	grown := Membership{Voters: []ReplicaID{idA, idB, idC, "d/1"}}
	_, _, err := c.ProposeMembership(grown)
	require.ErrorIs(t, err, ErrNotLeader)
	elect(t, c, idB)
	_, _, err = c.ProposeMembership(grown)
	require.ErrorIs(t, err, ErrChangePending, "no entry of the term is committed")
	step(t, c, Message{Type: MessageAppendResponse, From: idB, Term: c.hard.Term, Index: 2})
	_, _, err = c.ProposeMembership(Membership{Voters: []ReplicaID{idA, idB, "d/1"}})
	require.ErrorIs(t, err, ErrInvalidMembership, "two voters differ")
	_, _, err = c.ProposeMembership(Membership{Voters: abc().Voters, Learners: []ReplicaID{idA}})
	require.ErrorIs(t, err, ErrInvalidMembership)
	_, _, err = c.ProposeMembership(grown)
	require.NoError(t, err)
	_, _, err = c.ProposeMembership(abc())
	require.ErrorIs(t, err, ErrChangePending)
}

func TestLeaderWithoutQuorumRefusesThenStepsDown(t *testing.T) {
	c := openCore(t, idA, restoredLog(t, abc(), 1))
	elect(t, c, idB)
	for range 6 {
		c.Tick()
	}
	_, _, err := c.Propose([]byte("x"))
	require.ErrorIs(t, err, ErrNoQuorum)
	for range 4 {
		c.Tick()
	}
	require.Equal(t, Follower, c.role)
	require.ErrorIs(t, c.ReadIndex(1), ErrNotLeader)
}

func TestReadIndexNeedsARoundThatBeganAfterIt(t *testing.T) {
	c := openCore(t, idA, restoredLog(t, abc(), 1))
	elect(t, c, idB)
	step(t, c, Message{Type: MessageAppendResponse, From: idB, Term: c.hard.Term, Index: 2})
	require.NoError(t, c.ReadIndex(7))
	old := Message{Type: MessageHeartbeatResponse, From: idB, Term: c.hard.Term, Round: c.round - 1}
	step(t, c, old)
	require.Empty(t, c.Ready().ReadStates)
	c.Advance()
	old.Round = c.round
	step(t, c, old)
	require.Equal(t, []ReadState{{Context: 7, Index: 2}}, c.Ready().ReadStates)
}

// A replica that was cut off must not disturb the leader when it returns: its
// pre-votes raise no term, and even a real vote is ignored while the leader is heard.
func TestReturningReplicaDeposesNobody(t *testing.T) {
	w := newWorld(t, 3)
	w.bootstrap(3)
	l, term := w.leader(), w.leader().core.hard.Term
	away := w.ids[slices.IndexFunc(w.ids, func(id ReplicaID) bool { return id != l.core.id })]
	w.cut[away] = true
	for range 50 {
		w.round()
	}
	require.Equal(t, term, w.nodes[away].core.hard.Term)
	clear(w.cut)
	w.commit("x")
	for _, id := range w.ids {
		w.step(Message{Type: MessageVote, From: away, To: id, Term: term + 9, Index: 99, LogTerm: term + 8})
		require.Equal(t, term, w.nodes[id].core.hard.Term)
	}
	require.Equal(t, Leader, l.core.role)
}

// A host whose disk is lost is another replica: what is sent to its old self is
// ignored, its votes do not count, and it does not campaign.
func TestNewDiskHasNoVote(t *testing.T) {
	fresh := openCore(t, "c/2", PersistedState{})
	require.NoError(t, fresh.Step(Message{Type: MessageVote, From: idA, To: idC, Term: 2, Index: 1, LogTerm: 1}))
	for range 100 {
		fresh.Tick()
	}
	require.False(t, fresh.HasReady())
	require.Equal(t, SoftState{}, fresh.soft())

	c := openCore(t, idA, restoredLog(t, abc(), 1))
	askForPreVotes(t, c)
	step(t, c, Message{Type: MessagePreVoteResponse, From: "c/2", Term: c.hard.Term + 1})
	require.Equal(t, PreCandidate, c.role)
	elect(t, c, idB)
	step(t, c, Message{Type: MessageAppendResponse, From: "c/2", Term: c.hard.Term, Index: 2})
	require.Zero(t, c.hard.Commit)
}

func TestLearnerHasNoVote(t *testing.T) {
	m := Membership{Voters: []ReplicaID{idA, idB, idC}, Learners: []ReplicaID{"d/1"}}
	c := openCore(t, idA, restoredLog(t, m, 1))
	elect(t, c, idB)
	step(t, c, Message{Type: MessageAppendResponse, From: "d/1", Term: c.hard.Term, Index: 2})
	require.Zero(t, c.hard.Commit)
	learner := openCore(t, "d/1", restoredLog(t, m, 1))
	for range 100 {
		learner.Tick()
	}
	require.Equal(t, Follower, learner.role)
}

func TestTransferMovesTheLeadership(t *testing.T) {
	w := newWorld(t, 3)
	w.bootstrap(3)
	w.commit("x")
	l := w.leader()
	require.NoError(t, l.core.TransferLeadership(""))
	_, _, err := l.core.Propose([]byte("y"))
	require.ErrorIs(t, err, ErrTransferring)
	w.settle()
	require.Equal(t, Follower, l.core.role)
	require.NotEqual(t, l, w.leader())
	w.commit("z")
}

func TestTransferIsGivenUpInTime(t *testing.T) {
	c := openCore(t, idA, restoredLog(t, abc(), 1))
	elect(t, c, idB)
	require.NoError(t, c.TransferLeadership(idC))
	for range 10 {
		step(t, c, Message{Type: MessageHeartbeatResponse, From: idB, Term: c.hard.Term})
		c.Tick()
	}
	_, _, err := c.Propose([]byte("x"))
	require.NoError(t, err)
}

func TestRemovedLeaderStepsDown(t *testing.T) {
	w := newWorld(t, 3)
	w.bootstrap(3)
	l := w.leader()
	m := l.core.Membership()
	m.Voters = slices.DeleteFunc(m.Voters, func(id ReplicaID) bool { return id == l.core.id })
	_, _, err := l.core.ProposeMembership(m)
	require.NoError(t, err)
	w.until("another leader", func() bool { return w.leader() != nil && w.leader() != l })
	require.Equal(t, Follower, l.core.role)
	term := w.leader().core.hard.Term
	for range 50 {
		w.round()
	}
	require.Equal(t, term, w.leader().core.hard.Term)
}

func TestLaggingReplicaGetsTheSnapshot(t *testing.T) {
	w := newWorld(t, 3)
	w.bootstrap(3)
	l := w.leader()
	away := w.ids[slices.IndexFunc(w.ids, func(id ReplicaID) bool { return id != l.core.id })]
	w.cut[away] = true
	for range 20 {
		w.commit("x")
	}
	w.compact(l.core.id)
	require.LessOrEqual(t, len(l.core.log.entries), 2, "compacted but for KeepEntries")
	clear(w.cut)
	w.commit("y")
	require.NotZero(t, w.nodes[away].disk.Snapshot.Meta.Index)
	require.Equal(t, l.state, w.nodes[away].state)
	w.crash(away, true)
	w.commit("z")
}

func TestAppendsAreBounded(t *testing.T) {
	c := openCore(t, idA, restoredLog(t, abc(), 1))
	elect(t, c, idB)
	step(t, c, Message{Type: MessageAppendResponse, From: idB, Term: c.hard.Term, Index: 2})
	work(c)
	for range 8 {
		_, _, err := c.Propose([]byte("xx"))
		require.NoError(t, err)
	}
	_, _, err := c.Propose([]byte("x"))
	require.ErrorIs(t, err, ErrUncommittedLimit)
	appends := ofType(work(c), MessageAppend)
	require.Len(t, appends, 2, "the window to b; c has an unanswered probe")
	require.Len(t, appends[0].Entries, 2)
	step(t, c, Message{Type: MessageAppendResponse, From: idB, Term: c.hard.Term, Index: 10})
	require.Zero(t, c.uncommitted)
	_, _, err = c.Propose([]byte("x"))
	require.NoError(t, err)
}

// The leader skips a whole term with each rejection.
func TestConflictIsFoundInFewSteps(t *testing.T) {
	long := []uint64{1}
	for range 1000 {
		long = append(long, 2)
	}
	c := openCore(t, idA, restoredLog(t, abc(), append(slices.Clone(long[:1]), 4, 4, 4)...))
	f := openCore(t, idB, restoredLog(t, abc(), long...))
	elect(t, c, idC)
	c.progress[idB].probe()
	c.progress[idB].next = 5
	c.dirty = true
	rejected := 0
	for f.log.last() != c.log.last() || f.log.lastTerm() != c.log.lastTerm() {
		for _, m := range work(c) {
			require.NoError(t, f.Step(m))
		}
		for _, m := range work(f) {
			if m.Reject {
				rejected++
			}
			require.NoError(t, c.Step(m))
		}
		require.LessOrEqual(t, rejected, 2)
	}
}

func TestTwoBootstrapsMakeOneCluster(t *testing.T) {
	w := newWorld(t, 3)
	m := Membership{Voters: slices.Clone(w.ids)}
	require.NoError(t, w.nodes[w.ids[0]].core.Bootstrap(m))
	require.NoError(t, w.nodes[w.ids[1]].core.Bootstrap(m))
	w.until("a leader", func() bool { return w.leader() != nil })
	w.commit("x")
	w.checkLogs()
	for _, id := range w.ids {
		require.ErrorIs(t, w.nodes[id].core.Bootstrap(m), ErrLogNotEmpty)
	}
}

func TestRestoreDropsWhatTheSnapshotOvertook(t *testing.T) {
	r := restoredLog(t, abc(), 1, 1, 2, 2)
	r.Snapshot.Meta = SnapshotMeta{Index: 2, Term: 5, Membership: abc()}
	r.HardState = HardState{Term: 3, Vote: idB, Commit: 4}
	c := openCore(t, idA, r)
	require.Equal(t, uint64(2), c.log.last())
	require.Equal(t, HardState{Term: 5, Commit: 2}, c.hard)
	r = restoredLog(t, abc(), 1, 1, 1)
	r.Entries = slices.Delete(r.Entries, 1, 2)
	_, err := New(Config{ID: idA, Rand: rand.New(rand.NewPCG(1, 2))}, r)
	require.Error(t, err)
}

// A membership is in force while its entry is in the log, and no longer.
func TestOverwrittenMembershipIsForgotten(t *testing.T) {
	r := restoredLog(t, abc(), 1, 1)
	data, err := EncodeMembership(Membership{Voters: []ReplicaID{idA, idB}})
	require.NoError(t, err)
	r.Entries[1] = Entry{Term: 1, Index: 2, Kind: EntryMembership, Data: data}
	c := openCore(t, idC, r)
	require.False(t, c.Membership().IsVoter(idC))
	step(t, c, Message{Type: MessageAppend, From: idB, Term: 2, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 2, Index: 2}}})
	require.Equal(t, abc(), c.Membership())
}

func TestSharedEntriesDoNotChange(t *testing.T) {
	l, err := restoreLog(restoredLog(t, abc(), 1, 1, 1))
	require.NoError(t, err)
	shared := l.slice(2, 3)
	l.put([]Entry{{Term: 2, Index: 2}, {Term: 2, Index: 3}})
	require.Equal(t, []uint64{1, 1}, []uint64{shared[0].Term, shared[1].Term})
}

func TestLostSnapshotIsSentAgain(t *testing.T) {
	r := PersistedState{HardState: HardState{Term: 1, Commit: 9}}
	r.Snapshot.Meta = SnapshotMeta{Index: 9, Term: 1, Membership: abc()}
	c := openCore(t, idA, r)
	elect(t, c, idB)
	sent := 0
	for range 2 * DefaultSnapshotRetryTicks {
		step(t, c, Message{Type: MessageHeartbeatResponse, From: idB, Term: c.hard.Term})
		step(t, c, Message{Type: MessageAppendResponse, From: idC, Term: c.hard.Term, Reject: true, Index: 9})
		c.Tick()
		sent += len(ofType(work(c), MessageSnapshot))
	}
	require.GreaterOrEqual(t, sent, 2)
	require.LessOrEqual(t, sent, 4)
}

func TestMalformedAppendIsIgnored(t *testing.T) {
	c := openCore(t, idB, restoredLog(t, abc(), 1))
	step(t, c, Message{Type: MessageAppend, From: idA, Term: 1, Index: 1, LogTerm: 1, Entries: []Entry{{Term: 1, Index: 5}}})
	require.Equal(t, uint64(1), c.log.last())
	require.False(t, c.HasReady())
}

func TestMessageKeepsItsFormInCBOR(t *testing.T) {
	in := Message{Type: MessageSnapshot, From: idA, To: idB, Term: 3, Index: 4, LogTerm: 2, Commit: 5, Reject: true, HintIndex: 6,
		HintTerm: 1, Round: 7, Transfer: true, Entries: []Entry{{Term: 1, Index: 2, Kind: EntryMembership, Data: []byte("x")}},
		Snapshot: &Snapshot{Meta: SnapshotMeta{Index: 9, Term: 2, Membership: abc()}, Data: []byte("y")}}
	b, err := cbor.Marshal(in)
	require.NoError(t, err)
	var out Message
	require.NoError(t, cbor.Unmarshal(b, &out))
	require.Equal(t, in, out)
}

// Replicas that have all just started elect a leader within half the usual time, and one
// that starts beside a living leader does not disturb it.
func TestFirstElectionAfterAStartIsShort(t *testing.T) {
	c := openCore(t, idA, restoredLog(t, abc(), 1, 1))
	for range c.cfg.ElectionTicks / 2 {
		if c.role == Follower {
			c.Tick()
		}
	}
	require.Equal(t, PreCandidate, c.role)
	for range startPart {
		c.campaign(PreCandidate, false)
	}
	require.GreaterOrEqual(t, c.drawTimeout(), c.cfg.ElectionTicks, "those far apart get the usual time")
	heard := openCore(t, idB, restoredLog(t, abc(), 1, 1))
	step(t, heard, Message{Type: MessageHeartbeat, From: idC, Term: 1})
	for range 20 {
		require.GreaterOrEqual(t, heard.drawTimeout(), heard.cfg.ElectionTicks)
	}
	step(t, heard, Message{Type: MessagePreVote, From: idA, Term: 2, Index: 2, LogTerm: 1})
	require.Empty(t, ofType(work(heard), MessagePreVoteResponse), "a leader that lives is not voted against")
	require.Equal(t, idC, heard.leader)
}

// Voters that start together do not campaign at the same tick: each would vote for itself.
func TestVotersThatStartTogetherCampaignInTurn(t *testing.T) {
	seen := map[int]bool{}
	for _, id := range abc().Voters {
		seen[openCore(t, id, restoredLog(t, abc(), 1, 1)).timeout] = true
	}
	require.Len(t, seen, len(abc().Voters))
}

// A leader was deposed right after a common start, two ticks after its last word: a
// voter kept the short time that it waits for a leader after its start once it had heard
// one, and the others did so too, so that none refused its pre-vote. The roles and what
// changed them, printed by a replica's loop, showed it.
func TestWhoHeardALeaderWaitsAWholeElectionTimeout(t *testing.T) {
	for _, heard := range []MessageType{MessageAppend, MessageHeartbeat} {
		c := openCore(t, idB, restoredLog(t, abc(), 1))
		require.Less(t, c.timeout, c.cfg.ElectionTicks, "it starts short")
		step(t, c, Message{Type: heard, From: idA, Term: 1, Index: 1, LogTerm: 1})
		for range c.cfg.ElectionTicks - 1 {
			c.Tick()
		}
		require.Equal(t, Follower, c.role)
		require.Equal(t, idA, c.leader)
	}
}
