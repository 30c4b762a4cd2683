package placement

import (
	"cmp"
	"slices"
)

// Map is the assignment of experts to the slots of each layer. Slot s belongs to
// rank s/SlotsPerRank.
type Map struct {
	SlotsPerRank int
	Layers       [][]uint16
}

// Clone returns a deep copy.
func (m Map) Clone() Map {
	out := Map{SlotsPerRank: m.SlotsPerRank}
	for _, l := range m.Layers {
		out.Layers = append(out.Layers, slices.Clone(l))
	}
	return out
}

// replicaCounts returns the number of replicas of each expert: one each, and the
// remaining slots one by one to the expert with the most tokens per replica.
func replicaCounts(tokens []float64, slots int) []int {
	n := make([]int, len(tokens))
	for e := range n {
		n[e] = 1
	}
	for range slots - len(tokens) {
		best := 0
		for e := range n {
			if tokens[e]*float64(n[best]) > tokens[best]*float64(n[e]) {
				best = e
			}
		}
		n[best]++
	}
	return n
}

// share is the part of an expert's tokens that one of its replicas gets.
type share struct {
	expert uint16
	tokens float64
}

// Replan places all experts from scratch, the largest share first, each on the rank
// with the lowest step time. It ignores the cost of the change, so it suits the
// first map of a group. Ranks with slowness 0 are gone and keep their old experts.
func Replan(m Map, load Load, slowness []float64) Map {
	out := m.Clone()
	times := make([]float64, len(slowness))
	for l := range out.Layers {
		replanLayer(out, l, load[l], slowness, times)
	}
	return out
}

func replanLayer(m Map, l int, tokens, slowness, times []float64) {
	alive := 0
	for _, s := range slowness {
		if s > 0 {
			alive++
		}
	}
	n := replicaCounts(tokens, alive*m.SlotsPerRank)
	var shares []share
	for e, count := range n {
		for range count {
			shares = append(shares, share{uint16(e), tokens[e] / float64(count)})
		}
	}
	slices.SortStableFunc(shares, func(a, b share) int { return cmp.Compare(b.tokens, a.tokens) })
	used := make([]int, len(slowness))
	for _, s := range shares {
		r := leastLoaded(times, used, slowness, m.SlotsPerRank)
		m.Layers[l][r*m.SlotsPerRank+used[r]] = s.expert
		used[r]++
		times[r] += s.tokens * slowness[r]
	}
}

func leastLoaded(times []float64, used []int, slowness []float64, slots int) int {
	best := -1
	for r := range times {
		if slowness[r] == 0 || used[r] == slots {
			continue
		}
		if best < 0 || times[r] < times[best] {
			best = r
		}
	}
	return best
}
