package schedule

import "time"

// minStepTimeRatio is the pace of the fastest engine of a service that is heard, 0 where none tells
// it.
func (sv *service) minStepTimeRatio(now time.Duration) float64 {
	lowest := 0.0
	for _, u := range sv.active {
		if u.load.isFresh(now) && u.load.stepTimeRatio > 0 && (lowest == 0 || u.load.stepTimeRatio < lowest) {
			lowest = u.load.stepTimeRatio
		}
	}
	return lowest
}

// limitOf returns how many requests an engine should work on at once, fewer where it is
// slower than the fastest.
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

// capacity counts the places of a service that serve, and those of them that are free.
func (s *Scheduler) capacity(sv *service, now time.Duration) (total, free float64) {
	minRatio := sv.minStepTimeRatio(now)
	for _, u := range sv.active {
		if !sv.serves(u, now) {
			continue
		}
		limit := float64(sv.limitOf(u, minRatio, now))
		total += limit
		free += max(limit-s.estimatedLoad(u, now), 0)
	}
	return total, free
}
