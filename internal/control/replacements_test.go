package control

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/state"
)

// replacementSeeds and firstReplacementSeed tell which sequences of faults TestReplacedVotersUnderFaults plays.
var (
	replacementSeeds     = flag.Uint64("replacements.seeds", 4, "how many sequences of faults to play")
	firstReplacementSeed = flag.Uint64("replacements.first", 0, "seed of the first sequence")
)

// presentVoters returns the committed voters if each is the present replica of a running host, else nil.
func (c *testCluster) presentVoters() []consensus.ReplicaID {
	for _, h := range c.hosts {
		if h.host == nil || !h.host.replica.IsLeader() {
			continue
		}
		st := h.host.replica.Status()
		if st.MembershipCommitted && len(st.Membership.Voters) == c.voters && !slices.ContainsFunc(st.Membership.Voters, c.isGone) {
			return st.Membership.Voters
		}
	}
	return nil
}

// isGone reports whether a replica is that of no running host.
func (c *testCluster) isGone(id consensus.ReplicaID) bool {
	return !slices.ContainsFunc(c.hosts, func(h *clusterHost) bool { return h.host != nil && h.host.id == id })
}

// disturb does one thing to a host that joins, or to the leader that adds it. What it does is over, or
// ends by the returned function.
func (c *testCluster) disturb(joiner *clusterHost, r *rand.Rand) (name string, end func()) {
	links := func(f func(*clusterLink)) {
		for _, h := range c.hosts {
			f(joiner.links[h])
			f(h.links[joiner])
		}
	}
	switch r.IntN(6) {
	case 0:
		joiner.wipe()
		return "loses its disk again", func() {}
	case 1:
		joiner.kill()
		return "is killed", joiner.start
	case 2:
		joiner.isDeaf.Store(true)
		return "is deaf", func() { joiner.isDeaf.Store(false) }
	case 3:
		links(func(l *clusterLink) { l.Freeze() })
		return "is frozen", func() { links(func(l *clusterLink) { l.Heal() }) }
	case 4:
		links(func(l *clusterLink) { l.Freeze() })
		joiner.wipe()
		return "is cut off and loses its disk again", func() { links(func(l *clusterLink) { l.Cut(); l.Heal() }) }
	default:
		for _, h := range c.hosts {
			if h.host != nil && h != joiner && h.host.replica.IsLeader() {
				h.kill()
				h.start()
				return "its leader restarts", func() {}
			}
		}
		return "nothing", func() {}
	}
}

// Guards against a replacement of a lost disk that a fault of the joining host, at any step, leaves undone,
// so that the next lost disk costs the quorum; and against acknowledged entries that are lost by it.
func TestReplacedVotersUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := *firstReplacementSeed; seed < *firstReplacementSeed+*replacementSeeds; seed++ {
		r := rand.New(rand.NewPCG(seed, 65))
		c := newTestCluster(t, []int{3, 3, 5}[seed%3], int(seed%2), nil)
		for round := range 4 {
			for i := range 3 {
				require.Equal(t, state.ClaimGranted, c.claim(round, i, "first"))
			}
			lost := c.hosts[r.IntN(len(c.hosts))]
			lost.wipe()
			if c.voters == 5 {
				other := c.hosts[r.IntN(len(c.hosts))]
				other.wipe()
			}
			time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
			name, end := c.disturb(lost, r)
			time.Sleep(time.Duration(r.IntN(900)) * time.Millisecond)
			end()
			began := time.Now()
			require.Eventually(t, func() bool { return c.presentVoters() != nil }, catchUpTimeout, time.Millisecond, "seed %d round %d: %s %s: not replaced", seed, round, lost.name, name)
			t.Logf("seed %d round %d: %s %s: replaced after %v", seed, round, lost.name, name, time.Since(began).Round(time.Millisecond))
		}
		for round := range 4 {
			for i := range 3 {
				require.Equal(t, state.ClaimInProgress, c.claim(round, i, "second"), "seed %d: an acknowledged claim of round %d is lost", seed, round)
			}
		}
	}
}

// claim makes an attempt claim a key and returns the outcome that the leader acknowledges.
func (c *testCluster) claim(round, i int, attempt string) state.ClaimOutcome {
	c.t.Helper()
	var outcome state.ClaimOutcome
	require.Eventually(c.t, func() bool {
		outcome = c.claimAt(c.leader(), round, i, attempt)
		return outcome != 0
	}, conditionTimeout, time.Millisecond, "no claim is acknowledged")
	return outcome
}

// claimAt makes an attempt claim a key at a host and returns the outcome, 0 if none is acknowledged.
func (c *testCluster) claimAt(h *clusterHost, round, i int, attempt string) state.ClaimOutcome {
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	result, err := h.host.commands.Claim(ctx, state.Claim{Workspace: "w", Key: fmt.Sprintf("%d-%d", round, i), Attempt: attempt, Host: "h", Incarnation: 1, Deadline: 1 << 30})
	if err != nil {
		return 0
	}
	return result.Outcome
}
