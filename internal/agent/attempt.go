package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// attempt is a dispatch that the agent has accepted. Agent.mu guards started, heapIndex and
// arrivalNumber.
type attempt struct {
	session             *peer.Session
	dispatch            *wire.Dispatch
	ctx                 context.Context
	cancel              context.CancelFunc
	window              *creditWindow
	stopWatchingContext func() bool
	// began is when the attempt was sent to the upstream. Only run uses it.
	began time.Time

	started       bool
	arrivalNumber uint64
	heapIndex     int
}

func newAttempt(s *peer.Session, d *wire.Dispatch) *attempt {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.TimeoutMS)*time.Millisecond)
	at := &attempt{session: s, dispatch: d, ctx: ctx, cancel: cancel, window: newCreditWindow(d.FlowWindow)}
	go at.watchSession()
	return at
}

// watchSession cancels an idempotent attempt when its session is lost, because its response can
// no longer be delivered and the caller may get the response of another attempt. A
// non-idempotent call continues, because a call that is interrupted halfway is of no use. Its
// outcome can't be reported over the session and counts as unknown unless it is stored through
// Config.Recorder.
func (at *attempt) watchSession() {
	select {
	case <-at.session.Done():
		if at.dispatch.Claim == nil {
			at.cancel()
		}
	case <-at.ctx.Done():
	}
}

// attemptHeap is a heap of waiting attempts, ordered by urgency and then by arrival.
type attemptHeap []*attempt

// Len implements heap.Interface.
func (w attemptHeap) Len() int { return len(w) }

// Less implements heap.Interface.
func (w attemptHeap) Less(i, j int) bool {
	if w[i].dispatch.Urgency != w[j].dispatch.Urgency {
		return w[i].dispatch.Urgency < w[j].dispatch.Urgency
	}
	return w[i].arrivalNumber < w[j].arrivalNumber
}

// Swap implements heap.Interface.
func (w attemptHeap) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].heapIndex, w[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (w *attemptHeap) Push(x any) {
	at := x.(*attempt)
	at.heapIndex = len(*w)
	*w = append(*w, at)
}

// Pop implements heap.Interface.
func (w *attemptHeap) Pop() any {
	last := len(*w) - 1
	at := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	return at
}

// creditWindow is the flow control window of an attempt: the number of body bytes that may be
// sent until the entry host grants more credit.
type creditWindow struct {
	// mu guards available.
	mu        sync.Mutex
	available uint64
	changed   chan struct{}
}

func newCreditWindow(n uint64) *creditWindow {
	return &creditWindow{available: n, changed: make(chan struct{}, 1)}
}

func (w *creditWindow) add(n uint64) {
	w.mu.Lock()
	w.available += n
	w.mu.Unlock()
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// take waits until bytes may be sent, then deducts up to want bytes from the window and returns
// how many. It fails if ctx ends or lost is closed.
func (w *creditWindow) take(ctx context.Context, want int, lost <-chan struct{}) (int, error) {
	for {
		if n := w.tryTake(want); n > 0 {
			return n, nil
		}
		select {
		case <-w.changed:
		case <-lost:
			return 0, peer.ErrClosed
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func (w *creditWindow) tryTake(want int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(uint64(want), w.available)
	w.available -= n
	return int(n)
}

// recentSet is a set of limited size that evicts its oldest member to add a new one.
type recentSet[K comparable] struct {
	limit   int
	ring    []K
	oldest  int
	members map[K]struct{}
}

func newRecentSet[K comparable](bound int) *recentSet[K] {
	return &recentSet[K]{limit: bound, members: make(map[K]struct{})}
}

// add adds k and reports whether k was not in the set.
func (m *recentSet[K]) add(k K) bool {
	if m.has(k) {
		return false
	}
	m.members[k] = struct{}{}
	if len(m.ring) < m.limit {
		m.ring = append(m.ring, k)
		return true
	}
	delete(m.members, m.ring[m.oldest])
	m.ring[m.oldest] = k
	m.oldest = (m.oldest + 1) % m.limit
	return true
}

func (m *recentSet[K]) has(k K) bool {
	_, ok := m.members[k]
	return ok
}

// remove removes k from members but leaves it in ring until its turn to be evicted. If k is
// added again before that, this eviction removes it early.
func (m *recentSet[K]) remove(k K) { delete(m.members, k) }
