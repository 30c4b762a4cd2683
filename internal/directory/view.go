package directory

import (
	"slices"
	"strings"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// ownerRetention is how long a View keeps the records of a disconnected owner.
const ownerRetention = 10 * time.Second

// Entry is an upstream in a View.
type Entry struct {
	Upstream wire.Upstream
	// Suspect is set if no connected owner receives announcements of the upstream.
	Suspect bool
	// LoadAt is when the load report was received, on the clock of the View's caller.
	LoadAt time.Duration
}

// ownerRecord is the record that one owner has of one upstream.
type ownerRecord struct {
	upstream wire.Upstream
	silent   bool
	loadAt   time.Duration
}

// owner is the state of one owner in a View.
type owner struct {
	records map[string]*ownerRecord
	// incarnation and version are those of the owner's last delta.
	incarnation uint64
	version     uint64
	connected   bool
	lostAt      time.Duration
}

// View merges the records of all owners. It is not safe for concurrent use.
type View struct {
	owners map[string]*owner
}

// NewView returns an empty View.
func NewView() *View { return &View{owners: make(map[string]*owner)} }

// Apply applies a delta of an owner. It returns false if a delta before this one is missing;
// the caller must then subscribe to the owner again.
func (v *View) Apply(from string, d *wire.Delta, now time.Duration) bool {
	o := v.owners[from]
	if d.Full {
		o = &owner{records: make(map[string]*ownerRecord), incarnation: d.Incarnation}
		v.owners[from] = o
	} else if o == nil || o.incarnation != d.Incarnation || o.version+1 != d.Version {
		return false
	}
	o.version = d.Version
	o.connected = true
	o.merge(d, now)
	return true
}

// IsCurrent reports whether the View has all changes up to the version in the notice.
func (v *View) IsCurrent(from string, n *wire.DigestNotice) bool {
	o := v.owners[from]
	return o != nil && o.incarnation == n.Incarnation && o.version == n.Version
}

func (o *owner) merge(d *wire.Delta, now time.Duration) {
	for _, u := range d.Upserts {
		o.records[u.Name] = &ownerRecord{upstream: u, loadAt: now}
	}
	for _, l := range d.Loads {
		if r := o.records[l.Name]; r != nil {
			r.upstream.Load = l.Load
			r.loadAt = now
			r.silent = false
		}
	}
	for _, name := range d.Silent {
		if r := o.records[name]; r != nil {
			r.silent = true
		}
	}
	for _, name := range d.NoLongerSilent {
		if r := o.records[name]; r != nil {
			r.silent = false
		}
	}
	for _, name := range d.Forgotten {
		delete(o.records, name)
	}
}

// OwnerDisconnected marks an owner as disconnected. Its records are kept for ownerRetention,
// so that agents have time to announce to the next owner.
func (v *View) OwnerDisconnected(from string, now time.Duration) {
	if o := v.owners[from]; o != nil && o.connected {
		o.connected = false
		o.lostAt = now
	}
}

// Expire removes owners that have been disconnected for ownerRetention, and reports whether
// there were any.
func (v *View) Expire(now time.Duration) bool {
	before := len(v.owners)
	for name, o := range v.owners {
		if !o.connected && now-o.lostAt >= ownerRetention {
			delete(v.owners, name)
		}
	}
	return len(v.owners) != before
}

// Entries returns all upstreams sorted by name, each with the newest record of all owners and
// the newest load report.
func (v *View) Entries() []Entry {
	merged := make(map[string]*Entry)
	heard := make(map[string]bool)
	for _, o := range v.owners {
		for name, r := range o.records {
			heard[name] = heard[name] || (o.connected && !r.silent)
			mergeRecord(merged, name, r)
		}
	}
	out := make([]Entry, 0, len(merged))
	for name, e := range merged {
		e.Suspect = !heard[name]
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Upstream.Name, b.Upstream.Name) })
	return out
}

// mergeRecord adds the record of one owner to the merged entries.
func mergeRecord(merged map[string]*Entry, name string, r *ownerRecord) {
	e := merged[name]
	if e == nil {
		merged[name] = &Entry{Upstream: r.upstream, LoadAt: r.loadAt}
		return
	}
	load, loadAt := e.Upstream.Load, e.LoadAt
	if r.loadAt > loadAt {
		load, loadAt = r.upstream.Load, r.loadAt
	}
	if Newer(r.upstream, e.Upstream) {
		e.Upstream = r.upstream
	}
	e.Upstream.Load, e.LoadAt = load, loadAt
}
