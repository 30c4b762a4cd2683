package state

import (
	"cmp"
	"maps"
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
	// Settled tells of which totals no retry counts any more, so that a control host which starts anew
	// does not count them.
	Settled []RetryReservation `cbor:"2,keyasint,omitempty"`
}

// RetryReservation is a number of reserved retries of a service.
type RetryReservation struct {
	Service string `cbor:"1,keyasint"`
	Count   uint64 `cbor:"2,keyasint"`
}

func (ReserveRetries) kind() commandKind { return kindReserveRetries }

// RetryTotals are the reserved retries of a service.
type RetryTotals struct {
	Service string `cbor:"1,keyasint"`
	// Reserved is how many retries were ever reserved, and Settled the part of them that counts no more.
	Reserved uint64 `cbor:"2,keyasint"`
	Settled  uint64 `cbor:"3,keyasint,omitempty"`
}

// RetriesResult is the result of ReserveRetries.
type RetriesResult struct{}

// retries is the table of reserved retries.
type retries struct {
	// mu guards the fields below.
	mu sync.RWMutex
	// totals holds the totals by service.
	totals map[string]RetryTotals
}

func (r *retries) init() { r.totals = make(map[string]RetryTotals) }

// sorted returns the totals by the name of the service.
func (r *retries) sorted() []RetryTotals {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.SortedFunc(maps.Values(r.totals), func(a, b RetryTotals) int { return cmp.Compare(a.Service, b.Service) })
}

// restore replaces the table by that of a snapshot. The caller holds mu.
func (r *retries) restore(all []RetryTotals) {
	clear(r.totals)
	for _, t := range all {
		r.totals[t.Service] = t
	}
}

// ReservedRetries returns the reserved retries of all services, sorted by service.
func (m *Machine) ReservedRetries() []RetryTotals { return m.retries.sorted() }

// ReservedRetriesOf returns the reserved retries of a service.
func (m *Machine) ReservedRetriesOf(service string) RetryTotals {
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
		t := r.totals[reservation.Service]
		t.Service = reservation.Service
		t.Reserved += reservation.Count
		r.totals[reservation.Service] = t
	}
	for _, settled := range c.Settled {
		if t, isKnown := r.totals[settled.Service]; isKnown {
			t.Settled = max(t.Settled, min(settled.Count, t.Reserved))
			r.totals[settled.Service] = t
		}
	}
	return RetriesResult{}
}
