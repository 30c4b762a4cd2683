package consensus

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// invalidText is not UTF-8. CBOR decoders refuse it.
const invalidText = "i-95\xff\xfe"

// Guards against a replica whose name is no text. Its votes and memberships could be read by no other replica,
// and by itself not after a restart.
func TestReplicaWithoutValidTextInItsIDIsRefused(t *testing.T) {
	_, err := New(Config{ID: invalidText, Rand: rand.New(rand.NewPCG(1, 2))}, PersistedState{})
	require.Error(t, err)
}

// Guards against a membership in the log that no replica can decode, since each would stop, and stop again
// when it starts: the leader refuses it before it is in its log.
func TestMembershipThatCanNotBeDecodedIsRefused(t *testing.T) {
	c := openCore(t, idA, restoredLog(t, threeVoters(), 1))
	electLeader(t, c, idB)
	step(t, c, Message{Type: MessageAppendResponse, From: idB, Term: c.hardState.Term, Index: c.log.lastIndex()})
	drainReady(c)
	last, before := c.log.lastIndex(), c.Membership()
	next := c.Membership()
	next.Learners = append(next.Learners, invalidText)
	_, _, err := c.ProposeMembership(next)
	require.ErrorIs(t, err, ErrInvalidMembership)
	require.Equal(t, last, c.log.lastIndex())
	require.Equal(t, before, c.Membership())
	require.ErrorIs(t, openCore(t, idA, PersistedState{}).Bootstrap(Membership{Voters: []ReplicaID{idA, invalidText}}), ErrInvalidMembership)
	_, _, err = c.Propose([]byte("x"))
	require.NoError(t, err, "the replica goes on")
}
