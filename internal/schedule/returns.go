package schedule

import "time"

const (
	// returnSpan is the length of the intervals in which returns are planned. Within an interval
	// returns are spread at random.
	returnSpan = 250 * time.Millisecond
	// returnIntervals is how many intervals are planned ahead. Callers with the longest usual
	// deadlines honour a Retry-After of some seconds.
	returnIntervals = 32
)

// returnPlan plans when refused callers return. It counts the returns that this host has promised
// in each of the next intervals. A caller may return to any host. If all hosts plan with equal
// shares of the slots, a host receives on average as many returns as it promises, so those that
// other hosts promise need no count of their own. The zero value is ready to use.
type returnPlan struct {
	arrivals arrivalTrend
	// promised holds the number of returns by interval, modulo returnIntervals, for the intervals
	// from first on. Intervals are numbered from time 0.
	promised [returnIntervals]int
	first    int64
}

// place returns the start of the interval between now and latest in which most slots are expected
// to be left for another return, and counts the return there. It returns false if none is expected
// in any of them.
//
// The slots left in an interval are those that become free, less the expected arrivals and the
// returns that are already promised. The time with most slots left is chosen instead of the first
// with any: arrivals vary around the expected ones, and a caller that returns is refused for good
// if it finds no slot.
func (p *returnPlan) place(slotsPerSecond float64, now, latest time.Duration) (start time.Duration, ok bool) {
	p.advance(now)
	level, slope := p.arrivals.line(now)
	best, most := int64(0), 0.0
	for n := p.first + 1; n < p.first+returnIntervals && time.Duration(n+1)*returnSpan <= latest; n++ {
		middle := time.Duration(n)*returnSpan + returnSpan/2
		arrivals := max(level+slope*(middle-now).Seconds(), 0)
		left := (slotsPerSecond-arrivals)*returnSpan.Seconds() - float64(p.promised[n%returnIntervals])
		if left > most {
			best, most = n, left
		}
	}
	if most == 0 {
		return 0, false
	}
	p.promised[best%returnIntervals]++
	return time.Duration(best) * returnSpan, true
}

// pending returns the number of returns that are promised from now on.
func (p *returnPlan) pending(now time.Duration) int {
	p.advance(now)
	total := 0
	for _, n := range p.promised {
		total += n
	}
	return total
}

// advance forgets the intervals that have passed.
func (p *returnPlan) advance(now time.Duration) {
	current := int64(now / returnSpan)
	if current-p.first >= returnIntervals {
		p.promised, p.first = [returnIntervals]int{}, current
		return
	}
	for ; p.first < current; p.first++ {
		p.promised[p.first%returnIntervals] = 0
	}
}

// planReturn returns the Retry-After for a caller that is refused for lack of capacity and accepts
// the given longest one. It is a time at which most slots are expected to be left, or about the
// longest if none is: in a peak, a later return is more likely to come after it. Nothing is
// promised to a caller that has returned already, since it will not return again.
func (s *Scheduler) planReturn(w *Waiter, longest, now time.Duration) time.Duration {
	spread := time.Duration(s.cfg.Random.Float64() * float64(min(returnSpan, longest)))
	if serviceTime := w.service.meanServiceTime().Seconds(); serviceTime > 0 && !w.isReturn() {
		slotsPerSecond := s.slotShare(w.service, now).total / serviceTime
		if start, ok := w.service.returns.place(slotsPerSecond, now, now+longest); ok {
			return start - now + spread
		}
	}
	return longest - spread
}

// isReturn reports whether the caller has so little time left that it was refused before and has
// returned.
func (w *Waiter) isReturn() bool { return w.deadline > 0 && !w.canRetry }
