package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sassafraspost/sassafraspost/test/local"
)

const (
	// evacuationBound is how long after the acknowledgement of an evacuation an upstream of the data
	// centre may still get requests. After the faults it is quietEvacuationBound.
	evacuationBound, quietEvacuationBound = 5 * time.Second, 2 * time.Second
	// evacuationWatch is how long the upstreams are watched after the bound.
	evacuationWatch = 2 * time.Second
	// maxServingTime is the maximum time between two evacuations of the series.
	maxServingTime = 2 * time.Second
	// reconnectTime is how long after the end of its fault a host may not be connected to the control
	// hosts. It covers some failed dials.
	reconnectTime = 2 * time.Second
	// orderTimeout bounds the time until an order is acknowledged after all faults.
	orderTimeout = 60 * time.Second
)

// spread returns a layout with two data centres in place of one, and about as many upstreams and entry
// hosts together.
func spread(l local.Layout) local.Layout {
	l.DataCentres = []string{"centre-a", "centre-b"}
	for _, n := range []*int{&l.Entries, &l.Engines, &l.Services} {
		*n = (*n + 1) / 2
	}
	return l
}

// evacuator evacuates the data centres of a system one after the other with the operators' tool, and
// checks which requests their upstreams get.
type evacuator struct {
	s   *local.System
	r   *record
	rng *rand.Rand
}

func newEvacuator(seed uint64, s *local.System, r *record) *evacuator {
	return &evacuator{s: s, r: r, rng: rand.New(rand.NewPCG(seed, ^seed))}
}

// run evacuates until ctx ends. The last evacuation is ended within runCtx.
func (e *evacuator) run(ctx, runCtx context.Context) {
	for ctx.Err() == nil {
		dataCentre := e.s.Layout.DataCentres[e.rng.IntN(len(e.s.Layout.DataCentres))]
		if e.order(ctx, "start", dataCentre) {
			acknowledged := time.Now()
			e.r.count("evacuations")
			e.watch(ctx, dataCentre, acknowledged.Add(evacuationBound), true)
		}
		// An order that was not acknowledged may have been accepted all the same.
		endCtx, cancel := context.WithTimeout(runCtx, orderTimeout)
		if !e.order(endCtx, "end", dataCentre) {
			e.r.addViolation(Evacuated, "the evacuation of %s can't be ended", dataCentre)
		}
		cancel()
		sleep(ctx, time.Duration(e.rng.Float64()*float64(maxServingTime)))
	}
}

// order gives an order until it is acknowledged. It returns false if ctx ends before.
func (e *evacuator) order(ctx context.Context, action, dataCentre string) bool {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, toolTimeout)
		_, err := e.s.RunCLI(call, "evacuate", action, dataCentre)
		cancel()
		if err == nil {
			return true
		}
		e.r.count("orders asked again")
		sleep(ctx, retryPause)
	}
	return false
}

// watch reads until evacuationWatch after the bound when the upstreams of a data centre last began a
// request, and records a violation if that was after the bound. If isDisturbed is set, requests count
// only if the hosts that can have sent them were connected then.
func (e *evacuator) watch(ctx context.Context, dataCentre string, bound time.Time, isDisturbed bool) {
	excused := map[string]int64{}
	for until := bound.Add(evacuationWatch); ctx.Err() == nil && time.Now().Before(until); sleep(ctx, revisionPollInterval) {
		for _, a := range e.s.Agents {
			if a.DataCentre != dataCentre || a.Upstream.Name == groupStandIn {
				continue
			}
			report, err := local.Executions(ctx, a.Upstream)
			last := time.UnixMilli(report.LastStart)
			if err != nil || !last.After(bound) || excused[a.Name] == report.LastStart {
				continue
			}
			if isDisturbed && !e.r.wereConnected(e.senders(a), last, reconnectTime) {
				excused[a.Name] = report.LastStart
				e.r.count("late requests excused")
				continue
			}
			e.r.addViolation(Evacuated, "%s began a request %s after the bound", a.Upstream.Name, last.Sub(bound).Round(time.Millisecond))
			return
		}
	}
}

// senders returns the names of the hosts through which requests and orders come to an upstream: its
// agent, the entry hosts of its data centre and the control hosts.
func (e *evacuator) senders(agent *local.Host) []string {
	names := []string{agent.Name}
	for _, h := range e.s.Entries {
		if h.DataCentre == agent.DataCentre {
			names = append(names, h.Name)
		}
	}
	for _, h := range e.s.Control {
		names = append(names, h.Name)
	}
	return names
}

// checkUndisturbed evacuates each data centre once more after all faults, when no request is excused.
func (e *evacuator) checkUndisturbed(ctx context.Context) {
	for _, dataCentre := range e.s.Layout.DataCentres {
		orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		if !e.order(orderCtx, "start", dataCentre) {
			e.r.addViolation(Evacuated, "the evacuation of %s is not acknowledged after the last fault", dataCentre)
		}
		e.watch(ctx, dataCentre, time.Now().Add(quietEvacuationBound), false)
		if !e.order(orderCtx, "end", dataCentre) {
			e.r.addViolation(Evacuated, "the evacuation of %s can't be ended after the last fault", dataCentre)
		}
		cancel()
	}
}
