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

// A snapshot longer than any message arrives whole. Without divide the session
// refuses it.
func TestLongMessageTravelsInPieces(t *testing.T) {
	const secret = "a secret of the processes"
	receiver := NewTransport(metrics.NewRegistry())
	whole := make(chan []byte, 1)
	b := peer.NewPool(peer.Config{
		Hello: wire.Hello{Host: "b", Replica: "b/1"}, Secret: secret,
		Handler: peer.HandlerFunc(func(s *peer.Session, _ uint64, m wire.Message) {
			if data, ok := receiver.join(consensus.ReplicaID(s.Remote().Replica), m.(*wire.ConsensusPart)); ok {
				whole <- data
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

	snapshot := &consensus.Snapshot{Data: bytes.Repeat([]byte("0123456789"), (wire.MaxMessageBytes+partBytes)/10)}
	sender.Send("b/1", consensus.Message{Type: consensus.MessageSnapshot, From: "a/1", To: "b/1", Snapshot: snapshot})
	select {
	case data := <-whole:
		var m consensus.Message
		require.NoError(t, wire.Unmarshal(data, &m))
		require.True(t, bytes.Equal(snapshot.Data, m.Snapshot.Data))
	case <-time.After(30 * time.Second):
		require.Fail(t, "the message did not arrive")
	}
}

func TestPieceOutOfPlaceEndsTheMessage(t *testing.T) {
	receiver := NewTransport(metrics.NewRegistry())
	piece := func(message uint64, index uint32) ([]byte, bool) {
		return receiver.join("a/1", &wire.ConsensusPart{Message: message, Index: index, Count: 3, Data: []byte{byte(index)}})
	}
	for _, order := range [][]uint32{{0, 2}, {1, 2}, {0, 1, 1, 2}} {
		for _, index := range order {
			_, isWhole := piece(1, index)
			require.False(t, isWhole)
		}
	}
	_, _ = piece(2, 0)
	_, _ = piece(2, 1)
	data, isWhole := piece(2, 2)
	require.True(t, isWhole)
	require.Equal(t, []byte{0, 1, 2}, data)
}
