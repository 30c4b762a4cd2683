package directory

import (
	"slices"
	"strings"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// ownerGrace is how long a View keeps the word of an owner that it lost.
const ownerGrace = 10 * time.Second

// Entry is one upstream as an entry host sees it.
type Entry struct {
	Upstream wire.Upstream
	// Suspect tells that no owner hears from the upstream at present.
	Suspect bool
	// LoadAt is when the load report came in, on the clock of the View's caller.
	LoadAt time.Duration
}

// word is what one owner says of one upstream.
type word struct {
	upstream wire.Upstream
	silent   bool
	loadAt   time.Duration
}

type owner struct {
	words map[string]*word
	// incarnation and version place the owner's last delta.
	incarnation uint64
	version     uint64
	connected   bool
	lostAt      time.Duration
}

// View merges the words of all owners. It is not safe for concurrent use.
type View struct {
	owners map[string]*owner
}

// NewView returns an empty View.
func NewView() *View { return &View{owners: make(map[string]*owner)} }

// Apply merges a delta of the named owner. It returns false where the delta does
// not follow the last one: the caller subscribes anew.
func (v *View) Apply(from string, d *wire.Delta, now time.Duration) bool {
	o := v.owners[from]
	if d.Full {
		o = &owner{words: make(map[string]*word), incarnation: d.Incarnation}
		v.owners[from] = o
	} else if o == nil || o.incarnation != d.Incarnation || o.version+1 != d.Version {
		return false
	}
	o.version = d.Version
	o.connected = true
	o.merge(d, now)
	return true
}

// IsCurrent reports whether the View holds the owner's state at the notice.
func (v *View) IsCurrent(from string, n *wire.DigestNotice) bool {
	o := v.owners[from]
	return o != nil && o.incarnation == n.Incarnation && o.version == n.Version
}

func (o *owner) merge(d *wire.Delta, now time.Duration) {
	for _, u := range d.Upserts {
		o.words[u.Name] = &word{upstream: u, loadAt: now}
	}
	for _, l := range d.Loads {
		if w := o.words[l.Name]; w != nil {
			w.upstream.Load = l.Load
			w.loadAt = now
			w.silent = false
		}
	}
	for _, name := range d.Silent {
		if w := o.words[name]; w != nil {
			w.silent = true
		}
	}
	for _, name := range d.NoLongerSilent {
		if w := o.words[name]; w != nil {
			w.silent = false
		}
	}
	for _, name := range d.Forgotten {
		delete(o.words, name)
	}
}

// Lost notes that the session with an owner ended. Its words fade after a grace,
// within which the agents announce to the next owner.
func (v *View) Lost(from string, now time.Duration) {
	if o := v.owners[from]; o != nil && o.connected {
		o.connected = false
		o.lostAt = now
	}
}

// Expire drops the owners whose grace has ended and reports whether there were any.
func (v *View) Expire(now time.Duration) bool {
	before := len(v.owners)
	for name, o := range v.owners {
		if !o.connected && now-o.lostAt >= ownerGrace {
			delete(v.owners, name)
		}
	}
	return len(v.owners) != before
}

// Entries returns all upstreams, sorted by name. For each, the newest record of
// any owner counts; an upstream is suspect when no connected owner hears it.
func (v *View) Entries() []Entry {
	merged := make(map[string]*Entry)
	heard := make(map[string]bool)
	for _, o := range v.owners {
		for name, w := range o.words {
			heard[name] = heard[name] || (o.connected && !w.silent)
			mergeWord(merged, name, w)
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

func mergeWord(merged map[string]*Entry, name string, w *word) {
	e := merged[name]
	if e == nil {
		merged[name] = &Entry{Upstream: w.upstream, LoadAt: w.loadAt}
		return
	}
	load, loadAt := e.Upstream.Load, e.LoadAt
	if w.loadAt > loadAt {
		load, loadAt = w.upstream.Load, w.loadAt
	}
	if Newer(w.upstream, e.Upstream) {
		e.Upstream = w.upstream
	}
	e.Upstream.Load, e.LoadAt = load, loadAt
}
