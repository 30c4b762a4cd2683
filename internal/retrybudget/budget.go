// Package retrybudget limits how many requests are retried, so that retries cannot multiply an
// overload.
//
// All hosts share one budget for each service: a ratio of the requests in a sliding window plus
// a fixed extra number. Each host counts its own requests and gets an equal share of the extra,
// so that the sum over all hosts stays within the budget without any communication. A Budget
// reads no clock and is not safe for concurrent use.
package retrybudget

import "time"

// safetyFactor is the fraction of the budget that is used. A request that this host counts in
// one window may fall into the next one for an observer whose windows are aligned differently.
const safetyFactor = 0.85

// bucketCount is the number of buckets that the window is divided into.
const bucketCount = 20

// Params are the limits of the shared budget.
type Params struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed per window in addition, for all hosts together.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budget counts the requests and retries of one host for one service. The zero value is ready
// to use.
type Budget struct {
	requests, retries slidingCounter
}

// AddRequest counts a caller's request.
func (b *Budget) AddRequest(p Params, now time.Duration) { b.requests.add(p.Window, now) }

// Take reports whether one more retry is allowed, and counts it if so. The extra is divided
// equally among the given number of hosts.
func (b *Budget) Take(p Params, hosts int, now time.Duration) bool {
	allowed := safetyFactor * (p.Ratio*float64(b.requests.sum(p.Window, now)) + p.Extra/float64(max(hosts, 1)))
	if float64(b.retries.sum(p.Window, now)+1) > allowed {
		return false
	}
	b.retries.add(p.Window, now)
	return true
}

// Usage returns the requests and the retries of the host in the window.
func (b *Budget) Usage(p Params, now time.Duration) (requests, retries int) {
	return b.requests.sum(p.Window, now), b.retries.sum(p.Window, now)
}

// slidingCounter counts events in a sliding window.
type slidingCounter struct {
	counts [bucketCount]int
	// lastBucket is the number of the newest bucket. Buckets are numbered from time 0.
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

// advance clears the buckets that have left the window.
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
