package gateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// counters are the gateway's metrics. The number of their names does not grow with callers or
// requests.
type counters struct {
	registry                                                             metrics.Registry
	budgetEmpty, queued, streamsInterrupted, streamsResumed, callersGone metrics.Counter
	firstEvent, eventGap, responseTime, queueWait                        *telemetry.Latency
}

func newCounters(reg metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("gateway."+name, reg) }
	latency := func(name string) *telemetry.Latency { return telemetry.GetOrRegisterLatency("gateway."+name, reg) }
	return counters{
		registry:    reg,
		budgetEmpty: counter("retries.budget-empty"), queued: counter("queue.entered"), queueWait: latency("queue"), streamsInterrupted: counter("streams.cut"),
		streamsResumed: counter("streams.resumed"), callersGone: counter("callers.gone"),
		firstEvent: latency("first-event"), eventGap: latency("gap"), responseTime: latency("answer"),
	}
}

func (c *counters) increment(name string) { c.add(name, 1) }

func (c *counters) add(name string, n int) {
	metrics.GetOrRegisterCounter("gateway."+name, c.registry).Inc(int64(n))
}

func (c *counters) recordResponse(status int, elapsed time.Duration) {
	c.increment("answers." + strconv.Itoa(status))
	c.responseTime.Add(elapsed)
}

func (c *counters) recordFailure(e *verdict.Error, status int) {
	c.increment("failures." + string(e.Code) + "." + e.Verdict.String())
	c.increment("answers." + strconv.Itoa(status))
}

func (c *counters) recordFailedAttempt(err error) {
	e := verdict.FromError(err)
	c.increment("attempts-failed." + string(e.Code) + "." + e.Verdict.String())
}
