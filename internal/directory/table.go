package directory

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Timeouts are the timeouts for upstreams that stop announcing themselves.
type Timeouts struct {
	// SilenceTimeout is the time without an announcement after which an owner reports the
	// upstream as silent.
	SilenceTimeout time.Duration
	// ForgetTimeout is the time without an announcement after which an owner removes the
	// record.
	ForgetTimeout time.Duration
}

// DefaultTimeouts are suitable for one announcement per second.
var DefaultTimeouts = Timeouts{SilenceTimeout: 3 * time.Second, ForgetTimeout: 60 * time.Second}

// record is the record of one upstream.
type record struct {
	upstream wire.Upstream
	// heard is when the last announcement was received.
	heard  time.Duration
	silent bool
}

// Table holds the records of the upstreams that this host owns. It is not safe for concurrent
// use.
type Table struct {
	timeouts Timeouts
	records  map[string]*record
	// pending contains the changes since the last Flush.
	pending pending
}

// pending contains changes by the name of the upstream.
type pending struct {
	// upserts are upstreams whose record is new or differs in more than its load.
	upserts map[string]bool
	loads   map[string]bool
	events  map[string][]wire.CacheEvent
	// silent are upstreams that became silent, heard those that announced themselves again.
	silent    map[string]bool
	heard     map[string]bool
	forgotten map[string]bool
}

func newPending() pending {
	return pending{
		upserts:   make(map[string]bool),
		loads:     make(map[string]bool),
		events:    make(map[string][]wire.CacheEvent),
		silent:    make(map[string]bool),
		heard:     make(map[string]bool),
		forgotten: make(map[string]bool),
	}
}

// NewTable returns an empty Table.
func NewTable(timeouts Timeouts) *Table {
	return &Table{timeouts: timeouts, records: make(map[string]*record), pending: newPending()}
}

// Newer reports whether record a replaces record b: it has a higher incarnation, or the same
// incarnation and a higher sequence number.
func Newer(a, b wire.Upstream) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Seq > b.Seq
}

// Announce stores an agent's record unless it is out of date. It returns true if the change
// must be flushed immediately, because the upstream is shutting down.
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
	if old == nil || !equalExceptLoad(old.upstream, a.Upstream) {
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

// equalExceptLoad reports whether two records are equal apart from load and sequence number.
func equalExceptLoad(a, b wire.Upstream) bool {
	a.Seq, a.Load = b.Seq, b.Load
	return a == b
}

// Expire marks upstreams as silent after SilenceTimeout and removes them after ForgetTimeout.
func (t *Table) Expire(now time.Duration) {
	for name, r := range t.records {
		quiet := now - r.heard
		if quiet >= t.timeouts.ForgetTimeout {
			delete(t.records, name)
			t.pending.forgotten[name] = true
			continue
		}
		if quiet >= t.timeouts.SilenceTimeout && !r.silent {
			r.silent = true
			t.pending.silent[name] = true
			delete(t.pending.heard, name)
		}
	}
}

// Incarnation returns the highest known incarnation of an upstream, or zero.
func (t *Table) Incarnation(name string) uint64 {
	if r := t.records[name]; r != nil {
		return r.upstream.Incarnation
	}
	return 0
}

// Len returns how many upstreams the table holds.
func (t *Table) Len() int { return len(t.records) }

// Full returns the whole table for a new subscriber.
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

// Flush returns the changes since the last Flush, or nil if there are none. Load reports and
// cache events are returned only if withLoads is set; otherwise they remain pending.
func (t *Table) Flush(withLoads bool) *wire.Delta {
	d := &wire.Delta{}
	for name := range t.pending.upserts {
		if r := t.records[name]; r != nil {
			d.Upserts = append(d.Upserts, r.upstream)
		}
	}
	for name := range t.pending.forgotten {
		if t.records[name] == nil {
			d.Forgotten = append(d.Forgotten, name)
		}
	}
	d.Silent = names(t.pending.silent)
	d.NoLongerSilent = names(t.pending.heard)
	remaining := newPending()
	if withLoads {
		t.flushLoads(d)
	} else {
		remaining.loads, remaining.events = t.pending.loads, t.pending.events
	}
	t.pending = remaining
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
