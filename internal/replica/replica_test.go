package replica

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	idA = consensus.ReplicaID("a/1")
	idB = consensus.ReplicaID("b/1")
	idC = consensus.ReplicaID("c/1")
)

func TestThreeElectCommitAndRestart(t *testing.T) {
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
	}, patience, glance)
	_, err = f.Propose(c.ctx(), []byte("y"))
	requireVerdict(t, err, verdict.NotRun, verdict.CodeNoQuorum)
	var to *NotLeaderError
	require.True(t, errors.As(err, &to))
	require.Equal(t, l.ID(), to.Leader)
	c.agree(l, c.members[idA], c.members[idB], c.members[idC])
	requireVerdict(t, f.Bootstrap(c.ctx(), consensus.Membership{Voters: []consensus.ReplicaID{f.ID()}}), verdict.NotRun, verdict.CodeConflict)

	for i := range 30 {
		c.mustPropose(l, fmt.Sprint(i))
	}
	require.NoError(t, f.Close(c.ctx()))
	f = c.open(f.ID(), f.storage)
	c.mustPropose(l, "z")
	c.agree(l, f)
}

func TestCutOffLeaderRefuses(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	old := c.leader("")
	c.setCut(old.ID(), true)
	var notRun []string
	require.Eventually(t, func() bool {
		data := fmt.Sprint("lost", len(notRun))
		ctx, cancel := context.WithTimeout(c.ctx(), 2*testTick)
		defer cancel()
		_, err := old.Propose(ctx, []byte(data))
		require.Error(t, err)
		if verdict.Of(err).Verdict == verdict.NotRun {
			notRun = append(notRun, data)
		}
		return !old.IsLeader()
	}, patience, glance)
	_, err := old.Propose(c.ctx(), []byte("late"))
	requireVerdict(t, err, verdict.NotRun, verdict.CodeNoQuorum)
	require.NotZero(t, verdict.Of(err).RetryAfter)
	_, err = old.Read(c.ctx())
	requireVerdict(t, err, verdict.NotRun, verdict.CodeNoQuorum)
	next := c.leader(old.ID())
	c.mustPropose(next, "x")
	c.setCut(old.ID(), false)
	c.agree(next, old)
	for _, data := range notRun {
		require.NotContains(t, old.machine.get(), data)
	}
}

func TestLateMessagesOfAPausedLeaderChangeNothing(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	old := c.leader("")
	c.mu.Lock()
	c.hold = old.ID()
	c.cut[old.ID()] = true
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(c.ctx(), 4*testTick)
	defer cancel()
	_, err := old.Propose(ctx, []byte("late"))
	require.Error(t, err)
	next := c.leader(old.ID())
	c.mustPropose(next, "x")
	c.mu.Lock()
	c.hold = ""
	late := c.held[old.ID()]
	c.mu.Unlock()
	require.True(t, slices.ContainsFunc(late, func(m consensus.Message) bool { return m.Type == consensus.MessageAppend && len(m.Entries) > 0 }))
	term := next.Status().Term
	for _, m := range late {
		if m.To != old.ID() {
			c.members[m.To].Step(m)
		}
	}
	c.mustPropose(next, "y")
	require.Equal(t, term, next.Status().Term)
	for _, m := range c.members {
		require.NotContains(t, m.machine.get(), "late")
	}
	c.setCut(old.ID(), false)
	c.agree(next, c.members[idA], c.members[idB], c.members[idC])
}

func TestFailedSyncEndsTheReplica(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	l.storage.set(func(s *memStorage) { s.fail = true })
	_, err := l.Propose(c.ctx(), []byte("x"))
	require.Error(t, err)
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err).Verdict)
	<-l.Done()
	require.ErrorIs(t, l.Err(), errDisk)
	appends := l.storage.count()
	_, err = l.Propose(c.ctx(), []byte("y"))
	requireVerdict(t, err, verdict.NotRun, verdict.CodeLeaving)
	_, err = l.Read(c.ctx())
	requireVerdict(t, err, verdict.NotRun, verdict.CodeLeaving)
	require.Equal(t, l.ID(), l.Status().ID)
	c.mustPropose(c.leader(l.ID()), "z")
	require.Equal(t, appends, l.storage.count())
	l.storage.set(func(s *memStorage) { require.Equal(t, 1, s.failed, "a failed write is not tried again") })
}

func TestSnapshotCatchesAReplicaUp(t *testing.T) {
	for _, capture := range []bool{false, true} {
		t.Run(fmt.Sprint("capture ", capture), func(t *testing.T) { testCatchUp(t, capture) })
	}
}

func testCatchUp(t *testing.T, capture bool) {
	c := newClusterOf(t, capture, idA, idB, idC)
	l := c.leader("")
	f := c.follower(l)
	c.setCut(f.ID(), true)
	for i := range 100 {
		c.mustPropose(l, fmt.Sprint(i))
	}
	require.Eventually(t, func() bool { return l.Status().SnapshotIndex > 0 }, patience, glance)
	c.setCut(f.ID(), false)
	c.agree(l, f)
	require.NotZero(t, f.metrics.restores.Count())
}

func TestLostDiskIsReplaced(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	for i := range 50 {
		c.mustPropose(l, fmt.Sprint(i))
	}
	lost := c.follower(l)
	c.setCut(lost.ID(), true)
	ctx, cancel := context.WithTimeout(c.ctx(), 10*testTick)
	defer cancel()
	require.Error(t, l.ReplaceVoter(ctx, lost.ID(), "silent/1"))
	require.True(t, l.Status().Membership.IsVoter(lost.ID()), "removed only once the new one has caught up")
	require.NoError(t, l.RemoveMember(c.ctx(), "silent/1"))
	fresh := c.open("new/2", &memStorage{})
	require.NoError(t, l.ReplaceVoter(c.ctx(), lost.ID(), fresh.ID()))
	require.NoError(t, l.ReplaceVoter(c.ctx(), lost.ID(), fresh.ID()), "a repeated call changes nothing")
	m := l.Status().Membership
	require.Len(t, m.Voters, 3)
	require.Empty(t, m.Learners)
	require.True(t, m.IsVoter(fresh.ID()))
	require.False(t, m.IsVoter(lost.ID()))
	c.agree(l, fresh)
	l.machine.mu.Lock()
	require.Equal(t, m, l.machine.members, "the machine is told of the membership")
	l.machine.mu.Unlock()
	requireVerdict(t, l.ReplaceVoter(c.ctx(), l.ID(), "new/3"), verdict.NotRun, verdict.CodeBadRequest)
}

// holdWrites holds the writes of a replica until release is called.
func (c *cluster) holdWrites(m *member) (release func()) {
	gate := make(chan struct{})
	release = sync.OnceFunc(func() { close(gate) })
	c.t.Cleanup(release)
	m.storage.set(func(s *memStorage) { s.gate = gate })
	return release
}

// proposeHeld proposes n commands while the leader's writes are held, and returns
// when each of them is in the log or in the queue.
func (c *cluster) proposeHeld(l *member, n int) (release func(), done *sync.WaitGroup) {
	release, done = c.holdWrites(l), &sync.WaitGroup{}
	for i := range n {
		done.Go(func() { _, _ = l.Propose(c.ctx(), []byte(fmt.Sprint("p", i))) })
	}
	require.Eventually(c.t, func() bool {
		taken := int(l.metrics.proposed.Count())
		return taken > 0 && taken+len(l.proposals) >= n
	}, patience, glance)
	return release, done
}

func TestWaitingProposalsShareOneSync(t *testing.T) {
	c := newCluster(t, idA)
	l := c.leader("")
	before := l.storage.count()
	release, done := c.proposeHeld(l, 200)
	release()
	done.Wait()
	require.Len(t, l.machine.get(), 200)
	require.LessOrEqual(t, l.storage.count()-before, 3)
}

func TestWithdrawnProposalNeverRuns(t *testing.T) {
	c := newCluster(t, idA)
	l := c.leader("")
	release, done := c.proposeHeld(l, 1)
	ctx, cancel := context.WithTimeout(c.ctx(), testTick)
	defer cancel()
	_, err := l.Propose(ctx, []byte("withdrawn"))
	requireVerdict(t, err, verdict.NotRun, verdict.CodeDeadline)
	release()
	done.Wait()
	c.mustPropose(l, "x")
	require.Equal(t, []string{"p0", "x"}, l.machine.get())
}

func TestTakenProposalMayHaveRun(t *testing.T) {
	c := newCluster(t, idA)
	l := c.leader("")
	release := c.holdWrites(l)
	ctx, cancel := context.WithCancel(c.ctx())
	answer := make(chan error, 1)
	go func() {
		_, err := l.Propose(ctx, []byte("x"))
		answer <- err
	}()
	require.Eventually(t, func() bool { return l.metrics.proposed.Count() > 0 }, patience, glance)
	cancel()
	requireVerdict(t, <-answer, verdict.MayHaveRun, verdict.CodeCancelled)
	release()
	require.Eventually(t, func() bool { return len(l.machine.get()) == 1 }, patience, glance)
}

func TestCloseHandsTheLeadershipOver(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	l := c.leader("")
	c.mustPropose(l, "x")
	term := l.Status().Term
	require.NoError(t, l.Close(c.ctx()))
	require.Equal(t, consensus.Follower, l.Status().Role)
	require.NoError(t, l.Err())
	next := c.leader(l.ID())
	require.Equal(t, term+1, next.Status().Term, "one election, by the transfer")
	require.Equal(t, []string{"x"}, next.machine.get())
}

// waitingAt returns a proposal of term 2 that waits at index 5.
func waitingAt(r *Replica) *proposal {
	p := newProposal()
	r.waiting[5] = append(r.waiting[5], &waiter{proposal: p, term: 2})
	r.stale = true
	return p
}

func TestCommittedEntriesDecideProposals(t *testing.T) {
	core, err := consensus.New(consensus.Config{ID: idA, Rand: Options{}.withDefaults().Rand}, consensus.PersistedState{})
	require.NoError(t, err)
	r := newReplica(Options{ElectionTicks: 3}.withDefaults(), core)
	r.publish()

	p := waitingAt(r)
	r.resolve(consensus.Entry{Index: 4, Term: 2}, nil)
	require.Empty(t, p.outcome, "an entry of the same term before it decides nothing")
	r.resolve(consensus.Entry{Index: 5, Term: 2}, "v")
	require.Equal(t, outcome{result: Result{Index: 5, Term: 2, Value: "v"}}, <-p.outcome)

	for _, e := range []consensus.Entry{{Index: 5, Term: 3}, {Index: 4, Term: 3}} {
		p = waitingAt(r)
		r.resolve(e, nil)
		requireVerdict(t, (<-p.outcome).err, verdict.NotRun, verdict.CodeNoQuorum)
	}
	p = waitingAt(r)
	r.resolveSnapshot(consensus.SnapshotMeta{Index: 5, Term: 3})
	requireVerdict(t, (<-p.outcome).err, verdict.MayHaveRun, verdict.CodeNoQuorum)

	p = waitingAt(r)
	for range 3 {
		r.ageStale()
	}
	require.Empty(t, p.outcome)
	r.ageStale()
	requireVerdict(t, (<-p.outcome).err, verdict.MayHaveRun, verdict.CodeNoQuorum)
	require.Empty(t, r.waiting)
}

// A follower that waits to be as far as a read at the leader gets there without another
// entry: the leader's own first entry, which changes nothing, counts.
func TestFollowersReachTheIndexOfARead(t *testing.T) {
	c := newCluster(t, idA, idB, idC)
	index, err := c.leader("").Read(c.ctx())
	require.NoError(t, err)
	for _, m := range c.members {
		require.Eventually(t, func() bool { return m.AppliedIndex() >= index }, patience, glance)
	}
}
