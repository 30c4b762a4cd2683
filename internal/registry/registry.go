// Package registry keeps track of the upstreams that announce themselves to the control hosts.
//
// A Registry belongs to one control host and receives announcements. A View belongs to a host
// that uses the upstreams, and merges the lists of several control hosts. Both are pure: they
// read no clock and do no I/O. Neither is safe for concurrent use.
package registry

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// State is the life-cycle state that an upstream announces.
type State uint8

// The states of an incarnation, in the order in which it passes through them. It never returns
// to an earlier one.
const (
	Ready State = iota
	// Draining upstreams accept no new requests.
	Draining
	// Gone upstreams have shut down.
	Gone
)

// Upstream describes one incarnation of an upstream, that is, one run of it from start to
// shutdown. ID and StartedAt together identify the incarnation.
type Upstream struct {
	// ID identifies the upstream. It may stay the same over a restart.
	ID      string `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint,omitempty"`
	// Address is "ip:port".
	Address    string `cbor:"3,keyasint,omitempty"`
	DataCentre string `cbor:"4,keyasint,omitempty"`
	Slots      int    `cbor:"5,keyasint,omitempty"`
	State      State  `cbor:"6,keyasint,omitempty"`
	// Sequence increases with each announcement of the incarnation.
	Sequence uint64 `cbor:"7,keyasint,omitempty"`
	// ColdRemainingMS is how much longer the upstream stays slow after its cold start, in
	// milliseconds.
	ColdRemainingMS int64 `cbor:"8,keyasint,omitempty"`
	// IsSilent is set by a control host if the upstream's announcements have stopped.
	IsSilent bool `cbor:"9,keyasint,omitempty"`
	// StartedAt is the start time of the incarnation, in Unix milliseconds by the upstream's clock,
	// or 0 if the upstream does not send it. The incarnation with the highest value is the
	// current one. It takes over no state of earlier incarnations.
	StartedAt int64 `cbor:"10,keyasint,omitempty"`
}

// merge applies an announcement. One of a later incarnation replaces everything, and one of an
// earlier incarnation is ignored. It reports whether anything changed that matters for
// sending requests to the upstream.
func (u *Upstream) merge(next Upstream) bool {
	if next.StartedAt != u.StartedAt {
		if next.StartedAt > u.StartedAt {
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

// Limits are the timeouts of a Registry.
type Limits struct {
	// SilenceTimeout is the time without an announcement after which an upstream is silent.
	SilenceTimeout time.Duration
	// ForgetTimeout is the time without an announcement after which an upstream is removed.
	// It must be longer than the delay of any announcement in transit, or a delayed
	// announcement would bring back an upstream that is gone.
	ForgetTimeout time.Duration
}

// entry is an upstream with the time of its last accepted announcement.
type entry struct {
	Upstream
	heardAt time.Duration
}

// Registry holds the upstreams that announced themselves to one control host. Times are
// passed in from the caller's monotonic clock.
type Registry struct {
	limits Limits
	byID   map[string]*entry
}

// New returns an empty Registry.
func New(l Limits) *Registry { return &Registry{limits: l, byID: make(map[string]*entry)} }

// Announce applies an announcement. It returns the upstream's current record, and whether the
// hosts that follow this control host must be notified of it.
func (r *Registry) Announce(u Upstream, now time.Duration) (Upstream, bool) {
	e := r.byID[u.ID]
	if e == nil {
		u.IsSilent = false
		r.byID[u.ID] = &entry{Upstream: u, heardAt: now}
		return u, true
	}
	if u.StartedAt < e.StartedAt || u.StartedAt == e.StartedAt && u.Sequence != 0 && u.Sequence <= e.Sequence && u.State <= e.State {
		return e.Upstream, false
	}
	wasSilent := e.IsSilent
	e.heardAt = now
	changed := e.merge(u)
	e.IsSilent = false
	return e.Upstream, changed || wasSilent
}

// Restore adds upstreams that were saved before a restart, as if they had announced themselves
// at now. Upstreams that have announced themselves since the restart keep that record.
func (r *Registry) Restore(all []Upstream, now time.Duration) {
	for _, u := range all {
		if r.byID[u.ID] == nil {
			u.IsSilent = false
			r.byID[u.ID] = &entry{Upstream: u, heardAt: now}
		}
	}
}

// Tick marks upstreams that have become silent and removes those past ForgetTimeout. It
// returns the upstreams that have become silent, of which other hosts must be notified.
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

// All returns all upstreams sorted by ID.
func (r *Registry) All() []Upstream {
	out := make([]Upstream, 0, len(r.byID))
	for _, e := range r.byID {
		out = append(out, e.Upstream)
	}
	sortByID(out)
	return out
}

// sortByID sorts a list of upstreams, so that all hosts have them in the same order.
func sortByID(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
}
