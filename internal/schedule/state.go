package schedule

import "time"

// ServiceState summarises what a host knows of a service, so that logs can explain a decision.
type ServiceState struct {
	// Upstreams counts the upstreams that announce themselves as serving, Reporting those with
	// a fresh load report, and Serving those in groups that serve. OldestReport is the age of
	// the oldest fresh load report.
	Upstreams, Reporting, Serving int
	OldestReport                  time.Duration
	// Groups counts the known groups, ClosedGroups those that do not serve.
	Groups, ClosedGroups int
	// Capacity is the total number of slots at the engines that serve, EstimatedLoad the number
	// of requests there.
	Capacity, EstimatedLoad float64
	// Waiting counts the requests queued at this host, and LateAttempts its attempts that could
	// no longer be on time when they got their slot. OnTimeDemand is the mean number of slots
	// occupied by requests that can be on time.
	Waiting, LateAttempts int
	OnTimeDemand          float64
	// FirstEvent is the expected time from reserving a slot to the first event, ServiceTime that for
	// which a request holds its slot.
	FirstEvent, ServiceTime time.Duration
	// PromisedReturns counts the returns to come that this host has planned.
	PromisedReturns int
}

// State returns a summary of what is known of a service.
func (s *Scheduler) State(name string, now time.Duration) ServiceState {
	sv := s.service(name)
	out := ServiceState{
		Upstreams: len(sv.active), Groups: len(sv.groups), Waiting: len(sv.waiters), LateAttempts: sv.late,
	}
	for _, g := range sv.groups {
		if g.isClosed {
			out.ClosedGroups++
		}
	}
	for _, u := range sv.active {
		if u.load.isFresh(now) {
			out.Reporting++
			out.OldestReport = max(out.OldestReport, now-u.load.receivedAt)
		}
		if sv.serves(u, now) {
			out.Serving++
			out.EstimatedLoad += s.estimatedLoad(u, now)
		}
	}
	if sv.engineSpec != nil {
		out.Capacity, _ = s.capacity(sv, now)
		out.FirstEvent, out.ServiceTime = sv.timeToFirstEvent(), sv.meanServiceTime()
		out.PromisedReturns = sv.returns.pending(now)
		out.OnTimeDemand = sv.demand.slotsNeeded(sv.demand.onTimeArrivals.perSecond(now), sv.expectedServiceTime())
	}
	return out
}
