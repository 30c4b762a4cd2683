package peer

import (
	"context"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// sessionTimeout is how long a message or a reply may take in a property.
const sessionTimeout = 20 * time.Second

// hostileSession is a session on which one end writes any bytes in an envelope of this version.
type hostileSession struct {
	*Session
	remote *testHost
	// received gets the numbers of the notices that arrive.
	received chan uint64
	// lastNumber is the number of the last notice that was sent, lastCall the ID of the last call.
	lastNumber, lastCall uint64
}

func connectHostile(t testing.TB) *hostileSession {
	h := &hostileSession{received: make(chan uint64, 64), lastCall: 1 << 40}
	h.remote = startHost(t, "b", HandlerFunc(func(s *Session, call uint64, m wire.Message) {
		if notice, ok := m.(*wire.ConfigurationNotice); ok && notice.Number >= firstNotice {
			h.received <- notice.Number
		}
		if call != 0 {
			_ = s.Reply(call, &wire.Ack{})
		}
	}))
	a := startHost(t, "a", nil)
	s, err := a.pool.Get(context.Background(), h.remote.address)
	require.NoError(t, err)
	h.Session, h.lastNumber = s, firstNotice
	return h
}

// firstNotice is below the numbers of all notices that a property expects.
const firstNotice = 1 << 50

// Guards against a session that any bytes in an envelope end, that loses a message beside them or changes its
// place, and against calls that get no reply, or two.
func TestPropertySessionOutlastsAnyMessage(t *testing.T) {
	h := connectHostile(t)
	rapid.Check(t, h.property)
}

func FuzzSession(f *testing.F) {
	h := connectHostile(f)
	f.Fuzz(rapid.MakeFuzz(h.property))
}

func (h *hostileSession) property(t *rapid.T) {
	first := h.lastNumber + 1
	var notices []uint64
	var replies []chan wire.Message
	for range rapid.IntRange(1, 8).Draw(t, "messages") {
		if rapid.Bool().Draw(t, "isGood") {
			h.lastNumber++
			notices = append(notices, h.lastNumber)
			require.NoError(t, h.Send(context.Background(), &wire.ConfigurationNotice{Number: h.lastNumber}))
			continue
		}
		if reply := h.sendHostile(t); reply != nil {
			replies = append(replies, reply)
		}
	}
	h.lastNumber++
	require.NoError(t, h.Send(context.Background(), &wire.ConfigurationNotice{Number: h.lastNumber}))
	for _, want := range append(notices, h.lastNumber) {
		require.Equal(t, want, h.nextNotice(t, first))
	}
	for _, reply := range replies {
		select {
		case <-reply:
		case <-time.After(sessionTimeout):
			require.Fail(t, "no reply")
		}
	}
	for _, s := range h.remote.pool.Sessions() {
		// A call counts as replied just after its reply was queued. The count is below 0 after two replies.
		require.Eventually(t, func() bool { return s.unrepliedCalls.Load() == 0 }, sessionTimeout, time.Millisecond)
	}
	require.True(t, h.Alive())
}

// nextNotice returns the number of the next notice that arrives. It skips those below first: a fuzzer ends cases
// early, whose notices arrive in the next one.
func (h *hostileSession) nextNotice(t *rapid.T, first uint64) uint64 {
	timeout := time.After(sessionTimeout)
	for {
		select {
		case got := <-h.received:
			if got >= first {
				return got
			}
		case <-timeout:
			require.Fail(t, "no message", "session lives: %v", h.Alive())
		}
	}
}

// sendHostile sends a message with any body. It returns where the reply arrives if it is a call.
func (h *hostileSession) sendHostile(t *rapid.T) (reply chan wire.Message) {
	kind := wire.Kind(rapid.OneOf(rapid.Uint16Range(0, 110), rapid.Uint16()).Draw(t, "kind"))
	if kind == wire.KindGoodbye || kind == wire.KindConfigurationNotice {
		// The peer sends no calls after the one, and the other could be taken for a notice that is expected.
		kind = wire.KindPing
	}
	call, isReply := uint64(0), rapid.IntRange(0, 3).Draw(t, "isReply") == 0
	if rapid.Bool().Draw(t, "isCall") && kind != wire.KindPing {
		h.lastCall++
		call = h.lastCall
	}
	data := rawEnvelope(t, kind, call, isReply, drawBody(t))
	if call != 0 && !isReply {
		reply = make(chan wire.Message, 2)
		h.mu.Lock()
		h.calls[call] = reply
		h.mu.Unlock()
	}
	// Send returns when the session starts to write. The lock of the connection keeps the order.
	require.NoError(t, h.conn.Write(context.Background(), websocket.MessageBinary, data))
	return reply
}

// drawBody draws what may stand in an envelope as the body of a message.
func drawBody(t *rapid.T) []byte {
	var body []byte
	if rapid.Bool().Draw(t, "isList") {
		body, _ = wire.Marshal(&wire.Upstreams{
			All:        []registry.Upstream{{ID: "i-1"}, {ID: invalidText}},
			Departures: []registry.Departure{{ID: invalidText}, {ID: "i-2", State: registry.Gone}},
		})
	} else {
		return rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "body")
	}
	if at := rapid.IntRange(0, len(body)).Draw(t, "at"); at < len(body) {
		body[at] = rapid.Byte().Draw(t, "byte")
	}
	return body[:rapid.IntRange(0, len(body)).Draw(t, "length")]
}

// rawEnvelope returns an envelope with a body that need not be valid.
func rawEnvelope(t require.TestingT, kind wire.Kind, call uint64, isReply bool, body []byte) []byte {
	const mapOfFive, bodyKey = 0xa5, 5
	data := []byte{mapOfFive}
	for i, field := range []any{wire.Version, kind, call, isReply} {
		encoded, err := wire.Marshal(field)
		require.NoError(t, err)
		data = append(append(data, byte(i+1)), encoded...)
	}
	return append(append(data, bodyKey), body...)
}
