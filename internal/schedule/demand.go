package schedule

import "time"

const (
	// rateSpan is the span over which rates are counted: about as long as a request stays,
	// and short against the time in which demand changes.
	rateSpan = 2 * time.Second
	// rateParts is into how many parts it is divided.
	rateParts = 8
	// stayWeight is the share of one request in the mean stay.
	stayWeight = 0.05
	// stayBounds is how many times longer or shorter than usual stays may be to count.
	stayBounds = 1.5
	// firstWeight is the share of one request in the mean time to the first event, which
	// follows the passes of the engines: some ten requests a host are a second.
	firstWeight = 0.1
)

// demand is what callers want of this host for a service.
type demand struct {
	// fresh counts the requests that came and could be on time, grants the places given.
	fresh, grants rate
	// stay is how long a request keeps its place on the mean, 0 if none has ended.
	stay time.Duration
	// first is how long it takes from a place to the first event on the mean, 0 if none has
	// come; firstSpread is the mean distance from that.
	first, firstSpread time.Duration
}

// stayed notes how long a request has kept its place.
func (d *demand) stayed(took time.Duration) {
	if d.stay == 0 {
		d.stay = took
		return
	}
	d.stay += time.Duration(stayWeight * float64(took-d.stay))
}

// began notes how long the first event took.
func (d *demand) began(took time.Duration) {
	if d.first == 0 {
		d.first = took
		return
	}
	off := took - d.first
	d.first += time.Duration(firstWeight * float64(off))
	d.firstSpread += time.Duration(firstWeight * float64(max(off, -off)-d.firstSpread))
}

// need is how many places those that can be on time keep taken, on the mean. Usual is how
// long a usual request stays: what was seen of late counts within stayBounds of it, since
// requests that stood still in an outage say nothing of those to come.
func (d *demand) need(usual, now time.Duration) float64 {
	stay := min(max(d.stay, time.Duration(float64(usual)/stayBounds)), time.Duration(float64(usual)*stayBounds))
	return d.fresh.rate(now) * stay.Seconds()
}

// rate counts events in a sliding span. The zero value is ready.
type rate struct {
	counts [rateParts]int
	// last is the number of the newest part, first that of the first event.
	last, first int64
	isBegun     bool
}

const rateStep = rateSpan / rateParts

func (r *rate) add(now time.Duration) {
	r.advance(now)
	if !r.isBegun {
		r.isBegun, r.first = true, r.last
	}
	r.counts[r.last%rateParts]++
}

// rate returns the events a second, over the span or the time since the first event.
func (r *rate) rate(now time.Duration) float64 {
	r.advance(now)
	if !r.isBegun {
		return 0
	}
	sum := 0
	for _, n := range r.counts {
		sum += n
	}
	parts := min(r.last-r.first+1, rateParts)
	return float64(sum) / (time.Duration(parts) * rateStep).Seconds()
}

// advance empties the parts that have left the span.
func (r *rate) advance(now time.Duration) {
	at := int64(now / rateStep)
	if at-r.last >= rateParts {
		r.counts = [rateParts]int{}
		r.last = at
		return
	}
	for r.last < at {
		r.last++
		r.counts[r.last%rateParts] = 0
	}
}

// flow is how much of something comes a second, by the last few times. The zero value is
// ready.
type flow struct {
	perSecond float64
	last      time.Duration
	isBegun   bool
}

// flowWeight is the share of the newest time: scarcity has to show within three.
const flowWeight = 0.5

// add takes in what came since the last time.
func (f *flow) add(n float64, now time.Duration) {
	if f.isBegun && now > f.last {
		f.perSecond += flowWeight * (n/(now-f.last).Seconds() - f.perSecond)
	}
	f.last, f.isBegun = now, true
}
