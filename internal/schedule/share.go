package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// equalPart is the part of the slots that all hosts share equally. It bounds how little a host
	// gets whose callers have just come, or whose demand the others don't know.
	equalPart = 0.3
	// maxDemandAge is the age up to which the demand at all hosts is used. It covers several reports.
	maxDemandAge = 3 * time.Second
	// demandHold is how long a total keeps a lower one out. Control hosts that reach only some of the
	// entry hosts report lower totals.
	demandHold = 1500 * time.Millisecond
)

// totalDemand is the demand for a service at all hosts together. The zero value means unknown.
type totalDemand struct {
	// perSecond is the highest total that was reported within demandHold before at.
	perSecond float64
	at        time.Duration
}

func (d *totalDemand) set(perSecond float64, now time.Duration) {
	if perSecond >= d.perSecond || now-d.at > demandHold {
		d.perSecond, d.at = perSecond, now
	}
}

// Demands returns the demand at this host for each service with engines, sorted by name: the requests a
// second that arrive and can still be on time.
func (s *Scheduler) Demands(now time.Duration) []wire.ServiceDemand {
	var out []wire.ServiceDemand
	for _, sv := range s.services {
		if perSecond := sv.demand.onTimeArrivals.perSecond(now); sv.engineSpec != nil && perSecond > 0 {
			out = append(out, wire.ServiceDemand{Service: sv.name, PerSecond: perSecond})
		}
	}
	slices.SortFunc(out, func(a, b wire.ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// SetTotalDemands records the demand at all hosts together, this one included. Services that it doesn't
// name keep theirs.
func (s *Scheduler) SetTotalDemands(all []wire.ServiceDemand, now time.Duration) {
	for _, d := range all {
		if sv := s.services[d.Service]; sv != nil {
			sv.totalDemand.set(d.PerSecond, now)
		}
	}
}

// shareOf returns the part of the slots of a service that this host may use. One part of the slots is
// shared equally, the other by demand, so that a host to which most callers come uses what the others
// don't need. The shares of all hosts add up to about 1. Without a recent total all hosts have the same.
func (s *Scheduler) shareOf(sv *service, now time.Duration) float64 {
	equal := 1 / float64(s.hosts)
	if sv.totalDemand.perSecond <= 0 || now-sv.totalDemand.at > maxDemandAge {
		return equal
	}
	ownPart := min(sv.demand.onTimeArrivals.perSecond(now)/sv.totalDemand.perSecond, 1)
	return equalPart*equal + (1-equalPart)*ownPart
}
