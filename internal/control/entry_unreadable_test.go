package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against entries in the log that no replica can decode, such as those that a leader of an older build has
// proposed, and that end the replicas, let them differ, or keep them from starting again: text that is no UTF-8,
// what is no command, and more than a message between hosts may have.
func TestEntriesThatNoReplicaCanDecodeCostNothingElse(t *testing.T) {
	c := newTestCluster(t, 3, 0, nil)
	invalid, err := cbor.Marshal(state.ClaimBatch{Claims: []state.Claim{{Workspace: "w", Key: invalidText, Attempt: "a"}}})
	require.NoError(t, err)
	const claimBatchKind = 4
	command, err := cbor.Marshal(map[int]any{1: 1, 2: claimBatchKind, 3: cbor.RawMessage(invalid)})
	require.NoError(t, err)
	for name, data := range map[string][]byte{
		"text": command, "not CBOR": []byte("\xff"), "too large": bytes.Repeat([]byte("x"), wire.MaxMessageBytes+1),
	} {
		result, err := c.leader().host.replica.Propose(t.Context(), data)
		require.NoError(t, err, name)
		require.Equal(t, state.Rejected{Reason: state.ReasonMalformed}, result.Value, name)
	}
	number, err := c.leader().host.PutConfiguration(t.Context(), 1, []byte("x"), "test")
	require.NoError(t, err)
	require.Equal(t, uint64(1), number)
	c.requireSameTables()
	for _, h := range c.hosts {
		h.kill()
	}
	for _, h := range c.hosts {
		h.start()
	}
	require.NoError(t, c.propose(c.leader()))
	c.requireSameTables()
	lost := c.follower()
	lost.wipe()
	require.Eventually(t, func() bool { return c.votersAre(c.hosts...) }, catchUpTimeout, time.Millisecond, "a host without a log gets it")
	require.NoError(t, c.propose(c.leader()))
	c.requireSameTables()
}

// requireSameTables waits until all hosts have the same tables.
func (c *testCluster) requireSameTables() {
	c.t.Helper()
	require.Eventually(c.t, func() bool {
		var first []byte
		for _, h := range c.hosts {
			data, err := h.host.tables.Snapshot()
			require.NoError(c.t, err)
			if first == nil {
				first = data
			}
			if !bytes.Equal(first, data) {
				return false
			}
		}
		return true
	}, conditionTimeout, 10*time.Millisecond, "the tables differ")
}
