package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newClusterWithSuccessors starts a cluster whose last hosts, of as many as there are successors, don't run and
// have empty disks.
func newClusterWithSuccessors(t *testing.T, voters, successors int) *testCluster {
	c := newTestCluster(t, voters, successors, nil)
	for _, h := range c.hosts[voters:] {
		h.kill()
		h.disks++
	}
	return c
}

// replace ends hosts for good and starts one other host for each of them.
func (c *testCluster) replace(lost, successors []*clusterHost) {
	for _, h := range lost {
		h.kill()
	}
	for _, h := range successors {
		h.start()
	}
}

// Guards against two voters that are lost for good at once and never replaced: each waits until no other one
// is silent, and the next loss costs the quorum.
func TestTwoVotersThatAreGoneAtOnceAreBothReplaced(t *testing.T) {
	t.Parallel()
	for name, isLeaderLost := range map[string]bool{"followers": false, "a follower and the leader": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newClusterWithSuccessors(t, 5, 4)
			for pair := range 2 {
				first := c.follower()
				second := c.follower(first)
				if isLeaderLost {
					second = c.leader()
				}
				successors := c.hosts[5+2*pair : 7+2*pair]
				c.replace([]*clusterHost{first, second}, successors)
				back := time.Now()
				require.Eventually(t, func() bool { return c.presentVoters() != nil }, catchUpTimeout, time.Millisecond, "pair %d: not replaced", pair)
				t.Logf("pair %d: both votes are back after %v", pair, time.Since(back).Round(time.Millisecond))
			}
			c.follower().kill()
			c.follower().kill()
			require.NoError(t, c.propose(c.leader()))
		})
	}
}
