package routing

import (
	"slices"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// SetEvacuations makes m the list of evacuated data centres, unless the present one is at least as
// new. It reports whether it did. From then on Pick chooses no upstream in one of them.
func (r *Router) SetEvacuations(m *wire.Evacuations) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuations != nil && m.Index <= r.evacuations.Index {
		return false
	}
	r.evacuations = m
	return true
}

// Evacuations returns the list of evacuated data centres, nil if none is known. It must not be
// changed.
func (r *Router) Evacuations() *wire.Evacuations {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.evacuations
}

// MaySend reports whether a request may still be sent to an upstream that was chosen before. Its
// data centre may have been evacuated since.
func (r *Router) MaySend(u wire.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.isEvacuated(u.DataCentre)
}

// isEvacuated reports whether a data centre is evacuated. The caller holds mu.
func (r *Router) isEvacuated(dataCentre string) bool {
	return r.evacuations != nil && slices.Contains(r.evacuations.DataCentres, dataCentre)
}
