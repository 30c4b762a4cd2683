package control

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// chunkBytes is the maximum size of a chunk of a consensus message. Heartbeats can be
	// sent between two chunks.
	chunkBytes = 1 << 20
	// maxChunks bounds the memory that a receiver uses for one chunked message.
	maxChunks = 1 << 10
	// chunkTimeout bounds the time to send one chunk.
	chunkTimeout = 10 * time.Second
)

// assembly is a chunked message of which some chunks have been received.
type assembly struct {
	message   uint64
	nextIndex uint32
	data      []byte
}

// chunkedSend is a chunked message that is being sent.
type chunkedSend struct {
	session    *peer.Session
	isSnapshot bool
	// hasDroppedSnapshot is set once a snapshot to the same replica was dropped since this other message
	// was being sent. The Transport's mu guards it.
	hasDroppedSnapshot bool
	// cancel ends it.
	cancel context.CancelFunc
}

// sendChunked sends a long message, such as a snapshot, in chunks. While a chunked message is being sent
// to a replica, further ones to it are dropped; consensus sends them again. A message on a session that
// is not the latest one is given up: its session may be dead, and would hold up the replica until that
// is detected.
func (t *Transport) sendChunked(s *peer.Session, to consensus.ReplicaID, data []byte, isSnapshot bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if current := t.sendingChunks[to]; current != nil {
		if current.session == s {
			current.hasDroppedSnapshot = current.hasDroppedSnapshot || isSnapshot && !current.isSnapshot
			t.countDropped(to)
			return
		}
		current.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &chunkedSend{session: s, isSnapshot: isSnapshot, cancel: cancel}
	t.sendingChunks[to] = c
	t.lastMessage++
	go t.sendChunks(ctx, c, to, t.lastMessage, data)
}

func (t *Transport) sendChunks(ctx context.Context, c *chunkedSend, to consensus.ReplicaID, message uint64, data []byte) {
	err := c.send(ctx, to, message, data)
	isLatest := t.endChunks(c, to)
	if err != nil {
		t.drop(to, c.isSnapshot && isLatest)
		return
	}
	t.counters.of(to).sent.Inc(1)
	if c.isSnapshot {
		t.watchSnapshot(c.session, to)
	}
}

// send sends all chunks of a message.
func (c *chunkedSend) send(ctx context.Context, to consensus.ReplicaID, message uint64, data []byte) error {
	count := (len(data) + chunkBytes - 1) / chunkBytes
	for i := range count {
		chunk := &wire.ConsensusPart{
			To: string(to), Message: message, Index: uint32(i), Count: uint32(count),
			Data: data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)],
		}
		chunkCtx, cancel := context.WithTimeout(ctx, chunkTimeout)
		err := c.session.Send(chunkCtx, chunk)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// endChunks lets the next chunked message to a replica begin, which may be a snapshot that was dropped
// meanwhile. It reports whether no other one has taken the place of this one.
func (t *Transport) endChunks(c *chunkedSend, to consensus.ReplicaID) (isLatest bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.cancel()
	isLatest = t.sendingChunks[to] == c
	if isLatest {
		delete(t.sendingChunks, to)
	}
	if isLatest && c.hasDroppedSnapshot {
		go t.reportLostSnapshot(to)
	}
	return isLatest
}

// reassemble adds a chunk to its message. It returns the whole message with the last chunk.
// If a chunk is out of order, the message is dropped. A late chunk of a message that was given up
// has no effect on the one that took its place.
func (t *Transport) reassemble(from consensus.ReplicaID, p *wire.ConsensusPart) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.assemblies[from]
	if p.Index == 0 {
		a = &assembly{message: p.Message}
		t.assemblies[from] = a
	}
	if a != nil && a.message != p.Message {
		t.dropped.Inc(1)
		return nil, false
	}
	if a == nil || a.nextIndex != p.Index || p.Count > maxChunks || len(p.Data) > chunkBytes {
		delete(t.assemblies, from)
		t.dropped.Inc(1)
		return nil, false
	}
	a.nextIndex++
	a.data = append(a.data, p.Data...)
	if a.nextIndex < p.Count {
		return nil, false
	}
	delete(t.assemblies, from)
	return a.data, true
}
