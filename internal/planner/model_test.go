package planner

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// modelTopics is the number of topics of requests. Each has its own popular experts, which a
	// share of modelOwnShare of its selections goes to.
	modelTopics   = 9
	modelOwnShare = 0.25
	// modelSkew is the exponent of the Zipf distribution of the experts' popularity.
	modelSkew = 0.46
	// modelSelections is how often a stream selects experts of a set in one interval.
	modelSelections = 290
	// modelStreamIntervals is the mean duration of a stream in plan intervals.
	modelStreamIntervals = 15
)

// groupModel models the ranks of a group and the streams that run on them. Streams start and end at
// random, and each selects experts by the popularity of its topic.
type groupModel struct {
	shape   *wire.GroupShape
	random  *rand.Rand
	perRank float64
	// popularity holds cumulative probabilities by topic, set and expert.
	popularity [][][]float64
	// streams holds the topic of each stream, by rank.
	streams  [][]int
	current  expertmap.Map
	version  uint64
	interval int
}

// newGroupModel returns a group with the given mean number of streams on each rank.
func newGroupModel(ranks, sets, experts, slots int, perRank float64, seed uint64) *groupModel {
	g := &groupModel{
		shape:   &wire.GroupShape{Ranks: uint32(ranks), Experts: uint32(experts), Layers: uint32(sets), SlotsPerRank: uint32(slots)},
		random:  rand.New(rand.NewPCG(seed, seed)),
		perRank: perRank, streams: make([][]int, ranks), current: rank.InitialMap(ranks, slots, sets, experts),
	}
	g.shiftPopularity()
	for r := range g.streams {
		for range g.poisson(perRank) {
			g.streams[r] = append(g.streams[r], g.random.IntN(modelTopics))
		}
	}
	return g
}

// shiftPopularity draws a new popularity of the experts.
func (g *groupModel) shiftPopularity() {
	g.popularity = make([][][]float64, modelTopics)
	for range g.shape.Layers {
		common := g.zipf()
		for topic := range g.popularity {
			own, sum := g.zipf(), 0.0
			cumulative := make([]float64, g.shape.Experts)
			for e := range cumulative {
				sum += (1-modelOwnShare)*common[e] + modelOwnShare*own[e]
				cumulative[e] = sum
			}
			g.popularity[topic] = append(g.popularity[topic], cumulative)
		}
	}
}

// zipf returns probabilities of the experts that follow a Zipf distribution in random order.
func (g *groupModel) zipf() []float64 {
	p, sum := make([]float64, g.shape.Experts), 0.0
	for i, e := range g.random.Perm(len(p)) {
		p[e] = math.Pow(float64(i+1), -modelSkew)
		sum += p[e]
	}
	for e := range p {
		p[e] /= sum
	}
	return p
}

func (g *groupModel) poisson(mean float64) int {
	n, p, limit := 0, g.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= g.random.Float64()
	}
	return n
}

// advance ends and starts streams of one interval.
func (g *groupModel) advance() {
	g.interval++
	for r := range g.streams {
		g.streams[r] = slices.DeleteFunc(g.streams[r], func(int) bool { return g.random.Float64() < 1.0/modelStreamIntervals })
		for range g.poisson(g.perRank / modelStreamIntervals) {
			g.streams[r] = append(g.streams[r], g.random.IntN(modelTopics))
		}
	}
}

// report returns the report of a rank about the last interval, with the rounding of the wire.
func (g *groupModel) report(r int) *wire.ExpertLoad {
	sets, experts := int(g.shape.Layers), int(g.shape.Experts)
	counts := make([][]uint32, sets)
	for set := range counts {
		counts[set] = make([]uint32, experts)
		for _, topic := range g.streams[r] {
			for range modelSelections {
				e, _ := slices.BinarySearch(g.popularity[topic][set], g.random.Float64())
				counts[set][min(e, experts-1)]++
			}
		}
	}
	l := wire.RankLoad{Slowdown: 1, Version: g.version, Selections: Unpack(Pack(counts), sets, experts)}
	if g.interval <= int(g.shape.Ranks)/ReportsPerInterval+1 {
		for set := range sets {
			first := r * g.current.SlotsPerRank
			l.ExpertsByLayer = append(l.ExpertsByLayer, slices.DeleteFunc(slices.Clone(g.current.Layers[set][first:first+g.current.SlotsPerRank]),
				func(e uint16) bool { return e == rank.NoExpert }))
		}
	}
	return &wire.ExpertLoad{FirstRank: uint32(r), Ranks: []wire.RankLoad{l}}
}

// imbalance returns the load of the most loaded rank divided by the mean, averaged over the sets, for
// the streams that run now.
func (g *groupModel) imbalance() float64 {
	byTopic := make([]float64, modelTopics)
	for _, topics := range g.streams {
		for _, topic := range topics {
			byTopic[topic]++
		}
	}
	sum := 0.0
	for set, slots := range g.current.Layers {
		load := make([]float64, g.shape.Experts)
		for topic, n := range byTopic {
			before := 0.0
			for e, c := range g.popularity[topic][set] {
				load[e] += n * (c - before)
				before = c
			}
		}
		times := placement.SetTimes(byRank(slots, g.current.SlotsPerRank), load, nil)
		sum += maxOf(times) / max(meanOf(times), 1e-9)
	}
	return sum / float64(len(g.current.Layers))
}

func byRank(slots []uint16, perRank int) [][]uint16 {
	var out [][]uint16
	for list := range slices.Chunk(slots, perRank) {
		out = append(out, slices.DeleteFunc(slices.Clone(list), func(e uint16) bool { return e == rank.NoExpert }))
	}
	return out
}

// modelResult is what a run of a groupModel came to.
type modelResult struct {
	// copies and changes count what the planner ordered, and imbalance is the mean imbalance.
	copies, changes int
	imbalance       float64
}

// run plans for a number of intervals. A change takes effect after changeIntervals.
func (g *groupModel) run(p *Planner, intervals int, gainFactor float64) modelResult {
	const changeIntervals = 4
	var result modelResult
	var pending expertmap.Map
	due := -1
	ranks := int(g.shape.Ranks)
	turns := (ranks + ReportsPerInterval - 1) / ReportsPerInterval
	for i := range intervals {
		g.advance()
		if i == due {
			g.current = pending
			g.version++
			p.SetMap(g.version, pending)
			due = -1
		}
		for r := range ranks {
			if (i+r)%turns == 0 || i < turns {
				p.Add(g.report(r))
			}
		}
		result.imbalance += g.imbalance() / float64(intervals)
		if due >= 0 || !p.IsComplete(g.shape) {
			continue
		}
		next, _, f := p.NextBySelections(g.shape, gainFactor)
		if f.IsWorthwhile {
			pending, due = next, i+changeIntervals
			result.changes++
			result.copies += f.Copies
		}
	}
	return result
}
