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
	s        *peer.Session
	d        *wire.Dispatch
	ctx      context.Context
	cancel   context.CancelFunc
	window   *window
	stopWait func() bool

	started bool
	arrival uint64
	index   int
}

func newAttempt(s *peer.Session, d *wire.Dispatch) *attempt {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.TimeoutMS)*time.Millisecond)
	at := &attempt{s: s, d: d, ctx: ctx, cancel: cancel, window: newWindow(d.Window)}
	go at.watchSession()
	return at
}

// watchSession cancels an idempotent attempt whose session is lost: nobody can get
// its answer, and the caller may get another attempt's. A non-idempotent call goes
// on, since work cut in the middle helps nobody; its outcome is not reported and
// counts as unknown.
func (at *attempt) watchSession() {
	select {
	case <-at.s.Done():
		if at.d.Claim == nil {
			at.cancel()
		}
	case <-at.ctx.Done():
	}
}

// waiting is a heap of attempts: the most urgent first, then the earliest.
type waiting []*attempt

// Len implements heap.Interface.
func (w waiting) Len() int { return len(w) }

// Less implements heap.Interface.
func (w waiting) Less(i, j int) bool {
	if w[i].d.Urgency != w[j].d.Urgency {
		return w[i].d.Urgency < w[j].d.Urgency
	}
	return w[i].arrival < w[j].arrival
}

// Swap implements heap.Interface.
func (w waiting) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiting) Push(x any) {
	at := x.(*attempt)
	at.index = len(*w)
	*w = append(*w, at)
}

// Pop implements heap.Interface.
func (w *waiting) Pop() any {
	last := len(*w) - 1
	at := (*w)[last]
	(*w)[last] = nil
	*w = (*w)[:last]
	return at
}

// window counts the body bytes that may be sent.
type window struct {
	// mu guards left.
	mu    sync.Mutex
	left  uint64
	added chan struct{}
}

func newWindow(n uint64) *window {
	return &window{left: n, added: make(chan struct{}, 1)}
}

func (w *window) add(n uint64) {
	w.mu.Lock()
	w.left += n
	w.mu.Unlock()
	select {
	case w.added <- struct{}{}:
	default:
	}
}

// take waits until some bytes may be sent and takes up to want of them.
func (w *window) take(ctx context.Context, want int, lost <-chan struct{}) (int, error) {
	for {
		if n := w.tryTake(want); n > 0 {
			return n, nil
		}
		select {
		case <-w.added:
		case <-lost:
			return 0, peer.ErrClosed
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func (w *window) tryTake(want int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := min(uint64(want), w.left)
	w.left -= n
	return int(n)
}

// memory is a set that forgets its oldest members beyond a bound.
type memory[K comparable] struct {
	bound   int
	order   []K
	next    int
	members map[K]struct{}
}

func newMemory[K comparable](bound int) *memory[K] {
	return &memory[K]{bound: bound, members: make(map[K]struct{})}
}

// add reports whether k is new.
func (m *memory[K]) add(k K) bool {
	if m.has(k) {
		return false
	}
	m.members[k] = struct{}{}
	if len(m.order) < m.bound {
		m.order = append(m.order, k)
		return true
	}
	delete(m.members, m.order[m.next])
	m.order[m.next] = k
	m.next = (m.next + 1) % m.bound
	return true
}

func (m *memory[K]) has(k K) bool {
	_, ok := m.members[k]
	return ok
}

// remove forgets k early. Its place in the order stays taken until it comes round;
// a k that was added again meanwhile may be forgotten that much sooner.
func (m *memory[K]) remove(k K) { delete(m.members, k) }
