package schedule

import (
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// historySpan is how long pass times are remembered. Expert popularity that has shifted
	// suddenly is likely to shift again, and ten shifts predict the next one better than three.
	historySpan = 20 * time.Second
	// bucketSpan is the length of a bucket of the history, which covers a few passes.
	// bucketCount is the number of buckets.
	bucketSpan  = 250 * time.Millisecond
	bucketCount = int64(historySpan / bucketSpan)
	// minObservation is how long pass times must have been observed before they are used.
	minObservation = 8 * time.Second
	// minSamples is the number of event gaps needed to estimate the pass time of a bucket.
	// Their median is used, so that a few answers delayed in transit have no effect. maxSamples
	// limits how many are kept for a bucket.
	minSamples, maxSamples = 5, 48
	// maxPassFraction is the fraction of the maximum event gap that a pass may take. The rest
	// allows for longer passes to come and for variation in the transit time to the caller.
	maxPassFraction = 0.9
)

// passHistory records how much longer the passes of a group take than they would with the work
// spread evenly over its ranks: the slowdown, a ratio. A pass is a fixed number of decode steps
// that all ranks execute together, and after each pass a stream gets one event. So any host
// with a few streams can measure the passes of the whole group by the gaps between events. The
// zero value is ready to use.
type passHistory struct {
	// samples are the event gaps of the current bucket, which has the number bucket. They
	// include those of preceding buckets that had too few samples.
	samples []time.Duration
	bucket  int64
	// slowdowns holds the slowdown of each bucket, 0 if unknown.
	slowdowns [bucketCount]float64
	// startedAt is when the first event gap was recorded.
	startedAt  time.Duration
	hasStarted bool
	// cachedLimit is the result of the last computation of limit. It is valid for engines with
	// the parameters engineSpec while cachedBucket is the current bucket.
	cachedLimit  float64
	cachedBucket int64
	engineSpec   *routetable.Engine
}

// add records the gap between two events of a stream. The time that a pass would take with
// evenly spread work is given as balanced.
func (p *passHistory) add(gap, balanced, now time.Duration) {
	if !p.hasStarted {
		p.hasStarted, p.startedAt = true, now
	}
	p.advance(balanced, now)
	if len(p.samples) < maxSamples {
		p.samples = append(p.samples, gap)
	}
}

// advance completes the current bucket if its time is over and starts the next one.
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

// balancedPassTime returns the duration of a pass in which each rank generates tokens for n
// requests.
func balancedPassTime(e *routetable.Engine, n float64) time.Duration {
	return time.Duration(float64(max(e.StepsPerPass, 1)) * (float64(e.StepTime) + n*float64(e.StepTimePerRequest)))
}

// RecordEventGap records the gap between two events in the stream of an attempt.
func (s *Scheduler) RecordEventGap(t *Ticket, gap, now time.Duration) {
	t.hear(now)
	sv, g := t.service, t.upstream.group
	if g == nil || sv.engineSpec == nil || sv.maxEventGap <= 0 {
		return
	}
	g.passTimes.add(gap, balancedPassTime(sv.engineSpec, g.meanLoad), now)
}

// setEngine sets the performance parameters of a service's engines and the longest gap between
// events that counts as on time, and recomputes the concurrency limits.
func (sv *service) setEngine(e *routetable.Engine, gap time.Duration, share float64, now time.Duration) {
	if sv.engineSpec == e && sv.maxEventGap == gap {
		return
	}
	sv.engineSpec, sv.maxEventGap, sv.limit = e, gap, ConcurrencyLimit(e, gap)
	sv.updateLimits(share, now)
}

// updateLimits sets the concurrency limit of each group from its history of pass times. Share is this
// host's share of the slots.
func (sv *service) updateLimits(share float64, now time.Duration) {
	if sv.engineSpec == nil {
		return
	}
	demand := sv.classDemand(share, now)
	for _, g := range sv.groups {
		g.limit = sv.withHeadroom(g.passTimes.limit(sv.engineSpec, sv.maxEventGap, demand, now))
	}
}

// updateMeanLoads computes the mean number of requests at the ranks of each group.
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
