package consensus

import (
	"sort"

	"github.com/pkg/errors"
)

// raftLog holds the entries after baseIndex in memory. Slices that it returns are capped at
// their length, and a truncation makes the next append allocate a new array, so that
// entries shared with callers never change.
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	// writtenIndex is the last index that was handed over for writing, and stableIndex the last
	// one known to be synced. An entry that replaces another one counts as neither at first.
	writtenIndex, stableIndex uint64
}

func (l *raftLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index i. It reports false if that entry was
// compacted or is beyond the end of the log.
func (l *raftLog) term(i uint64) (uint64, bool) {
	if i == l.baseIndex {
		return l.baseTerm, true
	}
	if i < l.baseIndex || i > l.lastIndex() {
		return 0, false
	}
	return l.entries[i-l.baseIndex-1].Term, true
}

func (l *raftLog) matchesTerm(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// entriesFrom returns the entries from index lo on, up to maxBytes of data. It returns at
// least one entry if the log has one.
func (l *raftLog) entriesFrom(lo uint64, maxBytes int) []Entry {
	available := l.slice(lo, l.lastIndex())
	size := 0
	for i := range available {
		size += available[i].size()
		if i > 0 && size > maxBytes {
			return available[:i:i]
		}
	}
	return available
}

// slice returns the entries from index lo to hi, both included, or nil if there is
// none or lo was compacted.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo > hi || lo <= l.baseIndex {
		return nil
	}
	a, b := lo-l.baseIndex-1, hi-l.baseIndex
	return l.entries[a:b:b]
}

// firstMissing returns the position in entries of the first entry that the log does not
// contain, or len(entries) if it contains all.
func (l *raftLog) firstMissing(entries []Entry) int {
	for i := range entries {
		if entries[i].Index > l.baseIndex && !l.matchesTerm(entries[i].Index, entries[i].Term) {
			return i
		}
	}
	return len(entries)
}

// truncateAndAppend removes the entries from entries[0].Index on and appends the given
// ones.
func (l *raftLog) truncateAndAppend(entries []Entry) {
	first := entries[0].Index
	if first <= l.lastIndex() {
		keep := first - l.baseIndex - 1
		l.entries = l.entries[:keep:keep]
		l.writtenIndex = min(l.writtenIndex, first-1)
		l.stableIndex = min(l.stableIndex, first-1)
	}
	l.entries = append(l.entries, entries...)
}

// lastWithTermAtMost returns the index and term of the last entry up to index i whose term
// is not above term.
func (l *raftLog) lastWithTermAtMost(i, term uint64) (uint64, uint64) {
	i = min(i, l.lastIndex())
	if i <= l.baseIndex {
		return i, l.baseTerm
	}
	n := int(i - l.baseIndex)
	k := sort.Search(n, func(j int) bool { return l.entries[j].Term > term })
	index := l.baseIndex + uint64(k)
	t, _ := l.term(index)
	return index, t
}

// isUpToDate reports whether a log whose last entry has the given index and term is at
// least as up to date as this one.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	ownTerm := l.lastTerm()
	return term > ownTerm || (term == ownTerm && index >= l.lastIndex())
}

// compact removes the entries up to index i.
func (l *raftLog) compact(i uint64) {
	if i <= l.baseIndex {
		return
	}
	t, _ := l.term(i)
	l.entries = append([]Entry(nil), l.entries[i-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = i, t
}

// reset empties the log so that it continues after a snapshot. The entries that the snapshot
// covers count as synced, since a majority has them on disk.
func (l *raftLog) reset(meta SnapshotMeta) {
	*l = raftLog{baseIndex: meta.Index, baseTerm: meta.Term, writtenIndex: meta.Index, stableIndex: meta.Index}
}

// restoreLog rebuilds the log from persisted state. It omits the entries that the snapshot
// covers. It also omits a suffix with terms below those of the entries before it: the
// snapshot superseded these entries, so they can't be committed.
func restoreLog(r PersistedState) (*raftLog, error) {
	l := &raftLog{}
	l.reset(r.Snapshot.Meta)
	for _, e := range r.Entries {
		if e.Index <= l.baseIndex {
			continue
		}
		if e.Term < l.lastTerm() {
			break
		}
		if e.Index != l.lastIndex()+1 {
			return nil, errors.Errorf("log has a gap: entry %d follows entry %d", e.Index, l.lastIndex())
		}
		l.entries = append(l.entries, e)
	}
	l.writtenIndex, l.stableIndex = l.lastIndex(), l.lastIndex()
	return l, nil
}

func (e *Entry) size() int { return len(e.Data) }
