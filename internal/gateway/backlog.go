package gateway

import (
	"context"
	"runtime/debug"
	"sync"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/memory"
)

// backlogChunkBytes is the size of the pieces in which a backlog takes and gives back memory.
const backlogChunkBytes = 4 << 10

// errTakenOver reports that another goroutine produces the events of a stream now.
var errTakenOver = errors.New("another goroutine produces the events")

// backlog holds the events of a stream that wait for a slow caller, in order. One goroutine adds to
// it and another one takes from it.
type backlog struct {
	// changed gets a value when there is something to take, or the stream has ended.
	changed chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// chunks holds the bytes in order. Each has a capacity of backlogChunkBytes.
	chunks [][]byte
	// end is how the stream has ended; it is valid if hasEnded is set.
	end      streamEnd
	hasEnded bool
	// callerErr is set once writing to the caller has failed.
	callerErr error
}

func newBacklog() *backlog { return &backlog{changed: make(chan struct{}, 1)} }

// signal wakes the goroutine that takes chunks.
func (b *backlog) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// fill copies as much of p as fits into the last chunk, and returns the rest.
func (b *backlog) fill(p []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.chunks) == 0 {
		return p
	}
	last := &b.chunks[len(b.chunks)-1]
	n := min(len(p), cap(*last)-len(*last))
	*last = append(*last, p[:n]...)
	return p[n:]
}

// grow adds a chunk with as much of p as fits into it, and returns the rest.
func (b *backlog) grow(p []byte) []byte {
	n := min(len(p), backlogChunkBytes)
	chunk := append(make([]byte, 0, backlogChunkBytes), p[:n]...)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.chunks = append(b.chunks, chunk)
	return p[n:]
}

// take removes and returns the oldest chunk, or returns nil if there is none. isLast reports that no
// other chunk is left, and hasEnded that none will be added either; end is valid only then.
func (b *backlog) take() (chunk []byte, isLast, hasEnded bool, end streamEnd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.chunks) > 0 {
		chunk = b.chunks[0]
		b.chunks[0] = nil
		b.chunks = b.chunks[1:]
	}
	isLast = len(b.chunks) == 0
	return chunk, isLast, isLast && b.hasEnded, b.end
}

// finish records that nothing more is added.
func (b *backlog) finish(end streamEnd) {
	b.mu.Lock()
	b.end, b.hasEnded = end, true
	b.mu.Unlock()
	b.signal()
}

// fail records that writing to the caller has failed.
func (b *backlog) fail(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callerErr = &callerError{err}
}

// callerFailure returns a *callerError if writing to the caller has failed, else nil.
func (b *backlog) callerFailure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.callerErr
}

// awaitEnd waits until nothing more is added, drops what is left, and returns how the stream has ended.
func (b *backlog) awaitEnd() streamEnd {
	for {
		chunk, _, hasEnded, end := b.take()
		switch {
		case hasEnded:
			return end
		case chunk == nil:
			<-b.changed
		}
	}
}

// startBacklog returns the backlog, which both goroutines use once another one has taken over. From
// its start on the host waits for the caller.
func (r *relay) startBacklog() *backlog {
	r.startOnce.Do(func() {
		r.backlog = newBacklog()
		r.c.memory.Progress(r.c.g.now())
	})
	return r.backlog
}

// takeOver continues the stream in another goroutine than the caller's, which is blocked in a write.
func (r *relay) takeOver(ctx context.Context) {
	b, end := r.startBacklog(), streamBroken
	defer func() {
		if p := recover(); p != nil {
			r.c.warn("panic in a stream", "panic", p, "stack", string(debug.Stack()))
		}
		b.finish(end)
	}()
	r.c.g.counts.increment("streams.slow-callers")
	// The other goroutine may still be reading from the former batch.
	r.batch = nil
	end = r.produce(ctx)
}

// addToBacklog adds the batch to the backlog. If the connection has reached its limit or the host
// has, it waits until the caller has taken enough. An error is a *callerError if the caller has
// failed or its connection was shed.
func (r *relay) addToBacklog(ctx context.Context) error {
	b := r.backlog
	for rest := b.fill(r.batch); len(rest) > 0; {
		if err := r.hold(ctx, backlogChunkBytes); err != nil {
			return err
		}
		rest = b.grow(rest)
	}
	b.signal()
	return b.callerFailure()
}

// hold counts n more bytes. It waits for them until ctx ends.
func (r *relay) hold(ctx context.Context, n int) error {
	for {
		err := r.c.hold(ctx, memory.Response, n)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, memory.ErrShed):
			return &callerError{err}
		case ctx.Err() != nil:
			return err
		}
		r.c.g.memory.AwaitRelease(ctx)
	}
}

// drainBacklog writes the backlog to the caller until the stream has ended, and returns how it
// ended.
func (r *relay) drainBacklog() streamEnd {
	c, b := r.c, r.startBacklog()
	err := r.writeErr
	for err == nil {
		chunk, isLast, hasEnded, end := b.take()
		if chunk != nil {
			err = r.writeChunk(chunk, isLast)
		}
		switch {
		case err != nil:
		case hasEnded:
			return end
		case chunk == nil:
			c.memory.StopWaiting()
			<-b.changed
			c.memory.Progress(c.g.now())
		}
	}
	b.fail(err)
	c.stop(err)
	if b.awaitEnd() == streamComplete {
		c.g.counts.callersGone.Inc(1)
		c.log("caller disconnected", "send", c.attempts, "error", err.Error())
	}
	return streamBroken
}

// writeChunk writes a chunk of the backlog to the caller and gives back its memory. The last one is
// flushed.
func (r *relay) writeChunk(chunk []byte, isLast bool) error {
	if _, err := r.c.w.Write(chunk); err != nil {
		return err
	}
	r.c.memory.Release(memory.Response, backlogChunkBytes)
	r.c.memory.Progress(r.c.g.now())
	if isLast {
		return r.c.control.Flush()
	}
	return nil
}
