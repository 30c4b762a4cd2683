package admission

import (
	"container/heap"
	"slices"
	"time"
)

// fairQueue orders the waiting requests of one class by start-time fair queueing:
// each workspace has a virtual start time, which moves on by cost over weight with
// each request that goes; the earliest start goes next. Workspaces that stay
// backlogged so get work in proportion to their weights, whatever their arrivals,
// and one that comes late neither pays for nor gains from the time it was away.
//
// The times belong to workspaces, not to requests: one that is withdrawn costs its
// workspace nothing.
type fairQueue struct {
	// virtualTime is the start time of the last request that went.
	virtualTime float64
	flows       map[string]*flow
	heap        flowHeap
	activations uint64
	size        int
	totalWeight float64
	dequeues    dequeueIntervals
}

// flow is one workspace of a class.
type flow struct {
	weight float64
	// start is the virtual time at which the head of queue goes, finish that at
	// which the last one that went is paid for.
	start, finish float64
	// activation orders flows of the same start.
	activation uint64
	queue      []*Ticket
	index      int
	dequeues   dequeueIntervals
}

// dequeueIntervals measures how long a backlogged queue waits from one turn to the next.
type dequeueIntervals struct {
	last     time.Duration
	interval movingMean
}

// restart starts to measure where a backlog begins, taken notes a turn.
func (u *dequeueIntervals) restart(now time.Duration) { u.last = now }

func (u *dequeueIntervals) record(now time.Duration) {
	u.interval.add(now - u.last)
	u.last = now
}

// expectedTime is how long n turns take, zero where too few were measured.
func (u *dequeueIntervals) expectedTime(n int) time.Duration {
	if u.interval.samples < minDequeues {
		return 0
	}
	return u.interval.sumOf(n, dequeueDeviations)
}

// minDequeues is how many turns have to be measured before they say anything.
const minDequeues = 8

// pruneThreshold is how many flows without requests are kept for their finish times.
const pruneThreshold = 256

func (q *fairQueue) add(now time.Duration, t *Ticket) {
	if q.flows == nil {
		q.flows = make(map[string]*flow)
	}
	f := q.flows[t.Workspace]
	if f == nil {
		f = &flow{}
		q.flows[t.Workspace] = f
	}
	if q.size == 0 {
		q.dequeues.restart(now)
	}
	q.size++
	f.queue = append(f.queue, t)
	if len(f.queue) > 1 {
		return
	}
	f.dequeues.restart(now)
	f.weight = t.Weight
	f.start = max(q.virtualTime, f.finish)
	q.activations++
	f.activation = q.activations
	q.totalWeight += f.weight
	heap.Push(&q.heap, f)
}

// next removes the request that goes next. There is at least one.
func (q *fairQueue) next(now time.Duration) *Ticket {
	f := q.heap[0]
	f.dequeues.record(now)
	q.dequeues.record(now)
	t := f.queue[0]
	q.virtualTime = f.start
	f.finish = f.start + t.Cost/f.weight
	f.start = f.finish
	f.queue[0] = nil
	f.queue = f.queue[1:]
	q.size--
	if len(f.queue) > 0 {
		heap.Fix(&q.heap, 0)
		return t
	}
	q.deactivate(f)
	return t
}

// remove withdraws a request that waits.
func (q *fairQueue) remove(t *Ticket) {
	f := q.flows[t.Workspace]
	i := slices.Index(f.queue, t)
	f.queue = slices.Delete(f.queue, i, i+1)
	q.size--
	if len(f.queue) == 0 {
		q.deactivate(f)
	}
}

// deactivate takes a flow without requests out of the order. What it has had is
// remembered until the others have had as much.
func (q *fairQueue) deactivate(f *flow) {
	heap.Remove(&q.heap, f.index)
	q.totalWeight -= f.weight
	if q.size == 0 {
		*q = fairQueue{}
		return
	}
	if len(q.flows) <= 2*len(q.heap)+pruneThreshold {
		return
	}
	for name, g := range q.flows {
		if len(g.queue) == 0 && g.finish <= q.virtualTime {
			delete(q.flows, name)
		}
	}
}

// queuedBy is how many requests of a workspace wait.
func (q *fairQueue) queuedBy(workspace string) int {
	if f := q.flows[workspace]; f != nil {
		return len(f.queue)
	}
	return 0
}

// relativeWeight is a workspace's weight over the mean of those that wait, itself
// included.
func (q *fairQueue) relativeWeight(t *Ticket) float64 {
	sum, n := q.totalWeight, float64(len(q.heap))
	if q.queuedBy(t.Workspace) == 0 {
		sum += t.Weight
		n++
	}
	return t.Weight * n / sum
}

// countAhead counts the requests that go before t, were it added now.
func (q *fairQueue) countAhead(t *Ticket) int {
	tag := q.virtualTime
	own := q.flows[t.Workspace]
	if own != nil {
		tag = max(tag, own.finish)
		if len(own.queue) > 0 {
			tag = own.start + totalCost(own.queue)/own.weight
		}
	}
	n := 0
	for _, f := range q.heap {
		if f == own {
			n += len(f.queue)
			continue
		}
		n += f.countStartingBy(tag)
	}
	return n
}

// countStartingBy counts the requests that start no later than a virtual time.
func (f *flow) countStartingBy(tag float64) int {
	start := f.start
	for i, t := range f.queue {
		if start > tag {
			return i
		}
		start += t.Cost / f.weight
	}
	return len(f.queue)
}

func totalCost(tickets []*Ticket) float64 {
	sum := 0.0
	for _, t := range tickets {
		sum += t.Cost
	}
	return sum
}

// findExpired returns the requests that can't end in time any more, and the earliest
// deadline of the others.
func (q *fairQueue) findExpired(now, service time.Duration) (late []*Ticket, earliest time.Duration) {
	earliest = never
	for _, f := range q.heap {
		for _, t := range f.queue {
			if now+service >= t.Deadline {
				late = append(late, t)
				continue
			}
			earliest = min(earliest, t.Deadline)
		}
	}
	return late, earliest
}

// flowHeap has the flow with the earliest start on top.
type flowHeap []*flow

// Len implements heap.Interface.
func (h flowHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].activation < h[j].activation
}

// Swap implements heap.Interface.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
