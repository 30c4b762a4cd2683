package retrybudget

import "time"

const (
	// creditBuckets is the number of buckets in which credits of about the same age are added up.
	creditBuckets = 20
	bucketWidth   = Lifetime / creditBuckets
)

// credits holds credits for fractions of retries, each of which ends no later than Lifetime after it was
// added.
type credits struct {
	buckets [creditBuckets]float64
	// last is the number of the newest bucket. Buckets are numbered from time 0.
	last int64
}

func (c *credits) add(credit float64, now time.Duration) {
	c.advance(now)
	c.buckets[c.last%creditBuckets] += credit
}

func (c *credits) sum(now time.Duration) float64 {
	c.advance(now)
	total := 0.0
	for _, credit := range c.buckets {
		total += credit
	}
	return total
}

// takeOne takes the credits for one retry, the oldest first. It returns until when the retry may be sent,
// and false if there is not enough.
func (c *credits) takeOne(now time.Duration) (until time.Duration, ok bool) {
	if c.sum(now) < 1 {
		return 0, false
	}
	missing := 1.0
	for n := max(c.last-creditBuckets+1, 0); missing > 0 && n <= c.last; n++ {
		credit := &c.buckets[n%creditBuckets]
		if until == 0 && *credit > 0 {
			until = time.Duration(n+creditBuckets) * bucketWidth
		}
		used := min(*credit, missing)
		*credit -= used
		missing -= used
	}
	return until, true
}

// advance removes the credits that have ended.
func (c *credits) advance(now time.Duration) {
	current := int64(now / bucketWidth)
	if current-c.last >= creditBuckets {
		*c = credits{last: current}
		return
	}
	for c.last < current {
		c.last++
		c.buckets[c.last%creditBuckets] = 0
	}
}
