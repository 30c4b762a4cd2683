package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// roundRobin assigns each expert to one rank in turn, as in the first map of a group.
func roundRobin(ranks, experts int) [][]uint16 {
	current := make([][]uint16, ranks)
	for e := range experts {
		current[e%ranks] = append(current[e%ranks], uint16(e))
	}
	return current
}

// An expert with most of the load must get replicas on other ranks.
func TestBalanceReplicatesAHotExpert(t *testing.T) {
	current := roundRobin(4, 8)
	load := []float64{100, 1, 1, 1, 1, 1, 1, 1}
	next := Balance(current, load, SetParams{Slots: 3, MaxNewPerSet: 1, MinGain: 0.01})
	require.InDelta(t, 101, slices.Max(SetTimes(current, load, nil)), 1e-9)
	require.Less(t, slices.Max(SetTimes(next, load, nil)), 35.0)
	require.Equal(t, roundRobin(4, 8), current, "the input is not modified")
}

// Balance must never raise the highest load, exceed the slots or the new experts of a rank, or
// leave an expert without a rank.
func TestBalanceRespectsSlotAndCopyLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 6).Draw(t, "ranks")
		experts := rapid.IntRange(ranks, 4*ranks).Draw(t, "experts")
		p := SetParams{
			Slots:        (experts+ranks-1)/ranks + rapid.IntRange(0, 3).Draw(t, "free"),
			MaxNewPerSet: rapid.IntRange(0, 3).Draw(t, "spare"),
			MinGain:      0.001,
		}
		current := roundRobin(ranks, experts)
		for round := range 3 {
			load := make([]float64, experts)
			for e := range load {
				load[e] = rapid.Float64Range(0, 100).Draw(t, "load")
			}
			next := Balance(current, load, p)
			if slices.Max(SetTimes(next, load, nil)) > slices.Max(SetTimes(current, load, nil))+1e-6 {
				t.Fatalf("round %d: the most loaded rank has more to do", round)
			}
			checkSet(t, current, next, experts, p)
			current = next
		}
	})
}

// The new experts of a rank over all sets must stay within MaxNewPerRank, since the time of a
// change grows with them.
func TestBalanceSetsRespectsRankLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 6).Draw(t, "ranks")
		experts := rapid.IntRange(ranks, 4*ranks).Draw(t, "experts")
		p := SetParams{
			Slots:        (experts+ranks-1)/ranks + rapid.IntRange(1, 3).Draw(t, "free"),
			MaxNewPerSet: 1, MaxNewPerRank: rapid.IntRange(1, 3).Draw(t, "rank"), MinGain: 0.001,
		}
		current := make([][][]uint16, 4)
		load := make([][]float64, len(current))
		for set := range current {
			current[set] = roundRobin(ranks, experts)
			load[set] = make([]float64, experts)
			for e := range load[set] {
				load[set][e] = rapid.Float64Range(0, 100).Draw(t, "load")
			}
		}
		next := BalanceSets(current, load, p)
		for r := range ranks {
			added := 0
			for set := range next {
				for _, e := range next[set][r] {
					if !slices.Contains(current[set][r], e) {
						added++
					}
				}
			}
			if added > p.MaxNewPerRank {
				t.Fatalf("rank %d takes %d new experts", r, added)
			}
		}
		for set := range next {
			checkSet(t, current[set], next[set], experts, p)
		}
	})
}

// The limit on new experts per rank must be spent on the set with the worst imbalance. Guards
// against a first set that uses it up for small gains.
func TestBalanceSetsRelievesTheWorstSetFirst(t *testing.T) {
	current := [][][]uint16{roundRobin(4, 8), roundRobin(4, 8)}
	even, skewed := []float64{12, 10, 10, 10, 10, 10, 10, 10}, []float64{100, 1, 1, 1, 1, 1, 1, 1}
	next := BalanceSets(current, [][]float64{even, skewed}, SetParams{Slots: 3, MaxNewPerSet: 1, MaxNewPerRank: 1, MinGain: 0.01})
	require.Equal(t, current[0], next[0])
	require.Less(t, slices.Max(SetTimes(next[1], skewed, nil)), 35.0)
}

// checkSet checks that a change respects the limits of a set and loses no expert.
func checkSet(t *rapid.T, before, after [][]uint16, experts int, p SetParams) {
	seen := make([]bool, experts)
	for r, list := range after {
		added := 0
		for i, e := range list {
			seen[e] = true
			if slices.Contains(list[:i], e) {
				t.Fatalf("rank %d holds expert %d twice", r, e)
			}
			if !slices.Contains(before[r], e) {
				added++
			}
		}
		if len(list) > p.Slots || added > p.MaxNewPerSet {
			t.Fatalf("rank %d holds %d, %d of them new", r, len(list), added)
		}
	}
	if slices.Contains(seen, false) {
		t.Fatal("an expert is on no rank")
	}
}

func TestLoadDistance(t *testing.T) {
	l := Load{{1, 1}, {3, 1}}
	require.InDelta(t, 0, l.Distance(Load{{5, 5}, {30, 10}}), 1e-9)
	require.InDelta(t, 0.25+0.125, l.Distance(Load{{0, 1}, {2, 2}}), 1e-9)
	require.Zero(t, Load(nil).Distance(l))
}

func BenchmarkBalance(b *testing.B) {
	current := roundRobin(12, 72)
	load := make([]float64, 72)
	for e := range load {
		load[e] = 1 + float64((e*37)%72)*float64((e*37)%72)
	}
	b.Run("one set", func(b *testing.B) {
		for b.Loop() {
			Balance(current, load, SetParams{Slots: 8, MaxNewPerSet: 1, MinGain: 0.07})
		}
	})
	for _, c := range []struct{ ranks, experts, sets, slots int }{
		{12, 72, 4, 8}, {63, 252, 8, 5}, {128, 64, 58, 2},
	} {
		name := fmt.Sprintf("%d ranks, %d experts in %d sets", c.ranks, c.experts, c.sets)
		b.Run(name, func(b *testing.B) {
			current, load := skewedSets(c.ranks, c.experts, c.sets)
			for b.Loop() {
				BalanceSets(current, load, SetParams{Slots: c.slots, MaxNewPerSet: 1, MaxNewPerRank: 1, MinGain: 0.07})
			}
		})
	}
}

// skewedSets assigns the experts of each set to the ranks in turn, repeatedly if there are more
// ranks than experts, and returns loads that differ strongly.
func skewedSets(ranks, experts, sets int) ([][][]uint16, [][]float64) {
	current, load := make([][][]uint16, sets), make([][]float64, sets)
	for set := range current {
		current[set] = make([][]uint16, ranks)
		for i := range max(ranks, experts) {
			current[set][i%ranks] = append(current[set][i%ranks], uint16(i%experts))
		}
		load[set] = make([]float64, experts)
		for e := range load[set] {
			x := float64((e*37 + set*11) % experts)
			load[set][e] = 1 + x*x
		}
	}
	return current, load
}

// Guards against balancing by tokens alone, which leaves a slow rank as the bottleneck.
func TestBalanceGivesASlowRankLess(t *testing.T) {
	current := roundRobin(4, 16)
	load := make([]float64, 16)
	for e := range load {
		load[e] = 10
	}
	slowdown := []float64{1, 3, 1, 1}
	next := Balance(current, load, SetParams{Slots: 6, MaxNewPerSet: 3, MinGain: 0.001, Slowdown: slowdown})
	require.InDelta(t, 120, slices.Max(SetTimes(current, load, slowdown)), 1e-9)
	require.Less(t, slices.Max(SetTimes(next, load, slowdown)), 70.0)
}

// All ranks wait for a slow one, so its experts must move to the others, also those of which it
// has the only replica. The slow rank may end up without experts.
func TestSlowRankIsRelievedOfItsExperts(t *testing.T) {
	const ranks, experts, slots = 8, 64, 11
	current := make([][]uint16, ranks)
	load := make([]float64, experts)
	for e := range load {
		current[e%ranks] = append(current[e%ranks], uint16(e))
		load[e] = 1
	}
	slowdown := []float64{4, 1, 1, 1, 1, 1, 1, 1}
	p := SetParams{Slots: slots, MaxNewPerSet: slots, MinGain: 0.02, Slowdown: slowdown}
	before := SetTimes(current, load, slowdown)
	after := SetTimes(Balance(current, load, p), load, slowdown)
	require.InDelta(t, 32, slices.Max(before), 0.01)
	require.Less(t, slices.Max(after), 11.0, "seven ranks alone would have 9.1 each")
}

// An overloaded rank must be able to drop a replica of an expert that another rank holds too,
// even if no expert may be copied.
func TestBalanceDropsARedundantReplica(t *testing.T) {
	current := [][]uint16{{0, 1}, {0, 2}, {3}}
	load := []float64{10, 10, 1, 10}
	after := Balance(current, load, SetParams{Slots: 1, MaxNewPerSet: 0, MinGain: 0.02})
	require.Equal(t, []uint16{1}, after[0])
	require.Equal(t, []uint16{0, 2}, after[1])
}
