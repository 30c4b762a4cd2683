package peer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Two hosts that dial each other at the same time have two sessions. If one end gives up its dial
// while the other accepts it, that session ends at once. The host must still be found by the other
// session: the host that keeps it does not dial again, so it would never be found.
func TestEndOfOneSessionLeavesTheOther(t *testing.T) {
	a, b := startHost(t, "a", nil), startHost(t, "b", nil)
	kept, err := a.pool.Get(t.Context(), b.address)
	require.NoError(t, err)
	secondDial := NewPool(Config{Hello: wire.Hello{Host: "b", Address: b.address}, Secret: testSecret, Handler: HandlerFunc(func(*Session, uint64, wire.Message) {})})
	given, err := secondDial.Get(t.Context(), a.address)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(a.pool.Sessions()) == 2 }, 10*time.Second, time.Millisecond)
	given.Close()
	secondDial.Close()
	require.Eventually(t, func() bool { return len(a.pool.Sessions()) == 1 }, 10*time.Second, time.Millisecond)
	require.Never(t, func() bool { return a.pool.LiveSession(b.address) != kept }, 50*time.Millisecond, 5*time.Millisecond)
}
