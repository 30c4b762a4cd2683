package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSafetyWithSlowDisks is TestSafety with disks that sync later, in order, or lose what was
// not synced in a crash. Without promises that wait for the sync, acknowledged entries and votes
// are forgotten.
func TestSafetyWithSlowDisks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{3, 5}).Draw(t, "voters")
		steps := rapid.IntRange(1, 2000).Draw(t, "steps") + minSteps
		seed := rapid.Uint64().Draw(t, "seed")
		for i := range uint64(simulationsPerCheck) {
			runSlowDiskSimulation(t, voters, steps, rand.New(rand.NewPCG(seed, i)))
		}
	})
}

func runSlowDiskSimulation(t testingT, voters, steps int, rng *rand.Rand) {
	sim := newSimulation(t, voters)
	sim.bootstrap(voters)
	for i := range steps {
		sim.randomDiskStep(rng)
		sim.randomStep(rng)
		if i%checkLogsEvery == 0 {
			sim.checkLogs()
		}
	}
	for _, id := range sim.ids {
		sim.setDiskSlow(id, false)
	}
	sim.recoverAndCommit()
}

// randomDiskStep makes a disk slow or quick, does some of its outstanding writes, or crashes its
// replica after some of them.
func (sim *simulation) randomDiskStep(rng *rand.Rand) {
	action := rng.IntN(100)
	id := sim.ids[rng.IntN(len(sim.ids))]
	n := sim.nodes[id]
	some := rng.IntN(len(n.unsynced) + 1)
	switch {
	case action < 4:
		sim.setDiskSlow(id, true)
	case action < 6:
		sim.setDiskSlow(id, false)
	case action < 30:
		sim.syncWrites(n, some)
	case action < 32:
		sim.syncWrites(n, some)
		sim.crash(id, false)
	}
}

// A leader whose disk does not answer for seconds must go on leading: its heartbeats and appends
// go out, and a majority without it commits. Without this the other hosts took the leader for
// dead.
func TestLeaderWithSlowDiskIsNotDeposed(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.bootstrap(3)
	l := sim.leader()
	term := l.core.hardState.Term
	sim.setDiskSlow(l.core.id, true)
	before := l.core.hardState.Commit
	_, _, err := l.core.Propose([]byte("x"))
	require.NoError(t, err)
	for range l.core.cfg.ElectionTicks - 1 {
		sim.tickAndDeliver()
	}
	require.Equal(t, l, sim.leader())
	require.Equal(t, term, l.core.hardState.Term)
	require.Greater(t, l.core.hardState.Commit, before, "the others have committed")
	require.Less(t, l.core.log.stableIndex, l.core.hardState.Commit)
}

// Slow disks everywhere must not cost the leadership either: nothing commits until a majority
// has synced, and then everything does.
func TestSlowDisksEverywhereDeposeNobody(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.bootstrap(3)
	l := sim.leader()
	term := l.core.hardState.Term
	for _, id := range sim.ids {
		sim.setDiskSlow(id, true)
	}
	index, _, err := l.core.Propose([]byte("x"))
	require.NoError(t, err)
	for range 10 * l.core.cfg.ElectionTicks {
		sim.tickAndDeliver()
	}
	require.Less(t, l.core.hardState.Commit, index, "nothing is committed that no majority has on disk")
	for _, id := range sim.ids {
		sim.setDiskSlow(id, false)
	}
	sim.deliverAll()
	require.Equal(t, term, l.core.hardState.Term)
	require.GreaterOrEqual(t, l.core.hardState.Commit, index)
}

// A leader whose disk stays slow while the others' are quick hands over, without an election
// timeout, before it has to refuse proposals for its backlog.
func TestLeaderWhoseDiskStaysSlowHandsOver(t *testing.T) {
	sim := newSimulation(t, 3)
	sim.bootstrap(3)
	l := sim.leader()
	term := l.core.hardState.Term
	sim.setDiskSlow(l.core.id, true)
	_, _, err := l.core.Propose([]byte("x"))
	require.NoError(t, err)
	sim.runUntil("another leader", func() bool { return sim.leader() != nil && sim.leader() != l })
	require.Equal(t, term+1, sim.leader().core.hardState.Term, "one election, by the transfer")
	index, _, err := sim.leader().core.Propose([]byte("y"))
	require.NoError(t, err)
	sim.runUntil("commit without the slow disk", func() bool { return sim.leader().core.hardState.Commit >= index })
}

// The only voter must not lead before its vote for itself is on disk. If it did, a crash would
// let it lead the same term again, with other entries under the same index.
func TestOnlyVoterLeadsOnceItsVoteIsSynced(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.setDiskSlow(sim.ids[0], true)
	require.NoError(t, sim.nodes[sim.ids[0]].core.Bootstrap(Membership{Voters: slices.Clone(sim.ids)}))
	sim.processReady(sim.ids[0])
	require.Equal(t, Candidate, sim.nodes[sim.ids[0]].core.role)
	sim.setDiskSlow(sim.ids[0], false)
	require.Equal(t, Leader, sim.nodes[sim.ids[0]].core.role)
}

// An entry that was replaced and then restored is on disk only with the write that restored it.
// If an earlier write counted, a crash between the two would lose an acknowledged entry.
func TestRestoredEntryIsStableOnlyWithItsOwnWrite(t *testing.T) {
	c := openCore(t, idC, restoredLog(t, threeVoters(), 1))
	appendEntry := func(term, entryTerm uint64) uint64 {
		step(t, c, Message{Type: MessageAppend, From: idA, Term: term, Index: 1, LogTerm: 1, Entries: []Entry{{Term: entryTerm, Index: 2}}})
		return c.Ready().Write.Number
	}
	first := appendEntry(2, 2)
	replaced := appendEntry(3, 3)
	restored := appendEntry(4, 2)
	c.Synced(first)
	require.Equal(t, uint64(1), c.log.stableIndex)
	c.Synced(replaced)
	require.Equal(t, uint64(1), c.log.stableIndex)
	c.Synced(restored)
	require.Equal(t, uint64(2), c.log.stableIndex)
}

// A replica whose disk does not answer must not collect entries without end.
func TestBacklogOfSlowDiskIsBounded(t *testing.T) {
	c := openCore(t, idC, restoredLog(t, threeVoters(), 1))
	for range 100 {
		last := c.log.lastIndex()
		step(t, c, Message{Type: MessageAppend, From: idA, Term: 1, Index: last, LogTerm: 1, Entries: []Entry{{Term: 1, Index: last + 1, Data: []byte("xxxx")}}})
		c.Ready()
	}
	require.LessOrEqual(t, c.writes.size, c.cfg.MaxUncommittedBytes+4)
	c.Synced(c.writes.last)
	last := c.log.lastIndex()
	step(t, c, Message{Type: MessageAppend, From: idA, Term: 1, Index: last, LogTerm: 1, Entries: []Entry{{Term: 1, Index: last + 1, Data: []byte("xxxx")}}})
	require.Equal(t, last+1, c.log.lastIndex(), "it takes entries again")
}

// Writes that wait behind a sync share the next one. Merged, they must leave the log as one
// after the other would, also where a later one replaces entries of an earlier one.
func TestMergedWritesLeaveTheSameLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var one, all node
		var merged Write
		last := uint64(0)
		for range rapid.IntRange(1, 8).Draw(t, "writes") {
			w := Write{Number: merged.Number + 1, HardState: &HardState{Term: merged.Number + 1}}
			first := rapid.Uint64Range(1, last+1).Draw(t, "first")
			for i := range rapid.Uint64Range(0, 3).Draw(t, "entries") {
				w.Entries = append(w.Entries, Entry{Term: w.Number, Index: first + i})
			}
			if len(w.Entries) > 0 {
				last = first + uint64(len(w.Entries)) - 1
			}
			one.persist(w)
			merged, _ = merged.Merge(w)
		}
		all.persist(merged)
		require.Equal(t, one.disk.HardState, all.disk.HardState)
		require.Equal(t, len(one.disk.Entries), len(all.disk.Entries))
		for i := range one.disk.Entries {
			require.Equal(t, one.disk.Entries[i], all.disk.Entries[i])
		}
	})
}

// A candidate must not ask for votes before its own vote is on disk. Of five voters, three
// others could elect it, and after a crash once more in the same term.
func TestVoteRequestsWaitForTheCandidatesDisk(t *testing.T) {
	voters := []ReplicaID{idA, idB, idC, "d/1", "e/1"}
	c := openCore(t, idA, restoredLog(t, Membership{Voters: voters}, 1))
	startPreVote(t, c)
	drainReady(c)
	for _, id := range voters[1:3] {
		step(t, c, Message{Type: MessagePreVoteResponse, From: id, Term: c.hardState.Term + 1})
	}
	require.Equal(t, Candidate, c.role)
	rd := c.Ready()
	require.Empty(t, filterByType(rd.Messages, MessageVote))
	require.Len(t, filterByType(rd.Write.Promises, MessageVote), 4)
	require.Equal(t, idA, rd.Write.HardState.Vote)
}
