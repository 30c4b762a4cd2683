package peer

import (
	"log/slog"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// FrameOverhead is the overhead of the WebSocket frame, TCP and IP in bytes, for a message
// that is sent in a packet of its own: 4 to 8 for the frame, 52 for IP and TCP with
// timestamps.
const FrameOverhead = 60

// counts counts messages and bytes. Bytes include the overhead of the lower layers.
type counts struct {
	messages, bytes metrics.Counter
}

func newCounts(reg metrics.Registry, name string) counts {
	return counts{
		messages: metrics.GetOrRegisterCounter("peer."+name+".messages", reg),
		bytes:    metrics.GetOrRegisterCounter("peer."+name+".bytes", reg),
	}
}

func (c counts) add(size int) {
	c.messages.Inc(1)
	c.bytes.Inc(int64(size + FrameOverhead))
}

// traffic holds the counters of a Pool. It counts messages that carry requests and responses
// ("attempt") apart from all others ("control").
type traffic struct {
	controlSent, controlReceived, attemptSent, attemptReceived counts
	// unreadable counts and logs received messages that this build can't decode, or not entirely, unsendable
	// those that it does not send, or not entirely, because no peer of this build could decode them.
	unreadable, unsendable *refusals
	// rejected counts the connections with a wrong secret or Hello, refused those beyond Config.MaxSessions.
	rejected, refused metrics.Counter
	// panicked counts messages whose handler panicked.
	panicked metrics.Counter
	// dials counts all dials, lateHandshakes those that exceeded the handshake timeout,
	// accepted the sessions that other hosts dialled, and abandoned the hosts that
	// disconnected while they waited for a handshake permit.
	dials, lateHandshakes, accepted, abandoned metrics.Counter
	// sessions is the number of live sessions.
	sessions metrics.Gauge
	// queueWait is how long messages wait until their session starts to write them.
	queueWait *telemetry.Latency

	// sent and received count the messages of each kind.
	sent, received *countsByKind
}

// countsByKind counts the messages of each kind that go in one direction.
type countsByKind struct {
	registry metrics.Registry
	// direction is the last part of the names of the counters.
	direction string
	// mu guards byKind.
	mu     sync.RWMutex
	byKind map[wire.Kind]counts
}

func newCountsByKind(reg metrics.Registry, direction string) *countsByKind {
	return &countsByKind{registry: reg, direction: direction, byKind: make(map[wire.Kind]counts)}
}

// of returns the counters of a kind.
func (c *countsByKind) of(k wire.Kind) counts {
	c.mu.RLock()
	counter, ok := c.byKind[k]
	c.mu.RUnlock()
	if ok {
		return counter
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	counter = newCounts(c.registry, "kind."+k.String()+"."+c.direction)
	c.byKind[k] = counter
	return counter
}

func newTraffic(reg metrics.Registry, log *slog.Logger) *traffic {
	return &traffic{
		controlSent:     newCounts(reg, "control.sent"),
		controlReceived: newCounts(reg, "control.received"),
		attemptSent:     newCounts(reg, "attempt.sent"),
		attemptReceived: newCounts(reg, "attempt.received"),
		panicked:        metrics.GetOrRegisterCounter("peer.messages.harmful", reg),
		unreadable:      newRefusals("message can't be decoded", metrics.GetOrRegisterCounter("peer.messages.unreadable", reg), log),
		unsendable:      newRefusals("message can't be encoded", metrics.GetOrRegisterCounter("peer.messages.unsendable", reg), log),
		rejected:        metrics.GetOrRegisterCounter("peer.strangers", reg),
		refused:         metrics.GetOrRegisterCounter("peer.refused", reg),
		dials:           metrics.GetOrRegisterCounter("peer.dials.begun", reg),
		lateHandshakes:  metrics.GetOrRegisterCounter("peer.dials.late", reg),
		accepted:        metrics.GetOrRegisterCounter("peer.accepted", reg),
		abandoned:       metrics.GetOrRegisterCounter("peer.gave-up", reg),
		sessions:        metrics.GetOrRegisterGauge("peer.sessions", reg),
		queueWait:       telemetry.GetOrRegisterLatency("peer.queue-wait", reg),
		sent:            newCountsByKind(reg, "sent"),
		received:        newCountsByKind(reg, "received"),
	}
}

// countSent counts a message that is about to be written, queued at the time since.
func (t *traffic) countSent(k wire.Kind, size int, since time.Time) {
	t.queueWait.AddSince(since)
	t.sent.of(k).add(size)
	if k.IsAttempt() {
		t.attemptSent.add(size)
		return
	}
	t.controlSent.add(size)
}

func (t *traffic) countReceived(k wire.Kind, size int) {
	t.received.of(k).add(size)
	if k.IsAttempt() {
		t.attemptReceived.add(size)
		return
	}
	t.controlReceived.add(size)
}
