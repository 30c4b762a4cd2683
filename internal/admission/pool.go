package admission

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// Classes is the number of urgencies of RFC 9218; 0 goes first.
	Classes = 8
	// classCycle is how many requests of other classes may go before one of a class
	// that waits: each class so has one in classCycle of the work at least.
	classCycle = 50
	// meanSamples is over how many requests the measured means reach back.
	meanSamples = 64
	// admitDeviations is how many mean deviations above its mean a service time counts
	// where a request asks to wait, hopelessDeviations where it waits already: what was
	// let wait is refused only where it got clearly worse. turnDeviations is the same
	// for the turns ahead of a request that asks to wait.
	admitDeviations    = 2
	hopelessDeviations = 1
	turnDeviations     = 1
	// driftPart is the part of an expected wait, as its inverse, by which the mix of
	// requests may change it meanwhile.
	driftPart = 2
	// unknownRetryAfter is when to ask again where no upstream is known, or no service
	// time yet: an agent announces once a second.
	unknownRetryAfter = time.Second
	// maxRetryAfter bounds how long a caller is told to stay away.
	maxRetryAfter = 30 * time.Second

	never = time.Duration(math.MaxInt64)
)

// state is where a Ticket is.
type state uint8

const (
	stateNew state = iota
	stateWaiting
	stateGranted
	stateRefused
	stateEnded
)

// Ticket is one request on its way through a Pool.
type Ticket struct {
	// Workspace identifies the workspace, Weight is its share.
	Workspace string
	Weight    float64
	// Class is the urgency, below Classes.
	Class uint8
	// Cost is the expected work, above zero, in any unit that all share.
	Cost float64
	// Deadline is when the answer has to be whole, on the clock of the Pool's caller.
	Deadline time.Duration
	// Draw is uniform in [0, 1); it spreads the returns of callers who are refused.
	Draw float64

	state state
	began time.Duration
	err   *verdict.Error
	// wake belongs to the Controller.
	wake chan struct{}
}

// Pool decides who may use this host's share of a pool's capacity. It is pure: time
// and randomness are arguments. It is not safe for concurrent use.
//
// Invariants: no one waits while a slot is free; no more wait than the limit.
type Pool struct {
	limit    int
	capacity int
	running  int
	queued   int
	classes  [Classes]class
	// service is over all classes.
	service mean
	// earliest is no later than any deadline of those that wait.
	earliest time.Duration
}

type class struct {
	fairQueue
	service mean
	// passed counts the requests of other classes that went while some waited here.
	passed int
}

// NewPool returns a Pool without capacity in which up to limit requests may wait.
func NewPool(limit int) *Pool { return &Pool{limit: limit, earliest: never} }

// Running returns how many requests hold a slot, Queued how many wait.
func (p *Pool) Running() int { return p.running }

// Queued returns how many requests wait.
func (p *Pool) Queued() int { return p.queued }

// Capacity returns what SetCapacity set.
func (p *Pool) Capacity() int { return p.capacity }

// SetCapacity sets how many requests may run at once. It returns the waiting
// requests that are settled by that.
func (p *Pool) SetCapacity(now time.Duration, n int) []*Ticket {
	p.capacity = n
	return p.dispatch(now)
}

// Arrive settles a new request or lets it wait. It returns all that are settled by
// that.
func (p *Pool) Arrive(now time.Duration, t *Ticket) []*Ticket {
	settled := p.Expire(now)
	if p.capacity == 0 {
		return append(settled, p.refuse(t, verdict.CodeNoUpstream, "no upstream is ready", unknownRetryAfter))
	}
	if p.queued == 0 && p.running < p.capacity {
		return append(settled, p.grant(now, t))
	}
	wait := p.wait(t)
	if !p.hasRoom(t) {
		return append(settled, p.refuse(t, verdict.CodeOverloaded, "queue is full", wait))
	}
	late := now + wait + wait/driftPart + p.serviceTime(t.Class, admitDeviations) - t.Deadline
	if late >= 0 {
		return append(settled, p.refuse(t, verdict.CodeOverloaded, "expected wait is past the deadline", late))
	}
	t.state = stateWaiting
	p.classes[t.Class].add(now, t)
	p.queued++
	p.earliest = min(p.earliest, t.Deadline)
	return settled
}

// hasRoom tells whether t may wait. A workspace may hold no more of the queue than
// is still free, times its weight over the mean: so those who send most can't shut
// others out, and no one who waits has to be sent away for another.
func (p *Pool) hasRoom(t *Ticket) bool {
	free := p.limit - p.queued
	if free <= 0 {
		return false
	}
	c := &p.classes[t.Class]
	own := c.length(t.Workspace)
	return own == 0 || float64(own) < float64(free)*c.relativeWeight(t)
}

// Release ends a request that was granted. It returns the waiting ones that are
// settled by that.
func (p *Pool) Release(now time.Duration, t *Ticket) []*Ticket {
	if t.state != stateGranted {
		return nil
	}
	t.state = stateEnded
	p.running--
	p.service.add(now - t.began)
	p.classes[t.Class].service.add(now - t.began)
	return p.dispatch(now)
}

// Withdraw ends a request whose caller left while it waited.
func (p *Pool) Withdraw(t *Ticket) {
	if t.state != stateWaiting {
		return
	}
	p.remove(t)
	t.state = stateEnded
}

// Expire refuses the waiting requests that can't end in time any more.
func (p *Pool) Expire(now time.Duration) []*Ticket {
	if p.queued == 0 || now+p.longestService() < p.earliest {
		return nil
	}
	p.earliest = never
	var out []*Ticket
	for i := range p.classes {
		late, earliest := p.classes[i].hopeless(now, p.serviceTime(uint8(i), hopelessDeviations))
		p.earliest = min(p.earliest, earliest)
		for _, t := range late {
			p.remove(t)
			out = append(out, p.refuse(t, verdict.CodeOverloaded, "deadline is too close", p.drain()))
		}
	}
	return out
}

// HopelessAt is when Expire refuses t if it still waits.
func (p *Pool) HopelessAt(t *Ticket) time.Duration {
	return t.Deadline - p.serviceTime(t.Class, hopelessDeviations)
}

func (p *Pool) remove(t *Ticket) {
	c := &p.classes[t.Class]
	c.remove(t)
	p.queued--
	if c.size == 0 {
		c.passed = 0
	}
}

func (p *Pool) dispatch(now time.Duration) []*Ticket {
	out := p.Expire(now)
	for p.queued > 0 && p.running < p.capacity {
		c := p.pickClass()
		t := c.next(now)
		p.queued--
		if c.size == 0 {
			c.passed = 0
		}
		out = append(out, p.grant(now, t))
	}
	return out
}

// pickClass takes the most urgent class, or one that was passed over too often.
func (p *Pool) pickClass() *class {
	var first, starved *class
	for i := range p.classes {
		c := &p.classes[i]
		if c.size == 0 {
			continue
		}
		if first == nil {
			first = c
		}
		if c.passed >= classCycle && (starved == nil || c.passed > starved.passed) {
			starved = c
		}
	}
	if starved != nil {
		first = starved
	}
	for i := range p.classes {
		if c := &p.classes[i]; c.size > 0 {
			c.passed++
		}
	}
	first.passed = 0
	return first
}

func (p *Pool) grant(now time.Duration, t *Ticket) *Ticket {
	p.running++
	t.state = stateGranted
	t.began = now
	return t
}

// refuse settles t as not run. after is no less than the time of one request.
func (p *Pool) refuse(t *Ticket, code verdict.Code, text string, after time.Duration) *Ticket {
	after = max(after, p.timeFor(1))
	if after <= 0 {
		after = unknownRetryAfter
	}
	t.state = stateRefused
	t.err = verdict.New(verdict.NotRun, code, text).WithRetryAfter(spread(after, t.Draw))
	return t
}

// wait is how long t would wait: the work ahead of it over the measured rate. Others
// will come and go first, as they did lately: so it is no less than what the class and
// the workspace, where they are backlogged, have needed for each of their requests.
func (p *Pool) wait(t *Ticket) time.Duration {
	c := &p.classes[t.Class]
	inClass := c.ahead(t)
	ahead := inClass
	for i := range t.Class {
		ahead += p.classes[i].size
	}
	ahead = min(ahead, (inClass+1)*classCycle)
	wait := max(p.timeFor(ahead+1), c.turns.timeFor(inClass+1))
	if f := c.flows[t.Workspace]; f != nil && len(f.queue) > 0 {
		wait = max(wait, f.turns.timeFor(len(f.queue)+1))
	}
	return wait
}

// drain is how long what waits now takes.
func (p *Pool) drain() time.Duration {
	return min(p.timeFor(p.queued+1), maxRetryAfter)
}

// timeFor is how long it takes until n more requests have ended.
func (p *Pool) timeFor(n int) time.Duration {
	return time.Duration(float64(n) * float64(p.service.value) / float64(max(p.capacity, 1)))
}

// serviceTime is how long a request of the class takes, with some deviations more: of
// all classes where the class has had none yet.
func (p *Pool) serviceTime(class uint8, deviations float64) time.Duration {
	if m := p.classes[class].service; m.samples > 0 {
		return m.times(1, deviations)
	}
	return p.service.times(1, deviations)
}

func (p *Pool) longestService() time.Duration {
	longest := p.service.times(1, hopelessDeviations)
	for i := range p.classes {
		longest = max(longest, p.classes[i].service.times(1, hopelessDeviations))
	}
	return longest
}

// spread draws a time between d and twice d, so that callers who were refused
// together do not come back together.
func spread(d time.Duration, draw float64) time.Duration {
	return min(d+time.Duration(draw*float64(d)), maxRetryAfter)
}

// mean is an exponentially weighted mean over about meanSamples samples, with the
// mean deviation from it.
type mean struct {
	value, deviation time.Duration
	samples          int
}

func (m *mean) add(d time.Duration) {
	m.samples = min(m.samples+1, meanSamples)
	m.deviation += ((d - m.value).Abs() - m.deviation) / time.Duration(m.samples)
	if m.samples == 1 {
		m.deviation = 0
	}
	m.value += (d - m.value) / time.Duration(m.samples)
}

// times is the sum of n samples, with some deviations of that sum more.
func (m *mean) times(n int, deviations float64) time.Duration {
	return time.Duration(n)*m.value + time.Duration(deviations*math.Sqrt(float64(n))*float64(m.deviation))
}
