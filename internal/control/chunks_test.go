package control

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// A snapshot that exceeds the maximum message size must arrive complete. Without chunks the
// session would reject it.
func TestLongMessageIsSentInChunks(t *testing.T) {
	const secret = "a secret of the processes"
	receiver := NewTransport(metrics.NewRegistry())
	reassembled := make(chan []byte, 1)
	b := peer.NewPool(peer.Config{
		Hello: wire.Hello{Host: "b", Replica: "b/1"}, Secret: secret,
		Handler: peer.HandlerFunc(func(s *peer.Session, _ uint64, m wire.Message) {
			if data, ok := receiver.reassemble(consensus.ReplicaID(s.Remote().Replica), m.(*wire.ConsensusPart)); ok {
				reassembled <- data
			}
		}),
	})
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.NewServer(b))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	t.Cleanup(b.Close)

	sender := NewTransport(metrics.NewRegistry())
	a := peer.NewPool(peer.Config{
		Hello: wire.Hello{Host: "a", Replica: "a/1"}, Secret: secret, OnSession: sender.SessionUp,
		Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}),
	})
	t.Cleanup(a.Close)
	_, err := a.Get(t.Context(), strings.TrimPrefix(srv.URL, "http://"))
	require.NoError(t, err)

	snapshot := &consensus.Snapshot{Data: bytes.Repeat([]byte("0123456789"), (wire.MaxMessageBytes+chunkBytes)/10)}
	sender.Send("b/1", consensus.Message{Type: consensus.MessageSnapshot, From: "a/1", To: "b/1", Snapshot: snapshot})
	select {
	case data := <-reassembled:
		var m consensus.Message
		require.NoError(t, wire.Unmarshal(data, &m))
		require.True(t, bytes.Equal(snapshot.Data, m.Snapshot.Data))
	case <-time.After(30 * time.Second):
		require.Fail(t, "the message did not arrive")
	}
}

// A missing or repeated chunk must drop the message. Otherwise a corrupt message would reach
// consensus.
func TestChunkOutOfOrderDropsMessage(t *testing.T) {
	receiver := NewTransport(metrics.NewRegistry())
	addChunk := func(message uint64, index uint32) ([]byte, bool) {
		return receiver.reassemble("a/1", &wire.ConsensusPart{Message: message, Index: index, Count: 3, Data: []byte{byte(index)}})
	}
	for _, order := range [][]uint32{{0, 2}, {1, 2}, {0, 1, 1, 2}} {
		for _, index := range order {
			_, isComplete := addChunk(1, index)
			require.False(t, isComplete)
		}
	}
	_, _ = addChunk(2, 0)
	_, _ = addChunk(2, 1)
	data, isComplete := addChunk(2, 2)
	require.True(t, isComplete)
	require.Equal(t, []byte{0, 1, 2}, data)
}
