package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// An agent or entry host that shuts down gracefully must complete its running streams. Resumption
// is turned off, so that a stream that breaks off can't be continued. If the agent did not wait in
// AwaitDrained before it stops, streams would break off.
func TestGracefulShutdownCutsNoStream(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{Control: 1, Entries: 3, Engines: 3, EngineArgs: []string{"--step", "10ms"}})
	out, err := s.Submit(s.ctx, strings.Replace(local.Document("v1"), "resumable = true", "resumable = false", 1))
	require.NoError(t, err, out)
	require.NoError(t, s.AwaitInForce(s.ctx))
	l := s.startLoad(24, 40, s.Entries...)
	s.await("answers", func() bool { return l.complete.Load() > 50 })
	s.shutDown(s.Agents[0])
	s.await("answers after an agent left", func() bool { return l.complete.Load() > 150 })
	s.shutDown(s.Entries[0])
	s.await("answers after an entry host left", func() bool { return l.complete.Load() > 250 })
	require.Empty(t, l.stopAndWait())
	require.Positive(t, l.notReady.Load(), "no caller noticed that the entry host stopped being ready")
}

// A draining upstream gets no new requests. Usually its announcement tells the entry hosts. If the
// hosts that own its directory record are frozen, the announcement does not spread, and the agent
// refuses requests itself; without that refusal, requests would start after the signal.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	t.Parallel()
	for name, isFrozen := range map[string]bool{"announced": false, "owners frozen": true} {
		t.Run(name, func(t *testing.T) {
			s := start(t, local.Layout{Control: 1, Entries: 4, Engines: 2, EngineArgs: []string{"--step", "10ms"}})
			draining := s.Agents[0]
			owners, others := s.owners(draining)
			// The agent does not exit while long streams are running.
			longResponses := make(chan local.Response, 4)
			for range cap(longResponses) {
				go func() { longResponses <- s.sendRequest(others[0], local.CompletionRequest("long", 800, true)) }()
			}
			s.await("the long streams", func() bool { return s.startedRequests(draining) >= 1 })
			l := s.startLoad(8, 4, others...)
			s.await("load on the upstream", func() bool { return s.startedRequests(draining) > 10 })
			if isFrozen {
				for _, h := range owners {
					h.Freeze()
				}
			}
			draining.Terminate()
			s.await("the refusal", func() bool { return strings.Contains(draining.Log(), "shutting down") })
			before := s.startedRequests(draining)
			completeBefore := l.complete.Load()
			s.await("load elsewhere", func() bool { return l.complete.Load() > completeBefore+200 })
			require.LessOrEqual(t, s.startedRequests(draining)-before, 8, "at most one request per caller was in flight at the signal")
			require.Empty(t, l.stopAndWait())
			for range cap(longResponses) {
				a := <-longResponses
				require.NoError(t, a.Err)
				require.Equal(t, strings.Join(standin.Stream("long", 800), ""), a.Body)
			}
		})
	}
}

// owners splits the entry hosts into those that own an agent's directory record and the others.
func (s *system) owners(agent *local.Host) (owners, others []*local.Host) {
	byAddress := make(map[string]*local.Host)
	var hosts []directory.Host
	for _, e := range s.Entries {
		byAddress[e.PeerAddress] = e
		hosts = append(hosts, directory.Host{Name: e.PeerAddress, Address: e.PeerAddress})
	}
	for i, h := range directory.Owners(hosts, agent.Name) {
		if i < directory.OwnersPerUpstream {
			owners = append(owners, byAddress[h.Address])
			continue
		}
		others = append(others, byAddress[h.Address])
	}
	return owners, others
}

// startedRequests returns how many executions the stand-in behind an agent has started.
func (s *system) startedRequests(agent *local.Host) int {
	r, err := local.Executions(s.ctx, agent.Upstream)
	require.NoError(s.t, err)
	n := 0
	for _, e := range r.ByRequest {
		n += e.Started
	}
	return n
}

// A leader that shuts down transfers its leadership, so no booking breaks off. None is refused
// either, since the transfer takes less time than hosts wait for a leader. Without the transfer,
// bookings would be refused until the next election.
func TestLeaderShutdownFailsNoBooking(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{Control: 3, Entries: 2, Engines: 1, Services: 1})
	leader := s.leader()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	booked := 0
	var bad []string
	for c := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				a := s.sendRequest(s.Entries[c%2], local.BookingRequest(fmt.Sprintf("caller-%d-%d", c, n), "Elena"))
				mu.Lock()
				switch {
				case a.Status == http.StatusCreated:
					booked++
				default:
					bad = append(bad, fmt.Sprintf("%d %s %v %s", a.Status, a.Verdict, a.Err, a.Body))
				}
				mu.Unlock()
			}
		}()
	}
	bookedCount := func() int {
		mu.Lock()
		defer mu.Unlock()
		return booked
	}
	s.await("bookings", func() bool { return bookedCount() > 50 })
	s.shutDown(leader)
	bookedBefore := bookedCount()
	s.await("bookings under the next leader", func() bool { return bookedCount() > bookedBefore+50 })
	close(stop)
	wg.Wait()
	require.Empty(t, bad)
	t.Logf("%d booked", booked)
	r, err := local.Executions(s.ctx, s.Agents[1].Upstream)
	require.NoError(t, err)
	for key, e := range r.ByKey {
		require.LessOrEqual(t, e.Started, 1, key)
	}
}
