package command

import (
	"context"
	"sync"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// call is one request of a caller that waits for its result.
type call[Q, R any] struct {
	request Q
	// done is closed once result or err is set.
	done   chan struct{}
	result R
	err    error
	// The batcher's mu guards the fields below. sent is set once the request is part of a
	// batch, abandoned once the caller has stopped waiting.
	sent, finished, abandoned bool
}

// batcher combines the requests of concurrent callers into batches. One batch is in flight at
// a time; requests that arrive meanwhile form the next batch.
type batcher[Q, R any] struct {
	maxBatch   int
	maxPending int
	timeout    time.Duration
	// send sends a batch and returns a result for each request, in order.
	send func(ctx context.Context, requests []Q) ([]R, error)

	ctx    context.Context
	cancel context.CancelFunc
	// wg waits for the goroutine of sendBatches.
	wg sync.WaitGroup

	// mu guards the fields below. send is called without it.
	mu      sync.Mutex
	pending []*call[Q, R]
	sending bool
	closed  bool
}

func newBatcher[Q, R any](o Options, send func(context.Context, []Q) ([]R, error)) *batcher[Q, R] {
	ctx, cancel := context.WithCancel(context.Background())
	return &batcher[Q, R]{
		maxBatch:   o.BatchSize,
		maxPending: o.MaxPending,
		timeout:    o.Timeout,
		send:       send,
		ctx:        ctx,
		cancel:     cancel,
	}
}

// submit adds a request to a batch and waits for its result. If ctx ends first, the verdict of
// the error states whether the request was sent.
func (b *batcher[Q, R]) submit(ctx context.Context, request Q) (R, error) {
	var zero R
	if ctx.Err() != nil {
		return zero, contextError(verdict.NotRun, ctx.Err())
	}
	c, err := b.enqueue(request)
	if err != nil {
		return zero, err
	}
	select {
	case <-c.done:
		return c.result, c.err
	case <-ctx.Done():
		return b.abandon(c, ctx.Err())
	}
}

// enqueue adds a request to the next batch. It is refused if too many requests wait.
func (b *batcher[Q, R]) enqueue(request Q) (*call[Q, R], error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, verdict.New(verdict.NotRun, verdict.CodeDraining, "service is closed")
	}
	if len(b.pending) >= b.maxPending {
		e := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many requests wait for the log")
		return nil, e.WithRetryAfter(overloadRetryDelay)
	}
	c := &call[Q, R]{request: request, done: make(chan struct{})}
	b.pending = append(b.pending, c)
	if !b.sending {
		b.sending = true
		b.wg.Go(b.sendBatches)
	}
	return c, nil
}

// abandon returns the result if it has just arrived, and otherwise marks the call as abandoned
// and returns an error.
func (b *batcher[Q, R]) abandon(c *call[Q, R], cause error) (R, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.finished {
		return c.result, c.err
	}
	c.abandoned = true
	v := verdict.NotRun
	if c.sent {
		v = verdict.MayHaveRun
	}
	var zero R
	return zero, contextError(v, cause)
}

// sendBatches sends one batch after the other until no request waits.
func (b *batcher[Q, R]) sendBatches() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		requests := make([]Q, 0, len(batch))
		for _, c := range batch {
			requests = append(requests, c.request)
		}
		ctx, cancel := context.WithTimeout(b.ctx, b.timeout)
		results, err := b.send(ctx, requests)
		cancel()
		if err == nil && len(results) != len(batch) {
			err = unexpectedResult()
		}
		b.deliver(batch, results, err)
	}
}

// nextBatch removes the next batch from the pending calls, without abandoned ones, and marks its
// calls as sent. After an empty batch sendBatches returns.
func (b *batcher[Q, R]) nextBatch() []*call[Q, R] {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch []*call[Q, R]
	taken := 0
	for _, c := range b.pending {
		if len(batch) == b.maxBatch {
			break
		}
		taken++
		if c.abandoned {
			continue
		}
		c.sent = true
		batch = append(batch, c)
	}
	rest := copy(b.pending, b.pending[taken:])
	clear(b.pending[rest:])
	b.pending = b.pending[:rest]
	b.sending = len(batch) > 0
	return batch
}

// deliver hands the results, or err, to the callers of a batch.
func (b *batcher[Q, R]) deliver(batch []*call[Q, R], results []R, err error) {
	for i, c := range batch {
		b.mu.Lock()
		c.err = err
		if err == nil {
			c.result = results[i]
		}
		c.finished = true
		b.mu.Unlock()
		close(c.done)
	}
}

// close refuses new requests and waits until the accepted ones have a result. When ctx ends
// first, it cancels the batch in flight and those after it.
func (b *batcher[Q, R]) close(ctx context.Context) {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	done := make(chan struct{})
	go func() {
		b.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	b.cancel()
	<-done
}

// contextError returns the error of a caller whose context ended while it waited.
func contextError(v verdict.Verdict, cause error) *verdict.Error {
	code := verdict.CodeCancelled
	if cause == context.DeadlineExceeded {
		code = verdict.CodeDeadline
	}
	e := verdict.New(v, code, "gave up waiting for the log")
	e.Cause = cause
	return e
}
