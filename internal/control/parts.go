package control

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// partBytes is the longest piece of a message between replicas. Heartbeats go
	// between the pieces.
	partBytes = 1 << 20
	// maxParts bounds what one divided message may take at the receiver.
	maxParts = 1 << 10
	// partTimeout bounds the wait to send one piece.
	partTimeout = 10 * time.Second
)

// assembly is a divided message of which some pieces have come.
type assembly struct {
	message uint64
	next    uint32
	data    []byte
}

// divide sends a long message, such as a snapshot, in pieces. While one is on its way
// to a replica the next is dropped; consensus sends it again.
func (t *Transport) divide(s *peer.Session, to consensus.ReplicaID, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dividing[to] {
		t.dropped.Inc(1)
		return
	}
	t.dividing[to] = true
	t.divided++
	go t.sendParts(s, to, t.divided, data)
}

func (t *Transport) sendParts(s *peer.Session, to consensus.ReplicaID, message uint64, data []byte) {
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.dividing, to)
	}()
	count := (len(data) + partBytes - 1) / partBytes
	for i := range count {
		part := &wire.ConsensusPart{
			To: string(to), Message: message, Index: uint32(i), Count: uint32(count),
			Data: data[i*partBytes : min(len(data), (i+1)*partBytes)],
		}
		ctx, cancel := context.WithTimeout(context.Background(), partTimeout)
		err := s.Send(ctx, part)
		cancel()
		if err != nil {
			t.dropped.Inc(1)
			return
		}
	}
}

// join takes a piece and returns the whole message once the last one has come. A
// piece that does not follow the one before ends the message.
func (t *Transport) join(from consensus.ReplicaID, p *wire.ConsensusPart) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.parts[from]
	if p.Index == 0 {
		a = &assembly{message: p.Message}
		t.parts[from] = a
	}
	if a == nil || a.message != p.Message || a.next != p.Index || p.Count > maxParts || len(p.Data) > partBytes {
		delete(t.parts, from)
		t.dropped.Inc(1)
		return nil, false
	}
	a.next++
	a.data = append(a.data, p.Data...)
	if a.next < p.Count {
		return nil, false
	}
	delete(t.parts, from)
	return a.data, true
}
