package routetable

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two lists without a common region allowing everything, and against an upstream of
// an unknown region counting as allowed.
func TestRegions(t *testing.T) {
	var all Regions
	north, both := Regions{"north"}, Regions{"north", "south"}
	require.True(t, all.Allow("north"))
	require.True(t, all.Allow(""))
	require.True(t, both.Allow("south"))
	require.False(t, north.Allow("south"))
	require.False(t, Regions{""}.Allow(""))
	require.Nil(t, all.Intersect(nil))
	require.Equal(t, north, all.Intersect(north))
	require.Equal(t, north, north.Intersect(nil))
	require.Equal(t, north, both.Intersect(north))
	none := north.Intersect(Regions{"south"})
	require.NotNil(t, none)
	require.False(t, none.Allow("north"))
	require.False(t, none.Allow(""))
}
