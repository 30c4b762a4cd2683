package planner

import (
	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// rankStats is what the ranks counted last, and the experts that they hold.
type rankStats struct {
	// ranks is what each rank said last, by rank; reported are those that did since the
	// last plan.
	ranks    map[uint32]*rankStat
	reported map[uint32]bool
}

// rankStat is what a rank said last.
type rankStat struct {
	slowdown float64
	// counts are the choices between its last two reports, by set and expert.
	counts  [][]uint32
	version uint64
	// held are its experts by set under the map version; nil if they are not known.
	held [][]uint16
}

// rank returns what is known of a rank.
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

// add takes a report.
func (p *rankStats) add(l *wire.ExpertLoad) {
	for i := range l.Ranks {
		number := l.FirstRank + uint32(i)
		s := p.rank(number)
		p.reported[number] = true
		s.slowdown, s.counts = l.Ranks[i].Pace, l.Ranks[i].Picks
		// A report that was on its way during a change speaks of the map before.
		if l.Ranks[i].Held != nil && l.Ranks[i].Version >= s.version {
			s.version, s.held = l.Ranks[i].Version, l.Ranks[i].Held
		}
	}
}

// isMissingExperts reports whether a report leaves out experts that are not known here.
func (p *rankStats) isMissingExperts(l *wire.ExpertLoad) bool {
	for i := range l.Ranks {
		s := p.ranks[l.FirstRank+uint32(i)]
		if s != nil && l.Ranks[i].Held == nil && (s.held == nil || s.version < l.Ranks[i].Version) {
			return true
		}
	}
	return false
}

// syncMap takes the experts of all ranks from the map in use, where find knows its content: a
// plan needs no report of each rank then.
func (p *rankStats) syncMap(active expertmap.Version, find func(expertmap.Version) (expertmap.Map, bool), shape *wire.GroupShape) {
	if len(p.reported) == 0 {
		return
	}
	if s := p.ranks[0]; s != nil && len(p.ranks) == int(shape.Ranks) && s.held != nil && s.version >= rank.Version(active) {
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

// setMap notes the map that has come into force, which the planner knows.
func (p *rankStats) setMap(version uint64, m expertmap.Map) {
	for number, s := range p.ranks {
		held := make([][]uint16, len(m.Layers))
		for set, slots := range m.Layers {
			first := int(number) * m.SlotsPerRank
			if first+m.SlotsPerRank > len(slots) {
				return
			}
			for _, e := range slots[first : first+m.SlotsPerRank] {
				if e != rank.NoExpert {
					held[set] = append(held[set], e)
				}
			}
		}
		s.version, s.held = version, held
	}
}

// isComplete reports whether there is enough to plan by: as many reports as come in an
// interval, and the experts of all ranks under one map.
func (p *rankStats) isComplete(shape *wire.GroupShape) bool {
	if len(p.ranks) != int(shape.Ranks) || uint32(len(p.reported)) < min(shape.Ranks, ReportsPerInterval) {
		return false
	}
	for r := range shape.Ranks {
		s := p.ranks[r]
		if s == nil || len(s.held) != int(shape.Layers) || s.version != p.ranks[0].version {
			return false
		}
		if p.reported[r] && !hasShape(s.counts, shape) {
			return false
		}
	}
	return true
}

// hasShape reports whether counts are those of the group's sets and experts.
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

// takeMean returns the counts of the ranks that reported since the last call, on the mean of
// them.
func (p *rankStats) takeMean(shape *wire.GroupShape) placement.Load {
	out := make(placement.Load, shape.Layers)
	for set := range out {
		out[set] = make([]float64, shape.Experts)
	}
	part := 1 / float64(max(len(p.reported), 1))
	for number := range p.reported {
		for set, counts := range p.ranks[number].counts {
			for e, n := range counts {
				out[set][e] += float64(n) * part
			}
		}
	}
	clear(p.reported)
	return out
}

// held returns the experts by set and rank, and the version of the map.
func (p *rankStats) held() ([][][]uint16, uint64) {
	out := make([][][]uint16, len(p.ranks[0].held))
	for set := range out {
		for r := range uint32(len(p.ranks)) {
			out[set] = append(out[set], p.ranks[r].held[set])
		}
	}
	return out, p.ranks[0].version
}

// slowdowns returns the ranks' paces as they were reported.
func (p *rankStats) slowdowns() []float64 {
	out := make([]float64, len(p.ranks))
	for r := range out {
		out[r] = p.ranks[uint32(r)].slowdown
	}
	return out
}
