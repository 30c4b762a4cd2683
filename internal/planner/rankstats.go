package planner

import (
	"maps"
	"math"
	"slices"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// rankStats holds the latest counts of the ranks, and the experts that the ranks hold.
type rankStats struct {
	// ranks holds the latest report of each rank, by rank number. reported has the ranks that
	// reported since the last plan.
	ranks    map[uint32]*rankStat
	reported map[uint32]bool
}

// rankStat is what is known of one rank.
type rankStat struct {
	// slowdown is the rank's step time divided by its usual step time, 0 if not known.
	slowdown float64
	// counts tells how often the rank's requests selected each expert between the last two
	// reports, by set and expert.
	counts  [][]uint32
	version uint64
	// expertsBySet lists the experts of the rank by set, under the map with that version. It is
	// nil if they are not known. experts is above the highest number in it, slots the most experts of a set.
	expertsBySet   [][]uint16
	experts, slots int
}

// setExperts sets the experts of the rank under a map.
func (s *rankStat) setExperts(version uint64, expertsBySet [][]uint16) {
	s.version, s.expertsBySet, s.experts, s.slots = version, expertsBySet, 0, 0
	for _, experts := range expertsBySet {
		s.slots = max(s.slots, len(experts))
		for _, e := range experts {
			s.experts = max(s.experts, int(e)+1)
		}
	}
}

// fits reports whether the experts of the rank are known and have the group's shape.
func (s *rankStat) fits(shape *wire.GroupShape) bool {
	return len(s.expertsBySet) == int(shape.Layers) && s.experts <= int(shape.Experts) && s.slots <= int(shape.SlotsPerRank)
}

// rank returns the entry of a rank, and adds it if necessary.
func (p *rankStats) rank(number uint32) *rankStat {
	if p.ranks == nil {
		p.ranks, p.reported = make(map[uint32]*rankStat), make(map[uint32]bool)
	}
	s := p.ranks[number]
	if s == nil {
		s = &rankStat{}
		p.ranks[number] = s
	}
	return s
}

// add stores a report of one or more ranks.
func (p *rankStats) add(l *wire.ExpertLoad) {
	for i := range l.Ranks {
		number := l.FirstRank + uint32(i)
		s := p.rank(number)
		p.reported[number] = true
		s.slowdown, s.counts = l.Ranks[i].Slowdown, l.Ranks[i].Selections
		// A report that was sent before a change but arrives after it has the experts of an
		// older map.
		if l.Ranks[i].ExpertsByLayer != nil && l.Ranks[i].Version >= s.version {
			s.setExperts(l.Ranks[i].Version, l.Ranks[i].ExpertsByLayer)
		}
	}
}

// isMissingExperts reports whether a report omits the experts of a rank although they are not
// known here.
func (p *rankStats) isMissingExperts(l *wire.ExpertLoad) bool {
	for i := range l.Ranks {
		s := p.ranks[l.FirstRank+uint32(i)]
		if s != nil && l.Ranks[i].ExpertsByLayer == nil && (s.expertsBySet == nil || s.version < l.Ranks[i].Version) {
			return true
		}
	}
	return false
}

// syncMap sets the experts of all ranks from the map in use, if find returns its content. The
// next plan then need not wait for a report of every rank.
func (p *rankStats) syncMap(active expertmap.Version, find func(expertmap.Version) (expertmap.Map, bool), shape *wire.GroupShape) {
	p.removeUnknownRanks(shape)
	if len(p.reported) == 0 {
		return
	}
	if s := p.ranks[0]; s != nil && len(p.ranks) == int(shape.Ranks) && s.expertsBySet != nil && s.version >= rank.Version(active) {
		return
	}
	m, ok := find(active)
	if !ok || len(m.Layers) != int(shape.Layers) {
		return
	}
	for number := range shape.Ranks {
		p.rank(number)
	}
	p.setMap(rank.Version(active), m)
}

// removeUnknownRanks removes the reports of ranks that the group does not have. Engines state their ranks themselves.
func (p *rankStats) removeUnknownRanks(shape *wire.GroupShape) {
	isUnknown := func(number uint32) bool { return number >= shape.Ranks }
	maps.DeleteFunc(p.ranks, func(number uint32, _ *rankStat) bool { return isUnknown(number) })
	maps.DeleteFunc(p.reported, func(number uint32, _ bool) bool { return isUnknown(number) })
}

// setMap sets the experts of all known ranks from a map that has taken effect.
func (p *rankStats) setMap(version uint64, m expertmap.Map) {
	for number, s := range p.ranks {
		expertsBySet := make([][]uint16, len(m.Layers))
		for set, slots := range m.Layers {
			first := int(number) * m.SlotsPerRank
			if first+m.SlotsPerRank > len(slots) {
				return
			}
			for _, e := range slots[first : first+m.SlotsPerRank] {
				if e != rank.NoExpert {
					expertsBySet[set] = append(expertsBySet[set], e)
				}
			}
		}
		s.setExperts(version, expertsBySet)
	}
}

// isComplete reports whether there is enough data for a plan: as many reports as arrive in an
// interval, and the experts of all ranks under the same map. Lists that don't fit the group's shape, as an engine may
// send them, don't count.
func (p *rankStats) isComplete(shape *wire.GroupShape) bool {
	p.removeUnknownRanks(shape)
	if len(p.ranks) != int(shape.Ranks) || uint32(len(p.reported)) < min(shape.Ranks, ReportsPerInterval) {
		return false
	}
	for r := range shape.Ranks {
		s := p.ranks[r]
		if s == nil || !s.fits(shape) || s.version != p.ranks[0].version {
			return false
		}
		if p.reported[r] && !hasShape(s.counts, shape) {
			return false
		}
	}
	return true
}

// hasShape reports whether counts match the group's number of sets and experts.
func hasShape(counts [][]uint32, shape *wire.GroupShape) bool {
	if len(counts) != int(shape.Layers) {
		return false
	}
	for set := range counts {
		if len(counts[set]) != int(shape.Experts) {
			return false
		}
	}
	return true
}

// sample is what the ranks that reported in one interval have counted.
type sample struct {
	// mean is the mean of the ranks' counts.
	mean placement.Load
	// err is the sampling error: the expected distance (see placement.Load.Distance) between two
	// such samples while popularity stays the same. It is 1 if it can't be estimated.
	err float64
}

// takeSample returns the counts of the ranks that reported since the last call, and starts a new
// interval.
func (p *rankStats) takeSample(shape *wire.GroupShape) sample {
	halves := [2]placement.Load{newLoad(shape), newLoad(shape)}
	for i, number := range slices.Sorted(maps.Keys(p.reported)) {
		addCounts(halves[i%2], p.ranks[number].counts)
	}
	s := sample{mean: newLoad(shape), err: samplingError(halves[0], halves[1])}
	weight := 1 / float64(max(len(p.reported), 1))
	for set := range s.mean {
		for e := range s.mean[set] {
			s.mean[set][e] = weight * (halves[0][set][e] + halves[1][set][e])
		}
	}
	clear(p.reported)
	return s
}

func newLoad(shape *wire.GroupShape) placement.Load {
	l := make(placement.Load, shape.Layers)
	for set := range l {
		l[set] = make([]float64, shape.Experts)
	}
	return l
}

func addCounts(l placement.Load, counts [][]uint32) {
	for set := range counts {
		for e, n := range counts[set] {
			l[set][e] += float64(n)
		}
	}
}

// samplingError returns the sampling error of a sample that consists of two halves. The distance
// between samples is in inverse proportion to the square root of their size.
func samplingError(a, b placement.Load) float64 {
	if placement.Sum(a) == 0 || placement.Sum(b) == 0 {
		return 1
	}
	return a.Distance(b) / math.Sqrt2
}

// expertsBySet returns the experts of the ranks, by set and rank, and the version of their map.
func (p *rankStats) expertsBySet() ([][][]uint16, uint64) {
	out := make([][][]uint16, len(p.ranks[0].expertsBySet))
	for set := range out {
		for r := range uint32(len(p.ranks)) {
			out[set] = append(out[set], p.ranks[r].expertsBySet[set])
		}
	}
	return out, p.ranks[0].version
}

// slowdowns returns the slowdown of each rank, as last reported.
func (p *rankStats) slowdowns() []float64 {
	out := make([]float64, len(p.ranks))
	for r := range out {
		out[r] = p.ranks[uint32(r)].slowdown
	}
	return out
}
