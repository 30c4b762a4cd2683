package schedule

import (
	"cmp"
	"slices"
	"time"
)

// CountRequest counts a caller's request to a service for its retry budget.
func (s *Scheduler) CountRequest(name string, now time.Duration) {
	s.service(name).budget.AddRequest(s.cfg.RetryBudget, now)
}

// TakeRetry takes one retry from the service's budget, and reports whether the budget allows
// it.
func (s *Scheduler) TakeRetry(name string, now time.Duration) bool {
	sv := s.service(name)
	ok := sv.budget.Take(s.cfg.RetryBudget, s.hosts, now)
	if ok {
		sv.retries.taken++
	} else {
		sv.retries.refused++
	}
	return ok
}

// CountRetrySent counts a retry whose first byte is sent now.
func (s *Scheduler) CountRetrySent(name string) { s.service(name).retries.sent++ }

// retryCounts counts decisions on retries: how many the budget allowed and refused, and how many were
// sent.
type retryCounts struct{ taken, refused, sent int }

// RetryReport tells what was decided on the retries of one service since the last report, and why.
type RetryReport struct {
	Service string
	// Taken and Refused count the retries that the budget allowed and refused, Sent those that were
	// sent.
	Taken, Refused, Sent int
	// Requests and Spent are the requests and the retries in the window of the budget.
	Requests, Spent int
	// Hosts is the number of hosts that the budget is divided by, and HostsAge how long ago it was set.
	Hosts    int
	HostsAge time.Duration
}

// TakeRetryReports returns a report of each service for which a retry was wanted or sent since the last
// call, sorted by name.
func (s *Scheduler) TakeRetryReports(now time.Duration) []RetryReport {
	var out []RetryReport
	for _, sv := range s.services {
		if sv.retries == (retryCounts{}) {
			continue
		}
		requests, spent := sv.budget.Usage(s.cfg.RetryBudget, now)
		out = append(out, RetryReport{
			Service: sv.name, Taken: sv.retries.taken, Refused: sv.retries.refused, Sent: sv.retries.sent,
			Requests: requests, Spent: spent, Hosts: s.hosts, HostsAge: now - s.hostsSetAt,
		})
		sv.retries = retryCounts{}
	}
	slices.SortFunc(out, func(a, b RetryReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
