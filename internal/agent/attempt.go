package agent

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// attempt is a dispatch that was taken. Agent.mu guards started, index and arrival.
type attempt struct {
	session             *peer.Session
	dispatch            *wire.Dispatch
	ctx                 context.Context
	cancel              context.CancelFunc
	window              *creditWindow
	stopWatchingContext func() bool

	started       bool
	arrivalNumber uint64
	heapIndex     int
}

func newAttempt(s *peer.Session, d *wire.Dispatch) *attempt {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.TimeoutMS)*time.Millisecond)
	at := &attempt{session: s, dispatch: d, ctx: ctx, cancel: cancel, window: newCreditWindow(d.Window)}
	go at.watchSession()
	return at
}

// watchSession cancels an idempotent attempt whose session is lost: nobody can get
// its answer, and the caller may get another attempt's. A non-idempotent call goes
// on, since work cut in the middle helps nobody; its outcome is not reported and
// counts as unknown.
func (at *attempt) watchSession() {
	select {
	case <-at.session.Done():
		if at.dispatch.Claim == nil {
			at.cancel()
		}
	case <-at.ctx.Done():
	}
}

// attemptHeap is a heap of attempts: the most urgent first, then the earliest.
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

// creditWindow counts the body bytes that may be sent.
type creditWindow struct {
	// mu guards left.
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

// take waits until some bytes may be sent and takes up to want of them.
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

// recentSet is a set that forgets its oldest members beyond a bound.
type recentSet[K comparable] struct {
	limit   int
	ring    []K
	oldest  int
	members map[K]struct{}
}

func newRecentSet[K comparable](bound int) *recentSet[K] {
	return &recentSet[K]{limit: bound, members: make(map[K]struct{})}
}

// add reports whether k is new.
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

// remove forgets k early. Its place in the order stays taken until it comes round;
// a k that was added again meanwhile may be forgotten that much sooner.
func (m *recentSet[K]) remove(k K) { delete(m.members, k) }
