package schedule

import "time"

const (
	// rateWindow is the span over which rates are counted: about as long as a request stays,
	// and short against the time in which demand changes.
	rateWindow = 2 * time.Second
	// rateBuckets is into how many parts it is divided.
	rateBuckets = 8
	// serviceTimeWeight is the share of one request in the mean stay.
	serviceTimeWeight = 0.05
	// maxServiceTimeRatio is how many times longer or shorter than usual stays may be to count.
	maxServiceTimeRatio = 1.5
	// firstEventWeight is the share of one request in the mean time to the first event, which
	// follows the passes of the engines: some ten requests a host are a second.
	firstEventWeight = 0.1
)

// demand is what callers want of this host for a service.
type demand struct {
	// onTimeArrivals counts the requests that came and could be on time, grants the places given.
	onTimeArrivals, admissions eventRate
	// serviceTime is how long a request keeps its place on the mean, 0 if none has ended.
	serviceTime time.Duration
	// firstEvent is how long it takes from a place to the first event on the mean, 0 if none has
	// come; firstSpread is the mean distance from that.
	firstEvent, firstEventDeviation time.Duration
}

// recordServiceTime notes how long a request has kept its place.
func (d *demand) recordServiceTime(elapsed time.Duration) {
	if d.serviceTime == 0 {
		d.serviceTime = elapsed
		return
	}
	d.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-d.serviceTime))
}

// began notes how long the first event took.
func (d *demand) began(elapsed time.Duration) {
	if d.firstEvent == 0 {
		d.firstEvent = elapsed
		return
	}
	deviation := elapsed - d.firstEvent
	d.firstEvent += time.Duration(firstEventWeight * float64(deviation))
	d.firstEventDeviation += time.Duration(firstEventWeight * float64(max(deviation, -deviation)-d.firstEventDeviation))
}

// slotsNeeded is how many places those that can be on time keep taken, on the mean. Usual is how
// long a usual request stays: what was seen of late counts within stayBounds of it, since
// requests that stood still in an outage say nothing of those to come.
func (d *demand) slotsNeeded(expected, now time.Duration) float64 {
	mean := min(max(d.serviceTime, time.Duration(float64(expected)/maxServiceTimeRatio)), time.Duration(float64(expected)*maxServiceTimeRatio))
	return d.onTimeArrivals.perSecond(now) * mean.Seconds()
}

// eventRate counts events in a sliding span. The zero value is ready.
type eventRate struct {
	counts [rateBuckets]int
	// lastBucket is the number of the newest part, first that of the first event.
	lastBucket, firstBucket int64
	hasEvents               bool
}

const rateBucketSpan = rateWindow / rateBuckets

func (r *eventRate) add(now time.Duration) {
	r.advance(now)
	if !r.hasEvents {
		r.hasEvents, r.firstBucket = true, r.lastBucket
	}
	r.counts[r.lastBucket%rateBuckets]++
}

// perSecond returns the events a second, over the span or the time since the first event.
func (r *eventRate) perSecond(now time.Duration) float64 {
	r.advance(now)
	if !r.hasEvents {
		return 0
	}
	total := 0
	for _, n := range r.counts {
		total += n
	}
	buckets := min(r.lastBucket-r.firstBucket+1, rateBuckets)
	return float64(total) / (time.Duration(buckets) * rateBucketSpan).Seconds()
}

// advance empties the parts that have left the span.
func (r *eventRate) advance(now time.Duration) {
	current := int64(now / rateBucketSpan)
	if current-r.lastBucket >= rateBuckets {
		r.counts = [rateBuckets]int{}
		r.lastBucket = current
		return
	}
	for r.lastBucket < current {
		r.lastBucket++
		r.counts[r.lastBucket%rateBuckets] = 0
	}
}

// averageRate is how much of something comes a second, by the last few times. The zero value is
// ready.
type averageRate struct {
	perSecond  float64
	lastAt     time.Duration
	hasStarted bool
}

// averageRateWeight is the share of the newest time: scarcity has to show within three.
const averageRateWeight = 0.5

// add takes in what came since the last time.
func (f *averageRate) add(n float64, now time.Duration) {
	if f.hasStarted && now > f.lastAt {
		f.perSecond += averageRateWeight * (n/(now-f.lastAt).Seconds() - f.perSecond)
	}
	f.lastAt, f.hasStarted = now, true
}
