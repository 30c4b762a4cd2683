package routing

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against requests to an evacuated data centre, also those whose upstream was chosen before,
// and against a list that reverts a newer one because it arrives late.
func TestRouterObeysEvacuations(t *testing.T) {
	f := newRouterFixture("a", "b")
	f.entries[0].Upstream.DataCentre, f.entries[1].Upstream.DataCentre = "east", "west"
	require.Nil(t, f.Evacuations())
	require.True(t, f.MaySend(f.entries[0].Upstream))
	require.True(t, f.SetEvacuations(&wire.Evacuations{Index: 5, DataCentres: []string{"east"}}))
	require.False(t, f.MaySend(f.entries[0].Upstream))
	for range 20 {
		choice, err := f.Pick(&Request{Pool: "p"})
		require.NoError(t, err)
		require.Equal(t, "b", choice.Upstream.Name)
		require.True(t, f.MaySend(choice.Upstream))
	}
	require.False(t, f.SetEvacuations(&wire.Evacuations{Index: 4}))
	require.True(t, f.SetEvacuations(&wire.Evacuations{Index: 6, DataCentres: []string{"east", "west"}}))
	_, err := f.Pick(&Request{Pool: "p"})
	require.ErrorIs(t, err, ErrNoUpstream)
	require.True(t, f.SetEvacuations(&wire.Evacuations{Index: 7}))
	_, err = f.Pick(&Request{Pool: "p", Tried: []string{"b"}})
	require.NoError(t, err)
}
