package control

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// Whatever the order in which replicas ask for a vote, all votes must be given, and no data centre may
// hold more voters than the cluster can lose if others have replicas enough. Guards against a cluster
// that loses its quorum with one data centre of several control hosts.
func TestLossOfADataCentreLeavesAQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		failures := rapid.IntRange(1, 3).Draw(t, "failures")
		dataCentres := rapid.IntRange(3, 5).Draw(t, "data centres")
		each := rapid.IntRange(failures, 5).Draw(t, "control hosts each")
		p := voterPlacement{maxVoters: 2*failures + 1, dataCentre: func(id consensus.ReplicaID) string { return string(id[:1]) }}
		for dc := range dataCentres {
			for i := range each {
				p.reachable = append(p.reachable, consensus.ReplicaID(fmt.Sprintf("%c%d", 'a'+dc, i)))
			}
		}
		for _, id := range rapid.Permutation(append(append(p.reachable, p.reachable...), p.reachable...)).Draw(t, "order") {
			if len(p.voters) < p.maxVoters && !slices.Contains(p.voters, id) && p.mayVote(id) {
				p.voters = append(p.voters, id)
			}
		}
		require.Len(t, p.voters, p.maxVoters)
		count := make(map[string]int)
		for _, v := range p.voters {
			count[p.dataCentre(v)]++
			require.LessOrEqual(t, count[p.dataCentre(v)], failures)
		}
	})
}

// Where no other replica can vote, one of a data centre with many voters must. Guards against a voter
// that is lost for good and never replaced.
func TestReplicaVotesIfNoOtherCan(t *testing.T) {
	p := voterPlacement{
		maxVoters: 3, voters: []consensus.ReplicaID{"a1", "b1"}, reachable: []consensus.ReplicaID{"a1", "a2", "b1"},
		dataCentre: func(id consensus.ReplicaID) string { return string(id[:1]) },
	}
	require.True(t, p.mayVote("a2"))
	p.reachable = append(p.reachable, "c1")
	require.False(t, p.mayVote("a2"))
	require.True(t, p.mayVote("c1"))
	p.dataCentre = func(consensus.ReplicaID) string { return "" }
	require.True(t, p.mayVote("a2"), "data centres are not known")
}
