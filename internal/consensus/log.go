package consensus

import (
	"sort"

	"github.com/pkg/errors"
)

// raftLog holds the entries after base. Handed-out slices are capped, and a
// truncation forces a new array, so that shared entries never change.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []Entry
	// stable is the last index that is known to be persisted.
	stable uint64
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i, false where i is compacted or beyond the end.
func (l *raftLog) term(i uint64) (uint64, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *raftLog) matches(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// from returns the entries lo and later, at least one if there is one, and no
// more than maxBytes of data beyond the first.
func (l *raftLog) from(lo uint64, maxBytes int) []Entry {
	rest := l.slice(lo, l.last())
	size := 0
	for i := range rest {
		size += rest[i].size()
		if i > 0 && size > maxBytes {
			return rest[:i:i]
		}
	}
	return rest
}

// slice returns the entries lo to hi, both included.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo > hi || lo <= l.base {
		return nil
	}
	a, b := lo-l.base-1, hi-l.base
	return l.entries[a:b:b]
}

// firstNew returns the first of the entries that the log does not hold, or the
// length of entries when it holds all.
func (l *raftLog) firstNew(entries []Entry) int {
	for i := range entries {
		if entries[i].Index > l.base && !l.matches(entries[i].Index, entries[i].Term) {
			return i
		}
	}
	return len(entries)
}

// put appends entries after it cut what conflicts with them.
func (l *raftLog) put(entries []Entry) {
	at := entries[0].Index
	if at <= l.last() {
		keep := at - l.base - 1
		l.entries = l.entries[:keep:keep]
		l.stable = min(l.stable, at-1)
	}
	l.entries = append(l.entries, entries...)
}

// lastAtOrBelow returns the last index up to i whose term is at most term.
func (l *raftLog) lastAtOrBelow(i, term uint64) (uint64, uint64) {
	i = min(i, l.last())
	if i <= l.base {
		return i, l.baseTerm
	}
	n := int(i - l.base)
	k := sort.Search(n, func(j int) bool { return l.entries[j].Term > term })
	found := l.base + uint64(k)
	t, _ := l.term(found)
	return found, t
}

// newer reports whether a log that ends at index and term holds all that this one does.
func (l *raftLog) upToDate(index, term uint64) bool {
	mine := l.lastTerm()
	return term > mine || (term == mine && index >= l.last())
}

// compact forgets the entries up to i.
func (l *raftLog) compact(i uint64) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.entries = append([]Entry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// reset empties the log behind a snapshot.
func (l *raftLog) reset(meta SnapshotMeta) {
	*l = raftLog{base: meta.Index, baseTerm: meta.Term, stable: meta.Index}
}

// restoreLog rebuilds the log from what was persisted. Entries that the snapshot
// covers are left out, and so is a suffix whose terms fall below the ones before:
// such entries were overtaken by the snapshot and can't be committed.
func restoreLog(r PersistedState) (*raftLog, error) {
	l := &raftLog{}
	l.reset(r.Snapshot.Meta)
	for _, e := range r.Entries {
		if e.Index <= l.base {
			continue
		}
		if e.Term < l.lastTerm() {
			break
		}
		if e.Index != l.last()+1 {
			return nil, errors.Errorf("log has entry %d after %d", e.Index, l.last())
		}
		l.entries = append(l.entries, e)
	}
	l.stable = l.last()
	return l, nil
}

func (e *Entry) size() int { return len(e.Data) }
