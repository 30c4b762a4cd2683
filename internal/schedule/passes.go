package schedule

import (
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// historySpan is for how long passes are remembered. Popularity that jumps now and then has to
	// be borne at its next jump too, and ten jumps tell that one better than three.
	historySpan = 20 * time.Second
	// bucketSpan is how long a part of it is, a few passes; peakParts is how many there are.
	bucketSpan  = 250 * time.Millisecond
	bucketCount = int64(historySpan / bucketSpan)
	// minObservation is for how long passes have to be seen before they count.
	minObservation = 8 * time.Second
	// minSamples is how many pauses of streams tell how long the passes of a part were. Their
	// median counts, so that a few answers that are held up on their way do not. mostPauses
	// bounds what is kept of a part.
	minSamples, maxSamples = 5, 48
	// maxPassFraction is the part of the gap that passes may take: the next ones may be longer, and
	// an answer's way to its caller varies.
	maxPassFraction = 0.9
)

// passHistory is what this host sees of how much longer the passes of a group take than they
// would with the work spread evenly over its ranks: the stretch, without unit. All ranks
// execute each pass together, and a stream has an event a pass, so every host with a few
// streams sees the passes of the whole group in the pauses between events. The zero value is
// ready.
type passHistory struct {
	// samples are those of the part with the number part, and of the ones before it if they
	// had too few.
	samples []time.Duration
	bucket  int64
	// slowdowns is that of each part, 0 where nothing is known.
	slowdowns [bucketCount]float64
	// startedAt is when the first pause came.
	startedAt  time.Duration
	hasStarted bool
	// cachedLimit is the number of places chosen last: for engines of that shape, while the part
	// chosenPart ran.
	cachedLimit  float64
	cachedBucket int64
	engineSpec   *routetable.Engine
}

// add takes in a pause between two events of a stream. Even is how long a pass would take
// with the work that the ranks have spread evenly.
func (p *passHistory) add(gap, balanced, now time.Duration) {
	if !p.hasStarted {
		p.hasStarted, p.startedAt = true, now
	}
	p.advance(balanced, now)
	if len(p.samples) < maxSamples {
		p.samples = append(p.samples, gap)
	}
}

// advance closes the part that is over.
func (p *passHistory) advance(balanced, now time.Duration) {
	current := int64(now / bucketSpan)
	if current == p.bucket {
		return
	}
	for n := max(p.bucket+1, current-bucketCount+1); n <= current; n++ {
		p.slowdowns[n%bucketCount] = 0
	}
	if len(p.samples) >= minSamples && balanced > 0 {
		slices.Sort(p.samples)
		p.slowdowns[p.bucket%bucketCount] = float64(p.samples[len(p.samples)/2]) / float64(balanced)
		p.samples = p.samples[:0]
	}
	p.bucket = current
}

// balancedPassTime is how long a pass takes where each rank writes for n requests.
func balancedPassTime(e *routetable.Engine, n float64) time.Duration {
	return time.Duration(float64(max(e.Stride, 1)) * (float64(e.StepTime) + n*float64(e.StepTimePerRequest)))
}

// RecordEventGap tells how long the stream of an attempt paused between two events.
func (s *Scheduler) RecordEventGap(t *Ticket, gap, now time.Duration) {
	sv, g := t.service, t.upstream.group
	if g == nil || sv.engineSpec == nil || sv.maxEventGap <= 0 {
		return
	}
	g.passTimes.add(gap, balancedPassTime(sv.engineSpec, g.meanLoad), now)
}

// setEngine derives how many requests the engines of a service should work on at once. Gap is
// the longest pause between events that is on time.
func (sv *service) setEngine(e *routetable.Engine, gap, now time.Duration) {
	if sv.engineSpec == e && sv.maxEventGap == gap {
		return
	}
	sv.engineSpec, sv.maxEventGap, sv.limit = e, gap, ConcurrencyLimit(e, gap)
	sv.updateLimits(now)
}

// updateLimits bounds the ranks of each group by what was seen of its passes.
func (sv *service) updateLimits(now time.Duration) {
	if sv.engineSpec == nil {
		return
	}
	for _, g := range sv.groups {
		g.limit = g.passTimes.limit(sv.engineSpec, sv.maxEventGap, now)
	}
}

// updateMeanLoads derives how many requests the ranks of each group have, on the mean.
func (sv *service) updateMeanLoads() {
	for _, g := range sv.groups {
		g.meanLoad, g.ranks = 0, 0
	}
	for _, u := range sv.active {
		if g := u.group; g != nil && u.load.isKnown && u.load.epoch == g.epoch {
			g.meanLoad += float64(min(u.load.requests, max(u.Slots, 1)))
			g.ranks++
		}
	}
	for _, g := range sv.groups {
		g.meanLoad /= float64(max(g.ranks, 1))
	}
}
