package planner

import (
	"math"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/placement"
	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// selectionsWeight is the weight of a new interval in the moving average of the load while
	// the popularity of experts only drifts.
	selectionsWeight = 0.25
	// shiftDistance is the distance of a new interval from the load (see
	// placement.Load.Distance) above which popularity has changed abruptly, if the sampling errors
	// of both do not explain it. The load before is discarded then.
	shiftDistance = 0.13
	// maxLoadError is the sampling error that the load may have. If that of one interval is so
	// large that selectionsWeight exceeds it, more intervals are averaged. Otherwise plans copy
	// experts that are popular in one sample of requests and not in the next.
	maxLoadError = 0.03
	// copyTimeLimit is how long a rank may copy experts in one change, over all sets. A rank
	// copies them one after the other, and all ranks wait for the last. Several small changes
	// in quick succession adapt to a popularity shift sooner than one large change.
	copyTimeLimit = 100 * time.Millisecond
	// minStepGain is the fraction of the mean load of a rank that one copied expert must save,
	// since forward passes are slower while experts are copied.
	minStepGain = 0.07
	// minChangeGain is the fraction of the mean load by which a change must lower the highest
	// load, averaged over the sets, when forward passes are near or over their time limit. The
	// limit is the longest time at which no stream is late. A change costs a round of orders to
	// the ranks, and slower passes while experts are copied.
	minChangeGain = 0.1
	// maxGainFactor multiplies minChangeGain when forward passes are far below their time
	// limit. Nobody waits for a faster pass then, and each copy takes bandwidth from the links
	// of the ranks.
	maxGainFactor = 4
	// idleFraction is the fraction of the time limit up to which a pass counts as far below
	// the limit, and busyFraction that from which it counts as near the limit.
	idleFraction = 0.4
	busyFraction = 0.7
)

// GainFactor returns the factor, in [1, maxGainFactor], by which a change must exceed the
// least gain. Pass is the mean time of a forward pass, and limit the longest time at which no
// stream is late. The closer pass is to limit, the lower the factor. It is 1 if either time is
// not known.
func GainFactor(pass, limit time.Duration) float64 {
	if pass <= 0 || limit <= 0 {
		return 1
	}
	idle := (busyFraction - float64(pass)/float64(limit)) / (busyFraction - idleFraction)
	return 1 + (maxGainFactor-1)*min(max(idle, 0), 1)
}

// Forecast is the expected effect of a planned change.
type Forecast struct {
	// ImbalanceBefore and ImbalanceAfter are the load of the most loaded rank divided by the
	// mean load, averaged over the sets: in a forward pass, each set waits for its own slowest
	// rank.
	ImbalanceBefore, ImbalanceAfter float64
	// Distance is how far the last interval is from the load before (see
	// placement.Load.Distance).
	Distance float64
	// SamplingError is the distance that two intervals have by chance, in [0, 1].
	SamplingError float64
	// Copies is the number of experts that have to be copied to a rank.
	Copies int
	// IsWorthwhile is set if the change is worth its cost.
	IsWorthwhile bool
}

// NextBySelections plans the next map from the counts of selected experts. It returns the map,
// the version of the map that it is based on, and a forecast. It must only be called after
// IsComplete has returned true. The parameter gainFactor multiplies the least gain for which a
// change is worthwhile.
func (p *Planner) NextBySelections(shape *wire.GroupShape, gainFactor float64) (expertmap.Map, uint64, Forecast) {
	sample := p.stats.takeSample(shape)
	distance := p.observe(sample)
	maxNew := maxNewExperts(shape)
	params := placement.SetParams{
		Slowdown: p.stats.slowdowns(), Slots: int(shape.SlotsPerRank), MaxNewPerSet: maxNew, MaxNewPerRank: maxNew,
		MinGain: minStepGain,
	}
	if shape.MaxNewPerSet > 0 {
		params.MaxNewPerSet = min(maxNew, int(shape.MaxNewPerSet))
	}
	current, base := p.stats.expertsBySet()
	next := placement.BalanceSets(current, p.load, params)
	m := expertmap.Map{SlotsPerRank: params.Slots}
	f := Forecast{Distance: distance, SamplingError: sample.err}
	highest, highestAfter, mean := 0.0, 0.0, 0.0
	for set := range next {
		before := placement.SetTimes(current[set], p.load[set], params.Slowdown)
		highest += maxOf(before)
		highestAfter += maxOf(placement.SetTimes(next[set], p.load[set], params.Slowdown))
		mean += meanOf(before)
		f.Copies += countNewExperts(current[set], next[set])
		m.Layers = append(m.Layers, layerSlots(next[set], params.Slots))
	}
	if mean > 0 {
		f.ImbalanceBefore, f.ImbalanceAfter = highest/mean, highestAfter/mean
	}
	// Part of the gain may come from the error of the load.
	f.IsWorthwhile = f.ImbalanceBefore-f.ImbalanceAfter > math.Hypot(minChangeGain*gainFactor, p.loadError)
	return m, base, f
}

// maxNewExperts returns how many experts may be new to a rank in one change.
func maxNewExperts(shape *wire.GroupShape) int {
	if shape.CopyUS == 0 {
		return 1
	}
	return max(int(copyTimeLimit/(time.Duration(shape.CopyUS)*time.Microsecond)), 1)
}

// MaxCopyTime returns the longest time for which the ranks copy experts in one change, or 0 if
// the time of one copy is not known.
func MaxCopyTime(shape *wire.GroupShape) time.Duration {
	return time.Duration(maxNewExperts(shape)) * time.Duration(shape.CopyUS) * time.Microsecond
}

// observe adds the counts of an interval to the load, and returns their distance from the load
// before.
func (p *Planner) observe(s sample) float64 {
	if placement.Sum(s.mean) == 0 && p.load != nil {
		return 0
	}
	distance := p.load.Distance(s.mean)
	if p.load == nil || distance > max(shiftDistance, math.Hypot(p.loadError, s.err)) {
		p.load, p.loadError = p.load.Observe(s.mean, 1), s.err
		return distance
	}
	weight := weightOf(p.loadError, s.err)
	p.load = p.load.Observe(s.mean, weight)
	p.loadError = math.Hypot((1-weight)*p.loadError, weight*s.err)
	return distance
}

// weightOf returns the weight of a new interval in the moving average of the load, given the sampling
// errors of both. It is the one with the least error, but at least the one that follows a drift of
// popularity and keeps the error within maxLoadError.
func weightOf(loadError, err float64) float64 {
	if err <= 0 {
		return selectionsWeight
	}
	least := loadError * loadError / (loadError*loadError + err*err)
	// The variance of a moving average is weight/(2-weight) of that of one interval.
	ratio := maxLoadError / err
	return max(least, min(selectionsWeight, 2*ratio*ratio/(1+ratio*ratio)))
}

// countNewExperts returns the number of experts that are new to a rank, over all ranks.
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

// layerSlots returns the slots of a layer, given the experts of each rank. Free slots hold
// NoExpert.
func layerSlots(expertsByRank [][]uint16, slots int) []uint16 {
	out := make([]uint16, 0, len(expertsByRank)*slots)
	for _, list := range expertsByRank {
		out = append(out, list...)
		for range slots - len(list) {
			out = append(out, rank.NoExpert)
		}
	}
	return out
}

func maxOf(v []float64) float64 {
	highest := 0.0
	for _, x := range v {
		highest = max(highest, x)
	}
	return highest
}

func meanOf(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}
