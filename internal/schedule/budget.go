package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
)

// CountRequest counts a caller's request to a service for its retry budget.
func (s *Scheduler) CountRequest(name string, now time.Duration) {
	s.service(name).budget.AddRequest(s.cfg.RetryBudget, now)
}

// TakeRetry takes one retry from the service's budget, and returns false if none is allowed now. The retry
// must be sent or returned.
func (s *Scheduler) TakeRetry(name string, now time.Duration) (retrybudget.Retry, bool) {
	sv := s.service(name)
	r, ok := sv.budget.Take(now)
	if ok {
		sv.retries.taken++
	} else {
		sv.retries.missed++
	}
	return r, ok
}

// ReturnRetry gives back a retry of which nothing was sent.
func (s *Scheduler) ReturnRetry(name string, r retrybudget.Retry, now time.Duration) {
	sv := s.service(name)
	sv.retries.returned++
	sv.budget.Return(r, now)
}

// SendRetry reports whether the first byte of a retry may be sent now, and counts it if so.
func (s *Scheduler) SendRetry(name string, r retrybudget.Retry, now time.Duration) bool {
	sv := s.service(name)
	if !sv.budget.MaySend(r, now) {
		return false
	}
	sv.retries.sent++
	return true
}

// DropRetries drops all that the budgets of this host have, because the host was suspended.
func (s *Scheduler) DropRetries() {
	for _, sv := range s.services {
		sv.budget.DropAll()
	}
}

// RetriesMayBeGranted reports whether it is worth waiting for a retry of a service.
func (s *Scheduler) RetriesMayBeGranted(name string, now time.Duration) bool {
	return s.service(name).budget.MayBeGranted(s.cfg.RetryBudget, now)
}

// RetryRequest tells for how many retries of a service this host is to ask.
type RetryRequest struct {
	Service string
	Count   int
}

// TakeRetryRequests returns the requests for retries that are to be sent now. Each must be answered by
// AddRetries or RetriesUnanswered.
func (s *Scheduler) TakeRetryRequests(now time.Duration) []RetryRequest {
	var out []RetryRequest
	for _, sv := range s.services {
		if n := sv.budget.Ask(s.cfg.RetryBudget, now); n > 0 {
			out = append(out, RetryRequest{Service: sv.name, Count: n})
		}
	}
	return out
}

// AddRetries records the answer to a request for retries that was sent at askedAt: how many were granted,
// and the time after which the host may ask again.
func (s *Scheduler) AddRetries(name string, n int, askedAt, again, now time.Duration) {
	sv := s.service(name)
	sv.retries.granted += n
	sv.budget.Granted(n, askedAt, again, now)
}

// RetriesUnanswered records that a request for retries was not answered.
func (s *Scheduler) RetriesUnanswered(name string, now time.Duration) {
	s.service(name).budget.Unanswered(now)
}

// retryCounts counts what became of retries. RetryReport describes the counts.
type retryCounts struct{ taken, missed, sent, returned, granted int }

// RetryReport tells what was decided on the retries of one service since the last report.
type RetryReport struct {
	Service string
	// Taken counts the retries that the budget allowed, and Missed those that it did not allow at once.
	// Sent counts those that were sent, Returned those that were given back unsent, and Granted those that
	// a control host has granted.
	Taken, Missed, Sent, Returned, Granted int
	// Own is how many retries the host's requests pay for now, and Unused how many granted ones it has.
	Own    float64
	Unused int
	// IsGrantable is set if the host may ask for more.
	IsGrantable bool
}

// TakeRetryReports returns a report of each service for which a retry was wanted or sent since the last
// call, sorted by name.
func (s *Scheduler) TakeRetryReports(now time.Duration) []RetryReport {
	var out []RetryReport
	for _, sv := range s.services {
		c := sv.retries
		if c == (retryCounts{}) {
			continue
		}
		sv.retries = retryCounts{}
		own, unused := sv.budget.Left(now)
		out = append(out, RetryReport{
			Service: sv.name, Taken: c.taken, Missed: c.missed, Sent: c.sent, Returned: c.returned, Granted: c.granted,
			Own: own, Unused: unused, IsGrantable: sv.budget.MayBeGranted(s.cfg.RetryBudget, now),
		})
	}
	slices.SortFunc(out, func(a, b RetryReport) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
