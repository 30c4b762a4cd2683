package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	experts   = 64
	layers    = 4
	intervals = 200
)

// workload simulates the popularity of each layer's experts: log-normal weights that
// drift as a mean-reverting random walk. In intervals 80 to 119 half of the tokens
// follow a second set of weights. See slownessAt for the ranks.
type workload struct {
	rng    *rand.Rand
	logits [2][][]float64
}

func newWorkload() *workload {
	w := &workload{rng: rand.New(rand.NewPCG(7, 7))}
	for k := range w.logits {
		for range layers {
			row := make([]float64, experts)
			for e := range row {
				row[e] = 0.6 * w.rng.NormFloat64()
			}
			w.logits[k] = append(w.logits[k], row)
		}
	}
	return w
}

// next returns the tokens of interval t and advances the random walk.
func (w *workload) next(t int) Load {
	secondShare := 0.0
	if t >= 80 && t < 120 {
		secondShare = 0.5
	}
	out := make(Load, layers)
	for l := range out {
		out[l] = make([]float64, experts)
		for k, weight := range []float64{1 - secondShare, secondShare} {
			row, sum := w.logits[k][l], 0.0
			for e := range row {
				row[e] = 0.999*row[e] + 0.02*w.rng.NormFloat64()
				sum += math.Exp(row[e])
			}
			for e := range row {
				out[l][e] += weight * 4096 * math.Exp(row[e]) / sum
			}
		}
	}
	return out
}

// slownessAt returns the slowness of the ranks in interval t: rank 1 is slow in
// intervals 60 to 99, and the last rank is gone from 150 on.
func slownessAt(t, ranks int) []float64 {
	s := slices.Repeat([]float64{1}, ranks)
	if t >= 60 && t < 100 {
		s[1] = 1.4
	}
	if t >= 150 {
		s[ranks-1] = 0
	}
	return s
}

type policy struct {
	name   string
	replan bool
	params Params
}

func withWeights(skew, rebalance float64) Params {
	p := DefaultParams()
	p.Weights = Weights{Skew: skew, Rebalance: rebalance}
	return p
}

var (
	static     = policy{name: "no change", params: withWeights(0, 1)}
	fullReplan = policy{name: "full re-plan", replan: true, params: DefaultParams()}
	skewFirst  = policy{name: "weights skew 3, rebalance 1", params: withWeights(3, 1)}
	costFirst  = policy{name: "weights skew 1, rebalance 3", params: withWeights(1, 3)}
)

type result struct {
	p50, p99, mean float64
	changes, loads int
}

func (r result) String() string {
	p := DefaultParams()
	return fmt.Sprintf("skew p50 %.3f p99 %.3f mean %.3f, %d changes, %.0f steps of fixed cost, %d loads, %.0f steps of cache",
		r.p50, r.p99, r.mean, r.changes, float64(r.changes)*p.FixedSteps, r.loads, float64(r.loads)*p.CacheSteps)
}

// slotsFor returns the slots per rank: 80, 96 and 128 slots in a layer of 8, 32 and
// 128 ranks.
func slotsFor(ranks int) int {
	return max(1, experts/ranks+max(0, 16/ranks, 2-ranks/32))
}

func (p policy) run(ranks int) result {
	w := newWorkload()
	m := Map{SlotsPerRank: slotsFor(ranks)}
	for range layers {
		m.Layers = append(m.Layers, make([]uint16, ranks*m.SlotsPerRank))
	}
	load := Load(nil).Observe(w.next(0), 1)
	m = Replan(m, load, slownessAt(0, ranks))
	var r result
	var skews []float64
	for t := 1; t <= intervals; t++ {
		slowness := slownessAt(t, ranks)
		next := MakePlan(m, load, slowness, p.params).Apply(m)
		if p.replan {
			next = Replan(m, load, slowness)
		}
		if n := loadsBetween(m, next, ranks); n > 0 {
			r.loads += n
			r.changes++
		}
		m = next
		tokens := w.next(t)
		skews = append(skews, Skew(m, tokens, slowness))
		r.mean += skews[t-1] / intervals
		load = load.Observe(tokens, 0.5)
	}
	slices.Sort(skews)
	r.p50, r.p99 = skews[intervals/2], skews[intervals*99/100]
	return r
}

// loadsBetween counts the experts that ranks hold under map b but not under map a.
func loadsBetween(a, b Map, ranks int) int {
	n := 0
	for l := range a.Layers {
		for r := range ranks {
			from, to := r*a.SlotsPerRank, (r+1)*a.SlotsPerRank
			for _, e := range b.Layers[l][from:to] {
				if !slices.Contains(a.Layers[l][from:to], e) {
					n++
				}
			}
		}
	}
	return n
}

// Plans must stay close to the balance of a full replan with a tenth of its weight loads, or,
// with a high weight on costs, halve the excess skew of a map that never changes with a
// thirtieth of them.
func TestPlanBalancesWithFarFewerLoadsThanReplan(t *testing.T) {
	for _, ranks := range []int{8, 32, 128} {
		t.Run(fmt.Sprint(ranks, " ranks"), func(t *testing.T) {
			t.Parallel()
			none, all := static.run(ranks), fullReplan.run(ranks)
			balanced, cheap := skewFirst.run(ranks), costFirst.run(ranks)
			for i, r := range []result{none, all, balanced, cheap} {
				t.Log([]policy{static, fullReplan, skewFirst, costFirst}[i].name, r)
			}
			require.Less(t, balanced.mean, 1.1*all.mean)
			require.Less(t, balanced.loads*10, all.loads)
			require.Less(t, cheap.mean-1, (none.mean-1)/2)
			require.Less(t, cheap.loads*30, all.loads)
		})
	}
}

// Every expert must keep a replica on a remaining rank, also when a rank is gone. A plan
// must stay within MaxLoads, and the skew that it predicts must be that of the new map.
func TestPlanKeepsAReplicaOfEachExpert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.SampledFrom([]int{2, 3, 8}).Draw(t, "ranks")
		slowness := slices.Repeat([]float64{1}, ranks)
		m := Map{SlotsPerRank: 8}
		load := Load{make([]float64, 4), make([]float64, 4)}
		for l := range load {
			for e := range load[l] {
				load[l][e] = rapid.Float64Range(0, 100).Draw(t, "tokens")
			}
			m.Layers = append(m.Layers, make([]uint16, ranks*m.SlotsPerRank))
		}
		m = Replan(m, load, slowness)
		slices.Reverse(load[0])
		slowness[0] = rapid.SampledFrom([]float64{0, 1, 2}).Draw(t, "slowness")
		p := DefaultParams()
		p.MaxLoads = rapid.IntRange(0, 6).Draw(t, "bound")
		plan := MakePlan(m, load, slowness, p)
		next := plan.Apply(m)
		require.InDelta(t, Skew(next, load, slowness), plan.SkewAfter, 1e-9)
		if slowness[0] > 0 {
			require.LessOrEqual(t, len(plan.Moves), p.MaxLoads)
		}
		for l := range next.Layers {
			remaining := next.Layers[l]
			if slowness[0] == 0 {
				remaining = remaining[m.SlotsPerRank:]
			}
			for e := range load[l] {
				require.Contains(t, remaining, uint16(e), "layer %d", l)
			}
		}
	})
}

// Guards against changes that cost more steps than they save.
func TestNoChangeBelowItsCost(t *testing.T) {
	m := Map{SlotsPerRank: 2, Layers: [][]uint16{{0, 1, 2, 3}}}
	load := Load{{50, 50, 49, 49}}
	p := withWeights(1, 1)
	p.HorizonSteps = 100
	require.Empty(t, MakePlan(m, load, []float64{1, 1}, p).Moves)
	load = Load{{90, 80, 10, 10}}
	require.NotEmpty(t, MakePlan(m, load, []float64{1, 1}, p).Moves)
}

// Guards against plans that ignore the measured time per token of a rank.
func TestSlowRankGetsFewerTokens(t *testing.T) {
	slowness := Slowness([]float64{1, 2, 1}, []float64{10, 10, 10})
	require.Equal(t, []float64{1, 2, 1}, slowness)
	m := Map{SlotsPerRank: 2, Layers: [][]uint16{{0, 1, 2, 3, 4, 5}}}
	load := Load{{10, 20, 30, 30, 20, 10}}
	plan := MakePlan(m, load, slowness, withWeights(3, 1))
	tokens := StepTimes(plan.Apply(m), load, []float64{1, 1, 1})
	require.Less(t, tokens[1], tokens[0])
	require.Less(t, tokens[1], tokens[2])
}

// BenchmarkMakePlan plans for 128 ranks, 64 experts and 58 layers.
func BenchmarkMakePlan(b *testing.B) {
	const ranks, depth = 128, 58
	w, m, load := newWorkload(), Map{SlotsPerRank: 1}, Load{}
	for len(load) < depth {
		load = append(load, w.next(0)...)
		m.Layers = slices.Grow(m.Layers, layers)
	}
	load = load[:depth]
	for range depth {
		m.Layers = append(m.Layers, make([]uint16, ranks))
	}
	m = Replan(m, load, slownessAt(0, ranks))
	for l := range load {
		slices.Reverse(load[l])
	}
	b.ResetTimer()
	for range b.N {
		MakePlan(m, load, slownessAt(60, ranks), withWeights(3, 1))
	}
}
