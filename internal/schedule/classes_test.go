package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against requests of a less urgent class that go first because they arrived earlier or have
// more time left, and against late requests that go before those of the same class that can still
// be on time. A class with less than its guaranteed share goes first, so that none starves.
func TestWaitersAreOrderedByClassPunctualityAndArrival(t *testing.T) {
	urgent, relaxed := &class{priority: 0}, &class{priority: 2}
	waiter := func(arrived time.Duration, c *class) *Waiter {
		return &Waiter{latestStart: time.Minute, arrival: arrived, class: c}
	}
	precedes := func(w, o *Waiter) bool { return w.precedes(o, time.Second) }
	require.True(t, precedes(waiter(time.Second, urgent), waiter(0, relaxed)))
	require.False(t, precedes(waiter(0, relaxed), waiter(time.Second, urgent)))
	require.False(t, precedes(waiter(0, urgent), waiter(0, urgent)), "equal requests are served in order of arrival")
	late := waiter(0, urgent)
	late.latestStart = 0
	require.False(t, precedes(late, waiter(time.Second, urgent)))
	require.True(t, precedes(late, waiter(0, relaxed)))
	relaxed.isGuaranteed = true
	require.True(t, precedes(waiter(time.Second, relaxed), waiter(0, urgent)))
}

// stream is a class of requests that arrive at a steady rate.
type stream struct {
	priority  int
	workspace string
	perSecond float64
	target    time.Duration
}

// outcomes counts what became of the requests of a stream.
type outcomes struct {
	arrived, onTime, late, refused int
	// heldRefused is the number of requests that were refused after more than an eighth of their
	// target.
	heldRefused int
}

// servedFraction returns the fraction of the requests that were served.
func (o outcomes) servedFraction() float64 { return float64(o.onTime+o.late) / float64(o.arrived) }

// pending is a request that waits in the queue or runs.
type pending struct {
	stream  int
	arrived time.Duration
	ticket  *Ticket
	endsAt  time.Duration
}

// play sends the requests of the streams to the cluster for the given time and returns what became
// of them. Requests hold their slots for the given service time on average.
func (l *testCluster) play(streams []stream, serviceTime, length time.Duration) []outcomes {
	const step = 5 * time.Millisecond
	out := make([]outcomes, len(streams))
	due := make([]float64, len(streams))
	waiting := map[*Waiter]*pending{}
	var running []*pending
	firstEvent := l.service("s").timeToFirstEvent
	start := func(p *pending, t *Ticket) {
		p.ticket, p.endsAt = t, l.now+time.Duration((0.5+l.cfg.Random.Float64())*float64(serviceTime))
		running = append(running, p)
		if l.now+firstEvent()-p.arrived <= streams[p.stream].target {
			out[p.stream].onTime++
		} else {
			out[p.stream].late++
		}
	}
	refuse := func(p *pending) {
		out[p.stream].refused++
		if l.now-p.arrived > streams[p.stream].target/8 {
			out[p.stream].heldRefused++
		}
	}
	decide := func(all []Result) {
		for _, r := range all {
			p := waiting[r.Waiter]
			delete(waiting, r.Waiter)
			if r.Ticket != nil {
				start(p, r.Ticket)
			} else {
				refuse(p)
			}
		}
	}
	for until := l.now + length; l.now < until; l.now += step {
		for i := 0; i < len(running); i++ {
			if p := running[i]; l.now >= p.endsAt {
				running = slices.Delete(running, i, i+1)
				i--
				results, _ := l.Release(p.ticket, Success, l.now)
				decide(results)
			}
		}
		for _, w := range slices.Clone(l.service("s").waiters) {
			if p := waiting[w]; l.now-p.arrived >= MaxQueueWait {
				delete(waiting, w)
				l.Abandon(w, l.now)
				refuse(p)
			}
		}
		if l.now%(100*time.Millisecond) == 0 {
			l.countLoads(running)
			results, _ := l.report("", nil)
			decide(results)
		}
		for i, c := range streams {
			for due[i] += c.perSecond * step.Seconds(); due[i] >= 1; due[i]-- {
				out[i].arrived++
				p := &pending{stream: i, arrived: l.now}
				d := l.Admit(&Request{
					Service: "s", Engine: l.engine, OnTimeUntil: l.now + c.target, Priority: c.priority, Workspace: c.workspace, CanRetry: true, TimeLeft: 8 * time.Second,
				}, l.now)
				switch {
				case d.Ticket != nil:
					start(p, d.Ticket)
				case d.Waiter != nil:
					waiting[d.Waiter] = p
				default:
					refuse(p)
				}
			}
		}
	}
	return out
}

// countLoads sets the load of each engine to the number of requests that run there.
func (l *testCluster) countLoads(running []*pending) {
	l.setLoads(0)
	for _, p := range running {
		load := l.loads[p.ticket.ID()]
		load.Running++
		l.loads[p.ticket.ID()] = load
	}
}

const testServiceTime = 800 * time.Millisecond

// Load pattern: a burst of the least urgent class, which also has the most time to be on time. It
// must not delay the others or cause them to be refused, and what is refused of it must be refused
// at once, while the slots that the others leave stay in use.
func TestBurstOfLeastUrgentClassDelaysNoOther(t *testing.T) {
	l := newTestCluster(1, 8, 1)
	const slots = 32
	capacity := slots / testServiceTime.Seconds()
	streams := []stream{
		{priority: 0, perSecond: 0.3 * capacity, target: 400 * time.Millisecond},
		{priority: 1, perSecond: 0.15 * capacity, target: 400 * time.Millisecond},
		{priority: 2, perSecond: 1.2 * capacity, target: time.Second},
	}
	out := l.play(streams, testServiceTime, 20*time.Second)
	t.Logf("%+v", out)
	for _, o := range out[:2] {
		require.Zero(t, o.refused)
		require.GreaterOrEqual(t, float64(o.onTime), 0.98*float64(o.arrived))
	}
	relaxed := out[2]
	require.LessOrEqual(t, float64(relaxed.heldRefused), 0.02*float64(relaxed.refused), "refusals come at once")
	require.Greater(t, float64(relaxed.onTime+relaxed.late), 0.85*0.55*capacity*20, "the slots that the others leave are used")
}

// Load pattern: the most urgent class alone asks for more than there is. The least urgent class
// must still be served at least a quarter as often as all requests.
func TestUrgentOverloadStarvesNoClass(t *testing.T) {
	l := newTestCluster(1, 8, 1)
	capacity := 32 / testServiceTime.Seconds()
	streams := []stream{
		{priority: 0, perSecond: 1.5 * capacity, target: 400 * time.Millisecond},
		{priority: 2, perSecond: 0.3 * capacity, target: time.Second},
	}
	out := l.play(streams, testServiceTime, 20*time.Second)
	t.Logf("%+v", out)
	all := float64(out[0].onTime+out[0].late+out[1].onTime+out[1].late) / float64(out[0].arrived+out[1].arrived)
	require.GreaterOrEqual(t, out[1].servedFraction(), all/4)
	require.GreaterOrEqual(t, out[0].servedFraction(), out[1].servedFraction(), "an urgent class is not served worse")
}

// Load pattern: one workspace asks for most of the slots of a class and more than there are. The
// others, which ask for less than an equal share, must not be refused because of it, and the large
// workspace must get what they leave.
func TestLargeWorkspaceDisplacesNoOther(t *testing.T) {
	l := newTestCluster(1, 8, 1)
	capacity := 32 / testServiceTime.Seconds()
	streams := []stream{
		{priority: 1, workspace: "large", perSecond: 1.3 * capacity, target: 400 * time.Millisecond},
		{priority: 1, workspace: "small", perSecond: 0.15 * capacity, target: 400 * time.Millisecond},
		{priority: 1, workspace: "smaller", perSecond: 0.05 * capacity, target: 400 * time.Millisecond},
		{priority: 0, perSecond: 0.05 * capacity, target: 400 * time.Millisecond},
	}
	out := l.play(streams, testServiceTime, 20*time.Second)
	t.Logf("%+v", out)
	for _, o := range out[1:] {
		require.GreaterOrEqual(t, o.servedFraction(), 0.97)
	}
	require.Greater(t, float64(out[0].onTime+out[0].late), 0.85*0.75*capacity*20, "the slots that the others leave are used")
}

// Guards against classes that change anything where all requests have the same priority, whichever
// that is.
func TestOneClassIsServedAsWithoutPriorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		load := rapid.Float64Range(0.2, 2).Draw(t, "load")
		priority := rapid.IntRange(0, 9).Draw(t, "priority")
		play := func(p int) []outcomes {
			l := newTestCluster(1, 4, 3)
			return l.play([]stream{{priority: p, perSecond: load * 16 / testServiceTime.Seconds() / 3, target: 400 * time.Millisecond}}, testServiceTime, 4*time.Second)
		}
		require.Equal(t, play(0), play(priority))
	})
}

// Guards against a service that keeps several classes after a single request of another priority.
func TestClassWithoutRequestsIsForgotten(t *testing.T) {
	l := newTestCluster(1, 2, 1)
	l.reportLoads(0)
	admit := func(priority int) *Ticket {
		r := l.onTimeRequest()
		r.Priority = priority
		return l.Admit(r, l.now).Ticket
	}
	once := admit(1)
	admit(0)
	require.Len(t, l.service("s").classes, 2)
	l.now += classMemory + time.Second
	l.reportLoads(0)
	admit(0)
	require.Len(t, l.service("s").classes, 2, "an attempt of it is still in flight")
	l.Release(once, Success, l.now)
	admit(0)
	require.Len(t, l.service("s").classes, 1)
}

// Guards against an unbounded number of classes, since priorities come from the configuration.
func TestClassesAreBounded(t *testing.T) {
	sv := &service{}
	for p := range 100 {
		sv.class(99 - p)
	}
	require.Len(t, sv.classes, maxClasses)
	require.Equal(t, sv.classes[maxClasses-1], sv.class(1000))
}

// Load pattern: more requests of the least urgent class than there are slots, while shifts of expert
// popularity now and then make passes too long at the highest limit. Serving more of them must not
// make urgent answers late, whereas requests of one class are served as many as possible.
func TestLimitIsLowerWhereOnlyLessUrgentRequestsGain(t *testing.T) {
	l := newSkewedCluster()
	l.runWithShifts(1.9, 1.2, 8*time.Second, historySpan)
	p, gap := &l.service("s").groups["0"].passTimes, l.gapLimitedRequest().MaxEventGap
	limit := func(d classDemand) float64 {
		p.engineSpec = nil
		return p.limit(l.engine, gap, d, l.now)
	}
	served := limit(nil) / ServiceTime(l.engine, int(limit(nil))).Seconds()
	mixed := limit(classDemand{0.4 * served, 0, 2 * served})
	t.Logf("limit %v for one class, %v for a mix, %v for urgent requests only", limit(nil), mixed, limit(classDemand{2 * served, 0, 0}))
	require.Less(t, mixed, limit(nil))
	require.Equal(t, limit(nil), limit(classDemand{20 * served, 0, 0}), "urgent requests alone fill the slots")
	require.GreaterOrEqual(t, mixed, float64(ConcurrencyLimit(l.engine, gap)))
}

func TestClassDemandValuesUrgentRequestsFirst(t *testing.T) {
	require.Equal(t, 7.0, classDemand(nil).value(7))
	d := classDemand{2, 0, 4}
	require.Equal(t, 1.0, d.value(1))
	require.Equal(t, 2.0, d.value(2))
	require.Equal(t, 2.5, d.value(4))
	require.InDelta(t, 3+spareValue*2/8, d.value(8), 1e-9)
}
