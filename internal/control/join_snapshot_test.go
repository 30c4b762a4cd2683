package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/replica"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

// Guards against a replica that waits too long for the snapshot it needs, since the first one was lost: its
// host was killed, or its connections ended, while it was being sent.
func TestReplicaThatLosesASnapshotWhileItJoinsVotesInTime(t *testing.T) {
	t.Parallel()
	// The delay of each block of bytes to the host, and the time after which a snapshot is on its way.
	const delay, sending = 150 * time.Millisecond, 700 * time.Millisecond
	ends := map[string]func(h *clusterHost){
		"the host is killed": func(h *clusterHost) { h.kill() },
		"its connections end": func(h *clusterHost) {
			for to, link := range h.links {
				link.Cut()
				to.links[h].Cut()
			}
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newTestClusterWithTick(t, 3, 0, nil, platformTick)
			c.fillLog()
			lost, leader := c.follower(), c.leader()
			slow := faultproxy.Fault{Delay: delay}
			leader.links[lost].SetFault(faultproxy.Forward, slow)
			lost.links[leader].SetFault(faultproxy.Backward, slow)
			lost.wipe()
			require.Eventually(t, func() bool { return leader.host.replica.Status().Membership.IsLearner(lost.host.id) }, conditionTimeout, time.Millisecond)
			pause.For(t.Context(), sending)
			require.False(t, hasLog(leader, lost.host.id), "the snapshot is not there yet")
			end(lost)
			for to, link := range lost.links {
				link.Heal()
				to.links[lost].Heal()
			}
			if lost.host == nil {
				lost.start()
			}
			back := time.Now()
			require.Eventually(t, func() bool { return c.votersAre(c.hosts...) }, catchUpTimeout, time.Millisecond, "the host does not vote again")
			t.Logf("votes after %d ms", time.Since(back).Milliseconds())
		})
	}
}

// hasLog reports whether a leader knows that a replica has a part of the log.
func hasLog(leader *clusterHost, id consensus.ReplicaID) bool {
	for _, p := range leader.host.replica.Status().Peers {
		if p.ID == id {
			return p.MatchIndex > 0
		}
	}
	return false
}

// fillLog commits so much that the first entries are no longer in the log, and waits until no host has them.
func (c *testCluster) fillLog() {
	c.t.Helper()
	const size = 1 << 20
	large := bytes.Repeat([]byte("x"), size)
	written := 0
	for number := uint64(1); written < consensus.DefaultTrailingBytes+2*replica.DefaultSnapshotBytes; number++ {
		_, err := c.leader().host.PutConfiguration(c.t.Context(), number, large, "test")
		require.NoError(c.t, err)
		written += size
	}
	require.Eventually(c.t, func() bool {
		for _, h := range c.hosts {
			if h.host.replica.Status().SnapshotIndex == 0 {
				return false
			}
		}
		return true
	}, conditionTimeout, 10*time.Millisecond, "no snapshot")
}
