package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// evacuations is what the host knows about evacuated data centres. Gateway.mu guards it.
type evacuations struct {
	// index is the index of the list in force; lists with lower indexes are out of date.
	index uint64
	// dataCentres are the evacuated data centres.
	dataCentres []string
	// closedServices has the services whose upstreams are all in evacuated data centres.
	closedServices map[string]bool
}

// SetEvacuations puts a list of evacuated data centres into force, unless the present one is at
// least as new. When it returns, no request is sent to their upstreams whose first byte was not
// sent before. source names the host that the list is from.
func (g *Gateway) SetEvacuations(source string, m *wire.Evacuations) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.Index <= g.evacuations.index {
		return
	}
	g.cfg.Log.Warn("evacuations in force", "evacuated", m.DataCentres, "before", g.evacuations.dataCentres,
		"index", m.Index, "from", source)
	for _, before := range g.evacuations.dataCentres {
		if !slices.Contains(m.DataCentres, before) {
			g.scheduler.MarkPossiblyCold(before, g.now())
		}
	}
	g.evacuations.index, g.evacuations.dataCentres = m.Index, m.DataCentres
	g.counts.increment("evacuations.changed")
	metrics.GetOrRegisterGauge("gateway.evacuations.data-centres", g.cfg.Metrics).Update(int64(len(m.DataCentres)))
	g.updateUpstreams()
}

// withoutEvacuated returns the upstreams that are not in evacuated data centres, and records which
// services have none left. The caller holds mu.
func (g *Gateway) withoutEvacuated(serving map[string][]registry.Upstream) map[string][]registry.Upstream {
	e := &g.evacuations
	e.closedServices = nil
	if len(e.dataCentres) == 0 {
		return serving
	}
	e.closedServices = make(map[string]bool)
	left := make(map[string][]registry.Upstream, len(serving))
	for name, all := range serving {
		left[name] = slices.DeleteFunc(slices.Clone(all), func(u registry.Upstream) bool {
			return slices.Contains(e.dataCentres, u.DataCentre)
		})
		if len(left[name]) == 0 {
			e.closedServices[name] = true
		}
	}
	return left
}

// refuseWaitersOfClosed refuses the queued requests to services that have no upstream left. The
// caller holds mu.
func (g *Gateway) refuseWaitersOfClosed() {
	for name := range g.evacuations.closedServices {
		g.deliver(g.scheduler.RefuseEvacuated(name, g.now()))
	}
}

// evacuatedDecision refuses a request to a service whose upstreams are all in evacuated data centres.
// The caller is told to retry as late as it accepts, because evacuations take minutes.
func evacuatedDecision(deadline time.Time) schedule.Decision {
	return schedule.Decision{Reason: schedule.Evacuated, RetryAfter: schedule.MaxRetryAfter(time.Until(deadline))}
}

// refuseEvacuated returns the error of a request to a plain service whose upstreams are all in
// evacuated data centres.
func (g *Gateway) refuseEvacuated(ctx context.Context) error {
	g.counts.increment("refused." + schedule.Evacuated.Name())
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, schedule.Evacuated.String()).WithRetryAfter(RefusedRetryAfter)
	}
	return overloadError(evacuatedDecision(deadline))
}

// runsInEvacuated reports whether an attempt runs at an upstream in an evacuated data centre and the
// state of its group is not known any more. Such an attempt may finish and is not cancelled as one of
// a group that does not serve. The caller holds mu.
func (g *Gateway) runsInEvacuated(t *schedule.Ticket) bool {
	return slices.Contains(g.evacuations.dataCentres, t.DataCentre()) && !t.IsGroupKnown()
}
