package quarantine

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Entry describes a suspected or quarantined request, or a part of prompts.
type Entry struct {
	Fingerprint Fingerprint
	// IsPart is set for a part of prompts. Workspace is empty then.
	IsPart    bool
	Workspace string
	Verdict   Verdict
	// Remaining is how much longer the request stays in quarantine.
	Remaining time.Duration
	// Ends are the uncleared crashes under the request, the oldest first.
	Ends []EntryCrash
}

// EntryCrash is a crash of an upstream while it ran the request of an Entry.
type EntryCrash struct {
	Incarnation
	// Request is the id of the request on that upstream, Age is the time since the crash.
	Request string
	Age     time.Duration
}

// Kind returns what the entry describes, as used in the administration API.
func (e *Entry) Kind() string {
	if e.IsPart {
		return "part"
	}
	return "request"
}

func (e *Entry) requests() []string {
	var out []string
	for _, c := range e.Ends {
		out = append(out, c.Request)
	}
	return out
}

func (e *Entry) upstreams() []string {
	var out []string
	for _, c := range e.Ends {
		out = append(out, c.Upstream)
	}
	return out
}

// Entry returns the verdict on a request and the crashes under it.
func (t *Table) Entry(f Fingerprint, now time.Duration) Entry {
	r := t.records[f]
	if r == nil {
		return Entry{Fingerprint: f}
	}
	e := Entry{Fingerprint: f, IsPart: r.quota.isOfParts, Workspace: r.quota.workspace, Verdict: t.Verdict(f, now)}
	if e.Verdict == Quarantined {
		e.Remaining = r.until - now
	}
	for incarnation, s := range r.crashes {
		if !s.isCleared {
			e.Ends = append(e.Ends, EntryCrash{Incarnation: incarnation, Request: s.request, Age: now - s.at})
		}
	}
	slices.SortFunc(e.Ends, func(a, b EntryCrash) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), a.compare(b.Incarnation))
	})
	return e
}

// Quarantined returns the requests in quarantine, sorted by fingerprint.
func (t *Table) Quarantined(now time.Duration) []Fingerprint {
	var out []Fingerprint
	for f := range t.records {
		if t.Verdict(f, now) == Quarantined {
			out = append(out, f)
		}
	}
	slices.SortFunc(out, Fingerprint.compare)
	return out
}

// List returns all suspected and quarantined requests. Quarantined ones come first, then those
// with the most crashes.
func (t *Table) List(now time.Duration) []Entry {
	var out []Entry
	for f := range t.records {
		if e := t.Entry(f, now); e.Verdict != Free {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), cmp.Compare(len(b.Ends), len(a.Ends)), a.Fingerprint.compare(b.Fingerprint))
	})
	return out
}

// ParseFingerprint parses the form that Fingerprint.String returns.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != len(f) {
		return f, errors.Errorf("%q is not a fingerprint: %d hexadecimal digits", s, 2*len(f))
	}
	copy(f[:], data)
	return f, nil
}
