package peer

import (
	"context"
	"sync/atomic"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// states of an item in a session's queue.
const (
	itemQueued int32 = iota
	itemStarted
	itemWithdrawn
)

// item is a message in a session's queue, or, without data, a mark that tells when
// all before it is written.
type item struct {
	kind    wire.Kind
	data    []byte
	state   atomic.Int32
	started chan struct{}
}

func (s *Session) enqueue(call uint64, isReply bool, m wire.Message) (*item, error) {
	it, err := newItem(call, isReply, m)
	if err != nil {
		return nil, err
	}
	if !s.Alive() {
		return nil, ErrClosed
	}
	select {
	case s.queue <- it:
		return it, nil
	default:
		return nil, ErrBusy
	}
}

func (s *Session) enqueueWait(ctx context.Context, m wire.Message) (*item, error) {
	it, err := newItem(0, false, m)
	if err != nil {
		return nil, err
	}
	select {
	case s.queue <- it:
		return it, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.done:
		return nil, ErrClosed
	}
}

func newItem(call uint64, isReply bool, m wire.Message) (*item, error) {
	data, err := wire.Encode(call, isReply, m)
	if err != nil {
		return nil, err
	}
	return &item{kind: m.Kind(), data: data, started: make(chan struct{})}, nil
}
