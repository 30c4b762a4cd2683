package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// report sends the demand at an entry host to a control host.
func (th *testHost) report(t *testing.T, control *testHost, perSecond float64) {
	t.Helper()
	s, err := th.pool.Get(t.Context(), control.address)
	require.NoError(t, err)
	require.NoError(t, s.Post(&wire.Hosts{Demands: []wire.ServiceDemand{{Service: "s", PerSecond: perSecond}}}))
}

// awaitTotal waits until an entry host is told a total demand, and asserts the number of entry hosts
// that comes with it.
func (th *testHost) awaitTotal(t *testing.T, perSecond float64) {
	t.Helper()
	timeout := time.After(propagationTimeout)
	for {
		select {
		case m := <-th.received:
			hosts, ok := m.(*wire.Hosts)
			if !ok || len(hosts.Demands) == 0 || hosts.Demands[0].PerSecond != perSecond {
				continue
			}
			require.Equal(t, "s", hosts.Demands[0].Service)
			require.Positive(t, hosts.EntryHosts)
			return
		case <-timeout:
			t.Fatalf("no total of %g", perSecond)
		}
	}
}

// Guards against entry hosts that don't learn of the demand at others, and totals that go on counting a
// host that has left.
func TestEntryHostsAreToldTheDemandOfAll(t *testing.T) {
	var host *Host
	build := newControlHost(nil)
	control := startTestHost(t, "c1", func(th *testHost) *Host {
		host = build(th)
		return host
	})
	a, b := startTestHost(t, "e1", nil), startTestHost(t, "e2", nil)
	for _, th := range []*testHost{a, b} {
		s, err := th.pool.Get(t.Context(), control.address)
		require.NoError(t, err)
		require.NoError(t, s.Post(&wire.Attach{Role: roleEntry}))
	}
	send := func() {
		host.fleet.mu.Lock()
		defer host.fleet.mu.Unlock()
		host.fleet.sendDemands()
	}
	count := func() int {
		host.fleet.mu.Lock()
		defer host.fleet.mu.Unlock()
		return len(host.fleet.demands)
	}
	a.report(t, control, 10)
	b.report(t, control, 30)
	require.Eventually(t, func() bool { return count() == 2 }, propagationTimeout, time.Millisecond)
	send()
	a.awaitTotal(t, 40)
	b.awaitTotal(t, 40)
	b.pool.Close()
	require.Eventually(t, func() bool {
		send()
		return count() == 1
	}, propagationTimeout, time.Millisecond)
	a.awaitTotal(t, 10)
}
