package schedule

import "time"

const (
	// trendSpan is the length of the buckets in which arrivals are counted, and trendBuckets the
	// number of them. With few requests per second, the slope over less time is mostly noise.
	trendSpan    = 250 * time.Millisecond
	trendBuckets = 24
	// minTrendBuckets is how many buckets are needed to estimate a slope.
	minTrendBuckets = 8
)

// arrivalTrend estimates the level and the slope of arrivals over the last seconds. The zero value
// is ready to use.
type arrivalTrend struct {
	// counts holds the arrivals by bucket, modulo its length, up to the current bucket, and first
	// is the bucket of the first arrival. Buckets are numbered from time 0. The current bucket is
	// not complete.
	counts         [trendBuckets + 1]int
	current, first int64
	hasArrivals    bool
}

// add counts an arrival.
func (t *arrivalTrend) add(now time.Duration) {
	t.advance(now)
	if !t.hasArrivals {
		t.hasArrivals, t.first = true, t.current
	}
	t.counts[t.current%int64(len(t.counts))]++
}

// line returns the arrivals per second as a straight line, fitted by least squares to the complete
// buckets: the level now, and the change per second. The slope is 0 while too little is known.
func (t *arrivalTrend) line(now time.Duration) (level, slope float64) {
	t.advance(now)
	var n, sumX, sumY, sumXX, sumXY float64
	for i := max(t.first, t.current-trendBuckets); i < t.current; i++ {
		x := (time.Duration(i)*trendSpan + trendSpan/2 - now).Seconds()
		y := float64(t.counts[i%int64(len(t.counts))]) / trendSpan.Seconds()
		n, sumX, sumY, sumXX, sumXY = n+1, sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}
	switch {
	case !t.hasArrivals || n == 0:
		return 0, 0
	case n < minTrendBuckets:
		return sumY / n, 0
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return (sumY - slope*sumX) / n, slope
}

// advance clears the buckets that are too old.
func (t *arrivalTrend) advance(now time.Duration) {
	current := int64(now / trendSpan)
	if current-t.current >= int64(len(t.counts)) {
		t.counts, t.current = [trendBuckets + 1]int{}, current
		return
	}
	for t.current < current {
		t.current++
		t.counts[t.current%int64(len(t.counts))] = 0
	}
}
