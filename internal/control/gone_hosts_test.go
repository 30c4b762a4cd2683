package control

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against a search for the leader that waits for one control host after the other that is gone for good and
// still known, while those that are there have sessions: after several replacements no call would find the leader.
func TestClientFindsLeaderAmongHostsThatAreGone(t *testing.T) {
	leader := startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) {
		_ = s.Reply(call, &wire.ClaimReply{State: wire.ClaimGranted})
	})
	follower := startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) {
		f := noLeader()
		f.Leader = leader
		_ = s.Reply(call, f)
	})
	gone := []string{"192.0.2.1:1", "192.0.2.2:1", "192.0.2.3:1", "192.0.2.4:1", "192.0.2.5:1", "192.0.2.6:1"}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if address != leader && address != follower {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	pool := peer.NewPool(peer.Config{
		Hello: wire.Hello{Host: "client"}, Secret: testSecret, DialContext: dial, Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}),
	})
	t.Cleanup(pool.Close)
	for _, present := range []string{leader, follower} {
		_, err := pool.Get(t.Context(), present)
		require.NoError(t, err)
	}
	client := NewClient(pool, append(gone, follower, leader))
	began := time.Now()
	_, err := client.Claim(t.Context(), &wire.ClaimRequest{Key: "k"})
	require.NoError(t, err)
	require.Less(t, time.Since(began), attemptTimeout, "a host that is gone was waited for")
}
