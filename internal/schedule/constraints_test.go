package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// newRegionCluster returns a cluster with one group of two ranks in the region "north" and one in
// "south".
func newRegionCluster() *testCluster {
	l := newTestCluster(2, 2, 1)
	l.Scheduler = New(Config{
		DataCentre: "n", DataCentreRegions: map[string]string{"n": "north", "s": "south"},
		RetryBudget: retrybudget.Params{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
		Random:      rand.New(rand.NewPCG(1, 2)), StartupUntil: 1500 * time.Millisecond,
	})
	l.announceIn("s")
	return l
}

// announceIn tells the scheduler about all upstreams; the second group is in the given data centre.
func (l *testCluster) announceIn(second string) []Result {
	var all []registry.Upstream
	for _, id := range l.ids {
		u := registry.Upstream{ID: id, Address: id, Service: "s", Slots: 4, DataCentre: "n"}
		if id[0] == '1' {
			u.DataCentre = second
		}
		all = append(all, u)
	}
	return l.SetUpstreams(map[string][]registry.Upstream{"s": all}, l.now)
}

func (l *testCluster) requestIn(regions ...string) *Request {
	r := l.onTimeRequest()
	r.Regions = regions
	return r
}

// Guards against a request leaving its regions on its first attempt, after a wait, when it is
// resumed, or at a plain service.
func TestRequestStaysInItsRegions(t *testing.T) {
	l := newRegionCluster()
	l.reportLoads(0)
	south := Constraints{Regions: routetable.Regions{"south"}}
	for range 20 {
		r := l.requestIn("south")
		r.IsResumed = true
		d := l.Admit(r, l.now)
		require.NotNil(t, d.Ticket)
		require.Equal(t, "s", d.Upstream.DataCentre)
		l.Release(d.Ticket, Neutral, l.now)
		u, ticket, ok := l.ReserveLeastLoaded("s", &south, l.now)
		require.True(t, ok)
		require.Equal(t, "s", u.DataCentre)
		l.Release(ticket, Neutral, l.now)
	}
	admitted := 0
	for d := l.Admit(l.requestIn("south"), l.now); d.Ticket != nil; d = l.Admit(l.requestIn("south"), l.now) {
		require.Equal(t, "s", d.Upstream.DataCentre)
		admitted++
	}
	require.Equal(t, 8, admitted)
	d := l.Admit(l.requestIn(), l.now)
	require.NotNil(t, d.Ticket, "a request that waits for the south does not hold up one that may run in the north")
	require.Equal(t, "n", d.Upstream.DataCentre)
	d = l.Admit(l.requestIn("north"), l.now)
	require.NotNil(t, d.Ticket)
	require.Equal(t, "n", d.Upstream.DataCentre)
	results, _ := l.report("1/0", func(load *wire.EngineLoad) { load.Running = 0 })
	for _, r := range results {
		require.Nil(t, r.Ticket, "no slot in the south is free")
	}
}

// Guards against a queue whose first request waits for a region without free slots and which
// therefore stands still.
func TestWaiterOfFullRegionDoesNotHoldUpOthers(t *testing.T) {
	l := newRegionCluster()
	l.setLoads(4)
	l.report("", nil)
	first, second := l.Admit(l.requestIn("south"), l.now), l.Admit(l.requestIn("north"), l.now)
	require.NotNil(t, first.Waiter)
	require.NotNil(t, second.Waiter)
	results, _ := l.report("0/0", func(load *wire.EngineLoad) { load.Running = 3 })
	require.Len(t, results, 1)
	require.Same(t, second.Waiter, results[0].Waiter)
	require.Equal(t, "0/0", results[0].Upstream.ID)
	results, _ = l.report("1/1", func(load *wire.EngineLoad) { load.Running = 3 })
	require.Len(t, results, 1)
	require.Same(t, first.Waiter, results[0].Waiter)
	require.Equal(t, "1/1", results[0].Upstream.ID)
}

// Guards against a request waiting until its caller gives up although no upstream may take it,
// from the start or since the upstreams have changed.
func TestRequestWithoutRegionIsRefusedAtOnce(t *testing.T) {
	l := newRegionCluster()
	l.reportLoads(4)
	for _, regions := range []routetable.Regions{{"west"}, {}} {
		r := l.onTimeRequest()
		r.Regions = regions
		d := l.Admit(r, l.now)
		require.Nil(t, d.Waiter)
		require.Equal(t, NoRegion, d.Reason)
		require.Positive(t, d.RetryAfter)
		require.True(t, l.HasNoRegion("s", &Constraints{Regions: regions}, l.now))
	}
	d := l.Admit(l.requestIn("south"), l.now)
	require.NotNil(t, d.Waiter)
	l.announceIn("unknown")
	results, _ := l.report("", nil)
	require.Len(t, results, 1)
	require.Equal(t, NoRegion, results[0].Reason)
}

// Guards against a request being sent to a group in its region that does not serve, or waiting for
// it, because the group of another region serves.
func TestOutageOfRegionIsOutageForItsRequests(t *testing.T) {
	l := newRegionCluster()
	for id, load := range l.loads {
		load.IsOpen = id[0] == '0'
		l.loads[id] = load
	}
	l.report("", nil)
	d := l.Admit(l.requestIn("south"), l.now)
	require.Equal(t, Outage, d.Reason)
	require.NotNil(t, l.Admit(l.requestIn("north"), l.now).Ticket)
}

// Guards against cutting a stream by moving it away from a slow engine when no other engine may
// continue it.
func TestStreamIsNotMovedOutOfItsRegion(t *testing.T) {
	for _, regions := range [][]string{nil, {"south"}} {
		l := newRegionCluster()
		l.engine.Experts.WorkShare = 0.85
		l.reportLoads(0)
		d := l.Admit(l.requestIn(regions...), l.now)
		l.AllowMove(d.Ticket, l.now+time.Hour)
		isSouth := d.Upstream.DataCentre == "s"
		for id, load := range l.loads {
			load.Slowdown = 1
			if (id[0] == '1') == isSouth {
				load.Slowdown = 20
			}
			l.loads[id] = load
		}
		l.report("", nil)
		require.Len(t, l.TakeMoves(l.now), map[bool]int{true: 1, false: 0}[regions == nil])
	}
}
