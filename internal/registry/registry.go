// Package registry is what is known of the upstreams that announce themselves to the
// control hosts.
//
// A Registry belongs to one control host and takes announcements; a View belongs to a
// host that serves callers and merges what several control hosts say. Both are pure:
// they read no clock and do no I/O. Neither is safe for concurrent use.
package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// State is what an upstream says of itself.
type State uint8

// The states, in the order in which they follow one another: an incarnation never goes
// back to an earlier one.
const (
	Ready State = iota
	// Draining upstreams take no new work.
	Draining
	// Gone upstreams have left.
	Gone
)

// Upstream is one incarnation of an upstream: ID and Born together name it.
type Upstream struct {
	// ID names the upstream. One that starts again may keep it.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint,omitempty"`
	// Address is "ip:port".
	Address    string `cbor:"3,keyasint,omitempty"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Slots      int    `cbor:"5,keyasint,omitempty"`
	State      State  `cbor:"6,keyasint,omitempty"`
	// Sequence grows with each announcement of the incarnation.
	Sequence uint64 `cbor:"7,keyasint,omitempty"`
	// ColdRemainingMS is how much longer the upstream is slow after its start, in milliseconds.
	ColdRemainingMS int64 `cbor:"8,keyasint,omitempty"`
	// IsSilent is set by a control host that has not heard the upstream for long.
	IsSilent bool `cbor:"9,keyasint,omitempty"`
	// Born is when the incarnation started, in Unix milliseconds by its own clock; 0 where
	// upstreams don't say. The highest one is the present; it holds nothing of those before.
	Born int64 `cbor:"10,keyasint,omitempty"`
}

// merge takes over what an announcement says: all of one by a later incarnation, nothing
// of one by an earlier. It reports whether anything that matters to callers has changed.
func (u *Upstream) merge(next Upstream) bool {
	if next.Born != u.Born {
		if next.Born > u.Born {
			*u = next
			return true
		}
		return false
	}
	before := *u
	if next.Sequence > u.Sequence {
		u.Sequence = next.Sequence
		u.ColdRemainingMS = next.ColdRemainingMS
		u.Slots = next.Slots
		u.Service = cmp.Or(next.Service, u.Service)
		u.Address = cmp.Or(next.Address, u.Address)
		u.DataCentre = cmp.Or(next.DataCentre, u.DataCentre)
	}
	u.State = max(u.State, next.State)
	return u.State != before.State || u.Slots != before.Slots || u.Service != before.Service || u.Address != before.Address
}

// Limits of a Registry.
type Limits struct {
	// SilenceTimeout is after how long without an announcement an upstream counts as silent.
	SilenceTimeout time.Duration
	// ForgetTimeout is after how long a silent or gone upstream is forgotten. It has to outlast
	// an announcement that is late on its way.
	ForgetTimeout time.Duration
}

type entry struct {
	Upstream
	heardAt time.Duration
}

// Registry holds the upstreams that announced themselves to one control host. Times are
// a monotonic clock of the caller's.
type Registry struct {
	limits Limits
	byID   map[string]*entry
}

// New returns an empty Registry.
func New(l Limits) *Registry { return &Registry{limits: l, byID: make(map[string]*entry)} }

// Announce takes an announcement. It returns the upstream as known now, and whether the
// hosts that serve callers have to be told.
func (r *Registry) Announce(u Upstream, now time.Duration) (Upstream, bool) {
	e := r.byID[u.ID]
	if e == nil {
		u.IsSilent = false
		r.byID[u.ID] = &entry{Upstream: u, heardAt: now}
		return u, true
	}
	if u.Born < e.Born || u.Born == e.Born && u.Sequence != 0 && u.Sequence <= e.Sequence && u.State <= e.State {
		return e.Upstream, false
	}
	wasSilent := e.IsSilent
	e.heardAt = now
	changed := e.merge(u)
	e.IsSilent = false
	return e.Upstream, changed || wasSilent
}

// Restore takes in what was known before a restart, as if it had been heard just now.
// Upstreams that announced themselves since keep what they said.
func (r *Registry) Restore(all []Upstream, now time.Duration) {
	for _, u := range all {
		if r.byID[u.ID] == nil {
			u.IsSilent = false
			r.byID[u.ID] = &entry{Upstream: u, heardAt: now}
		}
	}
}

// Tick marks what has become silent and forgets what is long gone. It returns the
// upstreams that the hosts which serve callers have to be told of.
func (r *Registry) Tick(now time.Duration) []Upstream {
	var out []Upstream
	for id, e := range r.byID {
		quiet := now - e.heardAt
		if quiet > r.limits.ForgetTimeout {
			delete(r.byID, id)
			continue
		}
		if quiet > r.limits.SilenceTimeout && !e.IsSilent && e.State == Ready {
			e.IsSilent = true
			out = append(out, e.Upstream)
		}
	}
	return out
}

// All returns all upstreams in the order of their ids.
func (r *Registry) All() []Upstream {
	out := make([]Upstream, 0, len(r.byID))
	for _, e := range r.byID {
		out = append(out, e.Upstream)
	}
	sortByID(out)
	return out
}

// sortByID gives lists of upstreams the same order on all hosts.
func sortByID(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
}
