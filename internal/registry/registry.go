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

	"github.com/pkg/errors"
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
	// ColdRemainingMS is how much longer the upstream is cold, in milliseconds. If IsColdUnknown is
	// set, no recent announcement has told that.
	ColdRemainingMS int64 `cbor:"8,keyasint,omitempty"`
	// IsSilent is set by a control host if the upstream's announcements have stopped.
	IsSilent bool `cbor:"9,keyasint,omitempty"`
	// StartedAt is the start time of the incarnation, in Unix milliseconds by the upstream's clock,
	// or 0 if the upstream does not send it. The incarnation with the highest value is the
	// current one. It takes over no state of earlier incarnations.
	StartedAt     int64 `cbor:"10,keyasint,omitempty"`
	IsColdUnknown bool  `cbor:"11,keyasint,omitempty"`
	// ColdUntil is when the stated cold time ends, 0 for none, and ColdStatedAt when the newest
	// announcement was received. Both are times of the clock of this host.
	ColdUntil, ColdStatedAt time.Duration `cbor:"-"`
}

// ErrAmbiguous is returned for an announcement without a start time that is not applied, because it
// may come from an earlier incarnation than the known one.
var ErrAmbiguous = errors.New("the announcement names no start time and may come from an earlier incarnation")

// maxUpstreams is how many upstreams are kept. With departures, and names of the maximum length, they fit into one
// message.
const maxUpstreams = 12 << 10

// ErrFull is returned for an announcement of an unknown upstream that is not applied, because too many are known.
var ErrFull = errors.New("too many upstreams are known")

// maxTransit is the longest time that an announcement takes to arrive. Calls may be held up for
// several seconds while links are cut off.
const maxTransit = 5 * time.Second

// IsLeaveWithoutStart reports whether the announcement says that an upstream has left, but not
// which incarnation of it.
func (u *Upstream) IsLeaveWithoutStart() bool { return u.State == Gone && u.StartedAt == 0 }

// replacement tells whether and when the known incarnation replaced an earlier one. Announcements
// without a start time are ambiguous for some time after that.
type replacement struct {
	// replacedAt is when the known incarnation replaced an earlier one. It is only valid if
	// hasPredecessor is set.
	replacedAt     time.Duration
	hasPredecessor bool
}

// recordReplacement records that the known incarnation has replaced an earlier one.
func (r *replacement) recordReplacement(now time.Duration) {
	r.replacedAt, r.hasPredecessor = now, true
}

// isAmbiguous reports whether an announcement without a start time may still come from an earlier
// incarnation than the known one.
func (r *replacement) isAmbiguous(now time.Duration) bool {
	return r.hasPredecessor && now-r.replacedAt < maxTransit
}

// merge applies an announcement. One of a later incarnation replaces everything, and one of an
// earlier incarnation is ignored. It reports whether anything changed that matters for
// sending requests to the upstream.
//
// If firstColdTimeCounts is set, the first announcement that tells whether the upstream is cold
// counts as a change, even if it is not cold.
func (u *Upstream) merge(next Upstream, firstColdTimeCounts bool, now time.Duration) bool {
	if next.StartedAt != u.StartedAt {
		if next.StartedAt > u.StartedAt {
			*u = next
			u.receiveColdTime(now)
			return true
		}
		return false
	}
	before := *u
	hasColdTimeChanged := false
	if next.Sequence > u.Sequence {
		u.Sequence = next.Sequence
		isFirstColdTime := u.IsColdUnknown && !next.IsColdUnknown
		hasColdTimeChanged = u.mergeColdTime(&next, now) || isFirstColdTime && firstColdTimeCounts
		u.Slots = next.Slots
		u.Service = cmp.Or(next.Service, u.Service)
		u.Address = cmp.Or(next.Address, u.Address)
		u.DataCentre = cmp.Or(next.DataCentre, u.DataCentre)
	}
	u.State = max(u.State, next.State)
	return hasColdTimeChanged || u.State != before.State || u.Slots != before.Slots || u.Service != before.Service || u.Address != before.Address
}

// Limits are the timeouts of a Registry.
type Limits struct {
	// SilenceTimeout is the time without an announcement after which an upstream is silent.
	SilenceTimeout time.Duration
	// ForgetTimeout is the time without an announcement after which an upstream that is ready is
	// removed. Departures are kept longer, see departureRetention.
	ForgetTimeout time.Duration
	// ForwardsKnownColdTimes is set if other hosts must be notified of the first announcement after
	// a restart of this control host that tells whether an upstream is cold.
	ForwardsKnownColdTimes bool
}

// entry is an upstream with the time of its last accepted announcement.
type entry struct {
	Upstream
	replacement
	heardAt time.Duration
	// knownSince is when this control host heard of the incarnation for the first time, or was started.
	knownSince time.Duration
	// isRestored is set while the entry is that of the saved list, since the upstream has not announced
	// itself to this control host after its start.
	isRestored bool
	// departedAt is when the upstream reached its state. It is only valid if the state is not Ready.
	departedAt time.Duration
	// isDurable is set once the departure is known to survive the loss of this control host.
	isDurable bool
}

// isExpired reports whether the entry is to be removed.
func (e *entry) isExpired(now time.Duration, l Limits) bool {
	if e.State != Ready && now-e.departedAt <= departureRetention {
		return false
	}
	return now-e.heardAt > l.ForgetTimeout
}

// Registry holds the upstreams that announced themselves to one control host. Times are
// passed in from the caller's monotonic clock.
type Registry struct {
	limits Limits
	byID   map[string]*entry
	// unknownLeft holds, by ID, the upstreams that left by a call without their start time and of which
	// this control host knew no incarnation.
	unknownLeft map[string]unknownLeave
}

// New returns an empty Registry.
func New(l Limits) *Registry {
	return &Registry{limits: l, byID: make(map[string]*entry), unknownLeft: make(map[string]unknownLeave)}
}

// Announce applies an announcement. It returns the records that the hosts that follow this control
// host must have before the announcement is acknowledged, the upstream's current one first, and
// whether these hosts must be notified of them. The error is ErrAmbiguous if the announcement has
// no effect, so that it must not be acknowledged.
//
// An upstream that leaves may call without its start time, although its announcements have one.
// The call concerns the known incarnation, unless that replaced an earlier one so recently that
// the call may still come from the earlier one. Other hosts may know a later incarnation than this
// one does, so they get the call itself too.
func (r *Registry) Announce(u Upstream, now time.Duration) ([]Upstream, bool, error) {
	e := r.byID[u.ID]
	if e == nil {
		return r.announceUnknown(u, now)
	}
	if u.StartedAt < e.StartedAt && u.StartedAt == 0 && u.State != Ready {
		if u.State == Draining || e.isAmbiguous(now) {
			return []Upstream{e.at(now)}, false, ErrAmbiguous
		}
		changed := e.depart(Gone, now)
		e.heardAt, e.IsSilent = now, false
		return []Upstream{e.at(now), u}, changed, nil
	}
	if u.StartedAt < e.StartedAt || u.StartedAt == e.StartedAt && u.Sequence != 0 && u.Sequence <= e.Sequence && u.State <= e.State {
		return []Upstream{e.at(now)}, false, nil
	}
	wasSilent := e.IsSilent
	e.heardAt, e.isRestored = now, false
	isReplaced, before := u.StartedAt > e.StartedAt, e.State
	if isReplaced {
		e.recordReplacement(now)
		e.knownSince = now
	}
	changed := e.merge(u, r.limits.ForwardsKnownColdTimes, now)
	if isReplaced || e.State != before {
		e.departedAt, e.isDurable = now, false
	}
	e.IsSilent = false
	return []Upstream{e.at(now)}, changed || wasSilent, nil
}

// announceUnknown applies an announcement of an upstream that is not known. A call of one that
// leaves without its start time is kept apart, because hosts that attach much later would apply it to
// a later incarnation.
func (r *Registry) announceUnknown(u Upstream, now time.Duration) ([]Upstream, bool, error) {
	if u.IsLeaveWithoutStart() {
		r.unknownLeft[u.ID] = unknownLeave{at: now}
		return []Upstream{u}, true, nil
	}
	if left, ok := r.unknownLeft[u.ID]; ok {
		if now-left.at < maxTransit {
			return nil, false, ErrAmbiguous
		}
		if u.StartedAt == 0 {
			// Upstreams that state no start time don't come back under their ID.
			return []Upstream{u}, false, nil
		}
	}
	if len(r.byID) >= maxUpstreams {
		return nil, false, ErrFull
	}
	delete(r.unknownLeft, u.ID)
	u.IsSilent = false
	e := &entry{Upstream: u, heardAt: now, knownSince: now, departedAt: now}
	e.receiveColdTime(now)
	r.byID[u.ID] = e
	return []Upstream{e.at(now)}, true, nil
}

// Restore adds upstreams that were saved before a restart, as if they had announced themselves
// at now. Upstreams that have announced themselves since the restart keep that record.
func (r *Registry) Restore(all []Upstream, now time.Duration) {
	for _, u := range all {
		if r.byID[u.ID] == nil {
			// It may have become cold since it was saved.
			u.IsSilent, u.ColdRemainingMS, u.IsColdUnknown = false, 0, true
			r.byID[u.ID] = &entry{Upstream: u, heardAt: now, knownSince: now, departedAt: now, isRestored: true}
		}
	}
}

// Tick marks upstreams that have become silent and removes those past their time. It returns the
// upstreams that have become silent, of which other hosts must be notified.
func (r *Registry) Tick(now time.Duration) []Upstream {
	var out []Upstream
	for id, left := range r.unknownLeft {
		if now-left.at >= departureRetention {
			delete(r.unknownLeft, id)
		}
	}
	for id, e := range r.byID {
		if e.isExpired(now, r.limits) {
			delete(r.byID, id)
			continue
		}
		if now-e.heardAt > r.limits.SilenceTimeout && !e.IsSilent && e.State == Ready {
			e.IsSilent = true
			out = append(out, e.at(now))
		}
	}
	r.limitDepartures()
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

// List returns all upstreams sorted by ID, with the cold times that remain now.
func (r *Registry) List(now time.Duration) []Upstream {
	out := make([]Upstream, 0, len(r.byID))
	for _, e := range r.byID {
		out = append(out, e.at(now))
	}
	sortByID(out)
	return out
}

// sortByID sorts a list of upstreams, so that all hosts have them in the same order.
func sortByID(list []Upstream) {
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
}
