package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// The time since the last contact is counted in ticks. If Config.Tick stayed zero when the
// settings don't set it, silent replicas would count as alive, and a host with a new disk
// could never replace its old replica.
func TestSilentReplicaHasNoRecentContactWithDefaultTick(t *testing.T) {
	h := &Host{cfg: Config{}.withDefaults()}
	st := consensus.Status{Peers: []consensus.PeerStatus{{ID: "a/old", TicksSinceContact: 1000}, {ID: "b/new", TicksSinceContact: 1}}}
	require.False(t, h.hasRecentContact(st, "a/old"))
	require.True(t, h.hasRecentContact(st, "b/new"))
}

// catchUpTimeout is the time that the users allow from the return of a host whose disk was lost until the
// loss of another one must do no harm.
const catchUpTimeout = 4 * time.Second

// loseDiskAndNeverJoin lets a host lose its disk and come back in such a way that the leader begins to
// add it and never hears of it again.
func (c *testCluster) loseDiskAndNeverJoin(h *clusterHost) {
	c.t.Helper()
	h.isDeaf.Store(true)
	h.wipe()
	leader := c.leader()
	require.Eventually(c.t, func() bool { return leader.host.replica.Status().Membership.IsLearner(h.host.id) }, conditionTimeout, time.Millisecond, "not added")
}

// Guards against a cluster that stays without a voter because its host lost its disk once more while it
// was joining: the next loss would cost the quorum.
func TestHostThatLosesItsDiskWhileItJoinsJoinsAgain(t *testing.T) {
	c := newTestCluster(t, 3, 0, nil)
	lost := c.follower()
	c.loseDiskAndNeverJoin(lost)
	lost.isDeaf.Store(false)
	lost.wipe()
	require.Eventually(t, func() bool { return c.votersAre(c.hosts...) }, catchUpTimeout, time.Millisecond, "the host does not vote again")
	c.follower(lost).kill()
	require.NoError(t, c.propose(c.leader()))
}

// Guards against a host that stops for good while it joins and so keeps all others from joining.
func TestHostThatStopsWhileItJoinsDoesNotKeepOthersFromJoining(t *testing.T) {
	c := newTestCluster(t, 3, 1, nil)
	lost, spare := c.follower(c.hosts[3]), c.hosts[3]
	spare.kill()
	c.loseDiskAndNeverJoin(lost)
	lost.kill()
	spare.start()
	voters := []*clusterHost{spare}
	for _, h := range c.hosts[:3] {
		if h != lost {
			voters = append(voters, h)
		}
	}
	require.Eventually(t, func() bool { return c.votersAre(voters...) }, catchUpTimeout, time.Millisecond, "the other host does not vote")
	c.follower(lost, spare).kill()
	require.NoError(t, c.propose(c.leader()))
}

// Guards against a lost voter that is never replaced: a spare host in its data centre, which has a session
// with the leader but never catches up, is preferred for ever to one that could vote.
func TestSpareThatNeverCatchesUpDoesNotKeepAnotherFromVoting(t *testing.T) {
	t.Parallel()
	for name, stop := range map[string]func(*clusterHost){
		"silent":         func(h *clusterHost) { h.isDeaf.Store(true) },
		"stores nothing": func(h *clusterHost) { h.isStuck.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, 3, 2, nil)
			for _, h := range c.hosts {
				h.kill()
			}
			for i, dataCentre := range []string{"a", "b", "c", "a", "c"} {
				c.hosts[i].dataCentre = dataCentre
			}
			lost, spare, stopped := c.hosts[2], c.hosts[3], c.hosts[4]
			// On its old disk, the host could have caught up before.
			stopped.disks++
			stop(stopped)
			for _, h := range c.hosts {
				h.start()
			}
			c.awaitVoters(c.hosts[:3]...)
			require.Eventually(t, func() bool { return c.leader().host.replica.Status().Membership.IsLearner(stopped.host.id) }, conditionTimeout, time.Millisecond, "not added")
			time.Sleep(catchUpTime)
			lost.kill()
			require.Eventually(t, func() bool { return c.votersAre(c.hosts[0], c.hosts[1], spare) }, catchUpTimeout, time.Millisecond, "the lost voter is not replaced")
		})
	}
}

// Guards against two replacements at once of one silent voter: the cluster would have one voter too many.
func TestTwoSparesReplaceASilentVoterOnce(t *testing.T) {
	c := newTestCluster(t, 3, 2, nil)
	host, lost := c.leader().host, c.follower(c.hosts[3], c.hosts[4])
	lostID := lost.host.id
	// Both spares have caught up and wait for this change of the voters to end.
	host.voterChange <- struct{}{}
	lost.kill()
	require.Eventually(t, func() bool {
		return !host.hasRecentContact(host.replica.Status(), lostID) && host.joins.count() == 2
	}, conditionTimeout, time.Millisecond, "the spares do not ask")
	require.True(t, host.replica.Status().Membership.IsVoter(lostID), "replaced during another change of the voters")
	<-host.voterChange
	hasReplaced := func() bool { return !host.replica.Status().Membership.IsVoter(lostID) && c.presentVoters() != nil }
	require.Eventually(t, hasReplaced, catchUpTimeout, time.Millisecond, "not replaced")
	require.Never(t, func() bool { return len(host.replica.Status().Membership.Voters) > 3 }, 3*joinInterval, time.Millisecond, "too many voters")
}

// Guards against a host that makes the leader add a replica of another host, or another replica of its own.
func TestHostMayJoinForItselfOnly(t *testing.T) {
	c := newTestCluster(t, 3, 0, nil)
	leader := c.leader()
	asker := c.follower()
	s, err := asker.pool.Get(t.Context(), leader.address)
	require.NoError(t, err)
	for _, m := range []*wire.Join{
		{Host: asker.name, Replica: asker.name + "/other"},
		{Host: leader.name, Replica: leader.name + "/other"},
		{Host: asker.name, Replica: "other/1"},
		{Host: "other", Replica: string(asker.host.id)},
	} {
		_, _, err := s.Call(t.Context(), m)
		require.Equal(t, verdict.CodeForbidden, verdict.FromError(err).Code, "%v", m)
	}
	require.Zero(t, leader.host.joins.count())
}

// Guards against a membership that grows with each control host that was a learner and is gone.
func TestLearnerThatIsGoneIsRemoved(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 3, 2, nil)
	for _, spare := range c.hosts[3:] {
		require.Eventually(t, func() bool { return c.leader().host.replica.Status().Membership.IsLearner(spare.host.id) }, conditionTimeout, time.Millisecond, "not added")
	}
	gone, back := c.hosts[3].host.id, c.hosts[4]
	c.hosts[3].kill()
	back.isDeaf.Store(true)
	isLearner := func(h *clusterHost) bool {
		return h.host != nil && c.leader().host.replica.Status().Membership.IsLearner(h.host.id)
	}
	require.Eventually(t, func() bool {
		return !c.leader().host.replica.Status().Membership.IsLearner(gone)
	}, 2*learnerSilences*clusterSilenceTimeout, 10*time.Millisecond, "not removed")
	back.isDeaf.Store(false)
	require.Eventually(t, func() bool { return isLearner(back) }, conditionTimeout, time.Millisecond, "a learner that is back is not added again")
}
