package integration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/faultproxy"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// groupReport fetches the report of the stand-in that runs all ranks of the group.
func (s *system) groupReport() standin.GroupReport {
	resp, err := http.Get("http://" + s.Agents[0].Upstream.ListenAddress + "/group")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	var r standin.GroupReport
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&r))
	return r
}

// restartRank makes the stand-in engine of a rank lose its state, as a crash and restart does.
func (s *system) restartRank(rank int) {
	resp, err := http.Post(fmt.Sprintf("http://%s/ranks/%d/restart", s.Agents[0].Upstream.ListenAddress, rank), "", nil)
	require.NoError(s.t, err)
	_ = resp.Body.Close()
}

// All ranks must use the same expert map in every step. Expert popularity drifts, so that the map
// keeps changing, while agents are killed, frozen and cut off and engines restart at any point of a
// change. After each fault the group runs steps and changes its map again.
func TestRanksNeverMixExpertMaps(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{
		Control: 1, Entries: 2, GroupHosts: 4, RanksPerHost: 2, HasProxies: true,
		GroupArgs: []string{"--step", "5ms", "--drift-steps", "150", "--load-time", "100ms"},
	})
	s.await("a first change", func() bool { return s.groupReport().Maps > 1 })
	rng := rand.New(rand.NewPCG(7, 7))
	for round := range 12 {
		before := s.groupReport()
		h := s.Agents[rng.IntN(len(s.Agents))]
		fault := []string{"kill", "freeze", "cut", "engine", "armed", "slow"}[round%6]
		switch fault {
		case "kill":
			h.Kill()
			require.NoError(t, h.Start())
		case "freeze":
			h.Freeze()
			s.await("a while", s.afterPolls(30))
			h.Thaw()
		case "cut":
			s.Cut(h)
			s.await("a while", s.afterPolls(30))
			s.Heal(h)
		case "slow":
			// The planning host's orders reach the other hosts only after the step that they
			// name, while its own ranks get theirs at once.
			h = s.Agents[0]
			s.delayOrders()
			s.await("armed ranks", s.isAnyRankArmed)
			s.await("steps with late orders", func() bool { return s.groupReport().Steps > before.Steps+100 })
			s.healOrders()
		case "engine":
			s.restartRank(rng.IntN(8))
		case "armed":
			// The planning agent, which coordinates the change, is killed while ranks are armed.
			h = s.Agents[0]
			s.delayOrders()
			s.await("armed ranks", s.isAnyRankArmed)
			h.Kill()
			s.healOrders()
			require.NoError(t, h.Start())
		}
		s.await(fmt.Sprintf("steps and a change after %s of %s", fault, h.Name), func() bool {
			r := s.groupReport()
			require.Zero(t, r.MixedSteps, "steps with two maps after %s of %s", fault, h.Name)
			return r.Steps > before.Steps+50 && r.Maps > before.Maps
		})
	}
	t.Logf("%+v", s.groupReport())
}

// delayOrders delays what the planning host sends to the other hosts of the group, on connections
// that it has dialled and on those that the others have.
func (s *system) delayOrders() {
	delay := faultproxy.Fault{Delay: 300 * time.Millisecond}
	s.Inbound(s.Agents[0]).SetFault(faultproxy.Backward, delay)
	for _, h := range s.Agents[1:] {
		s.Inbound(h).SetFault(faultproxy.Forward, delay)
	}
}

// healOrders removes the delay that delayOrders has set.
func (s *system) healOrders() {
	for _, h := range s.Agents {
		s.Inbound(h).Heal()
	}
}

// isAnyRankArmed reports whether a rank is armed: it switches to a prepared map at a coming step.
func (s *system) isAnyRankArmed() bool {
	for _, armed := range s.groupReport().Armed {
		if armed {
			return true
		}
	}
	return false
}

// afterPolls returns a condition for await that is true when it is checked for the nth time. It
// makes a test wait for n poll intervals.
func (s *system) afterPolls(n int) func() bool {
	return func() bool {
		n--
		return n <= 0
	}
}
