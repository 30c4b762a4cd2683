package retrybudget

import "time"

// spanBuckets is the number of buckets that the span of a slidingCounter is divided into.
const spanBuckets = 40

// slidingCounter counts events in a sliding span of time. It counts each for at least the span, and for
// at most a bucket's width longer. The span must be the same in all calls.
type slidingCounter struct {
	counts [spanBuckets + 1]int
	// last is the number of the newest bucket. Buckets are numbered from time 0.
	last int64
}

// add counts n events.
func (c *slidingCounter) add(n int, span, now time.Duration) {
	c.advance(span, now)
	c.counts[c.last%int64(len(c.counts))] += n
}

// sum returns the number of events in the span.
func (c *slidingCounter) sum(span, now time.Duration) int {
	c.advance(span, now)
	total := 0
	for _, n := range c.counts {
		total += n
	}
	return total
}

// advance clears the buckets that have left the span.
func (c *slidingCounter) advance(span, now time.Duration) {
	current := int64(now / max(span/spanBuckets, 1))
	if current-c.last >= int64(len(c.counts)) {
		*c = slidingCounter{last: current}
		return
	}
	for c.last < current {
		c.last++
		c.counts[c.last%int64(len(c.counts))] = 0
	}
}
