// Package peer keeps the long-lived sessions between the processes of the
// system: one WebSocket a pair of hosts, on which encoded wire messages travel in
// both directions.
//
// A message that a session took but did not begin to write can be withdrawn.
// That is how a sender knows for certain that a message never left.
package peer

import (
	"context"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	queueLength = 1024
	// DefaultPingInterval is the longest silence that a host keeps by default.
	DefaultPingInterval = 10 * time.Second
	// silentPings is how many missed pings end a session.
	silentPings  = 3
	writeTimeout = 4 * time.Second
	// DefaultProbeTimeout is how long the other end of a held session may be silent by default.
	DefaultProbeTimeout = 4 * time.Second
	// probes is how often the other end of a held session is probed in that span.
	probes = 4
	// partTime bounds the wait for the last questions of the other end, and their answers.
	partTime = time.Second
	// answerPoll is how often it is looked at whether all are answered.
	answerPoll = time.Millisecond
)

// ErrClosed tells that the session has ended.
var ErrClosed = errors.New("peer: session closed")

// ErrBusy tells that the session's queue is full; the message was not taken.
var ErrBusy = errors.New("peer: session queue full")

// Handler takes the messages of a session in the order in which they came.
type Handler interface {
	// ServePeer must not block: the session reads on only after it returns. A call
	// other than zero wants an answer by Session.Reply.
	ServePeer(s *Session, call uint64, m wire.Message)
}

// HandlerFunc is a Handler made of a function.
type HandlerFunc func(s *Session, call uint64, m wire.Message)

// ServePeer implements Handler.
func (f HandlerFunc) ServePeer(s *Session, call uint64, m wire.Message) { f(s, call, m) }

// Session is one end of a live WebSocket.
type Session struct {
	conn    *websocket.Conn
	remote  wire.Hello
	ping    time.Duration
	limit   time.Duration
	traffic *traffic
	log     *slog.Logger
	// first holds what goes before the queue.
	first, queue chan *item
	done         chan struct{}
	once         sync.Once
	err          error

	lastCall atomic.Uint64
	// heard is when the last message came, held how many wait for the other end, and
	// heldSince since when; times are counted from opened.
	opened    time.Time
	heard     atomic.Int64
	held      atomic.Int64
	heldSince atomic.Int64

	// unanswered counts the other end's calls that have no reply yet.
	unanswered atomic.Int64
	// parted is closed once the other end has said that it asks nothing more.
	parted chan struct{}

	// mu guards the fields below.
	mu    sync.Mutex
	calls map[uint64]chan wire.Message
	// isLeaving tells that the other end takes no new calls or dispatches, isParted that parted
	// is closed.
	isLeaving, isParted bool
}

func (p *Pool) newSession(conn *websocket.Conn, remote wire.Hello) *Session {
	return &Session{
		conn:    conn,
		remote:  remote,
		ping:    p.cfg.PingInterval,
		limit:   p.cfg.ProbeTimeout,
		traffic: p.traffic,
		log:     p.cfg.Log,
		first:   make(chan *item, queueLength),
		queue:   make(chan *item, queueLength),
		done:    make(chan struct{}),
		calls:   make(map[uint64]chan wire.Message),
		parted:  make(chan struct{}),
		opened:  time.Now(),
	}
}

// Remote returns what the other end said of itself.
func (s *Session) Remote() wire.Hello { return s.remote }

// Done is closed when the session has ended.
func (s *Session) Done() <-chan struct{} { return s.done }

// Alive reports whether the session has not ended.
func (s *Session) Alive() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// shutdown ends the session in order: the other end asks nothing more, what it has asked is
// answered, what is queued is written, and a closing handshake shows that all was read. It
// gives up when ctx ends.
func (s *Session) shutdown(ctx context.Context) error {
	s.part(ctx)
	if err := s.flush(ctx); err != nil {
		return err
	}
	closed := make(chan error, 1)
	go func() { closed <- s.conn.Close(websocket.StatusGoingAway, "shutting down") }()
	select {
	case err := <-closed:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// part says goodbye and waits until the other end has asked its last and has its answers, but
// no longer than partTime: it may be dead, and some messages have no answer.
func (s *Session) part(ctx context.Context) {
	if s.Post(&wire.Goodbye{}) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, partTime)
	defer cancel()
	select {
	case <-s.parted:
	case <-ctx.Done():
		return
	case <-s.done:
		return
	}
	for s.unanswered.Load() > 0 && ctx.Err() == nil && s.Alive() {
		pause.For(ctx, answerPoll)
	}
}

// goodbye takes a Goodbye of the other end.
func (s *Session) goodbye(m *wire.Goodbye) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.IsReply {
		if !s.isParted {
			s.isParted = true
			close(s.parted)
		}
		return
	}
	s.isLeaving = true
	// Under the lock, so that no call is queued behind the answer.
	_ = s.Post(&wire.Goodbye{IsReply: true})
}

// flush waits until all that is queued is written.
func (s *Session) flush(ctx context.Context) error {
	mark := &item{started: make(chan struct{})}
	select {
	case s.queue <- mark:
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return ErrClosed
	}
	select {
	case <-mark.started:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return ErrClosed
	}
}

// Close ends the session.
func (s *Session) Close() { s.fail(ErrClosed) }

func (s *Session) fail(err error) {
	s.once.Do(func() {
		s.err = err
		close(s.done)
		_ = s.conn.CloseNow()
	})
}

// Post queues m without waiting. Errors: ErrBusy and ErrClosed, after which the
// message certainly was not sent.
func (s *Session) Post(m wire.Message) error {
	_, err := s.enqueue(0, false, m)
	return err
}

// PostUrgent is Post for small messages that others wait for: they go before all that is
// queued, in the order among themselves in which they came.
func (s *Session) PostUrgent(m wire.Message) error {
	it, err := newItem(0, false, m)
	if err != nil {
		return err
	}
	return s.put(s.first, it)
}

// Send queues m and waits until the session begins to write it. Where it returns
// an error, the message never left.
func (s *Session) Send(ctx context.Context, m wire.Message) error {
	it, err := s.enqueueWait(ctx, m)
	if err != nil {
		return err
	}
	select {
	case <-it.started:
		return nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-s.done:
		err = ErrClosed
	}
	if it.state.CompareAndSwap(itemQueued, itemWithdrawn) {
		return err
	}
	return nil
}

// Call sends m and waits for the reply. A reply that is a wire.Failure comes back
// as a *verdict.Error. sent tells whether the message may have left.
func (s *Session) Call(ctx context.Context, m wire.Message) (reply wire.Message, sent bool, err error) {
	id := s.lastCall.Add(1)
	ch := make(chan wire.Message, 1)
	it, err := s.ask(id, ch, m)
	if err != nil {
		return nil, false, err
	}
	defer s.forget(id)
	select {
	case reply = <-ch:
		return unwrapFailure(reply)
	case <-ctx.Done():
		err = ctx.Err()
	case <-s.done:
		err = ErrClosed
	}
	withdrawn := it.state.CompareAndSwap(itemQueued, itemWithdrawn)
	return nil, !withdrawn, err
}

// ask queues a call, unless the other end takes none any more.
func (s *Session) ask(id uint64, ch chan wire.Message, m wire.Message) (*item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isLeaving {
		return nil, ErrClosed
	}
	it, err := s.enqueue(id, false, m)
	if err == nil {
		s.calls[id] = ch
	}
	return it, err
}

func (s *Session) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
}

// Reply answers the call with m. It does not wait; a reply to a session that has
// ended is dropped.
func (s *Session) Reply(call uint64, m wire.Message) error {
	_, err := s.enqueue(call, true, m)
	s.unanswered.Add(-1)
	return err
}

// run reads and writes until the session ends.
func (s *Session) run(h Handler) {
	go s.writeLoop()
	s.fail(s.readLoop(h))
}

func (s *Session) writeLoop() {
	watch := time.NewTicker(s.limit / probes)
	defer watch.Stop()
	wrote := s.age()
	silentTicks := 0
	for s.Alive() {
		it := s.next(watch.C)
		if it == nil {
			// One tick alone proves nothing: after a stall of this process it comes before
			// what waits to be read.
			silentTicks++
			if !s.isSilent() {
				silentTicks = 0
			}
			if silentTicks > 1 {
				s.fail(errors.New("peer: the other end is silent"))
				return
			}
			s.keepAlive(s.age() - wrote)
			continue
		}
		if !it.state.CompareAndSwap(itemQueued, itemStarted) {
			continue
		}
		close(it.started)
		if it.data == nil {
			continue
		}
		s.traffic.sent(it.kind, len(it.data), it.queued)
		if err := s.write(it.data); err != nil {
			s.fail(err)
			return
		}
		wrote = s.age()
	}
}

func (s *Session) write(data []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	return s.conn.Write(ctx, websocket.MessageBinary, data)
}

func (s *Session) readLoop(h Handler) error {
	for {
		data, err := s.read()
		if err != nil {
			return err
		}
		env, m, err := wire.Decode(data)
		if err != nil {
			s.traffic.unreadable.Inc(1)
			_ = s.conn.Close(websocket.StatusUnsupportedData, "message refused")
			return err
		}
		s.traffic.received(env.Kind, len(data))
		if env.IsReply {
			s.deliver(env.Call, m)
			continue
		}
		if bye, ok := m.(*wire.Goodbye); ok {
			s.goodbye(bye)
			continue
		}
		if ping, ok := m.(*wire.Ping); ok {
			if ping.WantsEcho {
				_ = s.Post(&wire.Ping{})
			}
			continue
		}
		if env.Call != 0 {
			s.unanswered.Add(1)
		}
		if err := s.serve(h, env.Call, m); err != nil {
			return err
		}
	}
}

// serve hands a message to the handler. One that makes it panic ends the session, not the
// process: its sender would send it again to the next start, and to every other host.
func (s *Session) serve(h Handler, call uint64, m wire.Message) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.traffic.harmful.Inc(1)
			err = errors.Errorf("peer: message of kind %s from %s: %v\n%s", m.Kind(), s.remote.Host, p, debug.Stack())
			s.log.Error("message can't be served, its session ends", "kind", m.Kind().String(), "from", s.remote.Host, "error", err.Error())
		}
	}()
	h.ServePeer(s, call, m)
	return nil
}

func (s *Session) read() ([]byte, error) {
	kind, data, err := s.conn.Read(context.Background())
	if err != nil {
		return nil, err
	}
	s.heard.Store(int64(s.age()))
	if kind != websocket.MessageBinary {
		return nil, errors.New("peer: text message refused")
	}
	return data, nil
}

func (s *Session) deliver(call uint64, m wire.Message) {
	s.mu.Lock()
	ch := s.calls[call]
	delete(s.calls, call)
	s.mu.Unlock()
	if ch != nil {
		ch <- m
	}
}
