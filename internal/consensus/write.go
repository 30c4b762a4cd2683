package consensus

// Write is work for the disk. Writes must be done in the order of their numbers: first
// Snapshot, which replaces the log unless the log has its last entry, then HardState and
// Entries, which replace the log from their first index on. Promises may be sent once this
// write and all earlier ones are synced; then Core.Synced must be called.
type Write struct {
	// Number is zero if the write is empty.
	Number    uint64
	Snapshot  *Snapshot
	HardState *HardState
	Entries   []Entry
	Promises  []Message
}

// IsEmpty reports whether there is nothing to do.
func (w Write) IsEmpty() bool { return !w.HasData() && len(w.Promises) == 0 }

// HasData reports whether anything must be written. Otherwise the promises only wait for
// earlier writes.
func (w Write) HasData() bool { return w.Snapshot != nil || w.HardState != nil || len(w.Entries) > 0 }

// Size returns the size of the entries' data in bytes.
func (w Write) Size() int {
	n := 0
	for i := range w.Entries {
		n += w.Entries[i].size()
	}
	return n
}

// Merge returns the write that has the effect of w and then of next, with one sync. It
// reports false if next has a snapshot, which must be written by itself.
func (w Write) Merge(next Write) (Write, bool) {
	if next.Snapshot != nil {
		return w, false
	}
	if next.HardState != nil {
		w.HardState = next.HardState
	}
	if len(next.Entries) > 0 {
		w.Entries = mergeEntries(w.Entries, next.Entries)
	}
	w.Number = next.Number
	w.Promises = append(w.Promises[:len(w.Promises):len(w.Promises)], next.Promises...)
	return w, true
}

// mergeEntries returns entries as a log has them after next replaced them from its first
// index on.
func mergeEntries(entries, next []Entry) []Entry {
	keep := 0
	for keep < len(entries) && entries[keep].Index < next[0].Index {
		keep++
	}
	return append(entries[:keep:keep], next...)
}

// outstandingWrite is a write that was handed over and is not synced yet. Once it is synced,
// the current entries up to lastIndex and the hard state of term are on disk.
type outstandingWrite struct {
	number, lastIndex, term uint64
	// tick is when the write was handed over.
	tick uint64
	size int
}

// writeQueue holds the outstanding writes, oldest first.
type writeQueue struct {
	last uint64
	list []outstandingWrite
	// size is the size of all entries in the list in bytes.
	size int
}

// add records a write after which the log ends at lastIndex, and returns its number.
func (q *writeQueue) add(w Write, lastIndex, term, tick uint64) uint64 {
	q.last++
	o := outstandingWrite{number: q.last, lastIndex: lastIndex, term: term, tick: tick, size: w.Size()}
	q.list = append(q.list, o)
	q.size += o.size
	return q.last
}

// age returns for how many ticks the oldest write has been outstanding.
func (q *writeQueue) age(tick uint64) uint64 {
	if len(q.list) == 0 {
		return 0
	}
	return tick - q.list[0].tick
}

// truncate records that the entries from index on are not those that the outstanding writes
// contain. A later leader may restore an entry that was replaced, so comparing terms when a
// write is synced would not tell which write the entry on disk comes from.
func (q *writeQueue) truncate(index uint64) {
	for i := range q.list {
		q.list[i].lastIndex = min(q.list[i].lastIndex, index-1)
	}
}

// finish removes the writes up to number. It returns the last log index that they made stable
// and the term that they recorded, or zeros if there is none.
func (q *writeQueue) finish(number uint64) (stable, term uint64) {
	for len(q.list) > 0 && q.list[0].number <= number {
		stable, term = q.list[0].lastIndex, q.list[0].term
		q.size -= q.list[0].size
		q.list = q.list[1:]
	}
	return stable, term
}

// maxOutstandingWrites bounds the outstanding writes, most of which have no data.
const maxOutstandingWrites = 4096

// isDiskBacklogFull reports whether so much waits for the disk that nothing may be added.
func (c *Core) isDiskBacklogFull() bool {
	return c.writes.size > c.cfg.MaxUncommittedBytes || len(c.writes.list) > maxOutstandingWrites
}
