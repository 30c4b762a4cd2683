package peer

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// invalidText is text that encoders write and decoders refuse.
const invalidText = "i-95\xff\xfe"

// receivedMessage is a message that a handler was given.
type receivedMessage struct {
	call uint64
	m    wire.Message
}

// connectToRecorder returns a session with a host that records what it is given, and that host.
func connectToRecorder(t *testing.T) (*Session, *testHost, <-chan receivedMessage) {
	t.Helper()
	received := make(chan receivedMessage, 16)
	b := startHost(t, "b", HandlerFunc(func(_ *Session, call uint64, m wire.Message) { received <- receivedMessage{call, m} }))
	a := startHost(t, "a", nil)
	s, err := a.pool.Get(context.Background(), b.address)
	require.NoError(t, err)
	return s, b, received
}

// writeUnchecked sends a message as a build that does not check what it encodes.
func writeUnchecked(t *testing.T, s *Session, call uint64, isReply bool, kind wire.Kind, body any) {
	t.Helper()
	data, err := wire.Marshal(body)
	require.NoError(t, err)
	data, err = wire.Marshal(wire.Envelope{Version: wire.Version, Kind: kind, Call: call, IsReply: isReply, Body: data})
	require.NoError(t, err)
	require.NoError(t, s.conn.Write(context.Background(), websocket.MessageBinary, data))
}

// requireNext requires that the next message that arrives is m, on a session that lives.
func requireNext(t *testing.T, s *Session, received <-chan receivedMessage, m wire.Message) {
	t.Helper()
	require.NoError(t, s.Post(&wire.ConfigurationNotice{Number: 7}))
	for _, want := range []wire.Message{m, &wire.ConfigurationNotice{Number: 7}} {
		if want == nil {
			continue
		}
		select {
		case got := <-received:
			require.Equal(t, want, got.m)
		case <-time.After(10 * time.Second):
			require.Fail(t, "no message")
		}
	}
	require.True(t, s.Alive())
}

// Guards against a message that ends its session, and every later one, since one of its records can't be
// decoded. Only that record may be lost. The sender is a build that does not check what it sends.
func TestRecordThatCanNotBeDecodedCostsOnlyItself(t *testing.T) {
	s, b, received := connectToRecorder(t)
	all := []registry.Departure{{ID: "i-1", State: registry.Gone}, {ID: invalidText, State: registry.Gone}, {ID: "i-2", State: registry.Gone}}
	writeUnchecked(t, s, 0, false, wire.KindUpstreams, &wire.Upstreams{
		All: []registry.Upstream{{ID: invalidText}, {ID: "i-3"}}, Departures: all,
	})
	requireNext(t, s, received, &wire.Upstreams{
		All: []registry.Upstream{{ID: "i-3"}}, Departures: []registry.Departure{all[0], all[2]},
	})
	require.Equal(t, int64(1), b.pool.traffic.unreadable.counter.Count())
}

// Guards against the same for a message that is no list, or of a kind that only a later build knows.
func TestMessageThatCanNotBeDecodedCostsOnlyItself(t *testing.T) {
	for name, send := range map[string]func(t *testing.T, s *Session){
		"invalid text": func(t *testing.T, s *Session) {
			writeUnchecked(t, s, 0, false, wire.KindGroupQuery, &wire.GroupQuery{Group: invalidText})
		},
		"other type": func(t *testing.T, s *Session) { writeUnchecked(t, s, 0, false, wire.KindUpstreams, "text") },
		"too deep":   func(t *testing.T, s *Session) { writeUnchecked(t, s, 0, false, wire.KindUpstreams, nestedLists(12)) },
		"deeper than the envelope allows": func(t *testing.T, s *Session) {
			writeUnchecked(t, s, 0, false, wire.KindUpstreams, nestedLists(30))
		},
		"more elements than the envelope allows": func(t *testing.T, s *Session) {
			writeUnchecked(t, s, 0, false, wire.KindUpstreams, make([]int, 1<<20+1))
		},
		"unknown kind": func(t *testing.T, s *Session) { writeUnchecked(t, s, 0, false, 9999, "text") },
		"too large": func(t *testing.T, s *Session) {
			writeUnchecked(t, s, 0, false, wire.KindFrame, &wire.Frame{Data: make([]byte, wire.MaxMessageBytes)})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, b, received := connectToRecorder(t)
			send(t, s)
			requireNext(t, s, received, nil)
			require.Equal(t, int64(1), b.pool.traffic.unreadable.counter.Count())
		})
	}
}

// nestedLists returns a list that contains a list, and so on, to a depth that the envelope allows and a message
// does not know.
func nestedLists(depth int) any {
	var v any = 1
	for range depth {
		v = []any{v}
	}
	return v
}

// Guards against callers that wait until their deadline since the call, or the reply, can't be decoded.
func TestCallThatCanNotBeDecodedIsAnswered(t *testing.T) {
	s, _, _ := connectToRecorder(t)
	ch := make(chan wire.Message, 1)
	s.mu.Lock()
	s.calls[77] = ch
	s.mu.Unlock()
	writeUnchecked(t, s, 77, false, wire.KindGroupQuery, &wire.GroupQuery{Group: invalidText})
	_, _, err := unwrapFailure(<-ch)
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, verdict.CodeBadRequest, e.Code)
}

func TestReplyThatCanNotBeDecodedEndsTheCall(t *testing.T) {
	b := startHost(t, "b", HandlerFunc(func(s *Session, call uint64, _ wire.Message) {
		writeUnchecked(t, s, call, true, wire.KindUpstreams, "text")
	}))
	a := startHost(t, "a", nil)
	s, err := a.pool.Get(context.Background(), b.address)
	require.NoError(t, err)
	_, sent, err := s.Call(context.Background(), &wire.GroupQuery{})
	require.True(t, sent)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	require.True(t, s.Alive())
}

// Guards against messages that are sent although no receiver could decode them, and against sessions that are
// ended for them again and again: the next session would begin with the same message.
func TestMessageThatCanNotBeEncodedIsNotSent(t *testing.T) {
	s, b, received := connectToRecorder(t)
	tooLarge := &wire.ConfigurationAnswer{Data: make([]byte, wire.MaxMessageBytes)}
	for _, m := range []wire.Message{&wire.GroupQuery{Group: invalidText}, tooLarge} {
		var refused *wire.EncodeError
		require.ErrorAs(t, s.Post(m), &refused)
		require.ErrorAs(t, s.Send(context.Background(), m), &refused)
		_, sent, err := s.Call(context.Background(), m)
		require.ErrorAs(t, err, &refused)
		require.False(t, sent)
		_, err = Prepare(m)
		require.ErrorAs(t, err, &refused)
		s.PostOrClose(m)
	}
	requireNext(t, s, received, nil)
	require.Zero(t, b.pool.traffic.unreadable.counter.Count())
	require.Equal(t, int64(8), s.traffic.unsendable.counter.Count())
}

// Guards against a list that is not sent at all since one of its records can't be encoded.
func TestRecordThatCanNotBeEncodedCostsOnlyItself(t *testing.T) {
	s, b, received := connectToRecorder(t)
	m := &wire.Upstreams{All: []registry.Upstream{{ID: "i-1"}, {ID: invalidText}, {ID: "i-2"}}}
	want := &wire.Upstreams{All: []registry.Upstream{{ID: "i-1"}, {ID: "i-2"}}}
	s.PostOrClose(m)
	requireNext(t, s, received, want)
	p, err := Prepare(m)
	require.NoError(t, err)
	s.PostPreparedOrClose(p)
	requireNext(t, s, received, want)
	require.Zero(t, b.pool.traffic.unreadable.counter.Count())
	require.Equal(t, int64(2), s.traffic.unsendable.counter.Count())
	require.Len(t, m.All, 3, "the message itself is unchanged")
}

// Guards against callers that get no reply since the text of a failure can't be encoded.
func TestFailureWithInvalidTextArrives(t *testing.T) {
	b := startHost(t, "b", HandlerFunc(func(s *Session, call uint64, _ wire.Message) {
		_ = s.Reply(call, NewFailure(verdict.New(verdict.NotRun, verdict.CodeNotFound, "no upstream "+invalidText)))
	}))
	a := startHost(t, "a", nil)
	s, err := a.pool.Get(context.Background(), b.address)
	require.NoError(t, err)
	_, _, err = s.Call(context.Background(), &wire.GroupQuery{})
	e := verdict.FromError(err)
	require.Equal(t, verdict.CodeNotFound, e.Code)
	require.Equal(t, "no upstream i-95\uFFFD", e.Text)
}

// Guards against callers whose header fields or paths end the session with an agent: HTTP allows bytes in them
// that are no text.
func TestRequestsAndResponsesCarryAnyBytes(t *testing.T) {
	s, b, received := connectToRecorder(t)
	for _, m := range []wire.Message{
		&wire.Dispatch{Method: "GET", Path: "/a" + invalidText, Header: []wire.Field{{Name: "X-A", Value: invalidText}}},
		&wire.Head{Status: 200, Header: []wire.Field{{Name: "X-A", Value: invalidText}}},
		&wire.End{Incomplete: true, Text: "malformed response " + invalidText},
		&wire.Refused{Text: invalidText},
	} {
		require.NoError(t, s.Post(m))
		requireNext(t, s, received, m)
	}
	require.Zero(t, b.pool.traffic.unreadable.counter.Count())
}
