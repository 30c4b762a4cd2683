package peer

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

const testSecret = "a secret of the processes"

// testHost is a process with a peer listener. got receives its messages if it has no other
// handler.
type testHost struct {
	pool    *Pool
	address string
	got     chan wire.Message
}

func startHost(t testing.TB, name string, h Handler) *testHost {
	t.Helper()
	out := &testHost{got: make(chan wire.Message, 16)}
	if h == nil {
		h = HandlerFunc(func(_ *Session, _ uint64, m wire.Message) { out.got <- m })
	}
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	out.address = strings.TrimPrefix(srv.URL, "http://")
	out.pool = NewPool(Config{Hello: wire.Hello{Host: name, Address: out.address}, Secret: testSecret, Handler: h})
	t.Cleanup(out.pool.Close)
	mux.Handle(Path, NewServer(out.pool))
	return out
}

func TestMessagesTravelBothWaysOnOneSession(t *testing.T) {
	a, b := startHost(t, "a", nil), startHost(t, "b", nil)
	ctx := context.Background()
	s, err := a.pool.Get(ctx, b.address)
	require.NoError(t, err)
	require.Equal(t, "b", s.Remote().Host)
	require.NoError(t, s.Send(ctx, &wire.Cancel{Attempt: wire.AttemptID{1}}))
	require.Equal(t, &wire.Cancel{Attempt: wire.AttemptID{1}}, <-b.got)

	back, err := b.pool.Get(ctx, a.address)
	require.NoError(t, err)
	require.NoError(t, back.Post(&wire.Credit{Bytes: 7}))
	require.Equal(t, &wire.Credit{Bytes: 7}, <-a.got)
	require.Len(t, a.pool.Sessions(), 1, "the accepted session is used, none is dialled back")
}

func TestCallGetsItsOwnReply(t *testing.T) {
	b := startHost(t, "b", HandlerFunc(func(s *Session, call uint64, m wire.Message) {
		q := m.(*wire.OrderQuery)
		if q.Pool == "" {
			_ = s.Reply(call, NewFailure(verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "no leader").WithRetryAfter(time.Second)))
			return
		}
		go func() { _ = s.Reply(call, &wire.OrderAnswer{Nonce: q.Nonce}) }()
	}))
	a := startHost(t, "a", nil)
	s, err := a.pool.Get(context.Background(), b.address)
	require.NoError(t, err)
	for i := byte(1); i < 20; i++ {
		reply, _, err := s.Call(context.Background(), &wire.OrderQuery{Pool: "p", Nonce: [16]byte{i}})
		require.NoError(t, err)
		require.Equal(t, [16]byte{i}, reply.(*wire.OrderAnswer).Nonce)
	}
	_, _, err = s.Call(context.Background(), &wire.OrderQuery{})
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, time.Second, e.RetryAfter)
}

func TestWrongSecretIsRefused(t *testing.T) {
	b := startHost(t, "b", nil)
	p := NewPool(Config{Hello: wire.Hello{Host: "x"}, Secret: "another secret", Handler: HandlerFunc(nil)})
	_, err := p.Get(context.Background(), b.address)
	require.Error(t, err)
	require.Empty(t, b.pool.Sessions())
	require.Equal(t, int64(1), b.pool.traffic.rejected.Count())
}

func TestUnknownVersionEndsOnlyTheSession(t *testing.T) {
	a, b := startHost(t, "a", nil), startHost(t, "b", nil)
	s, err := a.pool.Get(context.Background(), b.address)
	require.NoError(t, err)
	data, err := wire.Marshal(wire.Envelope{Version: wire.Version + 1, Kind: wire.KindPing})
	require.NoError(t, err)
	require.NoError(t, s.conn.Write(context.Background(), websocket.MessageBinary, data))
	require.Eventually(t, func() bool { return !s.Alive() }, 10*time.Second, time.Millisecond)
	require.Equal(t, int64(1), b.pool.traffic.unreadable.counter.Count())
	_, err = a.pool.Get(context.Background(), b.address)
	require.NoError(t, err, "a new session can begin")
}

// A frozen peer of a probed session must be detected within seconds, long before missed
// pings reveal it. This fails if keepAlive does not probe the peer.
func TestProbedSessionDetectsFrozenPeer(t *testing.T) {
	b := startHost(t, "b", nil)
	proxy, err := faultproxy.NewTCP(b.address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	a := startHost(t, "a", nil)
	s, err := a.pool.Get(context.Background(), proxy.Address())
	require.NoError(t, err)
	s.StartProbing()
	proxy.Freeze()
	select {
	case <-s.Done():
	case <-time.After(DefaultPingInterval):
		require.Fail(t, "the frozen peer was not detected")
	}
}

// A shutdown must deliver all queued messages. It would lose the last ones if it did not wait
// for the flush marker or for the closing handshake.
func TestShutdownDeliversQueuedMessages(t *testing.T) {
	const count = 500
	received := make(chan wire.Message, count)
	b := startHost(t, "b", HandlerFunc(func(_ *Session, _ uint64, m wire.Message) { received <- m }))
	a := startHost(t, "a", nil)
	s, err := a.pool.Get(context.Background(), b.address)
	require.NoError(t, err)
	for i := range uint64(count) {
		require.NoError(t, s.Post(&wire.Frame{Seq: i, Data: make([]byte, 8<<10)}))
	}
	a.pool.Shutdown(context.Background())
	for i := range uint64(count) {
		select {
		case m := <-received:
			require.Equal(t, i, m.(*wire.Frame).Seq)
		case <-time.After(20 * time.Second):
			require.Fail(t, "message lost", "%d", i)
		}
	}
}

func TestUnsentMessageIsWithdrawn(t *testing.T) {
	s := NewPool(Config{}).newSession(nil, wire.Hello{}) // no writer runs, so no message is ever started
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, s.Send(ctx, &wire.Ping{}), context.Canceled)
	_, sent, err := s.Call(ctx, &wire.Ping{})
	require.Error(t, err)
	require.False(t, sent)
	for len(s.queue) > 0 {
		require.Equal(t, itemWithdrawn, (<-s.queue).state.Load())
	}
}

// If CallWithin gets no reply in time, it must close the session, so that the next caller
// dials a new connection. After a network interruption, the old connection can take seconds
// to recover. A caller that gives up itself must not close the session.
func TestCallWithinTimeoutEndsTheSession(t *testing.T) {
	b := startHost(t, "b", HandlerFunc(func(s *Session, call uint64, m wire.Message) {
		if q := m.(*wire.GroupQuery); q.Group == "known" {
			_ = s.Reply(call, &wire.GroupAnswer{})
		}
	}))
	proxy, err := faultproxy.NewTCP(b.address)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	a := startHost(t, "a", nil)
	s, err := a.pool.Get(t.Context(), proxy.Address())
	require.NoError(t, err)
	_, _, err = s.CallWithin(t.Context(), DefaultPingInterval, &wire.GroupQuery{Group: "known"})
	require.NoError(t, err)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = s.CallWithin(cancelled, DefaultPingInterval, &wire.GroupQuery{})
	require.Error(t, err)
	require.True(t, s.Alive(), "a cancelled caller says nothing about the peer")
	proxy.Freeze()
	_, _, err = s.CallWithin(t.Context(), 10*time.Millisecond, &wire.GroupQuery{Group: "known"})
	require.Error(t, err)
	require.False(t, s.Alive())
}

// A message on which the handler panics must end only its session, not the process, which
// serves other callers. The sender sends the message again, so otherwise it would crash the
// restarted process and all other hosts too.
func TestHandlerPanicEndsOnlyTheSession(t *testing.T) {
	served := make(chan wire.Message, 1)
	b := startHost(t, "b", HandlerFunc(func(_ *Session, _ uint64, m wire.Message) {
		if _, ok := m.(*wire.Cancel); ok {
			panic("harmful")
		}
		served <- m
	}))
	a := startHost(t, "a", nil)
	s, err := a.pool.Get(t.Context(), b.address)
	require.NoError(t, err)
	require.NoError(t, s.Post(&wire.Cancel{}))
	<-s.Done()
	s, err = a.pool.Get(t.Context(), b.address)
	require.NoError(t, err)
	require.NoError(t, s.Post(&wire.Credit{Bytes: 1}))
	require.Equal(t, &wire.Credit{Bytes: 1}, <-served)
	require.EqualValues(t, 1, b.pool.traffic.panicked.Count())
}

// A reply that arrived just before its session ended must reach the caller, which would otherwise
// have to count the call as one that may have run.
func TestReplyBeforeTheEndOfTheSessionCounts(t *testing.T) {
	for range 100 {
		s := NewPool(Config{}).newSession(nil, wire.Hello{})
		ch := make(chan wire.Message, 1)
		ch <- &wire.Ack{}
		close(s.done)
		reply, _, err := s.awaitReply(t.Context(), ch, &item{})
		require.NoError(t, err)
		require.Equal(t, &wire.Ack{}, reply)
	}
}

// When a host shuts down, each call to it must either get its reply or count as not sent.
// Otherwise the caller has to report that the call may have run. That happened to
// booking requests in progress while the leader of the control hosts shut down.
func TestShutdownAnswersCallsInFlight(t *testing.T) {
	for range 40 {
		b := startHost(t, "b", HandlerFunc(func(s *Session, call uint64, _ wire.Message) {
			go func() {
				<-time.After(time.Duration(rand.IntN(2)) * time.Millisecond)
				_ = s.Reply(call, &wire.Ack{})
			}()
		}))
		a := startHost(t, "a", nil)
		s, err := a.pool.Get(t.Context(), b.address)
		require.NoError(t, err)
		var wg sync.WaitGroup
		var answered, lost atomic.Int64
		for range 16 {
			wg.Go(func() {
				for {
					_, sent, err := s.Call(t.Context(), &wire.ReadQuery{})
					if err != nil && sent {
						lost.Add(1)
					}
					if err != nil {
						return
					}
					answered.Add(1)
				}
			})
		}
		require.Eventually(t, func() bool { return answered.Load() > 30 }, 20*time.Second, time.Millisecond)
		b.pool.Shutdown(t.Context())
		wg.Wait()
		require.Zero(t, lost.Load(), "calls that were sent and got no reply")
	}
}
