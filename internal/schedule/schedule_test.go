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

// engines are the figures of an engine whose usual request stays for 0.8 s: 26 passes of
// 30 ms, without groups.
var engines = &routetable.Engine{
	Slots: 4, StepTime: 5 * time.Millisecond, StepTimePerRequest: 250 * time.Microsecond, Stride: 5, Prompt: 100, Answer: 130, PrefillRate: 10_000,
}

// ranks are those of engines in groups.
func ranks() *routetable.Engine {
	e := *engines
	e.Experts = routetable.Experts{Sets: 1, ExpertsPerSet: 8, Slots: 2}
	return &e
}

// lab is a scheduler among engines of a service "s" that were up for long.
type lab struct {
	*Scheduler
	now    time.Duration
	engine *routetable.Engine
	ids    []string
	loads  map[string]wire.EngineLoad
}

// newLab has groups of that many ranks each, "0/0" the first of the first group.
func newLab(groups, size, hosts int) *lab {
	l := &lab{
		Scheduler: New(Config{
			DataCentre: "near", Budget: retrybudget.Params{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
			Random: rand.New(rand.NewPCG(1, 2)), StartupUntil: 1500 * time.Millisecond,
		}),
		now: time.Hour, engine: ranks(), loads: map[string]wire.EngineLoad{},
	}
	for g := range groups {
		for r := range size {
			id := fmt.Sprintf("%d/%d", g, r)
			l.ids = append(l.ids, id)
			l.loads[id] = wire.EngineLoad{Address: id, IsOpen: true, Group: fmt.Sprint(g), Epoch: 1}
		}
	}
	l.SetHosts(hosts)
	l.know(0)
	return l
}

// know lets the scheduler know the upstreams, which started then.
func (l *lab) know(born int64) []Result {
	var all []registry.Upstream
	for _, id := range l.ids {
		all = append(all, registry.Upstream{ID: id, Address: id, Service: "s", Slots: 4, Born: born})
	}
	return l.SetUpstreams(map[string][]registry.Upstream{"s": all}, l.now)
}

// tell changes the load of an engine and tells that of all.
func (l *lab) tell(id string, change func(*wire.EngineLoad)) ([]Result, []StalledAttempt) {
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

// fill tells that each engine has that many requests.
func (l *lab) fill(n int) ([]Result, []StalledAttempt) {
	l.occupy(n)
	return l.tell("", nil)
}

// occupy lets each engine have that many requests, of which nothing is told yet.
func (l *lab) occupy(n int) {
	for id, load := range l.loads {
		load.Running = n
		l.loads[id] = load
	}
}

// request is one that can be on time for 400 ms from now.
func (l *lab) request() *Request {
	return &Request{Service: "s", Engine: l.engine, OnTimeUntil: l.now + 400*time.Millisecond, CanRetry: true}
}

// late is one whose caller has been here before.
func (l *lab) late() *Request {
	r := l.request()
	r.OnTimeUntil, r.CanRetry = l.now, false
	return r
}

// used counts where requests go until no place is left.
func (l *lab) used() map[string]int {
	out := map[string]int{}
	for {
		d := l.Admit(l.request(), l.now)
		if d.Ticket == nil {
			return out
		}
		out[d.Ticket.ID()]++
	}
}

func TestPlainServiceUsesTheLeastLoadedThatIsTrusted(t *testing.T) {
	l := newLab(1, 3, 1)
	l.loads = map[string]wire.EngineLoad{}
	seen := map[string]int{}
	var held []*Ticket
	for range 9 {
		_, ticket, ok := l.ReserveLeastLoaded("s", nil, l.now)
		require.True(t, ok)
		seen[ticket.ID()]++
		held = append(held, ticket)
	}
	require.Equal(t, map[string]int{"0/0": 3, "0/1": 3, "0/2": 3}, seen)
	u, _, _ := l.ReserveLeastLoaded("s", []string{"0/0", "0/1"}, l.now)
	require.Equal(t, "0/2", u.ID)
	_, _, ok := l.ReserveLeastLoaded("s", l.ids, l.now)
	require.False(t, ok, "all were tried")
	for _, ticket := range held {
		if ticket.ID() == "0/0" {
			l.Release(ticket, Failure, l.now)
		}
	}
	for range 20 {
		u, ticket, _ := l.ReserveLeastLoaded("s", nil, l.now)
		require.NotEqual(t, "0/0", u.ID, "it is suspected")
		l.Release(ticket, Neutral, l.now)
	}
	u, _, _ = l.ReserveLeastLoaded("s", []string{"0/1", "0/2"}, l.now)
	require.Equal(t, "0/0", u.ID, "a suspect is better than none")
	u, _, _ = l.ReserveLeastLoaded("s", []string{"0/1", "0/2"}, l.now+suspectFor)
	require.Equal(t, "0/0", u.ID)
}

// Load pattern: a cut breaks one of two groups. From the first word of one of its ranks on
// nothing goes there, the other one is used to its places, and the broken one again from
// the first word of its new epoch on.
func TestNothingIsSentIntoABrokenGroup(t *testing.T) {
	l := newLab(2, 4, 1)
	l.tell("0/2", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Equal(t, map[string]int{"1/0": 4, "1/1": 4, "1/2": 4, "1/3": 4}, l.used())
	l.tell("0/3", func(load *wire.EngineLoad) { load.Epoch = 2 })
	used := l.used()
	require.Equal(t, 4, used["0/0"], "all of the group serve")
	require.Zero(t, used["1/0"])
}

// A rank that is late with its word does not close the group again.
func TestWordOfAnEarlierEpochDoesNotCount(t *testing.T) {
	l := newLab(1, 2, 1)
	l.tell("0/0", func(load *wire.EngineLoad) { load.Epoch = 2 })
	l.tell("0/1", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.NotNil(t, l.Admit(l.request(), l.now).Ticket)
	l.tell("0/1", func(load *wire.EngineLoad) { load.Epoch = 2 })
	require.Equal(t, Outage, l.Admit(l.request(), l.now).Reason)
}

// Load pattern: a host in a data centre that is cut off hears its own ranks only. What
// serves behind the cut is of no use to it.
func TestGroupOfWhichNothingIsHeardIsNotUsed(t *testing.T) {
	l := newLab(2, 2, 1)
	l.tell("", nil)
	l.now += freshLoad + time.Millisecond
	delete(l.loads, "1/0")
	delete(l.loads, "1/1")
	l.tell("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	d := l.Admit(l.request(), l.now)
	require.Equal(t, Outage, d.Reason)
	require.Positive(t, d.RetryAfter)
	l.now += 2 * freshLoad
	require.NotNil(t, l.Admit(l.request(), l.now).Ticket, "no word at all is no word on groups")
}

// An engine whose load is no longer told, while those of most others are, gets nothing:
// its host is frozen, and what is sent there would be read when the caller has left.
func TestDarkEngineGetsNothing(t *testing.T) {
	l := newLab(1, 4, 1)
	l.tell("", nil)
	l.now += darkLoad
	dark := l.loads["0/1"]
	delete(l.loads, "0/1")
	l.tell("", nil)
	require.Equal(t, map[string]int{"0/0": 4, "0/2": 4, "0/3": 4}, l.used())
	l.loads["0/1"] = dark
	l.fill(0)
	require.Positive(t, l.used()["0/1"])
}

// All ranks of a group wait for the slowest in every pass, so a slow one gets fewer
// requests, or none. Where all are as slow, none counts as slow.
func TestSlowEngineGetsWhatLetsItKeepUp(t *testing.T) {
	filled := func(slow, fast float64) map[string]int {
		l := newLab(1, 2, 1)
		l.engine.Slots, l.engine.StepTimePerRequest = 10, 500*time.Microsecond
		l.tell("0/0", func(load *wire.EngineLoad) { load.Pace = slow })
		l.tell("0/1", func(load *wire.EngineLoad) { load.Pace = fast })
		return l.used()
	}
	require.Equal(t, map[string]int{"0/0": 10, "0/1": 10}, filled(1, 1))
	require.Equal(t, map[string]int{"0/0": 2, "0/1": 10}, filled(1.6, 1))
	require.Equal(t, map[string]int{"0/1": 10}, filled(12, 1))
	require.Equal(t, map[string]int{"0/0": 10, "0/1": 10}, filled(12, 12))
	require.Equal(t, map[string]int{"0/0": 10, "0/1": 10}, filled(0, 0), "no pace is told")
}

// Load pattern: many hosts see the same loads of late. Each alone would send to the
// emptiest engine; together they would fill it and leave the others.
func TestManyHostsDoNotAllChooseTheSameEngine(t *testing.T) {
	const hosts, size = 42, 64
	total := make(map[string]int)
	for h := range hosts {
		l := newLab(1, size, hosts)
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
		l.tell("", nil)
		// Eight requests a second at each host, as it was in the last seconds.
		for range 16 {
			l.service("s").demand.grants.add(l.now)
			l.now += 125 * time.Millisecond
		}
		l.tell("", nil)
		d := l.Admit(l.request(), l.now)
		total[d.Ticket.ID()]++
	}
	require.Less(t, total["0/0"], 8, "42 hosts, one request each")
	require.Greater(t, len(total), 15)
}

func TestAloneAHostChoosesTheEmptiestEngine(t *testing.T) {
	l := newLab(1, 8, 1)
	l.fill(3)
	l.tell("0/5", func(load *wire.EngineLoad) { load.Running = 1 })
	require.Equal(t, "0/5", l.Admit(l.request(), l.now).Ticket.ID())
}

func TestWaiterGetsThePlaceThatBecomesFree(t *testing.T) {
	l := newLab(1, 1, 1)
	l.fill(3)
	first := l.Admit(l.request(), l.now)
	require.NotNil(t, first.Ticket)
	second := l.Admit(l.request(), l.now)
	require.NotNil(t, second.Waiter)
	results, _ := l.Release(first.Ticket, Success, l.now)
	require.Len(t, results, 1)
	require.Equal(t, second.Waiter, results[0].Waiter)
	require.NotNil(t, results[0].Ticket)
	results, _ = l.Release(first.Ticket, Success, l.now)
	require.Empty(t, results, "a hold ends once")
}

func TestGivenUpWaiterGetsNothing(t *testing.T) {
	l := newLab(1, 1, 1)
	l.fill(4)
	d := l.Admit(l.request(), l.now)
	require.Equal(t, NoCapacity, l.Abandon(d.Waiter, l.now).Reason)
	results, _ := l.fill(0)
	require.Empty(t, results)
}

// A more urgent request goes before those that came shortly before it, and not before
// those that have waited long; who can be on time goes first.
func TestOrderOfThoseThatWait(t *testing.T) {
	at := func(came time.Duration, priority int) *Waiter {
		return &Waiter{onTime: time.Minute, turn: came + priorityStep*time.Duration(priority)}
	}
	first := func(all ...*Waiter) int { return (&service{waiters: all}).first(time.Second) }
	require.Equal(t, 1, first(at(0, 2), at(priorityStep, 0)))
	require.Equal(t, 0, first(at(0, 2), at(3*priorityStep, 0)))
	require.Equal(t, 0, first(at(0, 1), at(0, 1)), "equals are served as they came")
	late := at(0, 0)
	late.onTime = 0
	require.Equal(t, 1, first(late, at(0, 9)))
}

// Load pattern: service is back after an outage, and the callers of the outage come back
// with those of now. A late answer is worth less to its caller than one on time, and a
// late request in a place makes the next one late.
func TestLateRequestsGetWhatThoseOnTimeLeave(t *testing.T) {
	l := newLab(1, 8, 1)
	l.fill(0)
	// 30 requests a second that stay for 0.8 s need 24 of 32 places.
	for range 64 {
		l.service("s").demand.fresh.add(l.now)
		l.now += rateSpan / 64
	}
	l.service("s").demand.stay = ServiceTime(l.engine, 4)
	l.fill(0)
	placed := 0
	for range 40 {
		if d := l.Admit(l.late(), l.now); d.Ticket != nil {
			placed++
		}
	}
	require.Greater(t, placed, 4, "there is room beside those on time")
	require.Less(t, placed, 24, "they do not get all of it")
	require.NotNil(t, l.Admit(l.request(), l.now).Ticket, "one that can be on time does not wait behind them")
}

// What would wait in vain is refused at once, so that its caller can use the time.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	l := newLab(1, 1, 1)
	l.service("s").demand.stay = 10 * time.Second
	for range 20 {
		l.service("s").demand.fresh.add(l.now)
	}
	l.fill(4)
	d := l.Admit(l.late(), l.now)
	require.Equal(t, NoCapacity, d.Reason)
	require.Positive(t, d.RetryAfter)
	resumed := l.late()
	resumed.IsResumed = true
	require.NotEqual(t, Outage, l.Admit(resumed, l.now).Reason)
}

// A request that waited until it can't be on time any more is told so with the next loads.
func TestWaiterThatHasBecomeHopelessIsRefused(t *testing.T) {
	l := newLab(1, 4, 1)
	l.fill(4)
	d := l.Admit(l.request(), l.now)
	require.NotNil(t, d.Waiter)
	for range 40 {
		l.service("s").demand.fresh.add(l.now)
	}
	l.service("s").demand.stay = 2 * time.Second
	results, _ := l.fill(4)
	require.Empty(t, results, "it can be on time yet")
	l.now += 400 * time.Millisecond
	results, _ = l.fill(4)
	require.Len(t, results, 1)
	require.Equal(t, NoCapacity, results[0].Reason)
}

// How long the first event takes is learnt: with it a request is late sooner than the
// figures of the engines say.
func TestTimeToTheFirstEventIsLearnt(t *testing.T) {
	l := newLab(1, 1, 1)
	l.fill(0)
	byFigures := l.service("s")
	byFigures.shape, byFigures.places = l.engine, 4
	require.Less(t, byFigures.firstEvent(), 100*time.Millisecond)
	for range 30 {
		d := l.Admit(l.request(), l.now)
		l.RecordFirstEvent(d.Ticket, l.now+200*time.Millisecond)
		l.Release(d.Ticket, Success, l.now+time.Second)
	}
	require.InDelta(t, 0.2, l.service("s").firstEvent().Seconds(), 0.01)
}

// Load pattern: everything has stopped at once and starts again. What a host does not know
// yet is on its way, and its callers have one try left.
func TestHostThatHasJustStartedLetsRequestsWait(t *testing.T) {
	l := newLab(1, 2, 1)
	l.now = time.Second
	unknown := l.request()
	unknown.Service = "t"
	require.NotNil(t, l.Admit(unknown, l.now).Waiter, "no upstream is known yet")
	unheard := l.Admit(l.request(), l.now)
	require.NotNil(t, unheard.Waiter, "nothing is heard of the group yet")
	results, _ := l.tell("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Empty(t, results)
	require.NotNil(t, l.Admit(l.request(), l.now).Waiter, "the group forms anew")
	results, _ = l.tell("0/0", func(load *wire.EngineLoad) { load.IsOpen, load.Epoch = true, 2 })
	require.Len(t, results, 2)
	require.NotNil(t, results[0].Ticket)
	l.now = 2 * time.Second
	require.Equal(t, Outage, l.Admit(unknown, l.now).Reason, "it has been up for long")
}

// An attempt that waits for its first event in a group that does not serve ends before its
// caller leaves.
func TestAttemptInAStalledGroupEndsInTime(t *testing.T) {
	l := newLab(1, 1, 1)
	l.fill(0)
	d := l.Admit(l.request(), l.now)
	l.AwaitHeader(d.Ticket, l.now)
	_, stalled := l.tell("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Empty(t, stalled, "it has time left")
	l.now += StalledAttemptTimeout
	_, stalled = l.tell("", nil)
	require.Len(t, stalled, 1)
	require.Equal(t, d.Ticket, stalled[0].Ticket)
	l.HeaderReceived(d.Ticket)
	_, stalled = l.tell("", nil)
	require.Empty(t, stalled)
}

// Where another group has places free, attempts leave the broken one at once, as many as
// there are places for; the others could only be refused.
func TestAttemptsLeaveABrokenGroupForFreePlaces(t *testing.T) {
	l := newLab(2, 1, 1)
	l.fill(0)
	broken := 0
	for range 8 {
		d := l.Admit(l.request(), l.now)
		l.AwaitHeader(d.Ticket, l.now)
		if d.Ticket.ID() == "0/0" {
			broken++
		}
	}
	require.Equal(t, 4, broken)
	l.loads["1/0"] = wire.EngineLoad{Address: "1/0", IsOpen: true, Group: "1", Epoch: 1, Running: 4}
	_, stalled := l.tell("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Empty(t, stalled, "the other group is full")
	for id, u := range l.upstreams {
		if id == "1/0" {
			u.inflight = 2
		}
	}
	l.tell("1/0", func(load *wire.EngineLoad) { load.Running = 2 })
	_, stalled = l.tell("1/0", nil)
	require.Len(t, stalled, 2)
	require.True(t, stalled[0].HasOtherGroup)
	require.Equal(t, "0/0", stalled[0].Ticket.ID())
}

// An upstream that has started again under its id begins without the experience of before,
// and a load of the start before says nothing of it.
func TestUpstreamThatStartsAgainBeginsAnew(t *testing.T) {
	l := newLab(1, 1, 1)
	l.fill(4)
	require.NotNil(t, l.Admit(l.request(), l.now).Waiter)
	l.loads["0/0"] = wire.EngineLoad{Address: "0/0", IsOpen: true, Group: "0", Epoch: 1, Running: 4, Born: 1}
	results := l.know(2)
	require.Len(t, results, 1, "its places are free")
	l.tell("", nil)
	require.False(t, l.upstreams["0/0"].load.isKnown)
}

func TestStateTellsTheGroundsOfADecision(t *testing.T) {
	l := newLab(2, 2, 3)
	l.fill(1)
	l.tell("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
	l.Admit(l.request(), l.now)
	s := l.State("s", l.now)
	require.Equal(t, 4, s.Upstreams)
	require.Equal(t, 4, s.Reporting)
	require.Equal(t, 2, s.Serving)
	require.Equal(t, 2, s.Groups)
	require.Equal(t, 1, s.ClosedGroups)
	require.InDelta(t, 8, s.Capacity, 0.01)
	require.InDelta(t, 3, s.EstimatedLoad, 0.01)
}

// stand tells that the only group of a lab stands still, or no more.
func (l *lab) stand(isStanding bool) ([]Result, []StalledAttempt) {
	return l.tell("0/0", func(load *wire.EngineLoad) { load.IsStanding = isStanding })
}

// Load pattern: ranks hold for some tenths of a second while a change of map comes into
// force, with callers that have seconds left. They wait and are served; callers of a group
// that stands for longer are refused at once, those that waited with them.
func TestShortStandstillIsNoOutage(t *testing.T) {
	l := newLab(1, 4, 1)
	l.stand(true)
	first := l.Admit(l.request(), l.now)
	require.NotNil(t, first.Waiter)
	l.now += 200 * time.Millisecond
	results, _ := l.stand(false)
	require.Len(t, results, 1)
	require.NotNil(t, results[0].Ticket)

	l.stand(true)
	second := l.Admit(l.request(), l.now)
	require.NotNil(t, second.Waiter)
	for range 5 {
		l.now += standingPatience / 4
		results, _ = l.stand(true)
		if len(results) > 0 {
			break
		}
	}
	require.Len(t, results, 1)
	require.Equal(t, Outage, results[0].Reason)
	require.Equal(t, Outage, l.Admit(l.request(), l.now).Reason, "nobody waits for it any more")
}

// Load pattern: a rank is killed while requests wait for places. Their callers can use the
// time until the group is back; those that can't come back wait for as long as they would.
func TestWhoWaitsIsToldAtOnceThatTheGroupHasBroken(t *testing.T) {
	l := newLab(1, 2, 1)
	l.fill(4)
	mayReturn, last := l.Admit(l.request(), l.now), l.Admit(l.late(), l.now)
	require.NotNil(t, mayReturn.Waiter)
	require.NotNil(t, last.Waiter)
	results, _ := l.tell("0/1", func(load *wire.EngineLoad) { load.IsOpen = false })
	require.Len(t, results, 1)
	require.Equal(t, mayReturn.Waiter, results[0].Waiter)
	require.Equal(t, Outage, results[0].Reason)
}

// A caller comes back within a third of the time that it has left. In an outage it uses all
// of that; where places are short callers are spread over the second half of it.
func TestTimeToReturnIsWhatTheCallerHas(t *testing.T) {
	l := newLab(1, 2, 1)
	l.tell("0/1", func(load *wire.EngineLoad) { load.IsOpen = false })
	r := l.request()
	r.TimeLeft = 6 * time.Second
	require.Equal(t, 2*time.Second, l.Admit(r, l.now).RetryAfter)
	w := &Waiter{deadline: l.now + 6*time.Second}
	least, most := time.Hour, time.Duration(0)
	for range 200 {
		after := l.refuse(NoCapacity, w, l.now).RetryAfter
		least, most = min(least, after), max(most, after)
	}
	require.InDelta(t, time.Second, least, float64(100*time.Millisecond))
	require.InDelta(t, 2*time.Second, most, float64(100*time.Millisecond))
	require.Zero(t, l.refuse(Outage, w, l.now+7*time.Second).RetryAfter)
}

// BenchmarkAdmit decides at the present sizes and the target's.
func BenchmarkAdmit(b *testing.B) {
	for _, c := range []struct{ groups, size, hosts int }{{1, 16, 7}, {2, 8, 7}, {2, 64, 42}, {5, 120, 330}} {
		b.Run(fmt.Sprintf("%dx%d", c.groups, c.size), func(b *testing.B) {
			l := newLab(c.groups, c.size, c.hosts)
			l.fill(2)
			r := l.request()
			b.ReportAllocs()
			for b.Loop() {
				d := l.Admit(r, l.now)
				l.Release(d.Ticket, Neutral, l.now)
			}
		})
	}
}

// tightPlaces is how many requests the engines of a tight lab bear: fewer than they have
// slots.
const tightPlaces = 7

// newTightLab has one group of engines whose passes are late before their slots are full.
func newTightLab(size, hosts int) *lab {
	l := newLab(1, size, hosts)
	l.engine.Slots, l.engine.StepTimePerRequest = 10, 2*time.Millisecond
	return l
}

// tight is a request with a gap between its events.
func (l *lab) tight() *Request {
	r := l.request()
	r.Gap = 110 * time.Millisecond
	return r
}

// In a full group one place is free, and all hosts see it. It is taken about once, not by
// each host that has a request: ranks with twice the requests that their passes bear keep
// all streams late.
func TestFreePlaceThatAllHostsSeeIsTakenAboutOnce(t *testing.T) {
	const hosts, size, rounds = 44, 63, 100
	taken := 0
	for h := range hosts {
		l := newTightLab(size, hosts)
		l.cfg.Random = rand.New(rand.NewPCG(uint64(h), 11))
		require.Equal(t, tightPlaces, ConcurrencyLimit(l.engine, l.tight().Gap))
		l.Admit(l.tight(), l.now)
		l.occupy(tightPlaces)
		for range rounds {
			l.now += 100 * time.Millisecond
			l.tell("0/7", func(load *wire.EngineLoad) { load.Running = tightPlaces - 1 })
			switch d := l.Admit(l.tight(), l.now); {
			case d.Ticket != nil:
				require.Equal(t, "0/7", d.Ticket.ID())
				taken++
			case d.Waiter != nil:
				l.Abandon(d.Waiter, l.now)
			}
		}
	}
	require.InDelta(t, rounds, taken, rounds/2, "%d hosts, one request each in each round", hosts)
}

// Load pattern: a group opens after an outage, and many hosts have a backlog of callers that
// can't come back. What they place is shown by reports some tenths of a second later. All
// together they place about as many as there are places until then, not as many with each
// report.
func TestBacklogOfManyHostsFillsAGroupOnce(t *testing.T) {
	const hosts, size = 100, 60
	placed, places := 0, float64(size*tightPlaces)
	for h := range hosts {
		l := newTightLab(size, hosts)
		l.cfg.Random = rand.New(rand.NewPCG(uint64(h), 3))
		l.tell("0/0", func(load *wire.EngineLoad) { load.IsOpen = false })
		for range 20 {
			r := l.tight()
			r.OnTimeUntil, r.CanRetry = l.now+MaxQueueWait, false
			require.NotNil(t, l.Admit(r, l.now).Waiter)
		}
		for id, load := range l.loads {
			load.IsOpen, load.Epoch = true, 2
			l.loads[id] = load
		}
		for end := l.now + openSpan; l.now < end; {
			l.now += 100 * time.Millisecond
			results, _ := l.tell("", nil)
			for _, r := range results {
				if r.Ticket != nil {
					placed++
				}
			}
		}
	}
	require.Less(t, float64(placed), 1.2*places)
	require.Greater(t, float64(placed), 0.8*places)
}

// Where an engine's slots bound it anyway, its own queue takes what comes at once: a host
// that waited for its part would leave slots empty between two requests.
func TestNothingIsDealtWhereAllSlotsCount(t *testing.T) {
	for h := range 20 {
		l := newLab(1, 4, 44)
		l.cfg.Random = rand.New(rand.NewPCG(uint64(h), 3))
		l.Admit(l.request(), l.now)
		l.now += 100 * time.Millisecond
		l.fill(l.engine.Slots - 1)
		require.NotNil(t, l.Admit(l.request(), l.now).Ticket)
	}
}

// A place that a host gives back is its own to take at once, without a report.
func TestHostTakesThePlaceThatItGaveBack(t *testing.T) {
	l := newTightLab(4, 44)
	held := l.Admit(l.tight(), l.now).Ticket
	require.NotNil(t, held)
	for range 2 {
		l.now += 100 * time.Millisecond
		l.fill(tightPlaces)
	}
	waits := l.Admit(l.tight(), l.now)
	require.NotNil(t, waits.Waiter)
	results, _ := l.Release(held, Success, l.now)
	require.Len(t, results, 1)
	require.Equal(t, held.ID(), results[0].Ticket.ID())
}

// An engine that has more requests than places gives none back when one of them ends:
// else an overload would last as long as its requests are replaced.
func TestOverfullEngineGivesNoPlaceBack(t *testing.T) {
	l := newTightLab(4, 44)
	held := l.Admit(l.tight(), l.now).Ticket
	require.NotNil(t, held)
	for range 2 {
		l.now += 100 * time.Millisecond
		l.occupy(tightPlaces + 2)
		l.tell("0/3", func(load *wire.EngineLoad) { load.Running = tightPlaces - 1 })
	}
	l.Release(held, Success, l.now)
	require.Nil(t, l.Admit(l.tight(), l.now).Ticket)
}

// Load pattern: a quiet day at size. Hosts have unequal numbers of callers, so one of them
// gets more than its part of the requests at once while a third of all places is free. They
// wait for the next loads, which show places that are the host's to take, and none is
// refused.
func TestBusyHostReckonsWithPlacesThatAreFree(t *testing.T) {
	const hosts, size, burst = 44, 63, 6
	l := newTightLab(size, hosts)
	l.Admit(l.tight(), l.now)
	l.service("s").demand.stay = 1500 * time.Millisecond
	for range 5 {
		l.now += 100 * time.Millisecond
		l.fill(tightPlaces - 2)
	}
	for range 40 {
		l.service("s").demand.fresh.add(l.now)
	}
	waiting := 0
	for range burst {
		l.now += time.Millisecond
		d := l.Admit(l.tight(), l.now)
		require.Zero(t, d.Reason)
		if d.Waiter != nil {
			waiting++
		}
	}
	require.NotZero(t, waiting)
	l.now += 100 * time.Millisecond
	results, _ := l.fill(tightPlaces - 2)
	require.Len(t, results, min(waiting, 2))
	for _, r := range results {
		require.NotNil(t, r.Ticket)
	}
}

// A host that has had no free places for three reports no longer reckons with any: who
// would wait in vain is refused at once.
func TestFreePlacesThatAreGoneAreNotReckonedWith(t *testing.T) {
	l := newTightLab(63, 44)
	l.Admit(l.tight(), l.now)
	l.service("s").demand.stay = 3 * time.Second
	for range 5 {
		l.now += 100 * time.Millisecond
		l.fill(0)
	}
	for range 3 {
		l.now += 100 * time.Millisecond
		l.fill(tightPlaces)
	}
	l.service("s").mine = 0
	for range 40 {
		l.service("s").demand.fresh.add(l.now)
	}
	for range 4 {
		l.now += time.Millisecond
		l.Admit(l.tight(), l.now)
	}
	l.now += time.Millisecond
	require.Equal(t, NoCapacity, l.Admit(l.tight(), l.now).Reason)
}
