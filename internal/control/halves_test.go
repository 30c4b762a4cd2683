package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/state"
)

// cutApart begins a cut between two groups of hosts and returns a function that ends it.
func (c *testCluster) cutApart(some, others []*clusterHost) (heal func()) {
	f := &linkFault{isCut: true, isUnanswered: true}
	each := func(do func(*clusterLink)) {
		for _, a := range some {
			for _, b := range others {
				do(a.links[b])
				do(b.links[a])
			}
		}
	}
	each(func(l *clusterLink) { l.begin(f) })
	return func() { each(func(l *clusterLink) { l.end(f) }) }
}

// Guards against voters that a minority changes, or two halves at once: each half has spare hosts that ask for the
// votes of the other half, and the former leader is in the smaller one. The larger half replaces the voters that it
// doesn't hear. These come back with their disks, vote by the old list for nobody, and bring back no older entries.
func TestHalvesNeverBothChangeTheVoters(t *testing.T) {
	t.Parallel()
	c := newTestCluster(t, 5, 4, nil)
	leader := c.leader()
	for _, spare := range c.hosts[5:] {
		require.Eventually(t, func() bool { return spare.host.replica.Status().Membership.IsLearner(spare.host.id) }, conditionTimeout, time.Millisecond, "not added")
	}
	require.Equal(t, state.ClaimGranted, c.claim(0, 0, "first"))
	smaller, larger := []*clusterHost{leader}, []*clusterHost{}
	for _, h := range c.hosts[:5] {
		switch {
		case h == leader:
		case len(smaller) < 2:
			smaller = append(smaller, h)
		default:
			larger = append(larger, h)
		}
	}
	smaller, larger = append(smaller, c.hosts[5], c.hosts[6]), append(larger, c.hosts[7], c.hosts[8])
	before := leader.host.replica.Status().Membership.Voters
	require.Len(t, before, 5)
	heal := c.cutApart(smaller, larger)
	require.Eventually(t, func() bool {
		return c.votersAre(larger...)
	}, catchUpTimeout, time.Millisecond, "the larger half does not replace both voters that it doesn't hear")
	require.Eventually(t, func() bool { return c.committedAt(larger, 1) }, conditionTimeout, time.Millisecond)
	for _, h := range smaller {
		require.Equal(t, before, h.host.replica.Status().Membership.Voters, "%s has changed the voters", h.name)
		require.False(t, h.host.replica.IsLeader(), "%s still leads", h.name)
	}
	heal()
	require.Eventually(t, func() bool {
		for _, h := range smaller {
			if st := h.host.replica.Status(); st.Membership.IsVoter(h.host.id) || !st.Membership.IsLearner(h.host.id) {
				return false
			}
		}
		return c.votersAre(larger...)
	}, conditionTimeout, time.Millisecond, "those that were replaced are no learners")
	require.Equal(t, state.ClaimInProgress, c.claim(0, 0, "second"), "an acknowledged claim is lost")
	require.Equal(t, state.ClaimInProgress, c.claim(1, 0, "second"), "an acknowledged claim is lost")
}

// committedAt reports whether a claim of a round is acknowledged by the leader among these hosts.
func (c *testCluster) committedAt(hosts []*clusterHost, round int) bool {
	for _, h := range hosts {
		if h.host.replica.Status().Role == consensus.Leader {
			return c.claimAt(h, round, 0, "first") == state.ClaimGranted
		}
	}
	return false
}
