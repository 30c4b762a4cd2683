package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// testEngine holds the parameters of an engine without groups. An average request takes 0.8 s
// there: 26 passes of 30 ms.
var testEngine = &routetable.Engine{
	Slots: 4, StepTime: 5 * time.Millisecond, StepTimePerRequest: 250 * time.Microsecond, StepsPerPass: 5, MeanPromptTokens: 100, MeanAnswerTokens: 130, PrefillRate: 10_000,
}

// groupedEngine returns the parameters of testEngine for engines that are ranks of a group.
func groupedEngine() *routetable.Engine {
	e := *testEngine
	e.Experts = routetable.Experts{LayerSetCount: 1, ExpertsPerSet: 8, Slots: 2}
	return &e
}

// testCluster is a scheduler with the engines of a service "s". It is past its start-up phase.
type testCluster struct {
	*Scheduler
	now    time.Duration
	engine *routetable.Engine
	ids    []string
	loads  map[string]wire.EngineLoad
}

// newTestCluster returns a cluster with groups of the given number of ranks. "0/0" is the first
// rank of the first group.
func newTestCluster(groups, size, hosts int) *testCluster {
	l := &testCluster{
		Scheduler: New(Config{
			DataCentre: "near", RetryBudget: retrybudget.Params{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
			Random: rand.New(rand.NewPCG(1, 2)), StartupUntil: 1500 * time.Millisecond,
		}),
		now: time.Hour, engine: groupedEngine(), loads: map[string]wire.EngineLoad{},
	}
	for g := range groups {
		for r := range size {
			id := fmt.Sprintf("%d/%d", g, r)
			l.ids = append(l.ids, id)
			l.loads[id] = wire.EngineLoad{Address: id, IsOpen: true, Group: fmt.Sprint(g), Epoch: 1}
		}
	}
	l.SetHostCount(hosts, 0)
	l.announce(0)
	return l
}

// announce tells the scheduler about all upstreams, with the given start time.
func (l *testCluster) announce(born int64) []Result {
	var all []registry.Upstream
	for _, id := range l.ids {
		all = append(all, registry.Upstream{ID: id, Address: id, Service: "s", Slots: 4, StartedAt: born})
	}
	return l.SetUpstreams(map[string][]registry.Upstream{"s": all}, l.now)
}

// stockRetries makes the retries available of which the control hosts would grant some, and that were not
// taken yet.
func (l *testCluster) stockRetries() {
	sv := l.service("s")
	sv.budget = retrybudget.Budget{}
	l.AddRetries("s", int(l.cfg.RetryBudget.Extra)-sv.retries.taken, l.now, 0, l.now)
}

// report changes the load of one engine and then reports the loads of all engines.
func (l *testCluster) report(id string, change func(*wire.EngineLoad)) ([]Result, []StalledAttempt) {
	l.stockRetries()
	if change != nil {
		load := l.loads[id]
		change(&load)
		l.loads[id] = load
	}
	var all []wire.EngineLoad
	for _, id := range l.ids {
		if load, ok := l.loads[id]; ok {
			all = append(all, load)
		}
	}
	return l.SetLoads(all, l.now)
}

// reportLoads reports that each engine has n requests.
func (l *testCluster) reportLoads(n int) ([]Result, []StalledAttempt) {
	l.setLoads(n)
	return l.report("", nil)
}

// setLoads gives each engine n requests without reporting them.
func (l *testCluster) setLoads(n int) {
	for id, load := range l.loads {
		load.Running = n
		l.loads[id] = load
	}
}

// onTimeRequest returns a request that can be on time if its first event is sent within 400 ms.
func (l *testCluster) onTimeRequest() *Request {
	return &Request{Service: "s", Engine: l.engine, OnTimeUntil: l.now + 400*time.Millisecond, CanRetry: true}
}

// lateRequest returns a request that can no longer be on time and whose caller has no retry
// left.
func (l *testCluster) lateRequest() *Request {
	r := l.onTimeRequest()
	r.OnTimeUntil, r.CanRetry = l.now, false
	return r
}

// admitUntilFull admits requests until no slot is free, and counts them by upstream.
func (l *testCluster) admitUntilFull() map[string]int {
	out := map[string]int{}
	for {
		d := l.Admit(l.onTimeRequest(), l.now)
		if d.Ticket == nil {
			return out
		}
		out[d.Ticket.ID()]++
	}
}

func TestPlainServicePicksLeastLoadedUnsuspectedUpstream(t *testing.T) {
	l := newTestCluster(1, 3, 1)
	l.loads = map[string]wire.EngineLoad{}
	counts := map[string]int{}
	var tickets []*Ticket
	for range 9 {
		_, ticket, ok := l.ReserveLeastLoaded("s", nil, l.now)
		require.True(t, ok)
		counts[ticket.ID()]++
		tickets = append(tickets, ticket)
	}
	require.Equal(t, map[string]int{"0/0": 3, "0/1": 3, "0/2": 3}, counts)
	u, _, _ := l.ReserveLeastLoaded("s", &Constraints{Tried: []string{"0/0", "0/1"}}, l.now)
	require.Equal(t, "0/2", u.ID)
	_, _, ok := l.ReserveLeastLoaded("s", &Constraints{Tried: l.ids}, l.now)
	require.False(t, ok, "all were tried")
	for _, ticket := range tickets {
		if ticket.ID() == "0/0" {
			l.Release(ticket, Failure, l.now)
		}
	}
	for range 20 {
		u, ticket, _ := l.ReserveLeastLoaded("s", nil, l.now)
		require.NotEqual(t, "0/0", u.ID, "it is suspected")
		l.Release(ticket, Neutral, l.now)
	}
	u, _, _ = l.ReserveLeastLoaded("s", &Constraints{Tried: []string{"0/1", "0/2"}}, l.now)
	require.Equal(t, "0/0", u.ID, "a suspect is better than none")
	u, _, _ = l.ReserveLeastLoaded("s", &Constraints{Tried: []string{"0/1", "0/2"}}, l.now+suspectDuration)
	require.Equal(t, "0/0", u.ID)
}

// Load pattern: a network cut breaks one of two groups. Requests sent into a broken group would
// fail. From the first report of one of its ranks nothing may be sent there, and the other
// group is used up to its limit. The broken group is used again after the first report of its
// new epoch.
func TestNoRequestGoesToBrokenGroup(t *testing.T) {
	l := newTestCluster(2, 4, 1)
	l.report("0/2", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Equal(t, map[string]int{"1/0": 4, "1/1": 4, "1/2": 4, "1/3": 4}, l.admitUntilFull())
	l.report("0/3", func(load *wire.EngineLoad) { load.Epoch = 2 })
	used := l.admitUntilFull()
	require.Equal(t, 4, used["0/0"], "all ranks of the group serve again")
	require.Zero(t, used["1/0"])
}

// After a group has formed again, a delayed report from its previous epoch must not close it.
func TestReportsFromEarlierEpochAreIgnored(t *testing.T) {
	l := newTestCluster(1, 2, 1)
	l.report("0/0", func(load *wire.EngineLoad) { load.Epoch = 2 })
	l.report("0/1", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.NotNil(t, l.Admit(l.onTimeRequest(), l.now).Ticket)
	l.report("0/1", func(load *wire.EngineLoad) { load.Epoch = 2 })
	require.Equal(t, Outage, l.Admit(l.onTimeRequest(), l.now).Reason)
}

// Load pattern: a host in a data centre that is cut off receives reports only from ranks in
// that data centre. A group on the other side of the cut can't be reached and must not be used.
func TestGroupWithoutRecentReportsIsNotUsed(t *testing.T) {
	l := newTestCluster(2, 2, 1)
	l.report("", nil)
	l.now += maxReportAge + time.Millisecond
	delete(l.loads, "1/0")
	delete(l.loads, "1/1")
	l.report("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	d := l.Admit(l.onTimeRequest(), l.now)
	require.Equal(t, Outage, d.Reason)
	require.Positive(t, d.RetryAfter)
	l.now += 2 * maxReportAge
	require.NotNil(t, l.Admit(l.onTimeRequest(), l.now).Ticket, "without any reports the groups are not judged")
}

// An engine whose reports are missing while those of most others arrive is probably on a frozen
// host. A request sent there would not be read before its caller has left.
func TestEngineWithMissingReportsGetsNoRequests(t *testing.T) {
	l := newTestCluster(1, 4, 1)
	l.report("", nil)
	l.now += maxTrustedAge
	missing := l.loads["0/1"]
	delete(l.loads, "0/1")
	l.report("", nil)
	require.Equal(t, map[string]int{"0/0": 4, "0/2": 4, "0/3": 4}, l.admitUntilFull())
	l.loads["0/1"] = missing
	l.reportLoads(0)
	require.Positive(t, l.admitUntilFull()["0/1"])
}

// All ranks of a group wait for the slowest in every pass, so a slow rank must get fewer
// requests or none. If all ranks are equally slow, none counts as slow.
func TestSlowEngineGetsFewerRequests(t *testing.T) {
	admitted := func(slow, fast float64) map[string]int {
		l := newTestCluster(1, 2, 1)
		l.engine.Slots, l.engine.StepTimePerRequest = 10, 500*time.Microsecond
		l.report("0/0", func(load *wire.EngineLoad) { load.Slowdown = slow })
		l.report("0/1", func(load *wire.EngineLoad) { load.Slowdown = fast })
		return l.admitUntilFull()
	}
	require.Equal(t, map[string]int{"0/0": 10, "0/1": 10}, admitted(1, 1))
	require.Equal(t, map[string]int{"0/0": 2, "0/1": 10}, admitted(1.6, 1))
	require.Equal(t, map[string]int{"0/1": 10}, admitted(12, 1))
	require.Equal(t, map[string]int{"0/0": 10, "0/1": 10}, admitted(12, 12))
	require.Equal(t, map[string]int{"0/0": 10, "0/1": 10}, admitted(0, 0), "step times are unknown")
}

// Load pattern: many hosts see the same load reports, which are slightly old. If each of them
// chose the least loaded engine, together they would overload it and leave the others idle.
func TestManyHostsDoNotAllChooseTheSameEngine(t *testing.T) {
	const hosts, size = 42, 64
	total := make(map[string]int)
	for h := range hosts {
		l := newTestCluster(1, size, hosts)
		l.cfg.Random = rand.New(rand.NewPCG(uint64(h), 7))
		l.engine.Slots = 10
		for i, id := range l.ids {
			load := l.loads[id]
			load.Running = 3
			if i == 0 {
				load.Running = 2
			}
			l.loads[id] = load
		}
		l.report("", nil)
		// Each host has admitted eight requests per second during the last two seconds.
		for range 16 {
			l.service("s").demand.admissions.add(l.now)
			l.now += 125 * time.Millisecond
		}
		l.report("", nil)
		d := l.Admit(l.onTimeRequest(), l.now)
		total[d.Ticket.ID()]++
	}
	require.Less(t, total["0/0"], 8, "42 hosts, one request each")
	require.Greater(t, len(total), 15)
}

func TestSingleHostChoosesLeastLoadedEngine(t *testing.T) {
	l := newTestCluster(1, 8, 1)
	l.reportLoads(3)
	l.report("0/5", func(load *wire.EngineLoad) { load.Running = 1 })
	require.Equal(t, "0/5", l.Admit(l.onTimeRequest(), l.now).Ticket.ID())
}

func TestWaiterGetsReleasedSlot(t *testing.T) {
	l := newTestCluster(1, 1, 1)
	l.reportLoads(3)
	first := l.Admit(l.onTimeRequest(), l.now)
	require.NotNil(t, first.Ticket)
	second := l.Admit(l.onTimeRequest(), l.now)
	require.NotNil(t, second.Waiter)
	results, _ := l.Release(first.Ticket, Success, l.now)
	require.Len(t, results, 1)
	require.Equal(t, second.Waiter, results[0].Waiter)
	require.NotNil(t, results[0].Ticket)
	results, _ = l.Release(first.Ticket, Success, l.now)
	require.Empty(t, results, "a ticket can be released only once")
}

func TestAbandonedWaiterIsNotAdmitted(t *testing.T) {
	l := newTestCluster(1, 1, 1)
	l.reportLoads(4)
	d := l.Admit(l.onTimeRequest(), l.now)
	require.Equal(t, NoCapacity, l.Abandon(d.Waiter, l.now).Reason)
	results, _ := l.reportLoads(0)
	require.Empty(t, results)
}

// Load pattern: after an outage, callers who were refused return together with new ones. A late
// answer is worth less than one on time. If late requests took all slots, the new requests
// would become late too.
func TestLateRequestsGetCapacityLeftByOnTimeRequests(t *testing.T) {
	l := newTestCluster(1, 8, 1)
	l.reportLoads(0)
	// 30 requests per second that take 0.8 s each need 24 of 32 slots.
	for range 64 {
		l.service("s").demand.onTimeArrivals.add(l.now)
		l.now += rateWindow / 64
	}
	l.service("s").demand.serviceTime = ServiceTime(l.engine, 4)
	l.reportLoads(0)
	admitted := 0
	for range 40 {
		if d := l.Admit(l.lateRequest(), l.now); d.Ticket != nil {
			admitted++
		}
	}
	require.Greater(t, admitted, 4, "there is capacity beside requests on time")
	require.Less(t, admitted, 24, "late requests do not get all capacity")
	require.NotNil(t, l.Admit(l.onTimeRequest(), l.now).Ticket, "one that can be on time does not wait behind them")
}

// outageOf puts the only group out of service for the given time.
func (l *testCluster) outageOf(length time.Duration) {
	l.report("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	for range 10 {
		l.now += length / 10
		l.report("", nil)
	}
	l.report("0/0", func(load *wire.EngineLoad) { load.IsOpen = true })
}

// Load pattern: an outage has ended, and callers that were refused in it return together with
// new ones. Refused again they are lost, while a new caller can still try again, so they go
// before new callers that came after them. Only an outage has this effect, and only for a while:
// in an overload that lasts, nobody would be served on time.
func TestCallersRefusedInOutageAreServedAfterIt(t *testing.T) {
	for name, c := range map[string]struct {
		outage, since time.Duration
		isServed      bool
	}{
		"just after an outage":     {5 * time.Second, 100 * time.Millisecond, true},
		"long after an outage":     {5 * time.Second, recoveryPeriod + time.Millisecond, false},
		"after a short standstill": {minOutage / 2, 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestCluster(1, 2, 1)
			l.reportLoads(0)
			l.outageOf(c.outage)
			l.now += c.since
			l.reportLoads(4)
			returned, fresh := l.Admit(l.lateRequest(), l.now), l.Admit(l.onTimeRequest(), l.now+time.Millisecond)
			require.NotNil(t, returned.Waiter)
			require.NotNil(t, fresh.Waiter)
			waiters := l.service("s").waiters
			require.Equal(t, c.isServed, waiters[l.nextAdmissible(l.service("s"), l.now)] == returned.Waiter)
		})
	}
}

// A request that would wait in vain must be refused at once, so that its caller can use the
// time otherwise.
func TestRequestThatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	l := newTestCluster(1, 1, 1)
	l.service("s").demand.serviceTime = 10 * time.Second
	for range 20 {
		l.service("s").demand.onTimeArrivals.add(l.now)
	}
	l.reportLoads(4)
	d := l.Admit(l.lateRequest(), l.now)
	require.Equal(t, NoCapacity, d.Reason)
	require.Positive(t, d.RetryAfter)
	resumed := l.lateRequest()
	resumed.IsResumed = true
	require.NotEqual(t, Outage, l.Admit(resumed, l.now).Reason)
}

// A queued request that can no longer be on time must be refused at the next load report, if it
// would wait in vain.
func TestWaiterThatCanNoLongerBeServedInTimeIsRefused(t *testing.T) {
	l := newTestCluster(1, 4, 1)
	l.reportLoads(4)
	d := l.Admit(l.onTimeRequest(), l.now)
	require.NotNil(t, d.Waiter)
	for range 40 {
		l.service("s").demand.onTimeArrivals.add(l.now)
	}
	l.service("s").demand.serviceTime = 2 * time.Second
	results, _ := l.reportLoads(4)
	require.Empty(t, results, "it can still be on time")
	l.now += 400 * time.Millisecond
	results, _ = l.reportLoads(4)
	require.Len(t, results, 1)
	require.Equal(t, NoCapacity, results[0].Reason)
}

// Measured times to the first event must replace the estimate from the engine's parameters.
// Otherwise a request would count as on time for longer than it is.
func TestTimeToFirstEventIsLearned(t *testing.T) {
	l := newTestCluster(1, 1, 1)
	l.reportLoads(0)
	service := l.service("s")
	service.engineSpec, service.limit = l.engine, 4
	require.Less(t, service.timeToFirstEvent(), 100*time.Millisecond)
	for range 30 {
		d := l.Admit(l.onTimeRequest(), l.now)
		l.RecordFirstEvent(d.Ticket, l.now+200*time.Millisecond)
		l.Release(d.Ticket, Success, l.now+time.Second)
	}
	require.InDelta(t, 0.2, l.service("s").timeToFirstEvent().Seconds(), 0.01)
}

// Load pattern: all hosts stop and start again together. Missing information is about to arrive
// and most callers have one retry left, so requests must be queued rather than refused.
func TestStartingHostQueuesRequests(t *testing.T) {
	l := newTestCluster(1, 2, 1)
	l.now = time.Second
	unknownService := l.onTimeRequest()
	unknownService.Service = "t"
	require.NotNil(t, l.Admit(unknownService, l.now).Waiter, "no upstream is known yet")
	beforeReports := l.Admit(l.onTimeRequest(), l.now)
	require.NotNil(t, beforeReports.Waiter, "no rank of the group has reported yet")
	results, _ := l.report("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Empty(t, results)
	require.NotNil(t, l.Admit(l.onTimeRequest(), l.now).Waiter, "the group is forming again")
	results, _ = l.report("0/0", func(load *wire.EngineLoad) { load.IsOpen, load.Epoch = true, 2 })
	require.Len(t, results, 2)
	require.NotNil(t, results[0].Ticket)
	l.now = 2 * time.Second
	require.Equal(t, Outage, l.Admit(unknownService, l.now).Reason, "the start-up phase is over")
}

// An attempt that waits for its first event in a group that does not serve must be ended before
// its caller gives up.
func TestAttemptInStalledGroupTimesOut(t *testing.T) {
	l := newTestCluster(1, 1, 1)
	l.reportLoads(0)
	d := l.Admit(l.onTimeRequest(), l.now)
	l.AwaitHeader(d.Ticket, l.now, true)
	_, stalled := l.report("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Empty(t, stalled, "it has time left")
	l.now += StalledAttemptTimeout
	_, stalled = l.report("", nil)
	require.Len(t, stalled, 1)
	require.Equal(t, d.Ticket, stalled[0].Ticket)
	l.EndHeaderWait(d.Ticket)
	_, stalled = l.report("", nil)
	require.Empty(t, stalled)
}

// When a group breaks and another has free slots, as many attempts as there are free slots must
// leave the broken group at once. The other group could only refuse any further ones.
func TestAttemptsMoveFromBrokenGroupToFreeSlots(t *testing.T) {
	l := newTestCluster(2, 1, 1)
	l.reportLoads(0)
	broken := 0
	for range 8 {
		d := l.Admit(l.onTimeRequest(), l.now)
		l.AwaitHeader(d.Ticket, l.now, true)
		if d.Ticket.ID() == "0/0" {
			broken++
		}
	}
	require.Equal(t, 4, broken)
	l.loads["1/0"] = wire.EngineLoad{Address: "1/0", IsOpen: true, Group: "1", Epoch: 1, Running: 4}
	_, stalled := l.report("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Empty(t, stalled, "the other group is full")
	for id, u := range l.upstreams {
		if id == "1/0" {
			u.inflight = 2
		}
	}
	l.report("1/0", func(load *wire.EngineLoad) { load.Running = 2 })
	_, stalled = l.report("1/0", nil)
	require.Len(t, stalled, 2)
	require.True(t, stalled[0].HasOtherEngine)
	require.Equal(t, "0/0", stalled[0].Ticket.ID())
}

// An upstream that was restarted under the same id must not inherit state from before. Load
// reports of the earlier process must be ignored.
func TestRestartedUpstreamStartsWithCleanState(t *testing.T) {
	l := newTestCluster(1, 1, 1)
	l.reportLoads(4)
	require.NotNil(t, l.Admit(l.onTimeRequest(), l.now).Waiter)
	l.loads["0/0"] = wire.EngineLoad{Address: "0/0", IsOpen: true, Group: "0", Epoch: 1, Running: 4, StartedAt: 1}
	results := l.announce(2)
	require.Len(t, results, 1, "its slots are free")
	l.report("", nil)
	require.False(t, l.upstreams["0/0"].load.isKnown)
}

func TestStateReportsServiceCounts(t *testing.T) {
	l := newTestCluster(2, 2, 3)
	l.reportLoads(1)
	l.report("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	l.Admit(l.onTimeRequest(), l.now)
	s := l.State("s", l.now)
	require.Equal(t, 4, s.Upstreams)
	require.Equal(t, 4, s.Reporting)
	require.Equal(t, 2, s.Serving)
	require.Equal(t, 2, s.Groups)
	require.Equal(t, 1, s.ClosedGroups)
	require.InDelta(t, 8, s.Capacity, 0.01)
	require.InDelta(t, 3, s.EstimatedLoad, 0.01)
}

// reportStall reports that the only group of the cluster is stalled, or that it makes progress
// again.
func (l *testCluster) reportStall(isStalled bool) ([]Result, []StalledAttempt) {
	return l.report("0/0", func(load *wire.EngineLoad) { load.IsStalled = isStalled })
}

// Load pattern: ranks stop for a few tenths of a second while a new expert map is put into
// force, and callers have seconds left. Requests must be queued and then served. If the stall
// lasts longer, new and queued requests are refused at once.
func TestShortStallIsNoOutage(t *testing.T) {
	l := newTestCluster(1, 4, 1)
	l.reportStall(true)
	first := l.Admit(l.onTimeRequest(), l.now)
	require.NotNil(t, first.Waiter)
	l.now += 200 * time.Millisecond
	results, _ := l.reportStall(false)
	require.Len(t, results, 1)
	require.NotNil(t, results[0].Ticket)

	l.reportStall(true)
	second := l.Admit(l.onTimeRequest(), l.now)
	require.NotNil(t, second.Waiter)
	for range 5 {
		l.now += maxBriefStall / 4
		results, _ = l.reportStall(true)
		if len(results) > 0 {
			break
		}
	}
	require.Len(t, results, 1)
	require.Equal(t, Outage, results[0].Reason)
	require.Equal(t, Outage, l.Admit(l.onTimeRequest(), l.now).Reason, "requests no longer wait for the group")
}

// Load pattern: a rank is killed while requests are queued. Callers who can retry must be told
// at once, so that they can use the time until the group is back. The others stay queued until
// their callers give up.
func TestWaitersAreRefusedAtOnceWhenGroupBreaks(t *testing.T) {
	l := newTestCluster(1, 2, 1)
	l.reportLoads(4)
	canRetry, cannotRetry := l.Admit(l.onTimeRequest(), l.now), l.Admit(l.lateRequest(), l.now)
	require.NotNil(t, canRetry.Waiter)
	require.NotNil(t, cannotRetry.Waiter)
	results, _ := l.report("0/1", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Len(t, results, 1)
	require.Equal(t, canRetry.Waiter, results[0].Waiter)
	require.Equal(t, Outage, results[0].Reason)
}

// A caller retries within a third of its remaining time. In an outage it must be told that
// whole third; without free capacity, callers are spread over the second half of it.
func TestRetryAfterFollowsCallerTimeLeft(t *testing.T) {
	l := newTestCluster(1, 2, 1)
	l.report("0/1", func(load *wire.EngineLoad) { load.IsOpen = false })
	r := l.onTimeRequest()
	r.TimeLeft = 6 * time.Second
	require.Equal(t, 2*time.Second, l.Admit(r, l.now).RetryAfter)
	w := &Waiter{deadline: l.now + 6*time.Second}
	shortest, longest := time.Hour, time.Duration(0)
	for range 200 {
		after := l.refuse(NoCapacity, w, l.now).RetryAfter
		shortest, longest = min(shortest, after), max(longest, after)
	}
	require.InDelta(t, time.Second, shortest, float64(100*time.Millisecond))
	require.InDelta(t, 2*time.Second, longest, float64(100*time.Millisecond))
	require.Zero(t, l.refuse(Outage, w, l.now+7*time.Second).RetryAfter)
}

// BenchmarkAdmit measures decisions at the present cluster sizes and at the target size.
func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct{ groups, size, hosts int }{{1, 16, 7}, {2, 8, 7}, {2, 64, 42}, {5, 120, 330}} {
		b.Run(fmt.Sprintf("%dx%d", c.groups, c.size), func(b *testing.B) {
			l := newTestCluster(c.groups, c.size, c.hosts)
			l.reportLoads(2)
			r := l.onTimeRequest()
			b.ReportAllocs()
			for b.Loop() {
				d := l.Admit(r, l.now)
				l.Release(d.Ticket, Neutral, l.now)
			}
		})
	}
}

// gapLimit is the concurrency limit of engines in a cluster made by newGapLimitedCluster. It is
// lower than their number of slots.
const gapLimit = 7

// newGapLimitedCluster returns a cluster with one group whose passes exceed the event gap
// before all slots are in use.
func newGapLimitedCluster(size, hosts int) *testCluster {
	l := newTestCluster(1, size, hosts)
	l.engine.Slots, l.engine.StepTimePerRequest = 10, 2*time.Millisecond
	return l
}

// gapLimitedRequest returns a request with a maximum gap between events.
func (l *testCluster) gapLimitedRequest() *Request {
	r := l.onTimeRequest()
	r.MaxEventGap = 110 * time.Millisecond
	return r
}

// All hosts see the one free slot of a full group. If each host with a request took it, ranks
// would run twice the requests that their passes can serve on time, and all streams would be
// late.
func TestFreeSlotSeenByAllHostsIsTakenAboutOnce(t *testing.T) {
	const hosts, size, rounds = 44, 63, 100
	admitted := 0
	for h := range hosts {
		l := newGapLimitedCluster(size, hosts)
		l.cfg.Random = rand.New(rand.NewPCG(uint64(h), 11))
		require.Equal(t, gapLimit, ConcurrencyLimit(l.engine, l.gapLimitedRequest().MaxEventGap))
		l.Admit(l.gapLimitedRequest(), l.now)
		l.setLoads(gapLimit)
		for range rounds {
			l.now += 100 * time.Millisecond
			l.report("0/7", func(load *wire.EngineLoad) { load.Running = gapLimit - 1 })
			switch d := l.Admit(l.gapLimitedRequest(), l.now); {
			case d.Ticket != nil:
				require.Equal(t, "0/7", d.Ticket.ID())
				admitted++
			case d.Waiter != nil:
				l.Abandon(d.Waiter, l.now)
			}
		}
	}
	require.InDelta(t, rounds, admitted, rounds/2, "%d hosts, one request each in each round", hosts)
}

// Load pattern: a group opens after an outage, and many hosts have a backlog of callers who
// can't retry. Load reports show the first admitted requests some tenths of a second later.
// Until then all hosts together must admit about as many requests as there are slots, not as
// many again with each report.
func TestBacklogsOfManyHostsFillReopenedGroupOnce(t *testing.T) {
	const hosts, size = 100, 60
	admitted, capacity := 0, float64(size*gapLimit)
	for h := range hosts {
		l := newGapLimitedCluster(size, hosts)
		l.cfg.Random = rand.New(rand.NewPCG(uint64(h), 3))
		l.report("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
		for range 20 {
			r := l.gapLimitedRequest()
			r.OnTimeUntil, r.CanRetry = l.now+MaxQueueWait, false
			require.NotNil(t, l.Admit(r, l.now).Waiter)
		}
		for id, load := range l.loads {
			load.IsOpen, load.Epoch = true, 2
			l.loads[id] = load
		}
		for end := l.now + openingReportDelay; l.now < end; {
			l.now += 100 * time.Millisecond
			results, _ := l.report("", nil)
			for _, r := range results {
				if r.Ticket != nil {
					admitted++
				}
			}
		}
	}
	require.Less(t, float64(admitted), 1.2*capacity)
	require.Greater(t, float64(admitted), 0.8*capacity)
}

// If an engine can use all its slots, its own queue absorbs requests that arrive together. A
// host that waited for its quota would leave slots idle between two requests.
func TestNoQuotaWhereAllSlotsAreUsable(t *testing.T) {
	for h := range 20 {
		l := newTestCluster(1, 4, 44)
		l.cfg.Random = rand.New(rand.NewPCG(uint64(h), 3))
		l.Admit(l.onTimeRequest(), l.now)
		l.now += 100 * time.Millisecond
		l.reportLoads(l.engine.Slots - 1)
		require.NotNil(t, l.Admit(l.onTimeRequest(), l.now).Ticket)
	}
}

// A host must be able to reuse a slot that it has released at once, without waiting for a load
// report.
func TestHostReusesSlotItReleased(t *testing.T) {
	l := newGapLimitedCluster(4, 44)
	ticket := l.Admit(l.gapLimitedRequest(), l.now).Ticket
	require.NotNil(t, ticket)
	for range 2 {
		l.now += 100 * time.Millisecond
		l.reportLoads(gapLimit)
	}
	waiting := l.Admit(l.gapLimitedRequest(), l.now)
	require.NotNil(t, waiting.Waiter)
	results, _ := l.Release(ticket, Success, l.now)
	require.Len(t, results, 1)
	require.Equal(t, ticket.ID(), results[0].Ticket.ID())
}

// An engine that runs more requests than its limit frees no slot when one of them ends.
// Otherwise each would be replaced and the overload would never end.
func TestOverloadedEngineFreesNoSlot(t *testing.T) {
	l := newGapLimitedCluster(4, 44)
	ticket := l.Admit(l.gapLimitedRequest(), l.now).Ticket
	require.NotNil(t, ticket)
	for range 2 {
		l.now += 100 * time.Millisecond
		l.setLoads(gapLimit + 2)
		l.report("0/3", func(load *wire.EngineLoad) { load.Running = gapLimit - 1 })
	}
	l.Release(ticket, Success, l.now)
	require.Nil(t, l.Admit(l.gapLimitedRequest(), l.now).Ticket)
}

// Load pattern: a quiet day in a large cluster. Hosts have unequal numbers of callers, and one
// of them receives a burst above its share while a third of all slots is free. Its requests
// must wait for the next load reports, which add to its quota, and none may be refused.
func TestBusyHostCountsOnItsShareOfFreeSlots(t *testing.T) {
	const hosts, size, burst = 44, 63, 6
	l := newGapLimitedCluster(size, hosts)
	l.Admit(l.gapLimitedRequest(), l.now)
	l.service("s").demand.serviceTime = 1500 * time.Millisecond
	for range 5 {
		l.now += 100 * time.Millisecond
		l.reportLoads(gapLimit - 2)
	}
	for range 40 {
		l.service("s").demand.onTimeArrivals.add(l.now)
	}
	waiting := 0
	for range burst {
		l.now += time.Millisecond
		d := l.Admit(l.gapLimitedRequest(), l.now)
		require.Zero(t, d.Reason)
		if d.Waiter != nil {
			waiting++
		}
	}
	require.NotZero(t, waiting)
	l.now += 100 * time.Millisecond
	results, _ := l.reportLoads(gapLimit - 2)
	require.Len(t, results, min(waiting, 2))
	for _, r := range results {
		require.NotNil(t, r.Ticket)
	}
}

// A host that has seen no free slots in three reports must not count on any. A request that
// would wait in vain is refused at once.
func TestHostStopsCountingOnFreeSlotsThatAreGone(t *testing.T) {
	l := newGapLimitedCluster(63, 44)
	l.Admit(l.gapLimitedRequest(), l.now)
	l.service("s").demand.serviceTime = 3 * time.Second
	for range 5 {
		l.now += 100 * time.Millisecond
		l.reportLoads(0)
	}
	for range 3 {
		l.now += 100 * time.Millisecond
		l.reportLoads(gapLimit)
	}
	l.service("s").quota = 0
	for range 40 {
		l.service("s").demand.onTimeArrivals.add(l.now)
	}
	for range 4 {
		l.now += time.Millisecond
		l.Admit(l.gapLimitedRequest(), l.now)
	}
	l.now += time.Millisecond
	require.Equal(t, NoCapacity, l.Admit(l.gapLimitedRequest(), l.now).Reason)
}
