package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// Guards against voters that stay together in one data centre after another one was cut off or lost and is
// back: the loss of that data centre would cost the quorum.
func TestVotersSpreadAgainAfterADataCentreIsBack(t *testing.T) {
	t.Parallel()
	for _, l := range []struct{ voters, spares int }{{3, 1}, {3, 3}, {5, 4}} {
		t.Run(fmt.Sprint(l.voters, " voters, ", l.spares, " spares"), func(t *testing.T) {
			t.Parallel()
			c := newTestCluster(t, l.voters, l.spares, nil)
			c.restartIn("a", "b", "c")
			for _, lost := range []string{"c", "a", "b", "c"} {
				for _, h := range c.in(lost) {
					h.kill()
				}
				require.NoError(t, c.propose(c.leader()), "without data centre %s", lost)
				// Long enough for hosts elsewhere to take the votes.
				time.Sleep(4 * clusterSilenceTimeout)
				for _, h := range c.in(lost) {
					h.start()
				}
				require.Eventually(t, c.areVotersSpread, catchUpTimeout, time.Millisecond, "voters stay where they are after data centre %s is back", lost)
			}
		})
	}
}

// restartIn restarts all hosts in these data centres in turn, and waits until the voters are spread.
func (c *testCluster) restartIn(dataCentres ...string) {
	c.t.Helper()
	for i, h := range c.hosts {
		h.kill()
		h.dataCentre = dataCentres[i%len(dataCentres)]
	}
	for _, h := range c.hosts {
		h.start()
	}
	require.Eventually(c.t, c.areVotersSpread, conditionTimeout, time.Millisecond, "voters are not spread")
}

// in returns the hosts of a data centre.
func (c *testCluster) in(dataCentre string) []*clusterHost {
	return slices.DeleteFunc(slices.Clone(c.hosts), func(h *clusterHost) bool { return h.dataCentre != dataCentre })
}

// areVotersSpread reports whether all voters are present, and none of the data centres holds more of them than
// the cluster can lose.
func (c *testCluster) areVotersSpread() bool {
	voters := c.presentVoters()
	votersIn := make(map[string]int)
	for _, v := range voters {
		i := slices.IndexFunc(c.hosts, func(h *clusterHost) bool { return h.host != nil && h.host.id == v })
		dataCentre := c.hosts[i].dataCentre
		votersIn[dataCentre]++
		if votersIn[dataCentre] > (c.voters-1)/2 {
			return false
		}
	}
	return voters != nil
}

// Guards against voters that move between data centres for ever, or are left together in one although they
// could be spread, after any cuts.
func TestPlacementSettlesAfterCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 2).Draw(t, "limit")
		p := voterPlacement{maxVoters: 2*limit + 1, dataCentre: func(id consensus.ReplicaID) string { return string(id[:1]) }}
		var all []consensus.ReplicaID
		for _, dc := range "abc" {
			for i := range rapid.IntRange(limit, 4).Draw(t, "hosts of "+string(dc)) {
				all = append(all, consensus.ReplicaID(fmt.Sprintf("%c%d", dc, i)))
			}
		}
		p.reachable = all
		p.voters = slices.Clone(rapid.Permutation(all).Draw(t, "voters")[:p.maxVoters])
		leader := rapid.SampledFrom(p.voters).Draw(t, "leader")
		moves := 0
		for range 3 {
			for _, id := range rapid.Permutation(all).Draw(t, "order") {
				if slices.Contains(p.voters, id) || !p.improves(id) {
					continue
				}
				p.voters = append(p.voters, id)
				gone := p.surplus(leader, nil)
				require.NotEqual(t, leader, gone)
				p.voters = slices.DeleteFunc(p.voters, func(v consensus.ReplicaID) bool { return v == gone })
				moves++
			}
		}
		require.Len(t, p.voters, p.maxVoters)
		require.LessOrEqual(t, moves, p.maxVoters)
		for dc, count := range p.votersIn() {
			require.LessOrEqual(t, count, limit, "in %s", dc)
		}
	})
}
