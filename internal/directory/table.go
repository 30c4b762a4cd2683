package directory

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Spans say when a silent upstream loses trust.
type Spans struct {
	// Silent is how long an owner waits for an announcement before it reports the
	// upstream as silent.
	Silent time.Duration
	// Forget is how long an owner keeps the record of a silent upstream.
	Forget time.Duration
}

// DefaultSpans suit announcements once a second.
var DefaultSpans = Spans{Silent: 3 * time.Second, Forget: 60 * time.Second}

type record struct {
	upstream wire.Upstream
	heard    time.Duration
	silent   bool
}

// Table is what an owner holds. It is not safe for concurrent use.
type Table struct {
	spans   Spans
	records map[string]*record
	// pending collects what changed since the last Flush.
	pending pending
}

type pending struct {
	upserts map[string]bool
	loads   map[string]bool
	events  map[string][]wire.CacheEvent
	silent  map[string]bool
	heard   map[string]bool
	gone    map[string]bool
}

func newPending() pending {
	return pending{
		upserts: make(map[string]bool),
		loads:   make(map[string]bool),
		events:  make(map[string][]wire.CacheEvent),
		silent:  make(map[string]bool),
		heard:   make(map[string]bool),
		gone:    make(map[string]bool),
	}
}

// NewTable returns an empty Table.
func NewTable(spans Spans) *Table {
	return &Table{spans: spans, records: make(map[string]*record), pending: newPending()}
}

// Newer reports whether a replaces b: a later start of the agent, or a later
// record of the same start.
func Newer(a, b wire.Upstream) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Seq > b.Seq
}

// Announce takes an agent's record. It returns true where the record says
// something that must not wait for the next Flush: that the upstream leaves.
func (t *Table) Announce(a *wire.Announce, now time.Duration) (urgent bool) {
	name := a.Upstream.Name
	old := t.records[name]
	if old != nil && !Newer(a.Upstream, old.upstream) {
		return false
	}
	t.records[name] = &record{upstream: a.Upstream, heard: now}
	if len(a.Events) > 0 {
		t.pending.events[name] = append(t.pending.events[name], a.Events...)
	}
	if old == nil || !sameButLoad(old.upstream, a.Upstream) {
		t.pending.upserts[name] = true
		return a.Upstream.State == wire.UpstreamDraining
	}
	if old.silent {
		t.pending.heard[name] = true
		delete(t.pending.silent, name)
	}
	if !a.Standby && old.upstream.Load != a.Upstream.Load {
		t.pending.loads[name] = true
	}
	return false
}

// sameButLoad reports whether two records differ at most in load and sequence.
func sameButLoad(a, b wire.Upstream) bool {
	a.Seq, a.Load = b.Seq, b.Load
	return a == b
}

// Expire marks upstreams silent and forgets them.
func (t *Table) Expire(now time.Duration) {
	for name, r := range t.records {
		quiet := now - r.heard
		if quiet >= t.spans.Forget {
			delete(t.records, name)
			t.pending.gone[name] = true
			continue
		}
		if quiet >= t.spans.Silent && !r.silent {
			r.silent = true
			t.pending.silent[name] = true
			delete(t.pending.heard, name)
		}
	}
}

// Incarnation returns the highest start known of the named upstream, or zero.
func (t *Table) Incarnation(name string) uint64 {
	if r := t.records[name]; r != nil {
		return r.upstream.Incarnation
	}
	return 0
}

// Len returns how many upstreams the table holds.
func (t *Table) Len() int { return len(t.records) }

// Full returns all that a new subscriber has to know.
func (t *Table) Full() *wire.Delta {
	d := &wire.Delta{Full: true}
	for name, r := range t.records {
		d.Upserts = append(d.Upserts, r.upstream)
		if r.silent {
			d.Silent = append(d.Silent, name)
		}
	}
	return d
}

// Flush returns what changed since the last Flush, or nil. withLoads tells
// whether load reports and cache events are due; they wait where not.
func (t *Table) Flush(withLoads bool) *wire.Delta {
	d := &wire.Delta{}
	for name := range t.pending.upserts {
		if r := t.records[name]; r != nil {
			d.Upserts = append(d.Upserts, r.upstream)
		}
	}
	for name := range t.pending.gone {
		if t.records[name] == nil {
			d.Forgotten = append(d.Forgotten, name)
		}
	}
	d.Silent = names(t.pending.silent)
	d.NoLongerSilent = names(t.pending.heard)
	rest := newPending()
	if withLoads {
		t.flushLoads(d)
	} else {
		rest.loads, rest.events = t.pending.loads, t.pending.events
	}
	t.pending = rest
	if isEmpty(d) {
		return nil
	}
	return d
}

func (t *Table) flushLoads(d *wire.Delta) {
	for name := range t.pending.loads {
		r := t.records[name]
		if r == nil || t.pending.upserts[name] {
			continue
		}
		d.Loads = append(d.Loads, wire.UpstreamLoad{Name: name, Load: r.upstream.Load})
	}
	for name, events := range t.pending.events {
		d.Events = append(d.Events, wire.UpstreamEvents{Name: name, Events: events})
	}
}

func isEmpty(d *wire.Delta) bool {
	records := len(d.Upserts) + len(d.Forgotten) + len(d.Silent) + len(d.NoLongerSilent)
	return records+len(d.Loads)+len(d.Events) == 0
}

func names(set map[string]bool) []string {
	var out []string
	for name := range set {
		out = append(out, name)
	}
	return out
}
