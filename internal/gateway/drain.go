package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// drainMargin is how long before the end of the shutdown the requests without a response get one, so
	// that it still reaches their callers.
	drainMargin = 200 * time.Millisecond
	// drainInterval is how often a host that shuts down looks for requests whose time is over.
	drainInterval = 20 * time.Millisecond
	// drainRetryAfter is the Retry-After of a host that shuts down. Other hosts can serve the request at once.
	drainRetryAfter = 50 * time.Millisecond
	// serviceTimePercentile is the share of the attempts of a route that take no longer than is expected of
	// the next one.
	serviceTimePercentile = 0.95
	// serviceTimeSampleSize and serviceTimeSampleAlpha are the size of a route's sample of service times, and
	// by how much recent ones are preferred; see [metrics.NewExpDecaySample].
	serviceTimeSampleSize  = 64
	serviceTimeSampleAlpha = 0.015
)

// errDraining is the reason for ending a request whose response would come after the end of the shutdown.
var errDraining = errors.New("the host shuts down")

// stage is how far a request has come; zero until its route is known.
type stage uint8

const (
	// stageBody means that the body is being read.
	stageBody stage = iota + 1
	// stageWaiting means that no attempt is in progress.
	stageWaiting
	// stageSent means that the request was passed on and has no response.
	stageSent
	// stageAnswered means that the response to the caller has begun.
	stageAnswered
)

// drain ends the requests that a host which shuts down can't serve in time, each with a final response. Those that
// were not passed on have not run, and their callers can turn to another host.
type drain struct {
	// mu guards the fields below, and stage and isDrained of calls.
	mu    sync.Mutex
	calls map[*call]struct{}
	// endsAt is when all responses must have been sent; zero while the host doesn't shut down.
	endsAt time.Time
	// serviceTimes holds, by route, how long attempts took from the sending to the end of the response, in
	// nanoseconds.
	serviceTimes map[string]metrics.Sample
}

func newDrain() *drain {
	return &drain{calls: make(map[*call]struct{}), serviceTimes: make(map[string]metrics.Sample)}
}

// add registers a request until remove is called.
func (d *drain) add(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls[c] = struct{}{}
}

func (d *drain) remove(c *call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.calls, c)
}

// enter records that a request has come to a stage. It returns errDraining if the request is to end instead. A response
// that has begun goes on.
func (d *drain) enter(c *call, s stage) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.stage == stageAnswered {
		return nil
	}
	// A request is passed on under the same condition under which it may wait for that.
	if s != stageAnswered && (c.isDrained || d.isOver(c, min(s, stageWaiting), time.Now())) {
		return errDraining
	}
	c.stage = s
	return nil
}

// recordServiceTime records how long a successful attempt of a route took.
func (d *drain) recordServiceTime(route string, took time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	sample := d.serviceTimes[route]
	if sample == nil {
		sample = metrics.NewExpDecaySample(serviceTimeSampleSize, serviceTimeSampleAlpha)
		d.serviceTimes[route] = sample
	}
	sample.Update(int64(took))
}

// retainRoutes forgets the service times of routes that are in no configuration any more.
func (d *drain) retainRoutes(t *routetable.Table) {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := make(map[string]metrics.Sample, len(d.serviceTimes))
	for i := range t.Routes {
		if sample := d.serviceTimes[t.Routes[i].Name]; sample != nil {
			kept[t.Routes[i].Name] = sample
		}
	}
	d.serviceTimes = kept
}

// expectedTime returns how long an attempt is expected to take: as long as recent ones of its route, or the time that
// the operator aims at if there were none, but not beyond the deadline of the request. The caller holds mu.
func (d *drain) expectedTime(c *call, now time.Time) time.Duration {
	expected := c.route.TargetLatency
	if sample := d.serviceTimes[c.route.Name]; sample != nil {
		expected = time.Duration(sample.Percentile(serviceTimePercentile))
	}
	return min(expected, c.deadline.Sub(now))
}

// isOver reports whether a request at a stage must end now: it could not be served in time any more, or has no response
// at the end. The caller holds mu.
func (d *drain) isOver(c *call, s stage, now time.Time) bool {
	if d.endsAt.IsZero() {
		return false
	}
	left := d.endsAt.Sub(now) - drainMargin
	switch s {
	case stageBody:
		// After the response, the server reads the rest of the body for a moment.
		return left <= max(d.expectedTime(c, now), inbound.UnreadBodyTimeout)
	case stageWaiting:
		return left <= d.expectedTime(c, now)
	case stageSent:
		return left <= 0
	}
	return false
}

// begin sets the end, which is the deadline of ctx if it has one. From then on requests that can't be served in time
// are refused.
func (d *drain) begin(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.endsAt, _ = ctx.Deadline()
}

// run ends the requests whose time is over, until ctx ends.
func (d *drain) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, c := range d.takeOver() {
			c.endDrained()
		}
		pause.For(ctx, drainInterval)
	}
}

// takeOver marks the requests whose time is over and returns them.
func (d *drain) takeOver() []*call {
	d.mu.Lock()
	defer d.mu.Unlock()
	var over []*call
	now := time.Now()
	for c := range d.calls {
		if !c.isDrained && d.isOver(c, c.stage, now) {
			c.isDrained = true
			over = append(over, c)
		}
	}
	return over
}

// endDrained ends what the request waits for.
func (c *call) endDrained() {
	c.stop(errDraining)
	if !c.hasBody.Load() {
		_ = c.control.SetReadDeadline(time.Unix(1, 0))
	}
}

// drainingError refuses a request that has not run.
func drainingError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeDraining, errDraining.Error()).WithRetryAfter(drainRetryAfter)
}
