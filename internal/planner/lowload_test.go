package planner

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// modelSize is the size of a group, with the number of requests that a rank serves at once.
type modelSize struct {
	ranks, experts, slots int
	full                  float64
}

// modelSizes are groups of several sizes.
var modelSizes = []modelSize{{12, 72, 8, 12}, {32, 128, 5, 8}, {72, 144, 4, 6}, {129, 258, 4, 6}}

// sizesToModel returns the sizes of groups to test. Under the race detector, where a step takes ten
// times as long, these are the small ones.
func sizesToModel() []modelSize {
	if testing.Short() {
		return modelSizes[:2]
	}
	return modelSizes
}

// modelSets is the number of layer sets in the models. More sets take longer and say the same.
const modelSets = 4

// While popularity stays the same, few experts may be copied, however few requests the reporting
// ranks have. Guards against plans that follow the differences between samples: in large groups with
// few requests, each plan copied an expert to nearly every rank.
func TestFewRequestsCauseFewCopies(t *testing.T) {
	// A rank may take one new expert in each set until its load is even.
	const intervals, maxCopiesPerRank = 100, modelSets
	for _, c := range sizesToModel() {
		for _, load := range []float64{0.03, 0.1, 0.3, 1} {
			for _, gainFactor := range []float64{1, maxGainFactor} {
				g := newGroupModel(c.ranks, modelSets, c.experts, c.slots, c.full*load, 1)
				r := g.run(New(nil), intervals, gainFactor)
				t.Logf("%d ranks, load %.2f, gain factor %.0f: %d changes, %d copies, imbalance %.2f",
					c.ranks, load, gainFactor, r.changes, r.copies, r.imbalance)
				require.LessOrEqual(t, r.copies, maxCopiesPerRank*c.ranks, "%d ranks, load %.2f, gain factor %.0f", c.ranks, load, gainFactor)
			}
		}
	}
}

// A shift of popularity must be followed at once where ranks have requests enough to tell it from
// chance. Guards against an estimate of the sampling error that hides shifts.
func TestShiftOfPopularityIsFollowed(t *testing.T) {
	const settle, follow = 30, 12
	for _, c := range sizesToModel() {
		t.Run(strconv.Itoa(c.ranks), func(t *testing.T) {
			g := newGroupModel(c.ranks, modelSets, c.experts, c.slots, c.full, 1)
			p := New(nil)
			g.run(p, settle, 1)
			settled := g.imbalance()
			g.shiftPopularity()
			shifted := g.imbalance()
			g.run(p, follow, 1)
			followed := g.imbalance()
			t.Logf("imbalance %.2f, after the shift %.2f, %d intervals later %.2f", settled, shifted, follow, followed)
			require.Less(t, followed, settled+(shifted-settled)/2)
		})
	}
}

// An interval must count the less the larger its sampling error is, and the more the larger that of
// the load is. Guards against a load that keeps the first few requests after a time without any.
func TestWeightOfAnIntervalFollowsTheSamplingErrors(t *testing.T) {
	require.InDelta(t, selectionsWeight, weightOf(0, 0), 0)
	require.InDelta(t, selectionsWeight, weightOf(0, maxLoadError), 0)
	require.InDelta(t, 0.12, weightOf(0, 4*maxLoadError), 0.01)
	require.InDelta(t, 0.5, weightOf(1, 1), 0)
	require.Greater(t, weightOf(1, 0.2), 0.95)
}
