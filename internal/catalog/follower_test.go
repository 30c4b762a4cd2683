package catalog

import (
	"log/slog"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against a host that is ready for callers before the evacuations of the same read are in
// force.
func TestEvacuationsAreInForceBeforeTheHostIsReady(t *testing.T) {
	log, reg := slog.New(slog.DiscardHandler), metrics.NewRegistry()
	var f *Follower
	var inForce []string
	f = NewFollower(FollowerConfig{
		Store: NewStore(log, reg), Log: log, Metrics: reg,
		SetEvacuations: func(_ string, m *wire.Evacuations) {
			select {
			case <-f.Ready():
				t.Error("ready before the evacuations are in force")
			default:
			}
			inForce = m.DataCentres
		},
	})
	f.HandlePeer(&peer.Session{}, 0, &wire.Changes{Linearizable: true, Evacuations: &wire.Evacuations{Index: 5, DataCentres: []string{"east"}}})
	<-f.Ready()
	require.Equal(t, []string{"east"}, inForce)
}
