package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// roundRobin holds each expert on one rank, as a group begins.
func roundRobin(ranks, experts int) [][]uint16 {
	held := make([][]uint16, ranks)
	for e := range experts {
		held[e%ranks] = append(held[e%ranks], uint16(e))
	}
	return held
}

func TestBalanceReplicatesAHotExpert(t *testing.T) {
	held := roundRobin(4, 8)
	load := []float64{100, 1, 1, 1, 1, 1, 1, 1}
	next := Balance(held, load, SetParams{SlotsPerRank: 3, MaxNewPerSet: 1, MinGain: 0.01})
	require.InDelta(t, 101, slices.Max(SetTimes(held, load, nil)), 1e-9)
	require.Less(t, slices.Max(SetTimes(next, load, nil)), 35.0)
	require.Equal(t, roundRobin(4, 8), held, "the map in use is not touched")
}

func TestBalanceRespectsSlotAndCopyLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 6).Draw(t, "ranks")
		experts := rapid.IntRange(ranks, 4*ranks).Draw(t, "experts")
		p := SetParams{
			SlotsPerRank: (experts+ranks-1)/ranks + rapid.IntRange(0, 3).Draw(t, "free"),
			MaxNewPerSet: rapid.IntRange(0, 3).Draw(t, "spare"),
			MinGain:      0.001,
		}
		held := roundRobin(ranks, experts)
		for round := range 3 {
			load := make([]float64, experts)
			for e := range load {
				load[e] = rapid.Float64Range(0, 100).Draw(t, "load")
			}
			next := Balance(held, load, p)
			if slices.Max(SetTimes(next, load, nil)) > slices.Max(SetTimes(held, load, nil))+1e-6 {
				t.Fatalf("round %d: the most loaded rank has more to do", round)
			}
			checkSet(t, held, next, experts, p)
			held = next
		}
	})
}

func TestBalanceSetsRespectsRankLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.IntRange(2, 6).Draw(t, "ranks")
		experts := rapid.IntRange(ranks, 4*ranks).Draw(t, "experts")
		p := SetParams{
			SlotsPerRank: (experts+ranks-1)/ranks + rapid.IntRange(1, 3).Draw(t, "free"),
			MaxNewPerSet: 1, MaxNewPerRank: rapid.IntRange(1, 3).Draw(t, "rank"), MinGain: 0.001,
		}
		held := make([][][]uint16, 4)
		load := make([][]float64, len(held))
		for set := range held {
			held[set] = roundRobin(ranks, experts)
			load[set] = make([]float64, experts)
			for e := range load[set] {
				load[set][e] = rapid.Float64Range(0, 100).Draw(t, "load")
			}
		}
		next := BalanceSets(held, load, p)
		for r := range ranks {
			fresh := 0
			for set := range next {
				for _, e := range next[set][r] {
					if !slices.Contains(held[set][r], e) {
						fresh++
					}
				}
			}
			if fresh > p.MaxNewPerRank {
				t.Fatalf("rank %d takes %d new experts", r, fresh)
			}
		}
		for set := range next {
			checkSet(t, held[set], next[set], experts, p)
		}
	})
}

// What the ranks may take goes to the set that is furthest out of balance.
func TestBalanceSetsRelievesTheWorstSetFirst(t *testing.T) {
	held := [][][]uint16{roundRobin(4, 8), roundRobin(4, 8)}
	even, skewed := []float64{12, 10, 10, 10, 10, 10, 10, 10}, []float64{100, 1, 1, 1, 1, 1, 1, 1}
	next := BalanceSets(held, [][]float64{even, skewed}, SetParams{SlotsPerRank: 3, MaxNewPerSet: 1, MaxNewPerRank: 1, MinGain: 0.01})
	require.Equal(t, held[0], next[0])
	require.Less(t, slices.Max(SetTimes(next[1], skewed, nil)), 35.0)
}

func checkSet(t *rapid.T, before, after [][]uint16, experts int, p SetParams) {
	seen := make([]bool, experts)
	for r, list := range after {
		fresh := 0
		for i, e := range list {
			seen[e] = true
			if slices.Contains(list[:i], e) {
				t.Fatalf("rank %d holds expert %d twice", r, e)
			}
			if !slices.Contains(before[r], e) {
				fresh++
			}
		}
		if len(list) > p.SlotsPerRank || fresh > p.MaxNewPerSet {
			t.Fatalf("rank %d holds %d, %d of them new", r, len(list), fresh)
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
	held := roundRobin(12, 72)
	load := make([]float64, 72)
	for e := range load {
		load[e] = 1 + float64((e*37)%72)*float64((e*37)%72)
	}
	b.Run("one set", func(b *testing.B) {
		for b.Loop() {
			Balance(held, load, SetParams{SlotsPerRank: 8, MaxNewPerSet: 1, MinGain: 0.07})
		}
	})
	for _, c := range []struct{ ranks, experts, sets, slots int }{
		{12, 72, 4, 8}, {63, 252, 8, 5}, {128, 64, 58, 2},
	} {
		name := fmt.Sprintf("%d ranks, %d experts in %d sets", c.ranks, c.experts, c.sets)
		b.Run(name, func(b *testing.B) {
			held, load := skewedSets(c.ranks, c.experts, c.sets)
			for b.Loop() {
				BalanceSets(held, load, SetParams{SlotsPerRank: c.slots, MaxNewPerSet: 1, MaxNewPerRank: 1, MinGain: 0.07})
			}
		})
	}
}

// skewedSets holds the experts of each set in turn, or several times where there are more
// ranks, under loads that differ much.
func skewedSets(ranks, experts, sets int) ([][][]uint16, [][]float64) {
	held, load := make([][][]uint16, sets), make([][]float64, sets)
	for set := range held {
		held[set] = make([][]uint16, ranks)
		for i := range max(ranks, experts) {
			held[set][i%ranks] = append(held[set][i%ranks], uint16(i%experts))
		}
		load[set] = make([]float64, experts)
		for e := range load[set] {
			x := float64((e*37 + set*11) % experts)
			load[set][e] = 1 + x*x
		}
	}
	return held, load
}

func TestBalanceGivesASlowRankLess(t *testing.T) {
	held := roundRobin(4, 16)
	load := make([]float64, 16)
	for e := range load {
		load[e] = 10
	}
	pace := []float64{1, 3, 1, 1}
	next := Balance(held, load, SetParams{SlotsPerRank: 6, MaxNewPerSet: 3, MinGain: 0.001, Slowdown: pace})
	require.InDelta(t, 120, slices.Max(SetTimes(held, load, pace)), 1e-9)
	require.Less(t, slices.Max(SetTimes(next, load, pace)), 70.0)
}

// A slow rank sets the pace of all, so its experts go to the others, the last copies too:
// it may be left without any.
func TestSlowRankIsRelievedOfItsExperts(t *testing.T) {
	const ranks, experts, slots = 8, 64, 11
	held := make([][]uint16, ranks)
	load := make([]float64, experts)
	for e := range load {
		held[e%ranks] = append(held[e%ranks], uint16(e))
		load[e] = 1
	}
	pace := []float64{4, 1, 1, 1, 1, 1, 1, 1}
	p := SetParams{SlotsPerRank: slots, MaxNewPerSet: slots, MinGain: 0.02, Slowdown: pace}
	before := SetTimes(held, load, pace)
	after := SetTimes(Balance(held, load, p), load, pace)
	require.InDelta(t, 32, slices.Max(before), 0.01)
	require.Less(t, slices.Max(after), 11.0, "a group of seven would have 9.1 each")
}

// A copy that is no longer worth its load is left without a copy elsewhere.
func TestBalanceDropsARedundantReplica(t *testing.T) {
	held := [][]uint16{{0, 1}, {0, 2}, {3}}
	load := []float64{10, 10, 1, 10}
	after := Balance(held, load, SetParams{SlotsPerRank: 1, MaxNewPerSet: 0, MinGain: 0.02})
	require.Equal(t, []uint16{1}, after[0])
	require.Equal(t, []uint16{0, 2}, after[1])
}
