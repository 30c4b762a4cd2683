package schedule

import "time"

const (
	// rateWindow is the sliding window over which event rates are counted: about the time for
	// which a request holds a slot, and short compared with changes in demand.
	rateWindow = 2 * time.Second
	// rateBuckets is the number of buckets that rateWindow is divided into.
	rateBuckets = 8
	// serviceTimeWeight is the weight of one request in the moving average of service times.
	serviceTimeWeight = 0.05
	// maxServiceTimeRatio bounds the measured service time to this factor above or below the
	// expected one.
	maxServiceTimeRatio = 1.5
	// firstEventWeight is the weight of one request in the moving average of times to the first
	// event. The average has to follow changes in the engines' pass times, and does so within
	// about a second at a host that gets ten requests per second.
	firstEventWeight = 0.1
)

// demand measures what callers ask of a service through this host.
type demand struct {
	// onTimeArrivals counts arriving requests that could still be on time, admissions the slots
	// reserved.
	onTimeArrivals, admissions eventRate
	// serviceTime is the mean time for which a request holds its slot, 0 if none has ended.
	serviceTime time.Duration
	// firstEvent is the mean time from reserving a slot to the first event, 0 if there was none
	// yet. firstEventDeviation is the mean absolute deviation from it.
	firstEvent, firstEventDeviation time.Duration
}

// recordServiceTime updates the mean service time with that of a finished request.
func (d *demand) recordServiceTime(elapsed time.Duration) {
	if d.serviceTime == 0 {
		d.serviceTime = elapsed
		return
	}
	d.serviceTime += time.Duration(serviceTimeWeight * float64(elapsed-d.serviceTime))
}

// began updates the mean time to the first event with that of another request.
func (d *demand) began(elapsed time.Duration) {
	if d.firstEvent == 0 {
		d.firstEvent = elapsed
		return
	}
	deviation := elapsed - d.firstEvent
	d.firstEvent += time.Duration(firstEventWeight * float64(deviation))
	d.firstEventDeviation += time.Duration(firstEventWeight * float64(max(deviation, -deviation)-d.firstEventDeviation))
}

// slotsNeeded returns how many slots are occupied on average by requests that arrive at the given
// rate per second. The measured service time is limited to a factor of maxServiceTimeRatio around
// the expected one, because requests that were stalled in an outage don't predict later ones.
func (d *demand) slotsNeeded(perSecond float64, expected time.Duration) float64 {
	mean := min(max(d.serviceTime, time.Duration(float64(expected)/maxServiceTimeRatio)), time.Duration(float64(expected)*maxServiceTimeRatio))
	return perSecond * mean.Seconds()
}

// eventRate counts events in a sliding window. The zero value is ready to use.
type eventRate struct {
	counts [rateBuckets]int
	// lastBucket is the number of the newest bucket, firstBucket that of the first event.
	// Buckets are numbered from time 0.
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

// perSecond returns the number of events per second, over the window or the time since the
// first event if that is shorter.
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

// advance clears the buckets that have left the window.
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

// averageRate is a moving average of an amount per second. The zero value is ready to use.
type averageRate struct {
	perSecond  float64
	lastAt     time.Duration
	hasStarted bool
}

// averageRateWeight is the weight of the newest interval. It is high because a shortage of
// slots has to show within three reports.
const averageRateWeight = 0.5

// add records the amount that came since the previous call.
func (r *averageRate) add(n float64, now time.Duration) {
	if r.hasStarted && now > r.lastAt {
		r.perSecond += averageRateWeight * (n/(now-r.lastAt).Seconds() - r.perSecond)
	}
	r.lastAt, r.hasStarted = now, true
}
