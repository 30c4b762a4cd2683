package control

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const testSecret = "a secret of the processes"

// startPeer starts a host that handles messages with h, and returns its address.
func startPeer(t *testing.T, h peer.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	address := strings.TrimPrefix(srv.URL, "http://")
	pool := peer.NewPool(peer.Config{Hello: wire.Hello{Host: address, Address: address}, Secret: testSecret, Handler: h})
	t.Cleanup(pool.Close)
	mux.Handle(peer.Path, peer.NewServer(pool))
	return address
}

// clientOf returns a client of hosts that startPeer has started.
func clientOf(t *testing.T, addresses ...string) *Client {
	t.Helper()
	pool := peer.NewPool(peer.Config{Hello: wire.Hello{Host: "client"}, Secret: testSecret, Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {})})
	t.Cleanup(pool.Close)
	return NewClient(pool, addresses)
}

// A control host that has lost the leadership must refuse claims, so that their hosts ask the next
// leader. When it forwarded them, they were granted there and its callers got "unexpected failure".
func TestFormerLeaderForwardsNoClaims(t *testing.T) {
	var forwarded atomic.Int64
	leader := startPeer(t, func(s *peer.Session, call uint64, m wire.Message) {
		if _, ok := m.(*wire.Propose); ok {
			forwarded.Add(1)
		}
		_ = s.Reply(call, peer.NewFailure(verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "its result can't be forwarded")))
	})
	h, closeHost := openSingleHost(t, t.TempDir())
	defer closeHost()
	h.client = clientOf(t, leader)
	_, err := h.commands.Claim(t.Context(), state.Claim{Workspace: "w", Key: "k", Attempt: "a"})
	require.Error(t, err)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict, err)
	require.Equal(t, verdict.CodeNoQuorum, verdict.FromError(err).Code)
	_, err = h.commands.Finish(t.Context(), state.Finish{Workspace: "w", Key: "k", Attempt: "a"})
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict, err)
	require.Zero(t, forwarded.Load())
}

// Guards against a change that fails although there is a leader: its host had none when it took the change
// from its caller, asked the others, and became the leader itself.
func TestChangeIsMadeByHostThatBecomesLeaderMeanwhile(t *testing.T) {
	c := newTestCluster(t, 3, 0, nil)
	for _, h := range c.hosts {
		for _, link := range h.links {
			link.Freeze()
		}
	}
	type outcome struct {
		host string
		took time.Duration
		err  error
	}
	outcomes := make(chan outcome, len(c.hosts))
	for i, h := range c.hosts {
		require.Eventually(t, func() bool { _, isKnown := h.host.replica.Leader(); return !isKnown }, conditionTimeout, time.Millisecond, "the leader is not lost")
		go func() {
			began := time.Now()
			_, err := h.host.PutConfiguration(t.Context(), uint64(1+i), []byte("c"), "operator")
			outcomes <- outcome{h.name, time.Since(began), err}
		}()
	}
	for _, h := range c.hosts {
		asked := metrics.GetOrRegisterCounter("peer.kind."+wire.KindPropose.String()+".sent.messages", h.metrics)
		require.Eventually(t, func() bool { return asked.Count() > 0 }, conditionTimeout, time.Millisecond, "%s asks no other host", h.name)
	}
	for _, h := range c.hosts {
		for _, link := range h.links {
			link.Heal()
		}
	}
	for range c.hosts {
		o := <-outcomes
		require.NoError(t, o.err, "%s after %v", o.host, o.took)
		require.Less(t, o.took, contactTimeout, o.host)
	}
}

// Guards against a forwarded command whose result its proposer can't read, so that an accepted change is answered
// as one that may not be made.
func TestForwardedResultIsDecodedToTheSameValue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		number := func(label string) uint64 { return rapid.Uint64().Draw(rt, label) }
		text := func(label string) string { return rapid.String().Draw(rt, label) }
		results := []any{
			state.SubmitResult{
				Outcome: state.SubmitConflict, Revision: number("revision"), Repeated: rapid.Bool().Draw(rt, "repeated"),
				Winner: &state.Winner{Revision: number("winner"), Author: text("author"), ChangeID: text("change")},
			},
			state.InitResult{Accepted: rapid.Bool().Draw(rt, "accepted"), ClusterID: text("cluster")},
			state.VoterAddressResult{Changed: rapid.Bool().Draw(rt, "changed")},
			state.Rejected{Reason: state.Reason(text("reason"))},
			state.ConfigurationResult{Accepted: rapid.Bool().Draw(rt, "put"), Number: number("number")},
			state.EvacuationResult{
				Outcome: state.EvacuationChanged, LastOrder: number("order"), Index: number("index"),
				Evacuated: slices.Repeat([]string{strings.Repeat("x", state.MaxNameBytes)}, state.MaxDataCentres),
			},
		}
		for _, result := range results {
			data, err := encodeResult(result)
			require.NoError(rt, err)
			_, err = wire.Encode(1, true, &wire.Proposed{Index: number("log index"), Result: data})
			require.NoError(rt, err)
			decoded, err := decodeResult(data)
			require.NoError(rt, err)
			require.Equal(rt, result, decoded)
		}
	})
}
