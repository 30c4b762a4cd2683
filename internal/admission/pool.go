package admission

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// Classes is the number of urgencies of RFC 9218; 0 goes first.
	Classes = 8
	// maxClassBypasses is how many requests of other classes may go before one of a class
	// that waits: each class so has one in classCycle of the work at least.
	maxClassBypasses = 50
	// meanWindow is over how many requests the measured means reach back.
	meanWindow = 64
	// admitDeviations is how many mean deviations above its mean a service time counts
	// where a request asks to wait, hopelessDeviations where it waits already: what was
	// let wait is refused only where it got clearly worse. turnDeviations is the same
	// for the turns ahead of a request that asks to wait.
	admitDeviations   = 2
	expiryDeviations  = 1
	dequeueDeviations = 1
	// waitMarginDivisor is the part of an expected wait, as its inverse, by which the mix of
	// requests may change it meanwhile.
	waitMarginDivisor = 2
	// defaultRetryAfter is when to ask again where no upstream is known, or no service
	// time yet: an agent announces once a second.
	defaultRetryAfter = time.Second
	// maxRetryAfter bounds how long a caller is told to stay away.
	maxRetryAfter = 30 * time.Second

	never = time.Duration(math.MaxInt64)
)

// state is where a Ticket is.
type state uint8

const (
	stateNew state = iota
	stateWaiting
	stateRunning
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
	// Jitter is uniform in [0, 1); it spreads the returns of callers who are refused.
	Jitter float64

	state     state
	startedAt time.Duration
	err       *verdict.Error
	// decided belongs to the Controller.
	decided chan struct{}
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
	service movingMean
	// earliest is no later than any deadline of those that wait.
	earliest time.Duration
}

type class struct {
	fairQueue
	service movingMean
	// bypasses counts the requests of other classes that went while some waited here.
	bypasses int
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

// Submit settles a new request or lets it wait. It returns all that are settled by
// that.
func (p *Pool) Submit(now time.Duration, t *Ticket) []*Ticket {
	settled := p.Expire(now)
	if p.capacity == 0 {
		return append(settled, p.refuse(t, verdict.CodeNoUpstream, "no upstream is ready", defaultRetryAfter))
	}
	if p.queued == 0 && p.running < p.capacity {
		return append(settled, p.start(now, t))
	}
	wait := p.expectedWait(t)
	if !p.mayQueue(t) {
		return append(settled, p.refuse(t, verdict.CodeOverloaded, "queue is full", wait))
	}
	late := now + wait + wait/waitMarginDivisor + p.serviceTime(t.Class, admitDeviations) - t.Deadline
	if late >= 0 {
		return append(settled, p.refuse(t, verdict.CodeOverloaded, "expected wait is past the deadline", late))
	}
	t.state = stateWaiting
	p.classes[t.Class].add(now, t)
	p.queued++
	p.earliest = min(p.earliest, t.Deadline)
	return settled
}

// mayQueue tells whether t may wait. A workspace may hold no more of the queue than
// is still free, times its weight over the mean: so those who send most can't shut
// others out, and no one who waits has to be sent away for another.
func (p *Pool) mayQueue(t *Ticket) bool {
	free := p.limit - p.queued
	if free <= 0 {
		return false
	}
	c := &p.classes[t.Class]
	own := c.queuedBy(t.Workspace)
	return own == 0 || float64(own) < float64(free)*c.relativeWeight(t)
}

// Release ends a request that was granted. It returns the waiting ones that are
// settled by that.
func (p *Pool) Release(now time.Duration, t *Ticket) []*Ticket {
	if t.state != stateRunning {
		return nil
	}
	t.state = stateEnded
	p.running--
	p.service.add(now - t.startedAt)
	p.classes[t.Class].service.add(now - t.startedAt)
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
		late, earliest := p.classes[i].findExpired(now, p.serviceTime(uint8(i), expiryDeviations))
		p.earliest = min(p.earliest, earliest)
		for _, t := range late {
			p.remove(t)
			out = append(out, p.refuse(t, verdict.CodeOverloaded, "deadline is too close", p.drainTime()))
		}
	}
	return out
}

// ExpiresAt is when Expire refuses t if it still waits.
func (p *Pool) ExpiresAt(t *Ticket) time.Duration {
	return t.Deadline - p.serviceTime(t.Class, expiryDeviations)
}

func (p *Pool) remove(t *Ticket) {
	c := &p.classes[t.Class]
	c.remove(t)
	p.queued--
	if c.size == 0 {
		c.bypasses = 0
	}
}

func (p *Pool) dispatch(now time.Duration) []*Ticket {
	out := p.Expire(now)
	for p.queued > 0 && p.running < p.capacity {
		c := p.nextClass()
		t := c.next(now)
		p.queued--
		if c.size == 0 {
			c.bypasses = 0
		}
		out = append(out, p.start(now, t))
	}
	return out
}

// nextClass takes the most urgent class, or one that was passed over too often.
func (p *Pool) nextClass() *class {
	var first, starved *class
	for i := range p.classes {
		c := &p.classes[i]
		if c.size == 0 {
			continue
		}
		if first == nil {
			first = c
		}
		if c.bypasses >= maxClassBypasses && (starved == nil || c.bypasses > starved.bypasses) {
			starved = c
		}
	}
	if starved != nil {
		first = starved
	}
	for i := range p.classes {
		if c := &p.classes[i]; c.size > 0 {
			c.bypasses++
		}
	}
	first.bypasses = 0
	return first
}

func (p *Pool) start(now time.Duration, t *Ticket) *Ticket {
	p.running++
	t.state = stateRunning
	t.startedAt = now
	return t
}

// refuse settles t as not run. after is no less than the time of one request.
func (p *Pool) refuse(t *Ticket, code verdict.Code, text string, after time.Duration) *Ticket {
	after = max(after, p.expectedTime(1))
	if after <= 0 {
		after = defaultRetryAfter
	}
	t.state = stateRefused
	t.err = verdict.New(verdict.NotRun, code, text).After(addJitter(after, t.Jitter))
	return t
}

// expectedWait is how long t would wait: the work ahead of it over the measured rate. Others
// will come and go first, as they did lately: so it is no less than what the class and
// the workspace, where they are backlogged, have needed for each of their requests.
func (p *Pool) expectedWait(t *Ticket) time.Duration {
	c := &p.classes[t.Class]
	inClass := c.countAhead(t)
	ahead := inClass
	for i := range t.Class {
		ahead += p.classes[i].size
	}
	ahead = min(ahead, (inClass+1)*maxClassBypasses)
	wait := max(p.expectedTime(ahead+1), c.dequeues.expectedTime(inClass+1))
	if f := c.flows[t.Workspace]; f != nil && len(f.queue) > 0 {
		wait = max(wait, f.dequeues.expectedTime(len(f.queue)+1))
	}
	return wait
}

// drainTime is how long what waits now takes.
func (p *Pool) drainTime() time.Duration {
	return min(p.expectedTime(p.queued+1), maxRetryAfter)
}

// expectedTime is how long it takes until n more requests have ended.
func (p *Pool) expectedTime(n int) time.Duration {
	return time.Duration(float64(n) * float64(p.service.value) / float64(max(p.capacity, 1)))
}

// serviceTime is how long a request of the class takes, with some deviations more: of
// all classes where the class has had none yet.
func (p *Pool) serviceTime(class uint8, deviations float64) time.Duration {
	if m := p.classes[class].service; m.samples > 0 {
		return m.sumOf(1, deviations)
	}
	return p.service.sumOf(1, deviations)
}

func (p *Pool) longestService() time.Duration {
	longest := p.service.sumOf(1, expiryDeviations)
	for i := range p.classes {
		longest = max(longest, p.classes[i].service.sumOf(1, expiryDeviations))
	}
	return longest
}

// addJitter draws a time between d and twice d, so that callers who were refused
// together do not come back together.
func addJitter(d time.Duration, draw float64) time.Duration {
	return min(d+time.Duration(draw*float64(d)), maxRetryAfter)
}

// movingMean is an exponentially weighted mean over about meanSamples samples, with the
// mean deviation from it.
type movingMean struct {
	value, deviation time.Duration
	samples          int
}

func (m *movingMean) add(d time.Duration) {
	m.samples = min(m.samples+1, meanWindow)
	m.deviation += ((d - m.value).Abs() - m.deviation) / time.Duration(m.samples)
	if m.samples == 1 {
		m.deviation = 0
	}
	m.value += (d - m.value) / time.Duration(m.samples)
}

// sumOf is the sum of n samples, with some deviations of that sum more.
func (m *movingMean) sumOf(n int, deviations float64) time.Duration {
	return time.Duration(n)*m.value + time.Duration(deviations*math.Sqrt(float64(n))*float64(m.deviation))
}
