// Package retrybudget bounds how often requests are sent once more, so that repeats
// cannot multiply an overload.
//
// All hosts share one budget by service: a ratio of the requests in a sliding window plus
// a fixed extra. Each host counts its own requests and takes its part of the extra, so
// that the sum over hosts stays inside without a message between them. A Budget is pure
// and not safe for concurrent use.
package retrybudget

import "time"

// safetyFactor is the part of the ratio that is used: what one host counts into a window may
// be counted into the next one by whoever checks.
const safetyFactor = 0.85

// bucketCount is into how many parts the window is divided.
const bucketCount = 20

// Params are the bounds of the shared budget.
type Params struct {
	// Ratio is the repeats that each request allows, without unit.
	Ratio float64
	// Extra is the repeats in a window that are allowed besides, for all hosts together.
	Extra float64
	// Window is the sliding span.
	Window time.Duration
}

// Budget counts the requests and repeats of one host for one service. The zero value is
// ready.
type Budget struct {
	requests, repeats slidingCounter
}

// AddRequest counts a caller's request.
func (b *Budget) AddRequest(p Params, now time.Duration) { b.requests.add(p.Window, now) }

// Take reports whether one more repeat is allowed, and counts it. Hosts is among how many
// hosts the extra is divided.
func (b *Budget) Take(p Params, hosts int, now time.Duration) bool {
	allowed := safetyFactor * (p.Ratio*float64(b.requests.sum(p.Window, now)) + p.Extra/float64(max(hosts, 1)))
	if float64(b.repeats.sum(p.Window, now)+1) > allowed {
		return false
	}
	b.repeats.add(p.Window, now)
	return true
}

// slidingCounter counts events in a sliding span.
type slidingCounter struct {
	counts [bucketCount]int
	// lastBucket is the number of the newest bucket, counted from the clock's zero.
	lastBucket int64
}

func (w *slidingCounter) add(span, now time.Duration) {
	w.advance(span, now)
	w.counts[w.lastBucket%bucketCount]++
}

func (w *slidingCounter) sum(span, now time.Duration) int {
	w.advance(span, now)
	total := 0
	for _, n := range w.counts {
		total += n
	}
	return total
}

// advance empties the buckets that have left the span.
func (w *slidingCounter) advance(span, now time.Duration) {
	current := int64(now / max(span/bucketCount, 1))
	if current-w.lastBucket >= bucketCount {
		w.counts = [bucketCount]int{}
		w.lastBucket = current
		return
	}
	for w.lastBucket < current {
		w.lastBucket++
		w.counts[w.lastBucket%bucketCount] = 0
	}
}
