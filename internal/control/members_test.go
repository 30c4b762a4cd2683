package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// The time since the last contact is counted in ticks. If Config.Tick stayed zero when the
// settings don't set it, silent replicas would count as alive, and a host with a new disk
// could never replace its old replica.
func TestSilentReplicaHasNoRecentContactWithDefaultTick(t *testing.T) {
	h := &Host{cfg: Config{}.withDefaults()}
	st := consensus.Status{Peers: []consensus.PeerStatus{{ID: "a/old", TicksSinceContact: 1000}, {ID: "b/new", TicksSinceContact: 1}}}
	require.False(t, h.hasRecentContact(st, "a/old"))
	require.True(t, h.hasRecentContact(st, "b/new"))
}
