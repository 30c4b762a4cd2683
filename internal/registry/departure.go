package registry

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// departureRetention is how long a departure is kept. It is well above the time for which an
	// upstream goes on running after it has left, and the downtime of a control host that returns
	// with an older list.
	departureRetention = 15 * time.Minute
	// maxDepartures is how many departures are kept; the oldest ones are dropped.
	maxDepartures = 4096
)

// Departure tells that an incarnation of an upstream drains or is gone. Control hosts save
// departures and exchange them, so that an acknowledged one is not lost with the host that
// acknowledged it. Departures may be merged in any order and repeatedly: of one incarnation the
// latest state counts, and of several incarnations the latest one.
type Departure struct {
	// ID and StartedAt identify the incarnation, see Upstream.
	ID        string `cbor:"1,keyasint"`
	StartedAt int64  `cbor:"2,keyasint,omitempty"`
	// State is Draining or Gone.
	State State `cbor:"3,keyasint"`
	// AgeMS is how long ago the upstream reached the state, in milliseconds.
	AgeMS int64 `cbor:"4,keyasint,omitempty"`
	// IsStartUnknown is set if the upstream left by a call without its start time, and no host that was
	// asked knew an incarnation of it. StartedAt is 0 then. Such a departure ends an incarnation that
	// states no start time, and at a control host that could not be asked the one that must have called.
	IsStartUnknown bool `cbor:"5,keyasint,omitempty"`
}

// unknownLeave is a call of an upstream that leaves without its start time, at a control host that knew
// no incarnation of it.
type unknownLeave struct {
	at time.Duration
	// isDurable is as in entry.
	isDurable bool
}

// departure returns the departure of the upstream that left.
func (l unknownLeave) departure(id string, now time.Duration) Departure {
	return Departure{ID: id, State: Gone, AgeMS: (now - l.at).Milliseconds(), IsStartUnknown: true}
}

// Resolve returns the incarnation that leaves by a call without its start time, if this control host
// knows it. The error is ErrAmbiguous if the call may come from an earlier incarnation.
func (r *Registry) Resolve(id string, now time.Duration) (startedAt int64, err error) {
	e := r.byID[id]
	if e == nil || e.StartedAt == 0 {
		return 0, nil
	}
	if e.isAmbiguous(now) {
		return 0, ErrAmbiguous
	}
	return e.StartedAt, nil
}

// StatesNoStart reports whether the known incarnation of an upstream states no start time.
func (r *Registry) StatesNoStart(id string) bool {
	e := r.byID[id]
	return e != nil && e.StartedAt == 0
}

// depart puts an upstream into a later state. It reports whether the state changed.
func (e *entry) depart(s State, now time.Duration) bool {
	if s <= e.State {
		return false
	}
	e.State, e.departedAt, e.isDurable = s, now, false
	return true
}

// departure returns the departure of an upstream that is not ready.
func (e *entry) departure(now time.Duration) Departure {
	return Departure{ID: e.ID, StartedAt: e.StartedAt, State: e.State, AgeMS: (now - e.departedAt).Milliseconds()}
}

// Departure returns the departure of the known incarnation of an upstream, and whether it is durable.
// It returns false for exists if there is none.
func (r *Registry) Departure(id string, now time.Duration) (d Departure, isDurable, exists bool) {
	if e := r.byID[id]; e != nil {
		if e.State == Ready {
			return Departure{}, false, false
		}
		return e.departure(now), e.isDurable, true
	}
	if left, ok := r.unknownLeft[id]; ok {
		return left.departure(id, now), left.isDurable, true
	}
	return Departure{}, false, false
}

// MarkDurable records that enough control hosts have saved a departure.
func (r *Registry) MarkDurable(d Departure) {
	if left, ok := r.unknownLeft[d.ID]; ok && d.IsStartUnknown {
		left.isDurable = true
		r.unknownLeft[d.ID] = left
		return
	}
	if e := r.byID[d.ID]; e != nil && e.StartedAt == d.StartedAt && e.State == d.State {
		e.isDurable = true
	}
}

// Departures returns all known departures, sorted by ID.
func (r *Registry) Departures(now time.Duration) []Departure {
	var out []Departure
	for _, e := range r.byID {
		if e.State != Ready {
			out = append(out, e.departure(now))
		}
	}
	out = append(out, r.UnknownDepartures(now)...)
	slices.SortFunc(out, func(a, b Departure) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// UnknownDepartures returns the departures of which the incarnation is not known. The records that
// List returns don't contain them.
func (r *Registry) UnknownDepartures(now time.Duration) []Departure {
	var out []Departure
	for id, left := range r.unknownLeft {
		if r.byID[id] == nil {
			out = append(out, left.departure(id, now))
		}
	}
	return out
}

// UnlistedAmong returns those departures that MergeDepartures would apply to upstreams that are not
// listed here.
func (r *Registry) UnlistedAmong(all []Departure) []Departure {
	var out []Departure
	for _, d := range all {
		_, hasLeft := r.unknownLeft[d.ID]
		if d.isKept() && r.byID[d.ID] == nil && !(hasLeft && d.IsStartUnknown) {
			out = append(out, d)
		}
	}
	return out
}

// IsNew reports whether the departure is so young that a host may apply the call that told of it as if it
// had just arrived, see ErrAmbiguous.
func (d Departure) IsNew() bool { return time.Duration(d.AgeMS)*time.Millisecond < maxTransit }

// isKept reports whether a departure is one, and young enough to be kept.
func (d Departure) isKept() bool {
	return d.State != Ready && time.Duration(d.AgeMS)*time.Millisecond <= departureRetention
}

// MergeDepartures applies the departures that another control host knows, or that were saved. It
// returns the records of the upstreams that this host has listed in an earlier state.
func (r *Registry) MergeDepartures(all []Departure, now time.Duration) []Upstream {
	var changed []Upstream
	for _, d := range all {
		if e := r.mergeDeparture(d, now); e != nil {
			changed = append(changed, e.at(now))
		}
	}
	return changed
}

// mergeDeparture applies a departure. It returns the entry if it was in an earlier state before.
func (r *Registry) mergeDeparture(d Departure, now time.Duration) *entry {
	at := now - time.Duration(d.AgeMS)*time.Millisecond
	e := r.byID[d.ID]
	switch {
	case !d.isKept():
		return nil
	case d.IsStartUnknown:
		return r.mergeUnknownDeparture(d.ID, e, at)
	case e == nil:
		delete(r.unknownLeft, d.ID)
		r.byID[d.ID] = &entry{Upstream: d.Upstream(), heardAt: at, knownSince: now, departedAt: at}
	case d.StartedAt > e.StartedAt:
		e.Upstream, e.heardAt, e.departedAt, e.isDurable = d.Upstream(), at, at, false
		e.recordReplacement(now)
		e.knownSince = now
		return e
	case d.StartedAt == e.StartedAt && e.depart(d.State, at):
		return e
	}
	return nil
}

// mergeUnknownDeparture applies a departure at a time, of which the incarnation is not known, to the
// entry of the upstream, nil if there is none. It ends the incarnation that this host had known for so
// long that no call of an earlier one could still arrive.
func (r *Registry) mergeUnknownDeparture(id string, e *entry, at time.Duration) *entry {
	if e == nil {
		if left, ok := r.unknownLeft[id]; !ok || left.at < at {
			r.unknownLeft[id] = unknownLeave{at: at}
		}
		return nil
	}
	if e.StartedAt != 0 && e.knownSince > at-maxTransit {
		if !e.isRestored {
			return nil
		}
		// It may be the one that left. If it is not, its next announcement brings it back.
		delete(r.byID, id)
		r.unknownLeft[id] = unknownLeave{at: at}
		e.IsSilent = true
		return e
	}
	if e.depart(Gone, at) {
		return e
	}
	return nil
}

// Upstream returns the record of an upstream of which only the departure is known.
func (d Departure) Upstream() Upstream {
	return Upstream{ID: d.ID, StartedAt: d.StartedAt, State: d.State, IsColdUnknown: true}
}

// limitDepartures drops the oldest departures of known incarnations if there are more than
// maxDepartures, and so with the others.
func (r *Registry) limitDepartures() {
	var departed []*entry
	for _, e := range r.byID {
		if e.State != Ready {
			departed = append(departed, e)
		}
	}
	if len(departed) > maxDepartures {
		slices.SortFunc(departed, func(a, b *entry) int {
			return cmp.Or(cmp.Compare(b.departedAt, a.departedAt), strings.Compare(a.ID, b.ID))
		})
		for _, e := range departed[maxDepartures:] {
			delete(r.byID, e.ID)
		}
	}
	if len(r.unknownLeft) > maxDepartures {
		ids := slices.SortedFunc(maps.Keys(r.unknownLeft), func(a, b string) int {
			return cmp.Or(cmp.Compare(r.unknownLeft[b].at, r.unknownLeft[a].at), strings.Compare(a, b))
		})
		for _, id := range ids[maxDepartures:] {
			delete(r.unknownLeft, id)
		}
	}
}
