package integration

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
	"github.com/sassafraspost/sassafraspost/test/local"
)

// orderWatch polls the stand-in engines and records each order that they have carried out. An order
// tells an engine which model version to serve.
type orderWatch struct {
	stop chan struct{}
	once sync.Once
	wg   sync.WaitGroup

	// mu guards orders, which has the orders of each stand-in by its name. An order that an
	// engine gets again under the same fencing token is recorded once.
	mu     sync.Mutex
	orders map[string][]agent.EngineOrder
}

func (s *system) watchOrders() *orderWatch {
	w := &orderWatch{stop: make(chan struct{}), orders: make(map[string][]agent.EngineOrder)}
	for _, h := range s.StandIns {
		w.wg.Go(func() {
			ticker := time.NewTicker(observeInterval)
			defer ticker.Stop()
			for {
				isLast := false
				select {
				case <-w.stop:
					// Polls once more, for orders since the last poll.
					isLast = true
				case <-ticker.C:
				}
				if r, err := local.Executions(s.ctx, h); err == nil && r.Orders > 0 {
					w.record(h.Name, r.Order)
				}
				if isLast {
					return
				}
			}
		})
	}
	s.t.Cleanup(w.stopAndWait)
	return w
}

func (w *orderWatch) record(name string, o agent.EngineOrder) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.orders[name]
	if len(list) == 0 || list[len(list)-1].FencingToken != o.FencingToken {
		w.orders[name] = append(list, o)
	}
}

func (w *orderWatch) stopAndWait() {
	w.once.Do(func() { close(w.stop) })
	w.wg.Wait()
}

// requireVersions stops the watch. It fails the test unless every engine carried out orders for
// exactly these versions, in this sequence.
func (w *orderWatch) requireVersions(t *testing.T, want ...string) {
	t.Helper()
	w.stopAndWait()
	for name, list := range w.orders {
		var versions []string
		for i, o := range list {
			versions = append(versions, o.Version)
			require.True(t, i == 0 || o.FencingToken > list[i-1].FencingToken, "%s: fencing token did not increase: %+v", name, list)
		}
		require.Equal(t, want, versions, name)
	}
}

// awaitOrders waits until every engine has carried out n orders, the last one for this version. It
// fails the test if an engine has carried out more.
func (s *system) awaitOrders(n int, version string) {
	s.t.Helper()
	for _, h := range s.StandIns {
		var orders int
		s.await(fmt.Sprintf("order %d, of version %s, at %s", n, version, h.Name), func() bool {
			r, err := local.Executions(s.ctx, h)
			orders = r.Orders
			return err == nil && r.Orders >= n && r.Order.Version == version
		})
		require.Equal(s.t, n, orders, h.Name)
	}
}

// A control host that is no longer the leader must not make an engine return to an old model
// version: neither by answers that it sends late, after it was frozen, nor through agents that have
// just started and know no fencing token yet. This holds whether or not the engine itself checks
// fencing tokens.
func TestStaleLeadersOrdersAreNotCarriedOut(t *testing.T) {
	for name, args := range map[string][]string{"engines check fencing": {"--checks-fencing"}, "engines ignore fencing": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startEmpty(t, local.Layout{Control: 3, Entries: 1, Engines: 2, EngineArgs: args, HasProxies: true})
			document := func(version string) string {
				return strings.Replace(local.Document(version), "checks-fencing = true", fmt.Sprintf("checks-fencing = %t", args != nil), 1)
			}
			require.NoError(t, s.Bootstrap(s.ctx))
			base := s.mustPut(change{id: "change-first", text: document("v1")})
			watch := s.watchOrders()
			s.awaitOrders(1, "v1")
			submit := func(version string, hosts ...*local.Host) {
				c := change{base: base, id: "change-to-" + version, text: document(version)}
				s.await(version, func() bool {
					r := s.put(hosts[0], c)
					base = r.revision
					return r.isAccepted()
				})
			}

			// The frozen leader has received the agents' order queries but answers them only after
			// the thaw.
			oldLeader, others := s.leaderAndOthers()
			oldLeader.Freeze()
			submit("v2", others...)
			s.awaitOrders(2, "v2")
			oldLeader.Thaw()
			s.await("the old leader's catching up", func() bool { return s.acceptedRevision(oldLeader) == base })

			// The frozen links deliver the old leader's answers only after the new leader's order.
			oldLeader, others = s.leaderAndOthers()
			s.FreezeLinks(oldLeader)
			submit("v3", others...)
			s.awaitOrders(3, "v3")
			s.Heal(oldLeader)
			s.await("the old leader's catching up", func() bool { return s.acceptedRevision(oldLeader) == base })

			// Agents that can't reach the leader get their orders through the other control hosts.
			oldLeader, others = s.leaderAndOthers()
			s.setAgentLinks((*faultproxy.TCP).Cut, oldLeader)
			submit("v3-1", others...)
			s.awaitOrders(4, "v3-1")
			s.setAgentLinks((*faultproxy.TCP).Heal, oldLeader)

			// The leader is cut off from the other control hosts. The agents restart and reach only
			// this leader.
			oldLeader, others = s.leaderAndOthers()
			s.setControlLinks(oldLeader, (*faultproxy.TCP).Cut)
			submit("v4", others...)
			s.awaitOrders(5, "v4")
			s.restartAgentsReachingOnly(oldLeader, others)
			s.awaitOrders(5, "v4")
			s.setAgentLinks((*faultproxy.TCP).Heal, others...)
			// A restarted agent queries the order in force and sends it to its engine once more.
			s.awaitOrders(6, "v4")
			s.setControlLinks(oldLeader, (*faultproxy.TCP).Heal)
			submit("v5", others...)
			s.awaitOrders(7, "v5")
			watch.requireVersions(t, "v1", "v2", "v3", "v3-1", "v4", "v5")
		})
	}
}

// leaderAndOthers returns the leader and the other control hosts.
func (s *system) leaderAndOthers() (leader *local.Host, others []*local.Host) {
	s.t.Helper()
	leader = s.leader()
	return leader, slices.DeleteFunc(slices.Clone(s.Control), func(h *local.Host) bool { return h == leader })
}

// restartAgentsReachingOnly restarts the agents with links to one control host only, and waits
// until each has served 20 requests, which gives them time to carry out a wrong order.
func (s *system) restartAgentsReachingOnly(reachable *local.Host, others []*local.Host) {
	s.t.Helper()
	for _, a := range s.Agents {
		a.Kill()
	}
	s.setAgentLinks((*faultproxy.TCP).Cut, others...)
	for _, a := range s.Agents {
		require.NoError(s.t, a.Start())
	}
	before := make(map[*local.Host]int)
	for _, a := range s.Agents {
		before[a] = s.startedRequests(a)
	}
	s.await("answers of the new agents", func() bool {
		s.sendRequest(s.Entries[0], local.CompletionRequest("a while", 20, false))
		return !slices.ContainsFunc(s.Agents, func(a *local.Host) bool { return s.startedRequests(a) < before[a]+20 })
	})
}

// setAgentLinks applies set to the proxies on the links from every agent to the control hosts.
func (s *system) setAgentLinks(set func(*faultproxy.TCP), hosts ...*local.Host) {
	for _, a := range s.Agents {
		for _, h := range hosts {
			set(s.Link(a, h))
		}
	}
}
