package control

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// chunkBytes is the longest piece of a message between replicas. Heartbeats go
	// between the pieces.
	chunkBytes = 1 << 20
	// maxChunks bounds what one divided message may take at the receiver.
	maxChunks = 1 << 10
	// chunkTimeout bounds the wait to send one piece.
	chunkTimeout = 10 * time.Second
)

// assembly is a divided message of which some pieces have come.
type assembly struct {
	message   uint64
	nextIndex uint32
	data      []byte
}

// sendChunked sends a long message, such as a snapshot, in pieces. While one is on its way
// to a replica the next is dropped; consensus sends it again.
func (t *Transport) sendChunked(s *peer.Session, to consensus.ReplicaID, data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sendingChunks[to] {
		t.dropped.Inc(1)
		return
	}
	t.sendingChunks[to] = true
	t.lastMessage++
	go t.sendChunks(s, to, t.lastMessage, data)
}

func (t *Transport) sendChunks(s *peer.Session, to consensus.ReplicaID, message uint64, data []byte) {
	defer func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.sendingChunks, to)
	}()
	count := (len(data) + chunkBytes - 1) / chunkBytes
	for i := range count {
		part := &wire.ConsensusPart{
			To: string(to), Message: message, Index: uint32(i), Count: uint32(count),
			Data: data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)],
		}
		ctx, cancel := context.WithTimeout(context.Background(), chunkTimeout)
		err := s.Send(ctx, part)
		cancel()
		if err != nil {
			t.dropped.Inc(1)
			return
		}
	}
}

// reassemble takes a piece and returns the whole message once the last one has come. A
// piece that does not follow the one before ends the message.
func (t *Transport) reassemble(from consensus.ReplicaID, p *wire.ConsensusPart) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.assemblies[from]
	if p.Index == 0 {
		a = &assembly{message: p.Message}
		t.assemblies[from] = a
	}
	if a == nil || a.message != p.Message || a.nextIndex != p.Index || p.Count > maxChunks || len(p.Data) > chunkBytes {
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
