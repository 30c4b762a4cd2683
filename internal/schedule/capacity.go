package schedule

import "time"

// usualStepTimeRatio is the step time ratio of an engine that is as fast as usual.
const usualStepTimeRatio = 1

// minStepTimeRatio returns the step time ratio of the fastest engine of a service with a fresh
// load report, at least usualStepTimeRatio, or 0 if it is unknown for all. An engine that states a shorter
// step than usual, rightly or not, is no reason to take the others for slow.
func (sv *service) minStepTimeRatio(now time.Duration) float64 {
	lowest := 0.0
	for _, u := range sv.active {
		if u.load.isFresh(now) && u.load.stepTimeRatio > 0 && (lowest == 0 || u.load.stepTimeRatio < lowest) {
			lowest = u.load.stepTimeRatio
		}
	}
	if lowest == 0 {
		return 0
	}
	return max(lowest, usualStepTimeRatio)
}

// limitOf returns how many requests an engine should run at once. An engine that is slower than
// the fastest gets a lower limit.
func (sv *service) limitOf(u *upstream, minRatio float64, now time.Duration) int {
	limit := sv.limit
	if u.group != nil && u.group.limit > 0 {
		limit = int(u.group.limit + u.rounding)
	}
	if !u.load.isFresh(now) || minRatio == 0 {
		return limit
	}
	return SlowRankLimit(sv.engineSpec, limit, u.load.stepTimeRatio/minRatio)
}

// isSlow reports whether an engine is slower than the fastest of its service.
func (u *upstream) isSlow(minRatio float64, now time.Duration) bool {
	return u.load.isFresh(now) && minRatio > 0 && u.load.stepTimeRatio > slowStepTimeRatio*minRatio
}

// slowStepTimeRatio is the step time relative to the fastest engine from which an engine is slow.
const slowStepTimeRatio = 1.05

// capacity returns the total number of usable slots at the engines of a service that serve, and
// how many of them are free. An engine with a rate limit has as many usable slots as the rate
// keeps occupied, and a free one only if this host has a token. One that rests has none.
func (s *Scheduler) capacity(sv *service, now time.Duration) (total, free float64) {
	return s.capacityOf(sv, now, func(*upstream) bool { return true })
}

// capacityOf is capacity for the engines that are included.
func (s *Scheduler) capacityOf(sv *service, now time.Duration, include func(*upstream) bool) (total, free float64) {
	minRatio := sv.minStepTimeRatio(now)
	for _, u := range sv.active {
		if !include(u) || !sv.serves(u, now) || now < u.restUntil {
			continue
		}
		limit := float64(sv.limitOf(u, minRatio, now))
		if u.allowance != nil {
			total += min(limit, u.allowance.Rate()*sv.meanServiceTime().Seconds())
			if u.allowance.CanSend(now) {
				free++
			}
			continue
		}
		total += limit
		free += max(limit-s.estimatedLoad(u, now), 0)
	}
	return total, free
}
