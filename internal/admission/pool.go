package admission

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// Classes is the number of urgency levels of RFC 9218. 0 is the most urgent.
	Classes = 8
	// maxClassBypasses is how many requests of other classes may be dequeued while a class
	// waits, before that class is served. So each backlogged class gets at least one of
	// about every maxClassBypasses requests and can't starve.
	maxClassBypasses = 50
	// meanWindow is the approximate number of recent samples that a movingMean covers.
	meanWindow = 64
	// An estimate is the measured mean plus this many mean deviations. admitDeviations is
	// for the service time of a request that arrives, expiryDeviations for that of a request
	// that already waits. The latter is lower, so a queued request is refused only if its
	// prospects have clearly worsened. dequeueDeviations is for the dequeue intervals
	// ahead of a request that arrives.
	admitDeviations   = 2
	expiryDeviations  = 1
	dequeueDeviations = 1
	// waitMarginDivisor sets the safety margin on an expected wait to wait/waitMarginDivisor,
	// because the mix of requests may change during the wait.
	waitMarginDivisor = 2
	// defaultRetryAfter is the Retry-After time if no upstream is ready or no service time
	// has been measured. Agents announce their upstreams once per second.
	defaultRetryAfter = time.Second
	// maxRetryAfter is the longest Retry-After time given to a caller.
	maxRetryAfter = 30 * time.Second

	// never is a deadline that is never reached.
	never = time.Duration(math.MaxInt64)
)

// state is the stage of a Ticket in its life cycle.
type state uint8

const (
	stateNew state = iota
	stateWaiting
	stateRunning
	stateRefused
	stateEnded
)

// Ticket represents one request in a Pool.
type Ticket struct {
	// Workspace identifies the workspace. Weight is its weight in fair queueing.
	Workspace string
	Weight    float64
	// Class is the urgency, from 0 to Classes-1.
	Class uint8
	// Cost is the expected work, above zero, in a unit common to all tickets.
	Cost float64
	// Deadline is when the answer must be complete, on the clock of the Pool's caller.
	Deadline time.Duration
	// Jitter is a uniform value in [0, 1). It spreads the times at which refused callers retry.
	Jitter float64

	state     state
	startedAt time.Duration
	err       *verdict.Error
	// decided is closed by the Controller once the ticket is running or refused.
	decided chan struct{}
}

// Pool decides which requests may use this host's share of a pool's capacity. It is pure:
// time and randomness are arguments. It is not safe for concurrent use.
//
// Invariants: no request waits while a slot is free, and at most limit requests wait.
type Pool struct {
	limit    int
	capacity int
	running  int
	queued   int
	classes  [Classes]class
	// service is the mean service time over all classes.
	service movingMean
	// earliest is a lower bound of the deadlines of all waiting requests.
	earliest time.Duration
}

// class is the queue of one urgency level.
type class struct {
	fairQueue
	// service is the mean service time of the class.
	service movingMean
	// bypasses counts the requests of other classes that were dequeued, since this class was
	// last served, while requests waited here.
	bypasses int
}

// NewPool returns a Pool with zero capacity, in which up to limit requests may wait.
func NewPool(limit int) *Pool { return &Pool{limit: limit, earliest: never} }

// Running returns how many requests hold a slot.
func (p *Pool) Running() int { return p.running }

// Queued returns how many requests wait.
func (p *Pool) Queued() int { return p.queued }

// Capacity returns the capacity last set by SetCapacity.
func (p *Pool) Capacity() int { return p.capacity }

// SetCapacity sets how many requests may run concurrently. It returns the waiting requests
// that it started or refused.
func (p *Pool) SetCapacity(now time.Duration, n int) []*Ticket {
	p.capacity = n
	return p.dispatch(now)
}

// Submit starts, refuses or queues a new request. It returns all requests that it started
// or refused, which may include earlier ones that expired.
func (p *Pool) Submit(now time.Duration, t *Ticket) []*Ticket {
	decided := p.Expire(now)
	if p.capacity == 0 {
		return append(decided, p.refuse(t, verdict.CodeNoUpstream, "no upstream is ready", defaultRetryAfter))
	}
	if p.queued == 0 && p.running < p.capacity {
		return append(decided, p.start(now, t))
	}
	wait := p.expectedWait(t)
	if !p.mayQueue(t) {
		return append(decided, p.refuse(t, verdict.CodeOverloaded, "queue is full", wait))
	}
	overrun := now + wait + wait/waitMarginDivisor + p.serviceTime(t.Class, admitDeviations) - t.Deadline
	if overrun >= 0 {
		return append(decided, p.refuse(t, verdict.CodeOverloaded, "expected wait is past the deadline", overrun))
	}
	t.state = stateWaiting
	p.classes[t.Class].add(now, t)
	p.queued++
	p.earliest = min(p.earliest, t.Deadline)
	return decided
}

// mayQueue reports whether t may wait. A workspace may have at most as many requests in the
// queue as there are free queue slots, times its relative weight. So workspaces that send
// the most can't block others, and no queued request has to be evicted for a new one.
func (p *Pool) mayQueue(t *Ticket) bool {
	free := p.limit - p.queued
	if free <= 0 {
		return false
	}
	c := &p.classes[t.Class]
	queued := c.queuedBy(t.Workspace)
	return queued == 0 || float64(queued) < float64(free)*c.relativeWeight(t)
}

// Release ends a running request. It returns the waiting requests that it started or
// refused.
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

// Withdraw removes a waiting request whose caller has given up.
func (p *Pool) Withdraw(t *Ticket) {
	if t.state != stateWaiting {
		return
	}
	p.remove(t)
	t.state = stateEnded
}

// Expire refuses the waiting requests that can no longer finish by their deadlines, and
// returns them.
func (p *Pool) Expire(now time.Duration) []*Ticket {
	if p.queued == 0 || now+p.longestService() < p.earliest {
		return nil
	}
	p.earliest = never
	var refused []*Ticket
	for i := range p.classes {
		expired, earliest := p.classes[i].findExpired(now, p.serviceTime(uint8(i), expiryDeviations))
		p.earliest = min(p.earliest, earliest)
		for _, t := range expired {
			p.remove(t)
			refused = append(refused, p.refuse(t, verdict.CodeOverloaded, "deadline is too close", p.drainTime()))
		}
	}
	return refused
}

// ExpiresAt returns the time from which Expire refuses t if it still waits.
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

// dispatch starts waiting requests while slots are free.
func (p *Pool) dispatch(now time.Duration) []*Ticket {
	decided := p.Expire(now)
	for p.queued > 0 && p.running < p.capacity {
		c := p.nextClass()
		t := c.next(now)
		p.queued--
		if c.size == 0 {
			c.bypasses = 0
		}
		decided = append(decided, p.start(now, t))
	}
	return decided
}

// nextClass returns the class to serve next: the most urgent one with waiting requests, or
// one that was bypassed maxClassBypasses times.
func (p *Pool) nextClass() *class {
	var next, starved *class
	for i := range p.classes {
		c := &p.classes[i]
		if c.size == 0 {
			continue
		}
		if next == nil {
			next = c
		}
		if c.bypasses >= maxClassBypasses && (starved == nil || c.bypasses > starved.bypasses) {
			starved = c
		}
	}
	if starved != nil {
		next = starved
	}
	for i := range p.classes {
		if c := &p.classes[i]; c.size > 0 {
			c.bypasses++
		}
	}
	next.bypasses = 0
	return next
}

func (p *Pool) start(now time.Duration, t *Ticket) *Ticket {
	p.running++
	t.state = stateRunning
	t.startedAt = now
	return t
}

// refuse marks t as refused without having run. The Retry-After time is raised to at least
// the expected time until one running request ends.
func (p *Pool) refuse(t *Ticket, code verdict.Code, text string, after time.Duration) *Ticket {
	after = max(after, p.expectedTime(1))
	if after <= 0 {
		after = defaultRetryAfter
	}
	t.state = stateRefused
	t.err = verdict.New(verdict.NotRun, code, text).WithRetryAfter(addJitter(after, t.Jitter))
	return t
}

// expectedWait returns how long t would wait. It is the time for the requests ahead of t at
// the measured service time, but no less than what the recent dequeue intervals of the class
// and of the workspace, if backlogged, give for their requests ahead of t. The intervals
// account for requests that arrive later and are still served before t.
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

// drainTime returns how long it takes to serve all waiting requests, at most maxRetryAfter.
func (p *Pool) drainTime() time.Duration {
	return min(p.expectedTime(p.queued+1), maxRetryAfter)
}

// expectedTime returns how long it takes until n more requests have ended.
func (p *Pool) expectedTime(n int) time.Duration {
	return time.Duration(float64(n) * float64(p.service.value) / float64(max(p.capacity, 1)))
}

// serviceTime returns the mean service time of the class plus the given number of mean
// deviations. Until a request of the class has ended, it uses the mean over all classes.
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

// addJitter returns a duration between d and 2d, at most maxRetryAfter, so callers that were
// refused together do not retry together. jitter is in [0, 1).
func addJitter(d time.Duration, jitter float64) time.Duration {
	return min(d+time.Duration(jitter*float64(d)), maxRetryAfter)
}

// movingMean is an exponentially weighted moving mean over about meanWindow samples, with
// the mean absolute deviation from it.
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

// sumOf returns the expected sum of n samples plus the given number of its deviations. The
// deviation of a sum grows with the square root of n.
func (m *movingMean) sumOf(n int, deviations float64) time.Duration {
	return time.Duration(n)*m.value + time.Duration(deviations*math.Sqrt(float64(n))*float64(m.deviation))
}
