package gateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/telemetry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// counters are the gateway's metrics. Their names do not grow with callers or requests.
type counters struct {
	registry                                                     metrics.Registry
	budgetEmpty, queued, streamsCut, streamsResumed, callersGone metrics.Counter
	firstEvent, gap, whole, queue                                *telemetry.Latency
}

func newCounters(reg metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("gateway."+name, reg) }
	latency := func(name string) *telemetry.Latency { return telemetry.GetLatency("gateway."+name, reg) }
	return counters{
		registry:    reg,
		budgetEmpty: counter("retries.budget-empty"), queued: counter("queue.entered"), queue: latency("queue"), streamsCut: counter("streams.cut"),
		streamsResumed: counter("streams.resumed"), callersGone: counter("callers.gone"),
		firstEvent: latency("first-event"), gap: latency("gap"), whole: latency("answer"),
	}
}

func (c *counters) count(name string) {
	metrics.GetOrRegisterCounter("gateway."+name, c.registry).Inc(1)
}

func (c *counters) answered(status int, took time.Duration) {
	c.count("answers." + strconv.Itoa(status))
	c.whole.Add(took)
}

func (c *counters) failed(e *verdict.Error, status int) {
	c.count("failures." + string(e.Code) + "." + e.Verdict.String())
	c.count("answers." + strconv.Itoa(status))
}

func (c *counters) attemptFailed(err error) {
	e := verdict.FromError(err)
	c.count("attempts-failed." + string(e.Code) + "." + e.Verdict.String())
}
