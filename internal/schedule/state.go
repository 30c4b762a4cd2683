package schedule

import "time"

// ServiceState is what a host knows of a service, for logs: the grounds of a decision.
type ServiceState struct {
	// Upstreams serve by what they say; Heard are those whose load counts, the oldest of
	// them OldestLoad old; Serving are in groups that serve.
	Upstreams, Reporting, Serving int
	OldestReport                  time.Duration
	// Groups are known, Closed of them do not serve.
	Groups, ClosedGroups int
	// Capacity are those of the engines that serve, Taken the requests there.
	Capacity, EstimatedLoad float64
	// Waiting are the requests that wait here, Late this host's attempts that were late when
	// they got their place, Need the places that those on time keep taken.
	Waiting, LateAttempts int
	OnTimeDemand          float64
}

// State returns what is known of a service.
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
		out.OnTimeDemand = sv.demand.slotsNeeded(sv.expectedServiceTime(), now)
	}
	return out
}
