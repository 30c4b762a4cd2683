package state

import (
	"cmp"
	"slices"
	"sync"
	"unicode/utf8"
)

// MaxDataCentres is the maximum number of data centres for which the tables record orders. It
// bounds the table if the settings name no data centres, so that any name is accepted.
const MaxDataCentres = 1000

// Evacuation is the state of one data centre in the table of evacuations.
type Evacuation struct {
	DataCentre  string `cbor:"1,keyasint"`
	IsEvacuated bool   `cbor:"2,keyasint,omitempty"`
	// Ordered is the index of the log entry with the last acknowledged order, and Changed that
	// of the last one that had an effect; zero if there was none.
	Ordered uint64 `cbor:"3,keyasint"`
	Changed uint64 `cbor:"4,keyasint,omitempty"`
}

// Evacuations is the table of evacuations. Its lists must not be changed.
type Evacuations struct {
	// Index is the index of the log entry with the last change of the table; zero if there was
	// none.
	Index uint64 `cbor:"1,keyasint,omitempty"`
	// All has the data centres for which there was an order, sorted by name. Those that are not
	// evacuated any more stay, because later orders are compared with their Ordered.
	All []Evacuation `cbor:"2,keyasint,omitempty"`
}

// Evacuated returns the names of the evacuated data centres in ascending order.
func (e Evacuations) Evacuated() []string {
	var names []string
	for _, d := range e.All {
		if d.IsEvacuated {
			names = append(names, d.DataCentre)
		}
	}
	return names
}

// Of returns the state of a data centre. It is zero apart from the name if there was no order.
func (e Evacuations) Of(dataCentre string) Evacuation {
	i, ok := e.find(dataCentre)
	if !ok {
		return Evacuation{DataCentre: dataCentre}
	}
	return e.All[i]
}

func (e Evacuations) find(dataCentre string) (int, bool) {
	return slices.BinarySearchFunc(e.All, dataCentre, func(d Evacuation, name string) int {
		return cmp.Compare(d.DataCentre, name)
	})
}

// with returns the table after an order. The receiver does not change.
func (e Evacuations) with(d Evacuation) Evacuations {
	all := slices.Clone(e.All)
	if i, ok := e.find(d.DataCentre); ok {
		all[i] = d
	} else {
		all = slices.Insert(all, i, d)
	}
	return Evacuations{Index: max(e.Index, d.Changed), All: all}
}

// SetEvacuation orders that a data centre is evacuated, or that its evacuation ends.
//
// Orders have no id. A proposal that is delayed, and applied after a later order has been
// acknowledged, must therefore have no effect: it names the last order that its proposer knew.
type SetEvacuation struct {
	DataCentre  string `cbor:"1,keyasint"`
	IsEvacuated bool   `cbor:"2,keyasint,omitempty"`
	// LastOrder is the data centre's Evacuation.Ordered as known to the proposer. If it differs
	// from the present one, the order only succeeds if it changes nothing.
	LastOrder uint64 `cbor:"3,keyasint,omitempty"`
	// Author and At go to the audit trail. At is the proposer's wall clock in Unix milliseconds.
	Author string `cbor:"4,keyasint,omitempty"`
	At     int64  `cbor:"5,keyasint,omitempty"`
}

func (SetEvacuation) kind() commandKind { return kindSetEvacuation }

// EvacuationOutcome is the outcome of an order.
type EvacuationOutcome uint8

// The outcomes of an order.
const (
	// EvacuationChanged: the order has changed the state of the data centre.
	EvacuationChanged EvacuationOutcome = iota + 1
	// EvacuationUnchanged: the data centre was in the requested state already.
	EvacuationUnchanged
	// EvacuationStale: the order has no effect because another one was applied after LastOrder.
	EvacuationStale
)

var evacuationOutcomeNames = map[EvacuationOutcome]string{
	EvacuationChanged: "changed", EvacuationUnchanged: "unchanged", EvacuationStale: "stale",
}

// String returns the form used in logs.
func (o EvacuationOutcome) String() string { return evacuationOutcomeNames[o] }

// EvacuationResult is the result of SetEvacuation.
type EvacuationResult struct {
	Outcome EvacuationOutcome `cbor:"1,keyasint"`
	// LastOrder is the data centre's Evacuation.Ordered after the command. After
	// EvacuationStale, the order may be proposed again with it.
	LastOrder uint64 `cbor:"2,keyasint,omitempty"`
	// Index is the index of the last change of the table, and Evacuated lists the evacuated data
	// centres in ascending order.
	Index     uint64   `cbor:"3,keyasint,omitempty"`
	Evacuated []string `cbor:"4,keyasint,omitempty"`
}

// evacuations is the table of the evacuated data centres.
type evacuations struct {
	// mu guards the fields below. The lists of current are never changed in place.
	mu      sync.RWMutex
	current Evacuations
	// changed is closed and replaced whenever a data centre's state changes.
	changed chan struct{}
}

func (e *evacuations) init() { e.changed = make(chan struct{}) }

// order applies an order at the given log index. It returns false if the table is full.
//
// An order that changes nothing is recorded as the data centre's last one all the same. An
// earlier order that is still in transit could otherwise take effect after it.
func (e *evacuations) order(index uint64, c SetEvacuation) (EvacuationResult, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	d := e.current.Of(c.DataCentre)
	if d.Ordered == 0 && len(e.current.All) >= MaxDataCentres {
		return EvacuationResult{}, false
	}
	outcome := EvacuationUnchanged
	switch {
	case d.IsEvacuated == c.IsEvacuated:
		d.Ordered = index
	case d.Ordered != c.LastOrder:
		outcome = EvacuationStale
	default:
		outcome = EvacuationChanged
		d.IsEvacuated, d.Ordered, d.Changed = c.IsEvacuated, index, index
	}
	if outcome != EvacuationStale {
		e.current = e.current.with(d)
	}
	if outcome == EvacuationChanged {
		e.notify()
	}
	return EvacuationResult{
		Outcome: outcome, LastOrder: d.Ordered, Index: e.current.Index, Evacuated: e.current.Evacuated(),
	}, true
}

// notify wakes all goroutines that wait for a change. The caller holds mu.
func (e *evacuations) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// restore replaces the table by that of a snapshot. The caller holds mu.
func (e *evacuations) restore(next Evacuations) {
	e.current = next
	e.notify()
}

// Evacuations returns the table of evacuations. Its lists must not be changed.
func (m *Machine) Evacuations() Evacuations {
	m.evacuations.mu.RLock()
	defer m.evacuations.mu.RUnlock()
	return m.evacuations.current
}

// EvacuationsChanged returns a channel that is closed when the evacuated data centres change next.
// Call it before Evacuations, so that no change is missed.
func (m *Machine) EvacuationsChanged() <-chan struct{} {
	m.evacuations.mu.RLock()
	defer m.evacuations.mu.RUnlock()
	return m.evacuations.changed
}

// setEvacuation applies a SetEvacuation. Only changes are recorded in the audit trail. The caller
// holds applyMu.
func (m *Machine) setEvacuation(index uint64, c SetEvacuation) any {
	if !validNames(c.DataCentre) || !utf8.ValidString(c.DataCentre) || len(c.Author) > MaxNameBytes {
		return Rejected{Reason: ReasonInvalidName}
	}
	result, ok := m.evacuations.order(index, c)
	if !ok {
		return Rejected{Reason: ReasonTooManyDataCentres}
	}
	if result.Outcome == EvacuationChanged {
		action := ActionEvacuationEnd
		if c.IsEvacuated {
			action = ActionEvacuationStart
		}
		m.audit.add(AuditRecord{
			Index:       index,
			LogicalTime: m.LogicalTime(),
			At:          c.At,
			Author:      c.Author,
			Action:      action,
			Subject:     c.DataCentre,
			Outcome:     acceptedOrRefused(true),
		})
	}
	return result
}
