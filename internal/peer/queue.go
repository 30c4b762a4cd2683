package peer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// States of an item in a session's queue: waiting, being written, or removed by its sender.
const (
	itemQueued int32 = iota
	itemStarted
	itemWithdrawn
)

// item is a message in a session's queue. An item without data is a flush marker, which
// is reached when everything queued before it has been written.
type item struct {
	kind   wire.Kind
	data   []byte
	queued time.Time
	state  atomic.Int32
	// started is closed when the session starts to write the message.
	started chan struct{}
}

func (s *Session) enqueue(call uint64, isReply bool, m wire.Message) (*item, error) {
	it, err := s.newItem(call, isReply, m)
	if err != nil {
		return nil, err
	}
	return it, s.tryPut(s.queue, it)
}

// tryPut adds an item to one of the session's queues without blocking.
func (s *Session) tryPut(queue chan *item, it *item) error {
	if !s.Alive() {
		return ErrClosed
	}
	select {
	case queue <- it:
		return nil
	default:
		return ErrBusy
	}
}

// nextItem waits for the next item to write. Urgent items precede all others. It returns nil
// if the session ends or a tick arrives.
func (s *Session) nextItem(tick <-chan time.Time) *item {
	select {
	case it := <-s.urgent:
		return it
	default:
	}
	select {
	case it := <-s.urgent:
		return it
	case it := <-s.queue:
		return it
	case <-tick:
	case <-s.done:
	}
	return nil
}

// Prepared is an encoded message that can be posted to many sessions.
type Prepared struct {
	kind wire.Kind
	data []byte
	// partial is the *wire.PartialError if elements were left out.
	partial error
}

// Prepare encodes a message that is to be posted to many sessions. The error is a *wire.EncodeError.
func Prepare(m wire.Message) (*Prepared, error) {
	data, err := wire.Encode(0, false, m)
	if err != nil && !wire.IsPartial(err) {
		return nil, err
	}
	return &Prepared{kind: m.Kind(), data: data, partial: err}, nil
}

// PostPrepared is Post for an encoded message.
func (s *Session) PostPrepared(p *Prepared) error {
	if p.partial != nil {
		s.traffic.unsendable.add(s.remote.Host, p.kind, p.partial, time.Now())
	}
	return s.tryPut(s.queue, &item{kind: p.kind, data: p.data, queued: time.Now(), started: make(chan struct{})})
}

// enqueueBlocking queues a message and waits while the queue is full.
func (s *Session) enqueueBlocking(ctx context.Context, m wire.Message) (*item, error) {
	it, err := s.newItem(0, false, m)
	if err != nil {
		return nil, err
	}
	if m.Kind() == wire.KindDispatch {
		return it, s.enqueueDispatch(ctx, it)
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

// fullQueueRetryDelay is the pause before another attempt to add to a full queue.
const fullQueueRetryDelay = time.Millisecond

// enqueueDispatch queues a dispatch and waits while the queue is full. It fails if the peer
// is draining: no dispatch may be queued after the reply to the peer's Goodbye.
func (s *Session) enqueueDispatch(ctx context.Context, it *item) error {
	for {
		s.mu.Lock()
		isRemoteDraining := s.isRemoteDraining
		err := ErrClosed
		if !isRemoteDraining {
			err = s.tryPut(s.queue, it)
		}
		s.mu.Unlock()
		if !errors.Is(err, ErrBusy) {
			return err
		}
		pause.For(ctx, fullQueueRetryDelay)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// newItem encodes a message. It counts and logs what can't be encoded.
func (s *Session) newItem(call uint64, isReply bool, m wire.Message) (*item, error) {
	data, err := wire.Encode(call, isReply, m)
	if err != nil {
		s.traffic.unsendable.add(s.remote.Host, m.Kind(), err, time.Now())
	}
	if err != nil && !wire.IsPartial(err) {
		return nil, err
	}
	return &item{kind: m.Kind(), data: data, queued: time.Now(), started: make(chan struct{})}, nil
}
