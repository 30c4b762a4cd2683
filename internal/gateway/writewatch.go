package gateway

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// watchInterval is the time between two checks of the writes in progress.
	watchInterval = 50 * time.Millisecond
	// maxWriteTicks is the number of ticks after which a write to the caller of a stream has taken too
	// long, so that another goroutine continues to read from the upstream. The first tick may come
	// just after the write has begun. Upstreams cut off a response that is left unread for some
	// seconds.
	maxWriteTicks = 3
)

// writeWatch finds writes that take too long. A timer for each write would be simpler, but setting
// and stopping one costs about 2 us of processor time for each event. While nothing is watched, no
// goroutine runs.
type writeWatch struct {
	// tick counts the intervals, from 1.
	tick atomic.Int64

	// mu guards the fields below.
	mu        sync.Mutex
	watched   map[*watchedWriter]struct{}
	isRunning bool
}

func newWriteWatch() *writeWatch {
	w := &writeWatch{watched: map[*watchedWriter]struct{}{}}
	w.tick.Store(1)
	return w
}

// watchedWriter records the write to one caller that is in progress.
type watchedWriter struct {
	watch *writeWatch
	// since is the tick in which the write in progress has begun, 0 if there is none, or tooLong.
	since atomic.Int64
	// onTooLong is called in a goroutine of its own if a write takes too long.
	onTooLong func()
}

// tooLong is the value of watchedWriter.since once a write has taken too long.
const tooLong = -1

// add watches a writer until it is removed. onTooLong is called at most once.
func (w *writeWatch) add(onTooLong func()) *watchedWriter {
	writer := &watchedWriter{watch: w, onTooLong: onTooLong}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched[writer] = struct{}{}
	if !w.isRunning {
		w.isRunning = true
		go w.run()
	}
	return writer
}

func (w *writeWatch) remove(writer *watchedWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.watched, writer)
}

// run checks the writers until there are none.
func (w *writeWatch) run() {
	for w.check() {
		time.Sleep(watchInterval)
	}
}

// check calls onTooLong where a write takes too long. It returns false if there are no writers.
func (w *writeWatch) check() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.tick.Add(1)
	for writer := range w.watched {
		if since := writer.since.Load(); since > 0 && now-since >= maxWriteTicks && writer.since.CompareAndSwap(since, tooLong) {
			go writer.onTooLong()
			delete(w.watched, writer)
		}
	}
	w.isRunning = len(w.watched) > 0
	return w.isRunning
}

// begin records that a write begins.
func (w *watchedWriter) begin() { w.since.Store(w.watch.tick.Load()) }

// end records that the write has ended. It returns false if it took too long, so that onTooLong is
// called.
func (w *watchedWriter) end() bool {
	since := w.since.Load()
	return since != tooLong && w.since.CompareAndSwap(since, 0)
}
