package planner

import (
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// selectionsWeight is the share of a new interval in the load, while popularity only
	// drifts.
	selectionsWeight = 0.25
	// jumpDistance is the distance of an interval from the load (see placement.Load.Distance) from
	// which popularity counts as having jumped: what was before is forgotten at once.
	// Intervals of a tenth of a second differ by less by chance.
	jumpDistance = 0.13
	// copyTimeLimit is how long the ranks may copy experts in one change, of all sets together:
	// a rank copies them one after the other, and all wait for the last. Small changes in
	// quick succession follow a jump sooner than one that is complete.
	copyTimeLimit = 100 * time.Millisecond
	// minStepGain is the part of a rank's mean load that a copied expert has to save: passes
	// are slower while experts are copied.
	minStepGain = 0.07
	// minChangeGain is the part of the mean load by which the most loaded ranks of all sets
	// together have to fall for a change where passes are late: it costs a round of orders,
	// and slower passes while experts are copied.
	minChangeGain = 0.1
	// maxGainFactor is how many times that has to be gained where passes have room: nobody
	// waits for them, and each copy takes the links of the ranks.
	maxGainFactor = 4
	// idleFraction and fullPart are the parts of the longest pass that is not late up to which
	// passes have room, and from which they have none.
	idleFraction = 0.4
	busyFraction = 0.7
)

// GainFactor returns how many times the least gain a change has to bring, in [1, easeChange]:
// less, the nearer passes are to the longest one that is not late. Where either is not
// known it is 1.
func GainFactor(pass, late time.Duration) float64 {
	if pass <= 0 || late <= 0 {
		return 1
	}
	room := (busyFraction - float64(pass)/float64(late)) / (busyFraction - idleFraction)
	return 1 + (maxGainFactor-1)*min(max(room, 0), 1)
}

// Forecast is what a planned change is expected to do.
type Forecast struct {
	// ImbalanceBefore and After are the load of the most loaded rank over the mean one, averaged
	// over the sets as the passes are: each set waits for its own slowest rank.
	ImbalanceBefore, ImbalanceAfter float64
	// Distance is that of the last interval from the load before.
	Distance float64
	// Copies counts the experts that are new to a rank.
	Copies int
	// IsWorthwhile tells that the change is worth its cost.
	IsWorthwhile bool
}

// NextBySelections returns the map that the planner wants, the version that it was planned
// on, and what is expected of it. The picks have to be complete. Ease is how many times
// the least gain a change has to bring.
func (p *Planner) NextBySelections(shape *wire.GroupShape, ease float64) (expertmap.Map, uint64, Forecast) {
	distance := p.observe(p.stats.takeMean(shape))
	fresh := maxNewExperts(shape)
	params := placement.SetParams{
		Slowdown: p.stats.slowdowns(), SlotsPerRank: int(shape.SlotsPerRank), MaxNewPerSet: fresh, MaxNewPerRank: fresh, MinGain: minStepGain,
	}
	if shape.Spare > 0 {
		params.MaxNewPerSet = min(fresh, int(shape.Spare))
	}
	held, base := p.stats.held()
	next := placement.BalanceSets(held, p.load, params)
	m := expertmap.Map{SlotsPerRank: params.SlotsPerRank}
	f := Forecast{Distance: distance}
	top, topAfter, mean := 0.0, 0.0, 0.0
	for set := range next {
		before := placement.SetTimes(held[set], p.load[set], params.Slowdown)
		top += maxOf(before)
		topAfter += maxOf(placement.SetTimes(next[set], p.load[set], params.Slowdown))
		mean += meanOf(before)
		f.Copies += countNewExperts(held[set], next[set])
		m.Layers = append(m.Layers, layerSlots(next[set], params.SlotsPerRank))
	}
	if mean > 0 {
		f.ImbalanceBefore, f.ImbalanceAfter = top/mean, topAfter/mean
	}
	f.IsWorthwhile = f.ImbalanceBefore-f.ImbalanceAfter > minChangeGain*ease
	return m, base, f
}

// maxNewExperts is how many experts may be new to a rank in one change.
func maxNewExperts(shape *wire.GroupShape) int {
	if shape.CopyUS == 0 {
		return 1
	}
	return max(int(copyTimeLimit/(time.Duration(shape.CopyUS)*time.Microsecond)), 1)
}

// MaxCopyTime is how long the ranks copy experts in one change at most, 0 if that is not known.
func MaxCopyTime(shape *wire.GroupShape) time.Duration {
	return time.Duration(maxNewExperts(shape)) * time.Duration(shape.CopyUS) * time.Microsecond
}

// observe takes an interval's counts into the load, and returns their distance from it.
func (p *Planner) observe(tokens placement.Load) float64 {
	if placement.Sum(tokens) == 0 && p.load != nil {
		return 0
	}
	weight, distance := selectionsWeight, p.load.Distance(tokens)
	if distance > jumpDistance {
		weight = 1
	}
	p.load = p.load.Observe(tokens, weight)
	return distance
}

// countNewExperts counts the experts that are new to a rank.
func countNewExperts(before, after [][]uint16) int {
	n := 0
	for r := range after {
		for _, e := range after[r] {
			if !slices.Contains(before[r], e) {
				n++
			}
		}
	}
	return n
}

// layerSlots writes the ranks' experts into slots.
func layerSlots(held [][]uint16, slots int) []uint16 {
	out := make([]uint16, 0, len(held)*slots)
	for _, list := range held {
		out = append(out, list...)
		for range slots - len(list) {
			out = append(out, rank.NoExpert)
		}
	}
	return out
}

func maxOf(v []float64) float64 {
	top := 0.0
	for _, x := range v {
		top = max(top, x)
	}
	return top
}

func meanOf(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
