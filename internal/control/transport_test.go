package control

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Two control hosts that dial each other at the same time have two sessions. When the later one
// ends, messages must use the earlier one: the hosts dial no third one as long as it is alive, and
// would exchange no messages of the consensus.
func TestTransportUsesTheOtherSessionOfAReplica(t *testing.T) {
	host := startSlowHost(t, 1)
	dial := func() *peer.Session {
		pool := peer.NewPool(peer.Config{Hello: wire.Hello{Host: "c2"}, Secret: "s", Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {})})
		t.Cleanup(pool.Close)
		s, err := pool.Get(t.Context(), host.address)
		require.NoError(t, err)
		return s
	}
	transport := NewTransport(metrics.NewRegistry())
	first, second := dial(), dial()
	transport.SessionUp(first)
	transport.SessionUp(second)
	require.Equal(t, []*peer.Session{second}, transport.Sessions())
	second.Close()
	require.Eventually(t, func() bool { return !second.Alive() }, 10*time.Second, time.Millisecond)
	require.Equal(t, []*peer.Session{first}, transport.Sessions())
	require.NotEmpty(t, first.Remote().Replica)
	require.Same(t, first, transport.session("c1/1"))
}
