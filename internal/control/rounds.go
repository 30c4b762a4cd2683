package control

import (
	"sync"
	"time"
)

// roundInterval is the shortest time between the starts of two rounds.
const roundInterval = 5 * time.Millisecond

// rounds joins items that are to be sent to other hosts, so that hundreds at once cost a few messages to
// each host. An item waits for roundInterval at most, and not at all if no round has started just before.
// Rounds overlap: none waits for the end of another.
type rounds[T any] struct {
	// run sends the items of a round and returns its result. It must be bounded in time.
	run func([]T) error

	// mu guards the fields below.
	mu sync.Mutex
	// next is the round that has not started yet; nil if no item waits for one.
	next *round[T]
	// lastStart is when the last round was started.
	lastStart time.Time
}

// round is some items that are sent together.
type round[T any] struct {
	items []T
	// started is closed when the items are about to be sent, done when the result is known.
	started, done chan struct{}
	// err is the result. It is valid once done is closed.
	err error
}

// join adds an item to the next round, which it returns.
func (r *rounds[T]) join(item T) *round[T] {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &round[T]{started: make(chan struct{}), done: make(chan struct{})}
		time.AfterFunc(roundInterval-time.Since(r.lastStart), r.startNext)
	}
	r.next.items = append(r.next.items, item)
	return r.next
}

func (r *rounds[T]) startNext() {
	r.mu.Lock()
	current := r.next
	r.next, r.lastStart = nil, time.Now()
	r.mu.Unlock()
	close(current.started)
	current.err = r.run(current.items)
	close(current.done)
}
