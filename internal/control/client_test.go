package control

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// claimContext gives a claim the time that a caller typically has.
func claimContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	t.Cleanup(cancel)
	return ctx
}

func noLeader() *wire.Failure {
	return peer.NewFailure(verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "this control host does not lead"))
}

// A leader that is slow to reply, because its disk is, must not be taken for dead. When a client
// gave up after 0.8 s, bookings were refused although their claims were granted a moment later.
func TestClaimWaitsForSlowLeader(t *testing.T) {
	leader := startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) {
		time.AfterFunc(2*attemptTimeout, func() { _ = s.Reply(call, &wire.ClaimReply{State: wire.ClaimGranted}) })
	})
	reply, err := clientOf(t, leader).Claim(claimContext(t), &wire.ClaimRequest{Key: "k"})
	require.NoError(t, err)
	require.Equal(t, wire.ClaimGranted, reply.State)
}

// A leader that has said nothing for attemptTimeout is frozen or cut off. The client must go on
// to another host, although the session has not ended yet.
func TestClaimLeavesSilentLeader(t *testing.T) {
	blocked := make(chan struct{})
	t.Cleanup(sync.OnceFunc(func() { close(blocked) }))
	frozen := startPeer(t, func(*peer.Session, uint64, wire.Message) { <-blocked })
	next := startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) {
		_ = s.Reply(call, &wire.ClaimReply{State: wire.ClaimGranted})
	})
	started := time.Now()
	reply, err := clientOf(t, frozen, next).Claim(claimContext(t), &wire.ClaimRequest{Key: "k"})
	require.NoError(t, err)
	require.Equal(t, wire.ClaimGranted, reply.State)
	require.Less(t, time.Since(started), 4*time.Second, "long before the session ends by silence and a redial")
}

// A claim whose leader lost the leadership before the commit must be asked for again, for the same
// attempt, at the next leader. Before, its caller was refused.
func TestClaimIsAskedForAgainWhenTheLeadershipEnds(t *testing.T) {
	attempts := make(chan wire.AttemptID, 2)
	former := startPeer(t, func(s *peer.Session, call uint64, m wire.Message) {
		attempts <- m.(*wire.ClaimRequest).Attempt
		_ = s.Reply(call, peer.NewFailure(verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "the leadership ended before the commit")))
	})
	next := startPeer(t, func(s *peer.Session, call uint64, m wire.Message) {
		attempts <- m.(*wire.ClaimRequest).Attempt
		_ = s.Reply(call, &wire.ClaimReply{State: wire.ClaimGranted})
	})
	reply, err := clientOf(t, former, next).Claim(claimContext(t), &wire.ClaimRequest{Key: "k", Attempt: wire.AttemptID{7}})
	require.NoError(t, err)
	require.Equal(t, wire.ClaimGranted, reply.State)
	require.Equal(t, <-attempts, <-attempts)
}

// A claim that an earlier host may have granted must not end as one that was not: its entry host
// would not release it, and its key would stay taken until the deadline.
func TestClaimThatMayBeGrantedSaysSo(t *testing.T) {
	former := startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) {
		_ = s.Reply(call, peer.NewFailure(verdict.New(verdict.MayHaveRun, verdict.CodeNoQuorum, "the leadership ended before the commit")))
	})
	next := startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) {
		_ = s.Reply(call, peer.NewFailure(verdict.New(verdict.NotRun, verdict.CodeOverloaded, "too many proposals wait")))
	})
	_, err := clientOf(t, former, next).Claim(claimContext(t), &wire.ClaimRequest{Key: "k"})
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	require.Equal(t, verdict.CodeOverloaded, verdict.FromError(err).Code)
}

// While a majority of the control hosts answers, a leader will be elected, and the claim must wait
// for it. An election takes one to two seconds and more with slow disks; a client that gave up
// after 0.3 s refused every booking meanwhile.
func TestClaimWaitsForElection(t *testing.T) {
	var elected atomic.Bool
	time.AfterFunc(4*leaderSearchTime, func() { elected.Store(true) })
	host := func() string {
		return startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) {
			if elected.Load() {
				_ = s.Reply(call, &wire.ClaimReply{State: wire.ClaimGranted})
				return
			}
			_ = s.Reply(call, noLeader())
		})
	}
	// Nothing listens on port 1.
	reply, err := clientOf(t, "127.0.0.1:1", host(), host()).Claim(claimContext(t), &wire.ClaimRequest{Key: "k"})
	require.NoError(t, err)
	require.Equal(t, wire.ClaimGranted, reply.State)
}

// A leader that shuts down ends its sessions before the other hosts know that it is gone: they
// still name it. The claim must wait for the next leader; when only hosts that named no leader
// counted as answering, it was refused after 0.3 s.
func TestClaimWaitsWhileOthersNameTheFormerLeader(t *testing.T) {
	const former = "127.0.0.1:1" // nothing listens there
	var elected atomic.Bool
	time.AfterFunc(4*leaderSearchTime, func() { elected.Store(true) })
	host := func() string {
		return startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) {
			if elected.Load() {
				_ = s.Reply(call, &wire.ClaimReply{State: wire.ClaimGranted})
				return
			}
			named := noLeader()
			named.Leader = former
			_ = s.Reply(call, named)
		})
	}
	reply, err := clientOf(t, former, host(), host()).Claim(claimContext(t), &wire.ClaimRequest{Key: "k"})
	require.NoError(t, err)
	require.Equal(t, wire.ClaimGranted, reply.State)
}

// Calls share what they know of the leader. A claim must ask every host itself before it gives up:
// when it counted its attempts, three of them could be at the former leader, which other calls named
// again and again, and the next leader was never asked.
func TestClaimAsksEveryHostWhileOthersNameTheFormerLeader(t *testing.T) {
	const former = "127.0.0.1:1" // nothing listens there
	next := startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) {
		_ = s.Reply(call, &wire.ClaimReply{State: wire.ClaimGranted})
	})
	c := clientOf(t, former, "127.0.0.2:1", next)
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				c.setLeader(former)
			}
		}
	})
	reply, err := c.Claim(claimContext(t), &wire.ClaimRequest{Key: "k"})
	close(stop)
	others.Wait()
	require.NoError(t, err)
	require.Equal(t, wire.ClaimGranted, reply.State)
}

// Without a majority no leader can be elected, so the caller must be told at once.
func TestClaimIsRefusedAtOnceWithoutMajority(t *testing.T) {
	alone := startPeer(t, func(s *peer.Session, call uint64, _ wire.Message) { _ = s.Reply(call, noLeader()) })
	started := time.Now()
	_, err := clientOf(t, alone, "127.0.0.1:1", "127.0.0.2:1").Claim(claimContext(t), &wire.ClaimRequest{Key: "k"})
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Positive(t, e.RetryAfter)
	require.Less(t, time.Since(started), electionWait/2)
}
