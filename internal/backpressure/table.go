// Package backpressure handles what upstreams state about themselves in their responses so that
// they get fewer requests: the rate that they accept from all hosts together, that they ask one
// host for rest, and that they leave.
//
// All types are pure: they read no clock and do no I/O. Callers pass the time of a monotonic
// clock. None is safe for concurrent use.
package backpressure

import (
	"slices"
	"strings"
	"time"
)

// MinRate is the lowest rate limit that is kept, in requests per second. An upstream that states
// a lower one still gets a request from time to time, because only its response can lift the
// limit.
const MinRate = 0.1

// MaxRest is the longest rest that is kept. After it one request shows whether the upstream still
// turns requests away; a longer rest would be a mistake in what it stated.
const MaxRest = 5 * time.Minute

// Incarnation identifies an upstream from one start of its process to the next.
type Incarnation struct {
	Upstream string `cbor:"1,keyasint"`
	// StartedAt is the start time that the upstream announces, in Unix milliseconds, or 0 if it
	// announces none.
	StartedAt int64 `cbor:"2,keyasint,omitempty"`
}

// Notice reports what an upstream stated in a response. Hosts send notices to each other in any
// order and repeatedly.
type Notice struct {
	Incarnation Incarnation `cbor:"1,keyasint"`
	// Rate is the rate limit in requests per second, 0 if the upstream states none.
	Rate float64 `cbor:"2,keyasint,omitempty"`
	// SentAgeMS is how long ago the request was sent, ReadAgeMS how long ago the header of its
	// response was read, both in milliseconds.
	SentAgeMS int64 `cbor:"3,keyasint,omitempty"`
	ReadAgeMS int64 `cbor:"4,keyasint,omitempty"`
	// RestMS is for how long from now on the upstream wants no requests from the host that sent
	// this one, in milliseconds.
	RestMS int64 `cbor:"5,keyasint,omitempty"`
	// IsLeaving tells that the upstream is about to shut down.
	IsLeaving bool `cbor:"6,keyasint,omitempty"`
}

// Statement is what an upstream stated in a response.
type Statement struct {
	// Rate is the rate limit in requests per second, 0 for none. If IsRateUnknown is set, the
	// statement says nothing about it.
	Rate          float64
	IsRateUnknown bool
	// SentAt is when the request was sent, ReadAt when the header of its response was read. The
	// upstream made the statement between the two.
	SentAt, ReadAt time.Duration
	// Rest is for how long after ReadAt the upstream wants no requests from the host that sent
	// this one. An upstream that turned a request away may ask for it.
	Rest time.Duration
	// Cold is for how long after ReadAt the upstream is cold, 0 if it states nothing.
	Cold time.Duration
	// IsLeaving tells that the upstream is about to shut down.
	IsLeaving bool
}

// Change says what is new about an upstream.
type Change struct{ Rate, Rest, Leaving bool }

// IsAny reports whether anything is new.
func (c Change) IsAny() bool { return c != Change{} }

// record is what is known of an upstream. Only the statement of its rate limit can be taken back.
type record struct {
	Statement
	restUntil time.Duration
	// heardAt is when the last statement was added.
	heardAt time.Duration
}

// isStricterThan reports whether the statement allows less than another one.
func (s Statement) isStricterThan(o Statement) bool {
	return s.Rate > 0 && (o.Rate == 0 || s.Rate < o.Rate)
}

// Table holds what each upstream has stated.
type Table struct {
	records map[Incarnation]record
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{records: make(map[Incarnation]record)} }

// Rate returns the rate limit of an upstream in requests per second, 0 if it has none.
func (t *Table) Rate(i Incarnation) float64 { return t.records[i].Rate }

// RestUntil returns when the rest that an upstream has asked for ends.
func (t *Table) RestUntil(i Incarnation) time.Duration { return t.records[i].restUntil }

// IsLeaving reports whether an upstream has said that it is about to shut down.
func (t *Table) IsLeaving(i Incarnation) bool { return t.records[i].IsLeaving }

// minRestChange is by how much a rest must be prolonged for other hosts to be told.
const minRestChange = 250 * time.Millisecond

// Observe adds a statement. It returns what has changed.
//
// An upstream that leaves stays one, and of several rests the one that ends last counts. A rate
// limit replaces the present one if its request was sent after the present one was read,
// and is ignored if it was read before the request of the present one was sent. Otherwise the
// order in which the upstream made the two is unknown, and the stricter one is kept. So a
// response that arrives late can't lift a limit that was stated after it.
func (t *Table) Observe(i Incarnation, next Statement, now time.Duration) Change {
	before, isKnown := t.records[i]
	after := before
	if s, isNew := before.mergeRate(next, isKnown); isNew {
		after.Statement = s
	}
	after.heardAt = now
	after.IsLeaving = before.IsLeaving || next.IsLeaving
	if next.Rest > 0 {
		after.restUntil = max(before.restUntil, next.ReadAt+min(next.Rest, MaxRest))
	}
	t.records[i] = after
	return Change{
		Rate: after.Rate != before.Rate, Leaving: after.IsLeaving != before.IsLeaving,
		Rest: after.restUntil-max(before.restUntil, next.ReadAt) >= minRestChange,
	}
}

// mergeRate returns the statement whose rate limit counts from now on, and whether it differs from
// the present one.
func (r *record) mergeRate(next Statement, isKnown bool) (Statement, bool) {
	switch {
	case next.IsRateUnknown:
		return r.Statement, false
	case !isKnown || next.SentAt >= r.ReadAt:
	case next.ReadAt <= r.SentAt || r.isStricterThan(next):
		return r.Statement, false
	default:
		next.SentAt, next.ReadAt = max(next.SentAt, r.SentAt), max(next.ReadAt, r.ReadAt)
	}
	return next, true
}

// Add adds the statement of a notice. It returns what has changed.
func (t *Table) Add(n Notice, now time.Duration) Change {
	if !n.isValid() {
		return Change{}
	}
	read := now - time.Duration(n.ReadAgeMS)*time.Millisecond
	sent := now - time.Duration(n.SentAgeMS)*time.Millisecond
	s := Statement{Rate: n.Rate, SentAt: min(sent, read), ReadAt: read, IsLeaving: n.IsLeaving}
	if n.RestMS > 0 {
		s.Rest = now + time.Duration(n.RestMS)*time.Millisecond - read
	}
	return t.Observe(n.Incarnation, s, now)
}

// maxNameBytes limits the length of an upstream's name in a notice, and maxAge the age of a
// notice. Older ones come from hosts whose clocks are wrong.
const (
	maxNameBytes = 256
	maxAge       = 24 * time.Hour
)

func (n *Notice) isValid() bool {
	isAge := func(ms int64) bool { return ms >= 0 && ms <= maxAge.Milliseconds() }
	name := n.Incarnation.Upstream
	return name != "" && len(name) <= maxNameBytes && isAge(n.ReadAgeMS) && isAge(n.SentAgeMS) && (n.Rate == 0 || n.Rate >= MinRate) &&
		n.RestMS >= 0 && n.RestMS <= MaxRest.Milliseconds()
}

// Notice returns what is known of an upstream as a notice to other hosts.
func (t *Table) Notice(i Incarnation, now time.Duration) Notice {
	r := t.records[i]
	age := func(at time.Duration) int64 { return min(max(now-at, 0), maxAge).Milliseconds() }
	return Notice{
		Incarnation: i, Rate: r.Rate, SentAgeMS: age(r.SentAt), ReadAgeMS: age(r.ReadAt),
		RestMS: max(r.restUntil-now, 0).Milliseconds(), IsLeaving: r.IsLeaving,
	}
}

// Notices returns notices of all upstreams that accept fewer requests than others, sorted by
// upstream, for a host that has just connected.
func (t *Table) Notices(now time.Duration) []Notice {
	var out []Notice
	for i, r := range t.records {
		if r.Rate > 0 || r.restUntil > now || r.IsLeaving {
			out = append(out, t.Notice(i, now))
		}
	}
	slices.SortFunc(out, func(a, b Notice) int { return strings.Compare(a.Incarnation.Upstream, b.Incarnation.Upstream) })
	return out
}

// unknownMemory is how long a statement is kept at least if its upstream is not known. A host that
// has just started hears of statements and upstreams from several hosts in any order.
const unknownMemory = 10 * time.Second

// Retain removes the upstreams for which isKnown returns false, unless they have stated something
// lately.
func (t *Table) Retain(isKnown func(Incarnation) bool, now time.Duration) {
	for i, r := range t.records {
		if now-r.heardAt > unknownMemory && !isKnown(i) {
			delete(t.records, i)
		}
	}
}

const (
	// limitMemory and liftMemory are how long a statement with and without a limit is kept by a
	// host that does not know which upstreams exist. The first is long because a limit holds until
	// the upstream lifts it. The second is longer than any rest, than an upstream takes to leave,
	// and than a notice of an earlier limit is on its way.
	limitMemory = time.Hour
	liftMemory  = 10 * time.Minute
)

// Sweep removes old statements. It is meant for hosts that don't know which upstreams exist.
func (t *Table) Sweep(now time.Duration) {
	for i, r := range t.records {
		if age := now - r.ReadAt; age > limitMemory || r.Rate == 0 && age > liftMemory {
			delete(t.records, i)
		}
	}
}
