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

// orderWatch notes every change of the order that engines have carried out.
type orderWatch struct {
	stop chan struct{}
	once sync.Once
	wg   sync.WaitGroup

	// mu guards orders, by stand-in, without repetitions.
	mu     sync.Mutex
	orders map[string][]agent.OrderReport
}

func (s *system) watchOrders() *orderWatch {
	w := &orderWatch{stop: make(chan struct{}), orders: make(map[string][]agent.OrderReport)}
	for _, h := range s.StandIns {
		w.wg.Go(func() {
			ticker := time.NewTicker(observeInterval)
			defer ticker.Stop()
			for {
				isLast := false
				select {
				case <-w.stop:
					// What came since the last look belongs to it too.
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

func (w *orderWatch) record(name string, o agent.OrderReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.orders[name]
	if len(list) == 0 || list[len(list)-1].Fence != o.Fence {
		w.orders[name] = append(list, o)
	}
}

func (w *orderWatch) stopAndWait() {
	w.once.Do(func() { close(w.stop) })
	w.wg.Wait()
}

// requireVersions ends the watch and fails where an engine carried out other orders
// than these, or in another order.
func (w *orderWatch) requireVersions(t *testing.T, want ...string) {
	t.Helper()
	w.stopAndWait()
	for name, list := range w.orders {
		var versions []string
		for i, o := range list {
			versions = append(versions, o.Version)
			require.True(t, i == 0 || o.Fence > list[i-1].Fence, "%s: fencing number fell: %+v", name, list)
		}
		require.Equal(t, want, versions, name)
	}
}

// awaitOrders waits until every engine has carried out n orders, the last one of
// this version, and fails where one has carried out more.
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

// A control host that was the leader never makes an engine go back: not by answers
// that it gives late, after it was frozen, and not to agents that know no fencing
// number since they have just started. It makes no difference whether the engine
// checks fencing numbers.
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
			w := s.watchOrders()
			s.awaitOrders(1, "v1")
			submit := func(version string, through ...*local.Host) {
				c := change{base: base, id: "change-to-" + version, text: document(version)}
				s.await(version, func() bool {
					r := s.put(through[0], c)
					base = r.revision
					return r.isAccepted()
				})
			}

			// The agents' questions lie in the frozen leader's queue; it answers late.
			old, rest := s.leaderAndOthers()
			old.Freeze()
			submit("v2", rest...)
			s.awaitOrders(2, "v2")
			old.Thaw()
			s.await("the old leader's catching up", func() bool { return s.acceptedRevision(old) == base })

			// The links hold the answers back; they come late, and after the next one.
			old, rest = s.leaderAndOthers()
			s.FreezeLinks(old)
			submit("v3", rest...)
			s.awaitOrders(3, "v3")
			s.Heal(old)
			s.await("the old leader's catching up", func() bool { return s.acceptedRevision(old) == base })

			// Agents that can't reach the leader have their orders through the others.
			old, rest = s.leaderAndOthers()
			s.setAgentLinks((*faultproxy.TCP).Cut, old)
			submit("v3-1", rest...)
			s.awaitOrders(4, "v3-1")
			s.setAgentLinks((*faultproxy.TCP).Heal, old)

			// The leader is cut off from the others but not from the agents, which start
			// anew and reach no other.
			old, rest = s.leaderAndOthers()
			s.setControlLinks(old, (*faultproxy.TCP).Cut)
			submit("v4", rest...)
			s.awaitOrders(5, "v4")
			s.restartAgentsReachingOnly(old, rest)
			s.awaitOrders(5, "v4")
			s.setAgentLinks((*faultproxy.TCP).Heal, rest...)
			// A new agent asks first, and passes the order in force on again.
			s.awaitOrders(6, "v4")
			s.setControlLinks(old, (*faultproxy.TCP).Heal)
			submit("v5", rest...)
			s.awaitOrders(7, "v5")
			w.requireVersions(t, "v1", "v2", "v3", "v3-1", "v4", "v5")
		})
	}
}

// leaderAndOthers returns the leader and the other control hosts.
func (s *system) leaderAndOthers() (leader *local.Host, rest []*local.Host) {
	s.t.Helper()
	leader = s.leader()
	return leader, slices.DeleteFunc(slices.Clone(s.Control), func(h *local.Host) bool { return h == leader })
}

// restartAgentsReachingOnly restarts the agents so that they reach one control host only, and
// waits until they have gone on for a while: until each has answered many requests.
func (s *system) restartAgentsReachingOnly(one *local.Host, rest []*local.Host) {
	s.t.Helper()
	for _, a := range s.Agents {
		a.Kill()
	}
	s.setAgentLinks((*faultproxy.TCP).Cut, rest...)
	for _, a := range s.Agents {
		require.NoError(s.t, a.Start())
	}
	before := make(map[*local.Host]int)
	for _, a := range s.Agents {
		before[a] = s.startedRequests(a)
	}
	s.await("answers of the new agents", func() bool {
		s.sendRequest(s.Entries[0], local.Completion("a while", 20, false))
		return !slices.ContainsFunc(s.Agents, func(a *local.Host) bool { return s.startedRequests(a) < before[a]+20 })
	})
}

// setAgentLinks sets a fault on the links from every agent to control hosts.
func (s *system) setAgentLinks(set func(*faultproxy.TCP), hosts ...*local.Host) {
	for _, a := range s.Agents {
		for _, h := range hosts {
			set(s.Link(a, h))
		}
	}
}
