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
	// virtual is the start time of the last request that went.
	virtual float64
	flows   map[string]*flow
	heap    flowHeap
	arrived uint64
	size    int
	weights float64
	turns   turns
}

// flow is one workspace of a class.
type flow struct {
	weight float64
	// start is the virtual time at which the head of queue goes, finish that at
	// which the last one that went is paid for.
	start, finish float64
	// arrival orders flows of the same start.
	arrival uint64
	queue   []*Ticket
	index   int
	turns   turns
}

// turns measures how long a backlogged queue waits from one turn to the next.
type turns struct {
	last time.Duration
	gap  mean
}

// begin starts to measure where a backlog begins, taken notes a turn.
func (u *turns) begin(now time.Duration) { u.last = now }

func (u *turns) taken(now time.Duration) {
	u.gap.add(now - u.last)
	u.last = now
}

// timeFor is how long n turns take.
func (u *turns) timeFor(n int) time.Duration { return u.gap.times(n, admitDeviations) }

// pruneAbove is how many flows without requests are kept for their finish times.
const pruneAbove = 256

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
		q.turns.begin(now)
	}
	q.size++
	f.queue = append(f.queue, t)
	if len(f.queue) > 1 {
		return
	}
	f.turns.begin(now)
	f.weight = t.Weight
	f.start = max(q.virtual, f.finish)
	q.arrived++
	f.arrival = q.arrived
	q.weights += f.weight
	heap.Push(&q.heap, f)
}

// next removes the request that goes next. There is at least one.
func (q *fairQueue) next(now time.Duration) *Ticket {
	f := q.heap[0]
	f.turns.taken(now)
	q.turns.taken(now)
	t := f.queue[0]
	q.virtual = f.start
	f.finish = f.start + t.Cost/f.weight
	f.start = f.finish
	f.queue[0] = nil
	f.queue = f.queue[1:]
	q.size--
	if len(f.queue) > 0 {
		heap.Fix(&q.heap, 0)
		return t
	}
	q.idle(f)
	return t
}

// remove withdraws a request that waits.
func (q *fairQueue) remove(t *Ticket) {
	f := q.flows[t.Workspace]
	i := slices.Index(f.queue, t)
	f.queue = slices.Delete(f.queue, i, i+1)
	q.size--
	if len(f.queue) == 0 {
		q.idle(f)
	}
}

// idle takes a flow without requests out of the order. What it has had is
// remembered until the others have had as much.
func (q *fairQueue) idle(f *flow) {
	heap.Remove(&q.heap, f.index)
	q.weights -= f.weight
	if q.size == 0 {
		*q = fairQueue{}
		return
	}
	if len(q.flows) <= 2*len(q.heap)+pruneAbove {
		return
	}
	for name, g := range q.flows {
		if len(g.queue) == 0 && g.finish <= q.virtual {
			delete(q.flows, name)
		}
	}
}

// length is how many requests of a workspace wait.
func (q *fairQueue) length(workspace string) int {
	if f := q.flows[workspace]; f != nil {
		return len(f.queue)
	}
	return 0
}

// relativeWeight is a workspace's weight over the mean of those that wait, itself
// included.
func (q *fairQueue) relativeWeight(t *Ticket) float64 {
	sum, n := q.weights, float64(len(q.heap))
	if q.length(t.Workspace) == 0 {
		sum += t.Weight
		n++
	}
	return t.Weight * n / sum
}

// ahead counts the requests that go before t, were it added now.
func (q *fairQueue) ahead(t *Ticket) int {
	tag := q.virtual
	own := q.flows[t.Workspace]
	if own != nil {
		tag = max(tag, own.finish)
		if len(own.queue) > 0 {
			tag = own.start + costOf(own.queue)/own.weight
		}
	}
	n := 0
	for _, f := range q.heap {
		if f == own {
			n += len(f.queue)
			continue
		}
		n += f.before(tag)
	}
	return n
}

// before counts the requests that start no later than a virtual time.
func (f *flow) before(tag float64) int {
	start := f.start
	for i, t := range f.queue {
		if start > tag {
			return i
		}
		start += t.Cost / f.weight
	}
	return len(f.queue)
}

func costOf(tickets []*Ticket) float64 {
	sum := 0.0
	for _, t := range tickets {
		sum += t.Cost
	}
	return sum
}

// hopeless returns the requests that can't end in time any more, and the earliest
// deadline of the others.
func (q *fairQueue) hopeless(now, service time.Duration) (late []*Ticket, earliest time.Duration) {
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
	return h[i].arrival < h[j].arrival
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
