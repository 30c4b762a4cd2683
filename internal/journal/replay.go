package journal

import (
	"path/filepath"
	"strconv"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// replay rebuilds the state of a journal from its segments.
type replay struct {
	journal *Journal
	// snapshot is the index of the current snapshot, zero if there is none.
	snapshot  uint64
	hardState consensus.HardState
	entries   []consensus.Entry
	truncated bool
	// sum is the checksum of the last record that was read.
	sum uint32
}

func (r *replay) run(files folderListing, m manifest) error {
	for number := m.First; number <= m.Last; number++ {
		name := segmentName(number)
		if !files.has(name) {
			return &CorruptError{File: name, Reason: "missing"}
		}
		data, err := r.journal.fs.ReadFile(filepath.Join(r.journal.dir, name))
		if err != nil {
			return errors.Wrap(err, "read segment")
		}
		if err := r.segment(name, data, number, m); err != nil {
			return err
		}
	}
	return nil
}

func (r *replay) segment(name string, data []byte, number uint64, m manifest) error {
	s := scanSegment(data)
	if s.corrupt != "" {
		return &CorruptError{File: name, Offset: int64(s.end), Reason: s.corrupt}
	}
	if s.torn != "" && number != m.Last {
		return &CorruptError{File: name, Offset: int64(s.end), Reason: s.torn + " before the last segment"}
	}
	if err := r.head(name, s.head, number, m); err != nil {
		return err
	}
	seg := segment{number: number}
	for _, b := range s.batches {
		if reason := r.batch(b); reason != "" {
			return &CorruptError{File: name, Offset: int64(s.end), Reason: reason}
		}
		if n := len(b.Entries); n > 0 {
			seg.highest = max(seg.highest, b.Entries[n-1].Index)
		}
	}
	r.sum = s.sum
	r.journal.segments = append(r.journal.segments, seg)
	if number != m.Last {
		return nil
	}
	return r.openForAppend(name, data, s)
}

// head checks that a segment's head has the expected number, belongs to this disk, and
// follows the previous segment. It sets the hard state at the segment's start.
func (r *replay) head(name string, h segmentHead, number uint64, m manifest) error {
	switch {
	case h.Number != number:
		return &CorruptError{File: name, Reason: "head has another segment number"}
	case h.DiskID != r.journal.diskID:
		return &CorruptError{File: name, Reason: "belongs to another disk"}
	case number != m.First && h.Previous != r.sum:
		return &CorruptError{File: name, Reason: "does not follow the segment before it"}
	}
	r.hardState = h.HardState
	return nil
}

// batch adds one batch to the log. If the batch can't follow the previous ones, it returns
// the reason, and otherwise an empty string.
func (r *replay) batch(b batch) string {
	if b.HardState != nil {
		r.hardState = *b.HardState
	}
	if len(b.Entries) == 0 {
		return ""
	}
	first := b.Entries[0].Index
	if first > r.snapshot+uint64(len(r.entries))+1 {
		return "gap in the log before entry " + strconv.FormatUint(first, 10)
	}
	kept := uint64(0)
	if first > r.snapshot {
		kept = first - r.snapshot - 1
	}
	r.entries = r.entries[:min(kept, uint64(len(r.entries)))]
	for i, e := range b.Entries {
		if e.Index != first+uint64(i) {
			return "gap in a batch before entry " + strconv.FormatUint(e.Index, 10)
		}
		if e.Index > r.snapshot {
			r.entries = append(r.entries, e)
		}
	}
	return ""
}

// openForAppend opens the last segment for appending. It removes an unfinished record, and
// writes the last complete record again, because after a failed sync that record may be in
// the page cache but not on disk.
func (r *replay) openForAppend(name string, data []byte, s scan) error {
	j := r.journal
	f, err := j.fs.Open(filepath.Join(j.dir, name))
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	j.file = f
	j.offset = int64(s.end)
	j.sum = s.sum
	if s.end < len(data) {
		if err := f.Truncate(int64(s.end)); err != nil {
			return errors.Wrap(err, "truncate segment")
		}
		r.truncated = true
		j.log.Warn("journal removed an unfinished record", "file", name, "offset", s.end, "bytes", len(data)-s.end)
	}
	if _, err := f.WriteAt(data[s.lastStart:s.end], int64(s.lastStart)); err != nil {
		return errors.Wrap(err, "write last record again")
	}
	return errors.Wrap(f.Sync(), "sync segment")
}

// scan is the decoded content of one segment.
type scan struct {
	head    segmentHead
	batches []batch
	// lastStart and end are the offsets at which the last complete record starts and ends.
	lastStart, end int
	sum            uint32
	// torn and corrupt are the reasons why reading stopped before the end of the file. At
	// most one of them is set.
	torn, corrupt string
}

// scanSegment decodes a segment up to its end or the first record that is not valid.
func scanSegment(data []byte) scan {
	var s scan
	for {
		f, state, reason := readFrame(data, s.end, s.sum)
		switch state {
		case frameEnd:
			if s.end == 0 {
				s.corrupt = "missing head"
			}
			return s
		case frameCorrupt:
			s.corrupt = reason
			return s
		case frameTorn:
			s.setTorn(reason)
			return s
		}
		if err := s.addRecord(f); err != nil {
			s.corrupt = err.Error()
			return s
		}
		s.lastStart, s.end, s.sum = s.end, f.end, f.sum
	}
}

// setTorn records that a record is unfinished. A segment's head can't be unfinished,
// because it is synced before the segment gets its name, so a torn head is corrupt.
func (s *scan) setTorn(reason string) {
	if s.end == 0 {
		s.corrupt = "head: " + reason
		return
	}
	s.torn = reason
}

func (s *scan) addRecord(f frame) error {
	if s.end == 0 {
		if f.kind != kindSegment {
			return errors.New("no segment head")
		}
		return errors.Wrap(decoding.Unmarshal(f.payload, &s.head), "segment head")
	}
	if f.kind != kindBatch {
		return errors.New("unknown kind of record")
	}
	var b batch
	if err := decoding.Unmarshal(f.payload, &b); err != nil {
		return errors.Wrap(err, "batch")
	}
	s.batches = append(s.batches, b)
	return nil
}
