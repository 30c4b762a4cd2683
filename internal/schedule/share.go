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
	// own is the demand that this host has reported last.
	own float64
	// perSecond is the highest total that was reported within demandHold before at, and ownPart the part
	// of it that comes from this host.
	perSecond, ownPart float64
	at                 time.Duration
}

// set records a total. The part of this host follows from what it has reported and not from its present
// demand: where demand rises at all hosts, their parts of an older total would add up to more than 1.
func (d *totalDemand) set(perSecond float64, now time.Duration) {
	if perSecond > 0 && (perSecond >= d.perSecond || now-d.at > demandHold) {
		d.perSecond, d.ownPart, d.at = perSecond, min(d.own/perSecond, 1), now
	}
}

// ReportDemands returns the demand at this host for each service with engines, sorted by name, to be
// included in the next totals: the requests a second that arrive and can still be on time.
func (s *Scheduler) ReportDemands(now time.Duration) []wire.ServiceDemand {
	var out []wire.ServiceDemand
	for _, sv := range s.services {
		if sv.engineSpec == nil {
			continue
		}
		sv.totalDemand.own = sv.demand.onTimeArrivals.perSecond(now)
		if sv.totalDemand.own > 0 {
			out = append(out, wire.ServiceDemand{Service: sv.name, PerSecond: sv.totalDemand.own})
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
// don't need. The shares of all hosts add up to 1 as far as they have the same total. Without a recent total all hosts have the same.
func (s *Scheduler) shareOf(sv *service, now time.Duration) float64 {
	equal := 1 / float64(s.hosts)
	if sv.totalDemand.perSecond <= 0 || now-sv.totalDemand.at > maxDemandAge {
		return equal
	}
	return equalPart*equal + (1-equalPart)*sv.totalDemand.ownPart
}
