package planner

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// What packing adds to a count is less than what chance does.
func TestPackedCountsAreRoundedByLessThanChance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		picks := rapid.SliceOfN(rapid.SliceOfN(rapid.Uint32Range(0, 225), 5, 5), 1, 4).Draw(t, "picks")
		got := Unpack(Pack(picks), len(picks), 5)
		for set := range picks {
			for e, n := range picks[set] {
				require.InDelta(t, n, got[set][e], math.Sqrt(float64(n))+1)
			}
		}
	})
}

// The reports of an interval add up to what was counted, within a few percent.
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

func TestPackedCountsOfAnotherShapeAreRefused(t *testing.T) {
	data := Pack([][]uint32{{1, 2, 3}, {4, 5, 6}})
	require.NotNil(t, Unpack(data, 2, 3))
	require.Nil(t, Unpack(data, 2, 4))
	require.Nil(t, Unpack(nil, 2, 3))
	require.Equal(t, [][]uint32{{0, 0, 0}}, Unpack(Pack([][]uint32{{0, 0, 0}}), 1, 3))
}
