package schedule

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// lateAnswerValue is the value of a late answer to its caller, relative to one that is on
	// time.
	lateAnswerValue = 0.5
	// limitStep is the step between the concurrency limits that are compared, in requests per
	// rank.
	limitStep = 0.25
	// minSlowBuckets is how many of the newest history buckets must be too slow even at the
	// lowest limit before a group counts as slow. Fewer slow buckets are expected while the
	// group's expert map is being changed.
	minSlowBuckets = 3
)

// limit returns the average number of requests that a rank should run at once. It maximises the
// goodput of the group, in which a late answer counts as lateAnswerValue, assuming that pass
// times vary as in the recorded history.
//
// A higher limit serves more callers but makes passes longer. A lower limit keeps passes within
// the maximum event gap when expert popularity shifts suddenly, but only if some limit can
// achieve that, so passes that are too long even at the lowest limit are ignored. The lowest
// limit, which tolerates the worst expected shift of popularity, is returned if nothing is
// known yet and while the newest passes would be too long at any limit.
//
// If the requests have several priorities, what is served counts by its class: once the urgent
// requests are served, more requests of less urgent classes don't make up for late urgent ones. The
// limit then rises by at most limitStep in each bucket of the history.
func (p *passHistory) limit(e *routetable.Engine, maxEventGap time.Duration, demand classDemand, now time.Duration) float64 {
	minLimit := float64(ConcurrencyLimit(e, maxEventGap))
	if maxEventGap <= 0 || e.StepsPerPass <= 0 || e.StepTimePerRequest <= 0 || !p.hasStarted || now-p.startedAt < minObservation {
		return minLimit
	}
	if p.engineSpec == e && p.cachedBucket == p.bucket {
		return p.cachedLimit
	}
	maxLimit := float64(e.Slots)
	if demand != nil && p.cachedLimit > 0 {
		// Passes may grow faster with the limit than the recorded slowdowns predict, which must show
		// before the limit rises further and makes urgent answers late too.
		maxLimit = min(maxLimit, max(p.cachedLimit, minLimit)+limitStep)
	}
	p.engineSpec, p.cachedBucket, p.cachedLimit = e, p.bucket, minLimit
	maxPassTime := maxPassFraction * float64(maxEventGap)
	maxSlowdown := maxPassTime / float64(balancedPassTime(e, minLimit))
	slowdowns, meanSlowdown := p.slowdownsWithin(maxSlowdown, now)
	if meanSlowdown == 0 || p.isTooSlow(maxSlowdown) {
		return minLimit
	}
	bestGoodput := 0.0
	for n := minLimit; n <= maxLimit; n += limitStep {
		passTime := float64(balancedPassTime(e, n))
		serviceTime := prefillTime(e).Seconds() + (e.MeanAnswerTokens/float64(e.StepsPerPass)+2)*meanSlowdown*passTime/float64(time.Second)
		onTime := fractionOnTime(slowdowns, maxPassTime/passTime, int(serviceTime/bucketSpan.Seconds())+1)
		if goodput := demand.value(n/serviceTime) * (onTime + lateAnswerValue*(1-onTime)); goodput > bestGoodput {
			bestGoodput, p.cachedLimit = goodput, n
		}
	}
	return p.cachedLimit
}

// slowdownsWithin returns the recorded slowdowns up to maxSlowdown, oldest first, and their
// mean, which is 0 if there are none.
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

// isTooSlow reports whether the newest buckets with data all have a slowdown above maxSlowdown.
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

// fractionOnTime returns the fraction of streams for which no pass takes longer than the event
// gap allows. A stream lasts for the given window of consecutive buckets, and any bucket with a
// slowdown above maxSlowdown makes it late.
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

// prefillTime returns how long an engine takes to read a prompt of average length.
func prefillTime(e *routetable.Engine) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(e.MeanPromptTokens / e.PrefillRate * float64(time.Second))
}
