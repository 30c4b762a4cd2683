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

// group returns what the stand-in ranks have done.
func (s *system) group() standin.GroupReport {
	resp, err := http.Get("http://" + s.Agents[0].Upstream.Listen + "/group")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	var r standin.GroupReport
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&r))
	return r
}

// restartRank makes the engine of a rank lose what it knew.
func (s *system) restartRank(rank int) {
	resp, err := http.Post(fmt.Sprintf("http://%s/ranks/%d/restart", s.Agents[0].Upstream.Listen, rank), "", nil)
	require.NoError(s.t, err)
	_ = resp.Body.Close()
}

// In every step all ranks use one map, while the map changes with the experts'
// popularity and agents are killed, frozen and cut off, and engines restart, at any
// moment of a change. The group goes on after each fault.
func TestRanksNeverMixExpertMaps(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{
		Control: 1, Entries: 2, GroupHosts: 4, RanksPerHost: 2, HasProxies: true,
		GroupArgs: []string{"--step", "5ms", "--drift-steps", "150", "--load-time", "100ms"},
	})
	s.await("a first change", func() bool { return s.group().Maps > 1 })
	rng := rand.New(rand.NewPCG(7, 7))
	for round := range 12 {
		before := s.group()
		h := s.Agents[rng.IntN(len(s.Agents))]
		fault := []string{"kill", "freeze", "cut", "engine", "armed", "slow"}[round%6]
		switch fault {
		case "kill":
			h.Kill()
			require.NoError(t, h.Start())
		case "freeze":
			h.Freeze()
			s.await("a while", s.passes(30))
			h.Thaw()
		case "cut":
			s.Cut(h)
			s.await("a while", s.passes(30))
			s.Heal(h)
		case "slow":
			// Orders of the planning host to the others come after the step that they name;
			// its own ranks get theirs at once.
			h = s.Agents[0]
			s.delayOrders()
			s.await("armed ranks", s.isArmed)
			s.await("steps with late orders", func() bool { return s.group().Steps > before.Steps+100 })
			s.healOrders()
		case "engine":
			s.restartRank(rng.IntN(8))
		case "armed":
			// The planning agent, which coordinates, dies with its ranks armed.
			h = s.Agents[0]
			s.delayOrders()
			s.await("armed ranks", s.isArmed)
			h.Kill()
			s.healOrders()
			require.NoError(t, h.Start())
		}
		s.await(fmt.Sprintf("steps and a change after %s of %s", fault, h.Name), func() bool {
			r := s.group()
			require.Zero(t, r.MixedSteps, "steps with two maps after %s of %s", fault, h.Name)
			return r.Steps > before.Steps+50 && r.Maps > before.Maps
		})
	}
	t.Logf("%+v", s.group())
}

// delayOrders delays what the planning host sends to the other hosts of the group, whichever
// of the two has dialled.
func (s *system) delayOrders() {
	late := faultproxy.Fault{Delay: 300 * time.Millisecond}
	s.Inbound(s.Agents[0]).SetFault(faultproxy.Backward, late)
	for _, h := range s.Agents[1:] {
		s.Inbound(h).SetFault(faultproxy.Forward, late)
	}
}

// healOrders lifts the delay of delayOrders.
func (s *system) healOrders() {
	for _, h := range s.Agents {
		s.Inbound(h).Heal()
	}
}

func (s *system) isArmed() bool {
	for _, armed := range s.group().Armed {
		if armed {
			return true
		}
	}
	return false
}

// passes returns a condition that holds after n looks.
func (s *system) passes(n int) func() bool {
	return func() bool {
		n--
		return n <= 0
	}
}
