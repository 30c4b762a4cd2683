package replica

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	idA = consensus.ReplicaID("a/1")
	idB = consensus.ReplicaID("b/1")
	idC = consensus.ReplicaID("c/1")
)

func TestThreeReplicasElectCommitAndRestart(t *testing.T) {
	synctest.Test(t, testThreeReplicasElectCommitAndRestart)
}

func testThreeReplicasElectCommitAndRestart(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	res, err := l.Propose(c.ctx(), []byte("x"))
	require.NoError(t, err)
	require.Equal(t, 1, res.Value)
	index, err := l.Read(c.ctx())
	require.NoError(t, err)
	require.GreaterOrEqual(t, index, res.Index)
	f := c.follower(l)
	require.Eventually(t, func() bool {
		id, ok := f.Leader()
		return ok && id == l.ID()
	}, waitTimeout, pollInterval)
	_, err = f.Propose(c.ctx(), []byte("y"))
	requireVerdict(t, err, verdict.NotRun, verdict.CodeNoQuorum)
	var notLeader *NotLeaderError
	require.True(t, errors.As(err, &notLeader))
	require.Equal(t, l.ID(), notLeader.Leader)
	c.waitForSameCommands(l, c.members[idA], c.members[idB], c.members[idC])
	requireVerdict(t, f.Bootstrap(c.ctx(), consensus.Membership{Voters: []consensus.ReplicaID{f.ID()}}), verdict.NotRun, verdict.CodeConflict)

	for i := range 30 {
		c.mustPropose(l, fmt.Sprint(i))
	}
	require.NoError(t, f.Close(c.ctx()))
	f = c.open(f.ID(), f.storage)
	c.mustPropose(l, "z")
	c.waitForSameCommands(l, f)
}

func TestIsolatedLeaderRefusesProposals(t *testing.T) {
	synctest.Test(t, testIsolatedLeaderRefusesProposals)
}

func testIsolatedLeaderRefusesProposals(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	old := c.leader("")
	c.setIsolated(old.ID(), true)
	var notRun []string
	require.Eventually(t, func() bool {
		data := fmt.Sprint("lost", len(notRun))
		ctx, cancel := context.WithTimeout(c.ctx(), 2*testTick)
		defer cancel()
		_, err := old.Propose(ctx, []byte(data))
		require.Error(t, err)
		if verdict.FromError(err).Verdict == verdict.NotRun {
			notRun = append(notRun, data)
		}
		return !old.IsLeader()
	}, waitTimeout, pollInterval)
	_, err := old.Propose(c.ctx(), []byte("late"))
	requireVerdict(t, err, verdict.NotRun, verdict.CodeNoQuorum)
	require.NotZero(t, verdict.FromError(err).RetryAfter)
	_, err = old.Read(c.ctx())
	requireVerdict(t, err, verdict.NotRun, verdict.CodeNoQuorum)
	next := c.leader(old.ID())
	c.mustPropose(next, "x")
	c.setIsolated(old.ID(), false)
	c.waitForSameCommands(next, old)
	for _, data := range notRun {
		require.NotContains(t, old.machine.appliedCommands(), data)
	}
}

func TestDelayedMessagesOfDeposedLeaderAreIgnored(t *testing.T) {
	synctest.Test(t, testDelayedMessagesOfDeposedLeaderAreIgnored)
}

func testDelayedMessagesOfDeposedLeaderAreIgnored(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	old := c.leader("")
	c.mu.Lock()
	c.recordFrom = old.ID()
	c.isolated[old.ID()] = true
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx(), 4*testTick)
	defer cancel()
	_, err := old.Propose(ctx, []byte("late"))
	require.Error(t, err)
	next := c.leader(old.ID())
	c.mustPropose(next, "x")
	c.mu.Lock()
	c.recordFrom = ""
	delayed := c.recorded[old.ID()]
	c.mu.Unlock()
	require.True(t, slices.ContainsFunc(delayed, func(m consensus.Message) bool { return m.Type == consensus.MessageAppend && len(m.Entries) > 0 }))
	term := next.Status().Term
	for _, m := range delayed {
		if m.To != old.ID() {
			c.members[m.To].Step(m)
		}
	}
	c.mustPropose(next, "y")
	require.Equal(t, term, next.Status().Term)
	for _, m := range c.members {
		require.NotContains(t, m.machine.appliedCommands(), "late")
	}
	c.setIsolated(old.ID(), false)
	c.waitForSameCommands(next, c.members[idA], c.members[idB], c.members[idC])
}

// A leader whose sync fails must stop and write nothing more. One follower is cut off, so that
// nothing can be committed without the leader's disk.
func TestFailedSyncStopsReplica(t *testing.T) { synctest.Test(t, testFailedSyncStopsReplica) }

func testFailedSyncStopsReplica(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	cut := c.follower(l)
	c.setIsolated(cut.ID(), true)
	l.storage.update(func(s *memStorage) { s.failAppends = true })
	_, err := l.Propose(c.ctx(), []byte("x"))
	require.Error(t, err)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	<-l.Done()
	require.ErrorIs(t, l.Err(), errDisk)
	appends := l.storage.appendCount()
	_, err = l.Propose(c.ctx(), []byte("y"))
	requireVerdict(t, err, verdict.NotRun, verdict.CodeDraining)
	_, err = l.Read(c.ctx())
	requireVerdict(t, err, verdict.NotRun, verdict.CodeDraining)
	require.Equal(t, l.ID(), l.Status().ID)
	c.setIsolated(cut.ID(), false)
	c.mustPropose(c.leader(l.ID()), "z")
	require.Equal(t, appends, l.storage.appendCount())
	l.storage.update(func(s *memStorage) { require.Equal(t, 1, s.failedAppends, "a failed write is not tried again") })
}

func TestSnapshotCatchesUpLaggingReplica(t *testing.T) {
	synctest.Test(t, testSnapshotCatchesUpLaggingReplica)
}

func testSnapshotCatchesUpLaggingReplica(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	f := c.follower(l)
	c.setIsolated(f.ID(), true)
	for i := range 100 {
		c.mustPropose(l, fmt.Sprint(i))
	}
	require.Eventually(t, func() bool { return l.Status().SnapshotIndex > 0 }, waitTimeout, pollInterval)
	c.setIsolated(f.ID(), false)
	c.waitForSameCommands(l, f)
	require.NotZero(t, f.metrics.restores.Count())
}

// Guards against a leader that sends no heartbeat while it encodes a snapshot, and loses its leadership.
func TestEncodingOfSnapshotHoldsUpNoHeartbeat(t *testing.T) {
	synctest.Test(t, testEncodingOfSnapshotHoldsUpNoHeartbeat)
}

func testEncodingOfSnapshotHoldsUpNoHeartbeat(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	gate := make(chan struct{})
	t.Cleanup(sync.OnceFunc(func() { close(gate) }))
	l.machine.mu.Lock()
	l.machine.encodeGate = gate
	l.machine.mu.Unlock()
	term := l.Status().Term
	for i := range 30 {
		c.mustPropose(l, fmt.Sprint(i))
	}
	for deadline := time.Now().Add(20 * l.electionTimeout()); time.Now().Before(deadline); {
		c.mustPropose(l, "during")
		time.Sleep(testTick)
	}
	require.Zero(t, l.Status().SnapshotIndex, "it is still being encoded")
	require.Equal(t, term, l.Status().Term)
	require.True(t, l.IsLeader())
}

// Guards against a log of large entries that fills the disk before their number calls for a snapshot.
func TestLargeEntriesAreCoveredBySnapshots(t *testing.T) {
	synctest.Test(t, testLargeEntriesAreCoveredBySnapshots)
}

func testLargeEntriesAreCoveredBySnapshots(t *testing.T) {
	const entries = 12
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	large := strings.Repeat("x", DefaultSnapshotBytes/4)
	for range entries {
		c.mustPropose(l, large)
	}
	for _, m := range c.members {
		require.Eventually(t, func() bool { return m.Status().SnapshotIndex >= entries/2 }, waitTimeout, pollInterval)
	}
}

func TestVoterWithLostDiskIsReplaced(t *testing.T) { synctest.Test(t, testVoterWithLostDiskIsReplaced) }

func testVoterWithLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	for i := range 50 {
		c.mustPropose(l, fmt.Sprint(i))
	}
	lost := c.follower(l)
	c.setIsolated(lost.ID(), true)
	ctx, cancel := context.WithTimeout(c.ctx(), 10*testTick)
	defer cancel()
	require.Error(t, l.ReplaceVoter(ctx, lost.ID(), "silent/1"))
	require.True(t, l.Status().Membership.IsVoter(lost.ID()), "the old voter stays until its replacement has caught up")
	require.NoError(t, l.RemoveMember(c.ctx(), "silent/1"))
	replacement := c.open("new/2", &memStorage{})
	require.NoError(t, l.ReplaceVoter(c.ctx(), lost.ID(), replacement.ID()))
	require.NoError(t, l.ReplaceVoter(c.ctx(), lost.ID(), replacement.ID()), "a repeated call changes nothing")
	m := l.Status().Membership
	require.Len(t, m.Voters, 3)
	require.Empty(t, m.Learners)
	require.True(t, m.IsVoter(replacement.ID()))
	require.False(t, m.IsVoter(lost.ID()))
	c.waitForSameCommands(l, replacement)
	l.machine.mu.Lock()
	require.Equal(t, m, l.machine.membership, "the state machine is notified of the membership")
	l.machine.mu.Unlock()
	requireVerdict(t, l.ReplaceVoter(c.ctx(), l.ID(), "new/3"), verdict.NotRun, verdict.CodeBadRequest)
}

// Guards against a change of the membership that waits for minutes for a replica that is gone. In the second
// case the old voter has been removed already.
func TestSilentReplicaIsGivenUpWhileItJoins(t *testing.T) {
	synctest.Test(t, testSilentReplicaIsGivenUpWhileItJoins)
}

func testSilentReplicaIsGivenUpWhileItJoins(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	lost := c.follower(l)
	c.setIsolated(lost.ID(), true)
	requireGivenUp := func(err error) {
		t.Helper()
		requireVerdict(t, err, verdict.NotRun, verdict.CodeDeadline)
		var silent *SilentMemberError
		require.ErrorAs(t, err, &silent)
		require.Equal(t, consensus.ReplicaID("silent/1"), silent.Member)
	}
	requireGivenUp(l.ReplaceVoter(c.ctx(), lost.ID(), "silent/1"))
	require.True(t, l.Status().Membership.IsVoter(lost.ID()))
	require.NoError(t, l.RemoveMember(c.ctx(), lost.ID()))
	requireGivenUp(l.PromoteLearner(c.ctx(), "silent/1"))
	c.mustPropose(l, "still serving")
}

// blockAppends blocks the storage writes of a replica until release is called.
func (c *cluster) blockAppends(m *member) (release func()) {
	gate := make(chan struct{})
	release = sync.OnceFunc(func() { close(gate) })
	c.t.Cleanup(release)
	m.storage.update(func(s *memStorage) { s.appendGate = gate })
	return release
}

// proposeWhileBlocked proposes n commands while the leader's storage writes are blocked. It
// returns once each of them is in the log or in the queue.
func (c *cluster) proposeWhileBlocked(l *member, n int) (release func(), done *sync.WaitGroup) {
	release, done = c.blockAppends(l), &sync.WaitGroup{}
	for i := range n {
		done.Go(func() { _, _ = l.Propose(c.ctx(), []byte(fmt.Sprint("p", i))) })
	}
	require.Eventually(c.t, func() bool {
		taken := int(l.metrics.proposed.Count())
		return taken > 0 && taken+len(l.proposals) >= n
	}, waitTimeout, pollInterval)
	return release, done
}

func TestQueuedProposalsShareOneSync(t *testing.T) {
	c := newCluster(t, idA)
	l := c.leader("")
	before := l.storage.appendCount()
	release, done := c.proposeWhileBlocked(l, 200)
	release()
	done.Wait()
	require.Len(t, l.machine.appliedCommands(), 200)
	require.LessOrEqual(t, l.storage.appendCount()-before, 3)
}

// A proposal that its caller withdraws before the loop takes it must never run. The loop is held
// up by a call, since a blocked disk does not hold it up.
func TestWithdrawnProposalNeverRuns(t *testing.T) {
	c := newCluster(t, idA)
	l := c.leader("")
	c.mustPropose(l, "p0")
	gate := make(chan struct{})
	release := sync.OnceFunc(func() { close(gate) })
	t.Cleanup(release)
	var done sync.WaitGroup
	started := make(chan struct{})
	done.Go(func() { _ = l.runOnLoop(c.ctx(), func() { close(started); <-gate }) })
	<-started
	ctx, cancel := context.WithTimeout(c.ctx(), testTick)
	defer cancel()
	_, err := l.Propose(ctx, []byte("withdrawn"))
	requireVerdict(t, err, verdict.NotRun, verdict.CodeDeadline)
	release()
	done.Wait()
	c.mustPropose(l, "x")
	require.Equal(t, []string{"p0", "x"}, l.machine.appliedCommands())
}

func TestCancelledProposalInLogMayHaveRun(t *testing.T) {
	c := newCluster(t, idA)
	l := c.leader("")
	release := c.blockAppends(l)
	ctx, cancel := context.WithCancel(c.ctx())
	result := make(chan error, 1)
	go func() {
		_, err := l.Propose(ctx, []byte("x"))
		result <- err
	}()
	require.Eventually(t, func() bool { return l.metrics.proposed.Count() > 0 }, waitTimeout, pollInterval)
	cancel()
	requireVerdict(t, <-result, verdict.MayHaveRun, verdict.CodeCancelled)
	release()
	require.Eventually(t, func() bool { return len(l.machine.appliedCommands()) == 1 }, waitTimeout, pollInterval)
}

func TestCloseTransfersLeadership(t *testing.T) { synctest.Test(t, testCloseTransfersLeadership) }

func testCloseTransfersLeadership(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	c.mustPropose(l, "x")
	term := l.Status().Term
	require.NoError(t, l.Close(c.ctx()))
	require.Equal(t, consensus.Follower, l.Status().Role)
	require.NoError(t, l.Err())
	next := c.leader(l.ID())
	require.Equal(t, term+1, next.Status().Term, "one election, by the transfer")
	require.Equal(t, []string{"x"}, next.machine.appliedCommands())
}

// addPendingProposal adds a pending proposal of term 2 at index 5 and returns it.
func addPendingProposal(r *Replica) *proposal {
	p := newProposal()
	r.pendingProposals[5] = append(r.pendingProposals[5], &pendingProposal{proposal: p, term: 2})
	r.hasStaleProposals = true
	return p
}

func TestCommittedEntriesResolveProposals(t *testing.T) {
	core, err := consensus.New(consensus.Config{ID: idA, Rand: Options{}.withDefaults().Rand}, consensus.PersistedState{})
	require.NoError(t, err)
	r := newReplica(Options{ElectionTicks: 3}.withDefaults(), core)
	r.publishStatus()

	p := addPendingProposal(r)
	r.resolveEntry(consensus.Entry{Index: 4, Term: 2}, nil)
	require.Empty(t, p.outcome, "an earlier entry of the same term does not finish it")
	r.resolveEntry(consensus.Entry{Index: 5, Term: 2}, "v")
	require.Equal(t, outcome{result: Result{Index: 5, Term: 2, Value: "v"}}, <-p.outcome)

	for _, e := range []consensus.Entry{{Index: 5, Term: 3}, {Index: 4, Term: 3}} {
		p = addPendingProposal(r)
		r.resolveEntry(e, nil)
		requireVerdict(t, (<-p.outcome).err, verdict.NotRun, verdict.CodeNoQuorum)
	}
	p = addPendingProposal(r)
	r.resolveSnapshot(consensus.SnapshotMeta{Index: 5, Term: 3})
	requireVerdict(t, (<-p.outcome).err, verdict.MayHaveRun, verdict.CodeNoQuorum)

	p = addPendingProposal(r)
	for range 3 {
		r.expireStaleProposals()
	}
	require.Empty(t, p.outcome)
	r.expireStaleProposals()
	requireVerdict(t, (<-p.outcome).err, verdict.MayHaveRun, verdict.CodeNoQuorum)
	require.Empty(t, r.pendingProposals)
}

// A follower that waits until it has applied the index of a read at the leader must get
// there without a new proposal. The leader's first entry of its term has no data and must
// count as applied.
func TestFollowersReachReadIndexWithoutNewEntries(t *testing.T) {
	synctest.Test(t, testFollowersReachReadIndexWithoutNewEntries)
}

func testFollowersReachReadIndexWithoutNewEntries(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	index, err := c.leader("").Read(c.ctx())
	require.NoError(t, err)
	for _, m := range c.members {
		require.Eventually(t, func() bool { return m.AppliedIndex() >= index }, waitTimeout, pollInterval)
	}
}

// An entry that a majority has on disk is committed even if the leader's own disk fails, and it
// must survive there.
func TestCommitDoesNotNeedTheLeadersDisk(t *testing.T) {
	synctest.Test(t, testCommitDoesNotNeedTheLeadersDisk)
}

func testCommitDoesNotNeedTheLeadersDisk(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	release := c.blockAppends(l)
	c.mustPropose(l, "x")
	l.storage.update(func(s *memStorage) { s.failAppends = true })
	release()
	<-l.Done()
	require.ErrorIs(t, l.Err(), errDisk)
	next := c.leader(l.ID())
	c.mustPropose(next, "y")
	require.Equal(t, []string{"x", "y"}, next.machine.appliedCommands())
}

// A slow sync must not look like a dead host. While the leader's disk, all disks or the
// followers' disks do not answer for three election timeouts, no election may be held, and
// afterwards each proposal must be committed exactly once. Without the writer's own goroutine the
// followers took the leader for dead after one election timeout.
func TestSlowSyncDeposesNobody(t *testing.T) {
	for name, isSlow := range map[string]func(isLeader bool) bool{
		"leader":    func(isLeader bool) bool { return isLeader },
		"followers": func(isLeader bool) bool { return !isLeader },
		"all":       func(bool) bool { return true },
	} {
		t.Run(name, func(t *testing.T) { synctest.Test(t, func(t *testing.T) { testSlowSync(t, isSlow) }) })
	}
}

func testSlowSync(t *testing.T, isSlow func(isLeader bool) bool) {
	const stall = 30 * testTick // three election timeouts
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	term := l.Status().Term
	for _, m := range c.members {
		if isSlow(m.IsLeader()) {
			release := c.blockAppends(m)
			time.AfterFunc(stall, release)
		}
	}
	var done sync.WaitGroup
	for i := range 10 {
		time.Sleep(2 * testTick) // lets virtual time pass between the proposals
		done.Go(func() {
			// A leader whose own disk is slow hands over meanwhile and refuses with the verdict
			// NotRun; any other error would leave the caller in doubt.
			for {
				leader := c.leader("")
				_, err := leader.Propose(c.ctx(), []byte(fmt.Sprint(i)))
				if err == nil {
					return
				}
				if !assert.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict, err) {
					return
				}
			}
		})
	}
	done.Wait()
	next := c.leader("")
	applied := next.machine.appliedCommands()
	slices.Sort(applied)
	require.Equal(t, []string{"0", "1", "2", "3", "4", "5", "6", "7", "8", "9"}, applied)
	if next == l {
		require.Equal(t, term, l.Status().Term)
	} else {
		require.Equal(t, term+1, next.Status().Term, "one transfer, no election by silence")
	}
}

// Guards against a snapshot that is larger than its readers take: no replica that joins would ever get it, and
// beyond the largest record the journal could not be opened again. The log must be kept instead, and the replica
// go on.
func TestSnapshotThatIsTooLargeIsNotTaken(t *testing.T) {
	synctest.Test(t, testSnapshotThatIsTooLargeIsNotTaken)
}

func testSnapshotThatIsTooLargeIsNotTaken(t *testing.T) {
	const maxBytes = 1000
	c := newClusterWith(t, func(o *Options) { o.SnapshotEntries, o.MaxSnapshotBytes = 3, maxBytes }, idA, idB, idC)
	l := c.leader("")
	for range 20 {
		c.mustPropose(l, strings.Repeat("x", maxBytes/10))
	}
	require.Eventually(t, func() bool { return l.metrics.snapshotErrors.Count() > 0 }, waitTimeout, pollInterval)
	for i := range 10 {
		c.mustPropose(l, fmt.Sprint(i))
	}
	for _, m := range c.members {
		m.storage.update(func(s *memStorage) { require.LessOrEqual(t, len(s.persisted.Snapshot.Data), maxBytes) })
	}
	f := c.follower(l)
	require.NoError(t, f.Close(c.ctx()))
	f = c.open(f.ID(), f.storage)
	c.mustPropose(l, "z")
	c.waitForSameCommands(l, f)
}

// Guards against a snapshot that this build can't decode, as that of a newer one, and that ends the replica for good:
// it was on its disk before it was decoded, so that the replica could not start any more either.
func TestSnapshotThatCanNotBeDecodedIsRefused(t *testing.T) {
	synctest.Test(t, testSnapshotThatCanNotBeDecodedIsRefused)
}

func testSnapshotThatCanNotBeDecodedIsRefused(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	f := c.follower(l)
	c.setIsolated(f.ID(), true)
	for i := range 60 {
		c.mustPropose(l, fmt.Sprint(i))
	}
	require.Eventually(t, func() bool { return l.Status().SnapshotIndex > f.AppliedIndex()+10 }, waitTimeout, pollInterval)
	f.machine.isUnreadable.Store(true)
	c.setIsolated(f.ID(), false)
	require.Eventually(t, func() bool { return f.machine.refused.Load() > 0 }, waitTimeout, pollInterval)
	c.mustPropose(l, "x")
	require.Eventually(t, func() bool { return f.machine.refused.Load() > 1 }, waitTimeout, pollInterval, "the replica has ended: %v", f.Err())
	f.storage.update(func(s *memStorage) { require.Zero(t, s.persisted.Snapshot.Meta.Index) })
	f.machine.isUnreadable.Store(false)
	c.waitForSameCommands(l, f)
	require.Equal(t, int64(1), f.metrics.restores.Count())
}
