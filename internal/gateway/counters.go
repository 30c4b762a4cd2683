package gateway

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// counters are the gateway's metrics. Their names do not grow with callers or requests.
type counters struct {
	registry                                                     metrics.Registry
	budgetEmpty, queued, streamsCut, streamsResumed, callersGone metrics.Counter
	firstEvent, whole, queue                                     metrics.Timer
}

func newCounters(reg metrics.Registry) counters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("gateway."+name, reg) }
	timer := func(name string) metrics.Timer { return metrics.GetOrRegisterTimer("gateway."+name, reg) }
	return counters{
		registry:    reg,
		budgetEmpty: counter("retries.budget-empty"), queued: counter("queue.entered"), queue: timer("queue"), streamsCut: counter("streams.cut"),
		streamsResumed: counter("streams.resumed"), callersGone: counter("callers.gone"),
		firstEvent: timer("first-event"), whole: timer("answer"),
	}
}

func (c *counters) count(name string) {
	metrics.GetOrRegisterCounter("gateway."+name, c.registry).Inc(1)
}

func (c *counters) answered(status int, took time.Duration) {
	c.count("answers." + strconv.Itoa(status))
	c.whole.Update(took)
}

func (c *counters) failed(e *verdict.Error, status int) {
	c.count("failures." + string(e.Code) + "." + e.Verdict.String())
	c.count("answers." + strconv.Itoa(status))
}

func (c *counters) attemptFailed(err error) {
	e := verdict.Of(err)
	c.count("attempts-failed." + string(e.Code) + "." + e.Verdict.String())
}
