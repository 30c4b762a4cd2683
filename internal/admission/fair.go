package admission

import (
	"container/heap"
	"slices"
	"time"
)

// fairQueue orders the waiting requests of one class by start-time fair queueing. Each
// workspace has a virtual start time, which advances by cost divided by weight with each
// request that is dequeued. The workspace with the earliest start time is served next. So
// backlogged workspaces get work in proportion to their weights, whatever their arrival
// patterns, and a workspace that was idle is neither penalised nor compensated for that.
//
// Start times belong to workspaces rather than to requests, so a withdrawn request costs
// its workspace nothing.
type fairQueue struct {
	// virtualTime is the virtual start time of the last dequeued request.
	virtualTime float64
	flows       map[string]*flow
	heap        flowHeap
	// activations counts the times that an idle flow got a request.
	activations uint64
	size        int
	totalWeight float64
	dequeues    dequeueIntervals
}

// flow is the queue of one workspace within a class.
type flow struct {
	weight float64
	// start is the virtual start time of the head of queue. finish is the virtual finish
	// time of the last dequeued request.
	start, finish float64
	// activation breaks ties between flows with the same start time.
	activation uint64
	queue      []*Ticket
	// index is the position in the flowHeap.
	index    int
	dequeues dequeueIntervals
}

// dequeueIntervals measures the time between dequeues of a backlogged queue.
type dequeueIntervals struct {
	last     time.Duration
	interval movingMean
}

// restart starts a measurement when a backlog begins.
func (u *dequeueIntervals) restart(now time.Duration) { u.last = now }

// record adds the interval since the previous dequeue.
func (u *dequeueIntervals) record(now time.Duration) {
	u.interval.add(now - u.last)
	u.last = now
}

// expectedTime returns how long n dequeues take, or zero if too few were measured.
func (u *dequeueIntervals) expectedTime(n int) time.Duration {
	if u.interval.samples < minDequeues {
		return 0
	}
	return u.interval.sumOf(n, dequeueDeviations)
}

// minDequeues is how many intervals must be measured before they are used as an estimate.
const minDequeues = 8

// pruneThreshold is how many idle flows are kept, for their finish times, before flows that
// no longer matter are deleted.
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

// next dequeues a request. The queue must not be empty.
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

// remove takes a waiting request out of the queue without serving it.
func (q *fairQueue) remove(t *Ticket) {
	f := q.flows[t.Workspace]
	i := slices.Index(f.queue, t)
	f.queue = slices.Delete(f.queue, i, i+1)
	q.size--
	if len(f.queue) == 0 {
		q.deactivate(f)
	}
}

// deactivate removes a flow without requests from the heap. The flow keeps its finish time
// until virtualTime reaches it, so a workspace gains nothing by emptying its queue.
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

// queuedBy returns how many requests of a workspace wait.
func (q *fairQueue) queuedBy(workspace string) int {
	if f := q.flows[workspace]; f != nil {
		return len(f.queue)
	}
	return 0
}

// relativeWeight returns the weight of t's workspace divided by the mean weight of all
// backlogged workspaces, including that of t.
func (q *fairQueue) relativeWeight(t *Ticket) float64 {
	sum, n := q.totalWeight, float64(len(q.heap))
	if q.queuedBy(t.Workspace) == 0 {
		sum += t.Weight
		n++
	}
	return t.Weight * n / sum
}

// countAhead returns how many waiting requests would be served before t if t were added now.
func (q *fairQueue) countAhead(t *Ticket) int {
	start := q.virtualTime
	own := q.flows[t.Workspace]
	if own != nil {
		start = max(start, own.finish)
		if len(own.queue) > 0 {
			start = own.start + totalCost(own.queue)/own.weight
		}
	}
	n := 0
	for _, f := range q.heap {
		if f == own {
			n += len(f.queue)
			continue
		}
		n += f.countStartingBy(start)
	}
	return n
}

// countStartingBy returns how many requests of the flow start no later than a virtual time.
func (f *flow) countStartingBy(limit float64) int {
	start := f.start
	for i, t := range f.queue {
		if start > limit {
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

// findExpired returns the requests that can no longer finish by their deadlines if they
// take the given service time, and the earliest deadline of the others.
func (q *fairQueue) findExpired(now, service time.Duration) (expired []*Ticket, earliest time.Duration) {
	earliest = never
	for _, f := range q.heap {
		for _, t := range f.queue {
			if now+service >= t.Deadline {
				expired = append(expired, t)
				continue
			}
			earliest = min(earliest, t.Deadline)
		}
	}
	return expired, earliest
}

// flowHeap is a min-heap of flows by virtual start time.
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
