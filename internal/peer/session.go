// Package peer maintains the long-lived sessions between the processes of the system: one
// WebSocket for each pair of hosts, which carries encoded wire messages in both directions.
//
// A queued message can be withdrawn until the session starts to write it. So a sender can
// know for certain that a message was not sent.
package peer

import (
	"context"
	"io"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	queueLength = 1024
	// DefaultPingInterval is the default of Config.PingInterval.
	DefaultPingInterval = 10 * time.Second
	// maxMissedPings is how many ping intervals without a message end a session.
	maxMissedPings = 3
	writeTimeout   = 4 * time.Second
	// DefaultProbeTimeout is the default of Config.ProbeTimeout.
	DefaultProbeTimeout = 4 * time.Second
	// probesPerTimeout is how often the peer of a probed session is probed within the probe
	// timeout.
	probesPerTimeout = 4
	// drainTimeout bounds the wait for the peer's last calls and for the replies to them.
	drainTimeout = time.Second
	// replyPollInterval is how often a draining session checks whether all calls have replies.
	replyPollInterval = time.Millisecond
)

// ErrClosed is returned if the session or the pool is closed, or the peer is draining.
var ErrClosed = errors.New("peer: session closed")

// ErrBusy is returned if the session's queue is full. The message was not queued.
var ErrBusy = errors.New("peer: session queue full")

// Handler receives the messages of a session in the order of their arrival.
type Handler interface {
	// ServePeer must not block, because the session reads the next message only after it
	// returns. If call is not zero, the sender expects a reply by Session.Reply.
	ServePeer(s *Session, call uint64, m wire.Message)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(s *Session, call uint64, m wire.Message)

// ServePeer implements Handler.
func (f HandlerFunc) ServePeer(s *Session, call uint64, m wire.Message) { f(s, call, m) }

// Session is one end of a WebSocket connection to a peer.
type Session struct {
	conn         *websocket.Conn
	remote       wire.Hello
	pingInterval time.Duration
	probeTimeout time.Duration
	traffic      *traffic
	log          *slog.Logger
	// urgent contains messages that are written before those in queue.
	urgent, queue chan *item
	done          chan struct{}
	failOnce      sync.Once
	err           error

	lastCall atomic.Uint64
	// lastReceived is when the last message arrived, lastEcho when the peer last answered a ping,
	// probers the number of StartProbing calls that have not been undone, and probedSince when it
	// last rose from zero. Times are relative to opened.
	opened       time.Time
	lastReceived atomic.Int64
	lastEcho     atomic.Int64
	probers      atomic.Int64
	probedSince  atomic.Int64

	// unrepliedCalls counts the peer's calls that have no reply yet.
	unrepliedCalls atomic.Int64
	// goodbyeReplied is closed when the peer has replied to this end's Goodbye. The peer
	// then sends no more calls.
	goodbyeReplied chan struct{}

	// mu guards the fields below.
	mu    sync.Mutex
	calls map[uint64]chan wire.Message
	// isRemoteDraining is set if the peer accepts no new calls or dispatches,
	// isGoodbyeReplied if goodbyeReplied is closed.
	isRemoteDraining, isGoodbyeReplied bool
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

// Remote returns the peer's Hello.
func (s *Session) Remote() wire.Hello { return s.remote }

// Done returns a channel that is closed when the session ends.
func (s *Session) Done() <-chan struct{} { return s.done }

// Alive reports whether the session is still open.
func (s *Session) Alive() bool {
	select {
	case <-s.done:
		return false
	default:
		return true
	}
}

// shutdown closes the session gracefully. It makes the peer stop sending calls, waits for
// the replies to its calls, and writes all queued messages. The closing handshake then
// confirms that the peer has read everything. It gives up when ctx is done.
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

// drain sends a Goodbye and waits until the peer has replied to it and all of the peer's
// calls have replies. It waits for drainTimeout at most, because the peer may be dead and
// some calls get no reply.
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

// handleGoodbye handles a Goodbye of the peer, or the peer's reply to one.
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
	s.isRemoteDraining = true
	// The reply is queued while mu is locked, so that no call can be queued after it.
	_ = s.Post(&wire.Goodbye{IsReply: true})
}

// flush waits until all queued messages have been written.
func (s *Session) flush(ctx context.Context) error {
	marker := &item{started: make(chan struct{})}
	select {
	case s.queue <- marker:
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return ErrClosed
	}
	select {
	case <-marker.started:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return ErrClosed
	}
}

// Close ends the session immediately.
func (s *Session) Close() { s.fail(ErrClosed) }

// fail closes the session. Only the first call has an effect.
func (s *Session) fail(err error) {
	s.failOnce.Do(func() {
		s.err = err
		close(s.done)
		_ = s.conn.CloseNow()
	})
}

// Post queues m without blocking. If it returns an error (ErrBusy, ErrClosed or *wire.EncodeError), the message
// was not sent.
func (s *Session) Post(m wire.Message) error {
	_, err := s.enqueue(0, false, m)
	return err
}

// PostOrClose is Post for messages that the peer must not miss: if the queue is full, it ends the session.
// What sends such messages sends all that the peer needs when the next session begins. A message that can't be
// encoded does not end the session, since it could not be sent on the next one either.
func (s *Session) PostOrClose(m wire.Message) {
	if errors.Is(s.Post(m), ErrBusy) {
		s.Close()
	}
}

// PostPreparedOrClose is PostOrClose for an encoded message.
func (s *Session) PostPreparedOrClose(p *Prepared) {
	if errors.Is(s.PostPrepared(p), ErrBusy) {
		s.Close()
	}
}

// PostUrgent is Post for small messages that other hosts wait for. They are written before
// all messages in the normal queue, in the order in which they were posted.
func (s *Session) PostUrgent(m wire.Message) error {
	it, err := s.newItem(0, false, m)
	if err != nil {
		return err
	}
	return s.tryPut(s.urgent, it)
}

// Send queues m and waits until the session starts to write it. If it returns an error, the
// message was not sent.
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

// Call sends m and waits for the reply. A reply of type wire.Failure also sets err to the
// *verdict.Error that it represents. sent is set if the message may have been sent.
func (s *Session) Call(ctx context.Context, m wire.Message) (reply wire.Message, sent bool, err error) {
	await, err := s.BeginCall(m)
	if err != nil {
		return nil, false, err
	}
	return await(ctx)
}

// BeginCall is Call for callers that must not block: it queues m, so that calls are sent in the
// order in which they were begun, and returns a function that waits for the reply. That function
// must be called once.
func (s *Session) BeginCall(m wire.Message) (await func(context.Context) (reply wire.Message, sent bool, err error), err error) {
	id := s.lastCall.Add(1)
	ch := make(chan wire.Message, 1)
	it, err := s.enqueueCall(id, ch, m)
	if err != nil {
		return nil, err
	}
	return func(ctx context.Context) (wire.Message, bool, error) {
		defer s.removeCall(id)
		return s.awaitReply(ctx, ch, it)
	}, nil
}

// awaitReply waits for the reply to a call. A reply that has arrived counts even if the session
// has ended or ctx is done.
func (s *Session) awaitReply(ctx context.Context, ch <-chan wire.Message, it *item) (reply wire.Message, sent bool, err error) {
	select {
	case reply = <-ch:
		return unwrapFailure(reply)
	case <-ctx.Done():
		err = ctx.Err()
	case <-s.done:
		err = ErrClosed
	}
	select {
	case reply = <-ch:
		return unwrapFailure(reply)
	default:
	}
	withdrawn := it.state.CompareAndSwap(itemQueued, itemWithdrawn)
	return nil, !withdrawn, err
}

// enqueueCall queues a call and registers ch for its reply. It fails if the peer is draining.
func (s *Session) enqueueCall(id uint64, ch chan wire.Message, m wire.Message) (*item, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isRemoteDraining {
		return nil, ErrClosed
	}
	it, err := s.enqueue(id, false, m)
	if err == nil {
		s.calls[id] = ch
	}
	return it, err
}

// removeCall unregisters a call whose caller no longer waits for the reply.
func (s *Session) removeCall(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, id)
}

// Reply queues m as the reply to a call, without blocking. If the session has ended, it
// discards the reply and returns ErrClosed. If m can't be encoded, the caller gets a Failure, and Reply returns the
// *wire.EncodeError.
func (s *Session) Reply(call uint64, m wire.Message) error {
	_, err := s.enqueue(call, true, m)
	var unencodable *wire.EncodeError
	if errors.As(err, &unencodable) {
		_, _ = s.enqueue(call, true, NewFailure(verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the reply can't be encoded")))
	}
	s.unrepliedCalls.Add(-1)
	return err
}

// run reads and writes messages until the session ends.
func (s *Session) run(h Handler) {
	s.conn.SetReadLimit(maxDiscardedBytes)
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
			// A single tick proves nothing: after a stall of this process, it can arrive
			// before the messages that are waiting to be read.
			silentTicks++
			if !s.isSilent() {
				silentTicks = 0
			}
			if silentTicks > 1 {
				s.fail(errors.New("peer: no message from the peer in time"))
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
		if errors.Is(err, errTooLarge) {
			s.traffic.unreadable.add(s.remote.Host, 0, err, time.Now())
			continue
		}
		if err != nil {
			return err
		}
		env, m, err := wire.Decode(data)
		if err != nil {
			s.ReportUnreadable(env.Kind, err)
			if endsSession(err) {
				_ = s.conn.Close(websocket.StatusUnsupportedData, "message refused")
				return err
			}
			if m == nil {
				s.answerUnreadable(env)
				continue
			}
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
			s.handlePing(ping)
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

// endsSession reports whether an error of wire.Decode ends the session: the peer speaks another version, or it can't
// be told what the message is. A single message that can't be decoded must not: the sender would send it again on
// the next session, and all other messages share the session, those of the consensus among them.
func endsSession(err error) bool {
	var body *wire.BodyError
	var kind *wire.KindError
	return !wire.IsPartial(err) && !errors.As(err, &body) && !errors.As(err, &kind)
}

// answerUnreadable ends a call if the call, or the reply to it, can't be decoded.
func (s *Session) answerUnreadable(env wire.Envelope) {
	switch {
	case env.IsReply:
		e := verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the reply can't be decoded")
		s.deliverReply(env.Call, NewFailure(e))
	case env.Call != 0:
		// Reply counts the call as replied to.
		s.unrepliedCalls.Add(1)
		e := verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the message can't be decoded")
		_ = s.Reply(env.Call, NewFailure(e))
	}
}

// ReportUnreadable counts and logs a message of the peer that can't be decoded, or not entirely.
func (s *Session) ReportUnreadable(kind wire.Kind, reason error) {
	s.traffic.unreadable.add(s.remote.Host, kind, reason, time.Now())
}

// serve passes a message to the handler. If the handler panics, only the session ends and
// not the process. Otherwise the sender, which sends the message again, would crash the
// restarted process too, and then every other host.
func (s *Session) serve(h Handler, call uint64, m wire.Message) (err error) {
	defer func() {
		if p := recover(); p != nil {
			s.traffic.panicked.Inc(1)
			err = errors.Errorf("peer: message of kind %s from %s: %v", m.Kind(), s.remote.Host, p)
			s.log.Error("handler panicked on a message; closing its session", "kind", m.Kind().String(), "from", s.remote.Host, "error", err.Error(), telemetry.StackKey, string(debug.Stack()))
		}
	}()
	h.ServePeer(s, call, m)
	return nil
}

// errTooLarge is returned for a message that was read and discarded because of its size.
var errTooLarge = errors.Errorf("peer: message of more than %d bytes", wire.MaxMessageBytes)

// maxDiscardedBytes is the largest message that is discarded. A larger one ends the session.
const maxDiscardedBytes = 4 * wire.MaxMessageBytes

// read returns the next message and records the time of its arrival.
func (s *Session) read() ([]byte, error) {
	kind, r, err := s.conn.Reader(context.Background())
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(io.LimitReader(r, wire.MaxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > wire.MaxMessageBytes {
		if _, err := io.Copy(io.Discard, r); err != nil {
			return nil, err
		}
		err = errTooLarge
	}
	s.lastReceived.Store(int64(s.age()))
	if kind != websocket.MessageBinary {
		return nil, errors.New("peer: text message refused")
	}
	return data, err
}

// deliverReply passes a reply to the caller that waits for it, if there still is one.
func (s *Session) deliverReply(call uint64, m wire.Message) {
	s.mu.Lock()
	ch := s.calls[call]
	delete(s.calls, call)
	s.mu.Unlock()
	if ch != nil {
		ch <- m
	}
}
