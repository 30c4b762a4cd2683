package schedule

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// lateAnswerValue is what a late answer is worth to its caller, an answer on time being 1.
	lateAnswerValue = 0.5
	// limitStep is the distance of two numbers of places that are compared.
	limitStep = 0.25
	// minSlowBuckets is how many of the newest parts have to be beyond what the fewest places
	// bear for a group to count as slow, rather than as one whose map is being changed.
	minSlowBuckets = 3
)

// limit returns how many requests a rank should work on at once, on the mean: the number
// at which the group would serve most, late answers counting by latePart, if passes go on as
// they are remembered. More places serve more callers and make passes longer; fewer keep
// passes inside the gap when popularity jumps, but only where there is a number that does.
// Passes that even the fewest places don't bear decide nothing. The fewest, which bear the
// worst that is expected of popularity, are returned where nothing else is known, and while
// no number keeps passes inside the gap.
func (p *passHistory) limit(e *routetable.Engine, maxEventGap, now time.Duration) float64 {
	minLimit := float64(ConcurrencyLimit(e, maxEventGap))
	if maxEventGap <= 0 || e.Stride <= 0 || e.StepTimePerRequest <= 0 || !p.hasStarted || now-p.startedAt < minObservation {
		return minLimit
	}
	if p.engineSpec == e && p.cachedBucket == p.bucket {
		return p.cachedLimit
	}
	p.engineSpec, p.cachedBucket, p.cachedLimit = e, p.bucket, minLimit
	maxPassTime := maxPassFraction * float64(maxEventGap)
	maxSlowdown := maxPassTime / float64(balancedPassTime(e, minLimit))
	slowdowns, meanSlowdown := p.slowdownsWithin(maxSlowdown, now)
	if meanSlowdown == 0 || p.isTooSlow(maxSlowdown) {
		return minLimit
	}
	bestGoodput := 0.0
	for n := minLimit; n <= float64(e.Slots); n += limitStep {
		passTime := float64(balancedPassTime(e, n))
		serviceTime := prefillTime(e).Seconds() + (e.Answer/float64(e.Stride)+2)*meanSlowdown*passTime/float64(time.Second)
		onTime := fractionOnTime(slowdowns, maxPassTime/passTime, int(serviceTime/bucketSpan.Seconds())+1)
		if goodput := n / serviceTime * (onTime + lateAnswerValue*(1-onTime)); goodput > bestGoodput {
			bestGoodput, p.cachedLimit = goodput, n
		}
	}
	return p.cachedLimit
}

// slowdownsWithin returns the stretches of the parts that are remembered and not longer than
// bearable, the oldest first, and their mean, 0 if there are none.
func (p *passHistory) slowdownsWithin(maxSlowdown float64, now time.Duration) (within []float64, mean float64) {
	for n := max(int64(now/bucketSpan)-bucketCount+1, 0); n < p.bucket; n++ {
		if s := p.slowdowns[n%bucketCount]; s > 0 && s <= maxSlowdown {
			within = append(within, s)
			mean += s
		}
	}
	if len(within) > 0 {
		mean /= float64(len(within))
	}
	return within, mean
}

// isTooSlow reports whether the newest parts that are known are all longer than bearable.
func (p *passHistory) isTooSlow(maxSlowdown float64) bool {
	known := 0
	for n := p.bucket - 1; n >= max(p.bucket-bucketCount+1, 0) && known < minSlowBuckets; n-- {
		s := p.slowdowns[n%bucketCount]
		if s > 0 && s <= maxSlowdown {
			return false
		}
		if s > 0 {
			known++
		}
	}
	return known == minSlowBuckets
}

// fractionOnTime returns the share of streams that would see no pass over the gap: a stream
// meets that many parts in a row, and a part is too long from the stretch most on.
func fractionOnTime(slowdowns []float64, maxSlowdown float64, window int) float64 {
	onTime, consecutive := 0, 0
	for _, s := range slowdowns {
		consecutive++
		if s > maxSlowdown {
			consecutive = 0
		}
		if consecutive >= min(window, len(slowdowns)) {
			onTime++
		}
	}
	return float64(onTime) / float64(max(len(slowdowns)-window+1, 1))
}

// prefillTime is how long an engine reads a usual prompt.
func prefillTime(e *routetable.Engine) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(e.Prompt / e.PrefillRate * float64(time.Second))
}
