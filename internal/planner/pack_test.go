package planner

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The rounding error of a packed count must stay below the random variation of the count, which
// is its square root.
func TestPackedCountsAreRoundedByLessThanChance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selections := rapid.SliceOfN(rapid.SliceOfN(rapid.Uint32Range(0, 225), 5, 5), 1, 4).Draw(t, "selections")
		got := Unpack(Pack(selections), len(selections), 5)
		for set := range selections {
			for e, n := range selections[set] {
				require.InDelta(t, n, got[set][e], math.Sqrt(float64(n))+1)
			}
		}
	})
}

// The packed counts of several ranks must add up to the true sum within a few percent. Guards
// against rounding with a bias.
func TestPackedCountsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const ranks, experts = 12, 258
	before, after := 0.0, 0.0
	for range ranks {
		set := make([]uint32, experts)
		for e := range set {
			set[e] = uint32(random.ExpFloat64() * 8)
			before += float64(set[e])
		}
		for _, n := range Unpack(Pack([][]uint32{set}), 1, experts)[0] {
			after += float64(n)
		}
	}
	require.InEpsilon(t, before, after, 0.05)
}

// Guards against reports from ranks with another number of sets or experts.
func TestPackedCountsOfAnotherShapeAreRefused(t *testing.T) {
	data := Pack([][]uint32{{1, 2, 3}, {4, 5, 6}})
	require.NotNil(t, Unpack(data, 2, 3))
	require.Nil(t, Unpack(data, 2, 4))
	require.Nil(t, Unpack(nil, 2, 3))
	require.Equal(t, [][]uint32{{0, 0, 0}}, Unpack(Pack([][]uint32{{0, 0, 0}}), 1, 3))
}
