package retrybudget

import (
	"math"
	"time"
)

// Ledger counts the extra retries that were granted, so that no more than Params.Extra of a service are
// granted within Params.Hold. Each control host has one.
//
// Reservations are recorded in the replicated log before they are granted, as a total for each service
// that only grows. Invariant: when a reservation is confirmed, all reservations before it in the log have
// been observed by this Ledger, each no earlier than it was proposed. Each of them whose retries may
// still arrive in a window with the new ones therefore counts, also those of other control hosts.
type Ledger struct {
	params   Params
	services map[string]*reservations
}

// reservations are those of one service.
type reservations struct {
	// total is the total that was observed last, and settled the part of it that counts for no control host.
	total, settled uint64
	recent         slidingCounter
	// proposed is how many retries this control host has proposed and not yet confirmed or abandoned.
	proposed int
}

// NewLedger returns a Ledger that has observed nothing.
func NewLedger(p Params) *Ledger { return &Ledger{params: p, services: make(map[string]*reservations)} }

// Extra returns the number of retries that may be granted within Params.Hold.
func (l *Ledger) Extra() int { return int(min(max(l.params.Extra, 0), math.MaxInt32)) }

// Observe records the total of the reservations of a service in the log, and the part of it that is
// settled. What has come since the last call counts from now on, since it is not known when it was
// reserved; at the first call, all that is not settled.
func (l *Ledger) Observe(service string, total, settled uint64, now time.Duration) {
	r := l.services[service]
	if r == nil {
		r = &reservations{total: settled}
		l.services[service] = r
	}
	r.settled = max(r.settled, settled)
	if total <= r.total {
		return
	}
	r.recent.add(int(min(total-r.total, math.MaxInt32)), l.params.Hold(), now)
	r.total = total
}

// Unsettled returns the total of a service that is to be recorded as settled, because none of it counts
// any more. It returns false if there is nothing to record.
func (l *Ledger) Unsettled(service string, now time.Duration) (total uint64, ok bool) {
	r := l.services[service]
	if r == nil || r.settled == r.total || r.proposed > 0 || r.recent.sum(l.params.Hold(), now) > 0 {
		return 0, false
	}
	return r.total, true
}

// Propose returns how many of the wanted retries may be proposed for reservation. Each is ended by
// Confirm or Abandon. The service must have been observed.
func (l *Ledger) Propose(service string, wanted int, now time.Duration) int {
	r := l.services[service]
	n := min(max(wanted, 0), max(l.free(r, now), 0))
	r.proposed += n
	return n
}

func (l *Ledger) free(r *reservations, now time.Duration) int {
	return l.Extra() - r.recent.sum(l.params.Hold(), now) - r.proposed
}

// Confirm returns how many of n proposed retries may be granted, after their reservation was applied and
// observed. It is less than n if other control hosts have reserved retries meanwhile.
func (l *Ledger) Confirm(service string, n int, now time.Duration) int {
	r := l.services[service]
	r.proposed -= n
	excess := r.recent.sum(l.params.Hold(), now) - l.Extra()
	return max(n-max(excess, 0), 0)
}

// Abandon records that it is not known whether n proposed retries were reserved. They are not granted.
func (l *Ledger) Abandon(service string, n int) { l.services[service].proposed -= n }

// Usage returns how many retries of a service count as granted.
func (l *Ledger) Usage(service string, now time.Duration) int {
	if r := l.services[service]; r != nil {
		return r.recent.sum(l.params.Hold(), now)
	}
	return 0
}
