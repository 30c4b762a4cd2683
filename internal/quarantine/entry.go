package quarantine

import (
	"cmp"
	"encoding/hex"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// Entry is what a host holds against one request.
type Entry struct {
	Fingerprint Fingerprint
	Workspace   string
	Verdict     Verdict
	// Remaining is how much longer the request is held.
	Remaining time.Duration
	// Crashes are the upstreams that ended under it, the first one first.
	Crashes []EntryCrash
}

// EntryCrash is one of them.
type EntryCrash struct {
	Incarnation
	// Request is the id under which the request ran there, Age how long ago that was.
	Request string
	Age     time.Duration
}

func (e *Entry) requests() []string {
	var out []string
	for _, end := range e.Crashes {
		out = append(out, end.Request)
	}
	return out
}

func (e *Entry) upstreams() []string {
	var out []string
	for _, end := range e.Crashes {
		out = append(out, end.Upstream)
	}
	return out
}

// Entry returns what is held against a request.
func (t *Table) Entry(f Fingerprint, now time.Duration) Entry {
	r := t.records[f]
	if r == nil {
		return Entry{Fingerprint: f}
	}
	e := Entry{Fingerprint: f, Workspace: r.workspace, Verdict: t.Verdict(f, now)}
	if e.Verdict == Quarantined {
		e.Remaining = r.until - now
	}
	for end, s := range r.crashes {
		if !s.isCleared {
			e.Crashes = append(e.Crashes, EntryCrash{Incarnation: end, Request: s.request, Age: now - s.at})
		}
	}
	slices.SortFunc(e.Crashes, func(a, b EntryCrash) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), a.compare(b.Incarnation))
	})
	return e
}

// Quarantined returns the requests that are sent to nobody, in a fixed order.
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

// List returns what is held against requests: those that are held first, then those with
// most ends.
func (t *Table) List(now time.Duration) []Entry {
	var out []Entry
	for f := range t.records {
		if e := t.Entry(f, now); e.Verdict != Free {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Verdict, a.Verdict), cmp.Compare(len(b.Crashes), len(a.Crashes)), a.Fingerprint.compare(b.Fingerprint))
	})
	return out
}

// ParseFingerprint reads what String writes.
func ParseFingerprint(s string) (Fingerprint, error) {
	var f Fingerprint
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != len(f) {
		return f, errors.Errorf("%q is not a fingerprint: %d hexadecimal digits", s, 2*len(f))
	}
	copy(f[:], data)
	return f, nil
}
