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
	// maxMissedPings is how many missed pings end a session.
	maxMissedPings = 3
	writeTimeout   = 4 * time.Second
	// DefaultProbeTimeout is how long the other end of a held session may be silent by default.
	DefaultProbeTimeout = 4 * time.Second
	// probesPerTimeout is how often the other end of a held session is probed in that span.
	probesPerTimeout = 4
	// drainTimeout bounds the wait for the last questions of the other end, and their answers.
	drainTimeout = time.Second
	// replyPollInterval is how often it is looked at whether all are answered.
	replyPollInterval = time.Millisecond
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
	conn         *websocket.Conn
	remote       wire.Hello
	pingInterval time.Duration
	probeTimeout time.Duration
	traffic      *traffic
	log          *slog.Logger
	// urgent holds what goes before the queue.
	urgent, queue chan *item
	done          chan struct{}
	failOnce      sync.Once
	err           error

	lastCall atomic.Uint64
	// heard is when the last message came, held how many wait for the other end, and
	// heldSince since when; times are counted from opened.
	opened      time.Time
	heard       atomic.Int64
	probers     atomic.Int64
	probedSince atomic.Int64

	// unrepliedCalls counts the other end's calls that have no reply yet.
	unrepliedCalls atomic.Int64
	// goodbyeReplied is closed once the other end has said that it asks nothing more.
	goodbyeReplied chan struct{}

	// mu guards the fields below.
	mu    sync.Mutex
	calls map[uint64]chan wire.Message
	// isLeaving tells that the other end takes no new calls or dispatches, isParted that parted
	// is closed.
	isLeaving, isGoodbyeReplied bool
}

func (p *Pool) newSession(conn *websocket.Conn, remote wire.Hello) *Session {
	return &Session{
		conn:           conn,
		remote:         remote,
		pingInterval:   p.cfg.PingInterval,
		probeTimeout:   p.cfg.ProbeTimeout,
		traffic:        p.traffic,
		log:            p.cfg.Log,
		urgent:         make(chan *item, queueLength),
		queue:          make(chan *item, queueLength),
		done:           make(chan struct{}),
		calls:          make(map[uint64]chan wire.Message),
		goodbyeReplied: make(chan struct{}),
		opened:         time.Now(),
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
	s.drain(ctx)
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

// drain says goodbye and waits until the other end has asked its last and has its answers, but
// no longer than partTime: it may be dead, and some messages have no answer.
func (s *Session) drain(ctx context.Context) {
	if s.Post(&wire.Goodbye{}) != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	select {
	case <-s.goodbyeReplied:
	case <-ctx.Done():
		return
	case <-s.done:
		return
	}
	for s.unrepliedCalls.Load() > 0 && ctx.Err() == nil && s.Alive() {
		pause.For(ctx, replyPollInterval)
	}
}

// handleGoodbye takes a Goodbye of the other end.
func (s *Session) handleGoodbye(m *wire.Goodbye) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.IsReply {
		if !s.isGoodbyeReplied {
			s.isGoodbyeReplied = true
			close(s.goodbyeReplied)
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
	s.failOnce.Do(func() {
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
	return s.tryPut(s.urgent, it)
}

// Send queues m and waits until the session begins to write it. Where it returns
// an error, the message never left.
func (s *Session) Send(ctx context.Context, m wire.Message) error {
	it, err := s.enqueueBlocking(ctx, m)
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
	it, err := s.enqueueCall(id, ch, m)
	if err != nil {
		return nil, false, err
	}
	defer s.removeCall(id)
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

// enqueueCall queues a call, unless the other end takes none any more.
func (s *Session) enqueueCall(id uint64, ch chan wire.Message, m wire.Message) (*item, error) {
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

func (s *Session) removeCall(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
}

// Reply answers the call with m. It does not wait; a reply to a session that has
// ended is dropped.
func (s *Session) Reply(call uint64, m wire.Message) error {
	_, err := s.enqueue(call, true, m)
	s.unrepliedCalls.Add(-1)
	return err
}

// run reads and writes until the session ends.
func (s *Session) run(h Handler) {
	go s.writeLoop()
	s.fail(s.readLoop(h))
}

func (s *Session) writeLoop() {
	watch := time.NewTicker(s.probeTimeout / probesPerTimeout)
	defer watch.Stop()
	wrote := s.age()
	silentTicks := 0
	for s.Alive() {
		it := s.nextItem(watch.C)
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
		s.traffic.countSent(it.kind, len(it.data), it.queued)
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
		s.traffic.countReceived(env.Kind, len(data))
		if env.IsReply {
			s.deliverReply(env.Call, m)
			continue
		}
		if bye, ok := m.(*wire.Goodbye); ok {
			s.handleGoodbye(bye)
			continue
		}
		if ping, ok := m.(*wire.Ping); ok {
			if ping.WantsEcho {
				_ = s.Post(&wire.Ping{})
			}
			continue
		}
		if env.Call != 0 {
			s.unrepliedCalls.Add(1)
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
			s.traffic.panicked.Inc(1)
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

func (s *Session) deliverReply(call uint64, m wire.Message) {
	s.mu.Lock()
	ch := s.calls[call]
	delete(s.calls, call)
	s.mu.Unlock()
	if ch != nil {
		ch <- m
	}
}
