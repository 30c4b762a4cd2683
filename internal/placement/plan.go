package placement

import "slices"

// Move assigns an expert to a slot.
type Move struct {
	Layer  int
	Slot   int
	Expert uint16
}

// Plan is a change of the expert map.
type Plan struct {
	// Moves are listed in the order in which they were chosen. Each is one weight
	// load. An empty list means that no change is worth its cost.
	Moves []Move
	// SkewBefore and SkewAfter are the skews expected under the given load without
	// and with the change.
	SkewBefore, SkewAfter float64
	// NetSteps is the weighted gain minus the weighted cost, in steps.
	NetSteps float64
}

// Apply returns a copy of the map with the moves applied.
func (p Plan) Apply(m Map) Map {
	out := m.Clone()
	for _, mv := range p.Moves {
		out.Layers[mv.Layer][mv.Slot] = mv.Expert
	}
	return out
}

// MakePlan plans a change of the map. Slowness is each rank's time per token
// relative to the others; 0 marks a rank that is gone. Experts that were only on
// such a rank are placed elsewhere whatever that costs. Otherwise MakePlan makes a
// greedy list of at most MaxLoads moves, each with the highest gain per load for the
// slowest rank, and keeps the prefix of the list with the highest net gain.
func MakePlan(m Map, load Load, slowness []float64, p Params) Plan {
	s := newState(m, load, slowness)
	plan := Plan{SkewBefore: s.skew()}
	moves := s.restoreLost()
	forced := len(moves)
	plan.accept(moves, s.skew(), 0)
	start := s.skew()
	for len(moves) < p.MaxLoads+forced {
		// No map has a skew below 1. Stop when even a skew of 1 would not improve
		// the net gain.
		if p.netGain(start-1, len(moves)-forced+1) <= plan.NetSteps {
			break
		}
		step := s.bestStep()
		if step == nil || len(moves)+len(step) > p.MaxLoads+forced {
			break
		}
		s.applyMoves(step)
		moves = append(moves, step...)
		net := p.netGain(start-s.skew(), len(moves)-forced)
		if net > plan.NetSteps {
			plan.accept(moves, s.skew(), net)
		}
	}
	return plan
}

func (p *Plan) accept(moves []Move, skew, net float64) {
	p.Moves = slices.Clone(moves)
	p.SkewAfter = skew
	p.NetSteps = net
}

// Skew returns the highest step time of a rank divided by the mean step time.
func Skew(m Map, load Load, slowness []float64) float64 {
	return newState(m, load, slowness).skew()
}

// StepTimes returns each rank's step time. The unit is the time that a rank of
// slowness 1 takes for one token.
func StepTimes(m Map, load Load, slowness []float64) []float64 {
	return newState(m, load, slowness).times
}

// mapState is the map during planning, with the step times that follow from it.
type mapState struct {
	m        Map
	load     Load
	slowness []float64
	// holders lists the ranks with a replica, by layer and expert. A rank is listed
	// once for each slot that holds the expert.
	holders [][][]int
	times   []float64
}

func newState(m Map, load Load, slowness []float64) *mapState {
	s := &mapState{m: m.Clone(), load: load, slowness: slowness, times: make([]float64, len(slowness))}
	s.holders = make([][][]int, len(m.Layers))
	for l := range m.Layers {
		s.holders[l] = make([][]int, len(load[l]))
		for slot, e := range m.Layers[l] {
			if r := s.rank(slot); slowness[r] > 0 {
				s.holders[l][e] = append(s.holders[l][e], r)
			}
		}
		for e := range load[l] {
			s.addTokens(l, uint16(e), 1)
		}
	}
	return s
}

func (s *mapState) rank(slot int) int { return slot / s.m.SlotsPerRank }

// addTokens adds an expert's tokens to the times of the ranks that hold it, or
// subtracts them if sign is -1.
func (s *mapState) addTokens(l int, e uint16, sign float64) {
	h := s.holders[l][e]
	for _, r := range h {
		s.times[r] += sign * s.load[l][e] / float64(len(h)) * s.slowness[r]
	}
}

func (s *mapState) skew() float64 {
	var sum, top float64
	alive := 0
	for r, t := range s.times {
		if s.slowness[r] == 0 {
			continue
		}
		sum += t
		top = max(top, t)
		alive++
	}
	if sum == 0 {
		return 1
	}
	return top * float64(alive) / sum
}

// applyMove applies one move and updates the step times.
func (s *mapState) applyMove(mv Move) {
	old, r := s.m.Layers[mv.Layer][mv.Slot], s.rank(mv.Slot)
	s.addTokens(mv.Layer, old, -1)
	h := s.holders[mv.Layer][old]
	if i := slices.Index(h, r); i >= 0 {
		s.holders[mv.Layer][old] = slices.Delete(slices.Clone(h), i, i+1)
	}
	s.addTokens(mv.Layer, old, 1)
	s.addTokens(mv.Layer, mv.Expert, -1)
	s.holders[mv.Layer][mv.Expert] = append(slices.Clone(s.holders[mv.Layer][mv.Expert]), r)
	s.addTokens(mv.Layer, mv.Expert, 1)
	s.m.Layers[mv.Layer][mv.Slot] = mv.Expert
}

func (s *mapState) applyMoves(moves []Move) {
	for _, mv := range moves {
		s.applyMove(mv)
	}
}

// restoreLost places the experts that no remaining rank holds. Each replaces the
// replica with the least tokens whose expert has another replica.
func (s *mapState) restoreLost() []Move {
	var out []Move
	for l := range s.holders {
		for e := range s.holders[l] {
			if len(s.holders[l][e]) > 0 {
				continue
			}
			if slot := s.leastNeededSlot(l); slot >= 0 {
				mv := Move{Layer: l, Slot: slot, Expert: uint16(e)}
				s.applyMove(mv)
				out = append(out, mv)
			}
		}
	}
	return out
}

// leastNeededSlot returns the slot of a remaining rank whose replica gets the least
// tokens, among the experts of the layer that have another replica, or -1.
func (s *mapState) leastNeededSlot(l int) int {
	best, least := -1, 0.0
	for slot, e := range s.m.Layers[l] {
		replicas := len(s.holders[l][e])
		if s.slowness[s.rank(slot)] == 0 || replicas < 2 {
			continue
		}
		if t := s.load[l][e] / float64(replicas); best < 0 || t < least {
			best, least = slot, t
		}
	}
	return best
}

// bestStep returns the moves with the highest gain per load for the slowest rank:
// another replica of one of its experts on another rank (one load), or an exchange
// of two experts with another rank (two loads). It returns nil if nothing helps.
func (s *mapState) bestStep() []Move {
	hot := 0
	for r := range s.times {
		if s.slowness[r] > 0 && s.times[r] > s.times[hot] {
			hot = r
		}
	}
	c := stepChoice{minGainPerLoad: 1e-9 * s.times[hot]}
	for l := range s.m.Layers {
		for i := range s.m.SlotsPerRank {
			s.considerSlot(l, hot*s.m.SlotsPerRank+i, &c)
		}
	}
	return c.moves
}

// stepChoice is the best step so far.
type stepChoice struct {
	// minGainPerLoad is the gain per load that a step has to exceed.
	minGainPerLoad float64
	moves          []Move
}

// accept reports whether a step has the highest gain per load so far, and if so
// raises minGainPerLoad to it.
func (c *stepChoice) accept(gain float64, loads int) bool {
	perLoad := gain / float64(loads)
	if perLoad <= c.minGainPerLoad {
		return false
	}
	c.minGainPerLoad = perLoad
	return true
}

// considerSlot considers all steps that reduce the tokens of one slot of the slowest rank.
func (s *mapState) considerSlot(l, slot int, c *stepChoice) {
	hot, e := s.rank(slot), s.m.Layers[l][slot]
	hotSlowness := s.slowness[hot]
	replicas := float64(len(s.holders[l][e]))
	hotShare := s.load[l][e] / replicas
	for other, f := range s.m.Layers[l] {
		r := s.rank(other)
		if r == hot || s.slowness[r] == 0 || f == e || s.times[r] >= s.times[hot] {
			continue
		}
		otherReplicas := float64(len(s.holders[l][f]))
		otherShare := s.load[l][f] / otherReplicas
		swap := min((hotShare-otherShare)*hotSlowness, s.times[hot]-s.times[r]-(hotShare-otherShare)*s.slowness[r])
		if c.accept(swap, 2) {
			c.moves = []Move{{l, slot, f}, {l, other, e}}
		}
		if otherReplicas < 2 {
			continue
		}
		relief := hotShare - s.load[l][e]/(replicas+1)
		if slices.Contains(s.holders[l][f], hot) {
			relief -= s.load[l][f]/(otherReplicas-1) - otherShare
		}
		extra := s.load[l][e]/(replicas+1) - otherShare
		replica := min(relief*hotSlowness, s.times[hot]-s.times[r]-extra*s.slowness[r])
		for _, h := range s.holders[l][f] {
			if h != r && h != hot {
				replica = min(replica, s.times[hot]-s.times[h]-(s.load[l][f]/(otherReplicas-1)-otherShare)*s.slowness[h])
			}
		}
		if c.accept(replica, 1) {
			c.moves = []Move{{l, other, e}}
		}
	}
}
