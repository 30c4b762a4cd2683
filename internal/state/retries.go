package state

import (
	"cmp"
	"slices"
	"sync"
)

// MaxRetryServices is the maximum number of services for which the tables record reserved retries. It
// bounds the table.
const MaxRetryServices = 10_000

// ReserveRetries reserves retries of services before they are granted to hosts, so that each control host
// that leads later knows how many may have been granted.
type ReserveRetries struct {
	All []RetryReservation `cbor:"1,keyasint"`
}

// RetryReservation is a number of reserved retries of a service.
type RetryReservation struct {
	Service string `cbor:"1,keyasint"`
	Count   uint64 `cbor:"2,keyasint"`
}

func (ReserveRetries) kind() commandKind { return kindReserveRetries }

// RetriesResult is the result of ReserveRetries.
type RetriesResult struct{}

// retries is the table of reserved retries.
type retries struct {
	// mu guards the fields below.
	mu sync.RWMutex
	// totals holds for each service how many retries were ever reserved.
	totals map[string]uint64
}

func (r *retries) init() { r.totals = make(map[string]uint64) }

// sorted returns the totals by the name of the service.
func (r *retries) sorted() []RetryReservation {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var all []RetryReservation
	for service, total := range r.totals {
		all = append(all, RetryReservation{Service: service, Count: total})
	}
	slices.SortFunc(all, func(a, b RetryReservation) int { return cmp.Compare(a.Service, b.Service) })
	return all
}

// restore replaces the table by that of a snapshot. The caller holds mu.
func (r *retries) restore(all []RetryReservation) {
	clear(r.totals)
	for _, total := range all {
		r.totals[total.Service] = total.Count
	}
}

// ReservedRetries returns how many retries of each service were ever reserved, sorted by service.
func (m *Machine) ReservedRetries() []RetryReservation { return m.retries.sorted() }

// TotalReservedRetries returns how many retries of a service were ever reserved.
func (m *Machine) TotalReservedRetries(service string) uint64 {
	m.retries.mu.RLock()
	defer m.retries.mu.RUnlock()
	return m.retries.totals[service]
}

// reserveRetries applies a ReserveRetries command. The caller holds applyMu.
func (m *Machine) reserveRetries(c ReserveRetries) any {
	r := &m.retries
	r.mu.Lock()
	defer r.mu.Unlock()
	added := make(map[string]bool)
	for _, reservation := range c.All {
		if reservation.Service == "" || len(reservation.Service) > MaxNameBytes {
			return Rejected{Reason: ReasonInvalidName}
		}
		if _, isKnown := r.totals[reservation.Service]; !isKnown {
			added[reservation.Service] = true
		}
	}
	if len(r.totals)+len(added) > MaxRetryServices {
		return Rejected{Reason: ReasonTooManyServices}
	}
	for _, reservation := range c.All {
		r.totals[reservation.Service] += reservation.Count
	}
	return RetriesResult{}
}
