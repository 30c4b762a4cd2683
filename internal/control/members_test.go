package control

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// A replica that has been silent for long must not count as heard where the settings
// leave the tick open: the new disk of its host would never take its place.
func TestSilentReplicaIsNotHeardWithDefaults(t *testing.T) {
	h := &Host{cfg: Config{}.withDefaults()}
	st := consensus.Status{Peers: []consensus.PeerStatus{{ID: "a/old", TicksSinceContact: 1000}, {ID: "b/new", TicksSinceContact: 1}}}
	require.False(t, h.hasRecentContact(st, "a/old"))
	require.True(t, h.hasRecentContact(st, "b/new"))
}
