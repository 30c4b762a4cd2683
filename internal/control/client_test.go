package control

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

func newTestClient(addresses ...string) *Client {
	return NewClient(peer.NewPool(peer.Config{}), addresses)
}

// The only control host of a system has no other hosts to ask. Its client must return an
// error and not loop or panic on the empty list of addresses.
func TestClientWithoutAddressesReturnsError(t *testing.T) {
	_, err := newTestClient().Read(context.Background())
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

func TestClientFailsWithRetryAfterIfNoHostAnswers(t *testing.T) {
	// Nothing listens on port 1 of the loopback addresses.
	_, err := newTestClient("127.0.0.1:1", "127.0.0.2:1").Claim(context.Background(), &wire.ClaimRequest{})
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, verdict.CodeNoQuorum, e.Code)
	require.Positive(t, e.RetryAfter)
}
