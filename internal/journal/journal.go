// Package journal stores the log, the hard state and the latest snapshot of one consensus
// replica in a data folder.
//
// # Files
//
// The file disk-id holds a random identity of the disk. The file manifest holds the
// numbers of the first and the last segment and the index of the current snapshot. A file
// segment-N holds records, and snapshot-N holds the snapshot at log index N. The file lock
// is locked by the process that uses the folder. All files except segments and the lock
// are replaced atomically: written under a temporary name, synced, renamed, and the folder
// synced.
//
// # Detected damage
//
// Each record contains its length, its offset, the checksum of the previous record, and
// CRC-32C checksums of header and body. One Append makes one record, one write and one
// sync, so only the last record can be unfinished. A crash may leave the last record
// truncated, or with zeros in place of some sectors (512 bytes). Open then removes it.
// Anything else is a CorruptError: a bad header that is not all zeros; a bad body of full
// length without a missing sector, such as a flipped bit in the last record although it
// was synced; damage before a later record; a gap in the log; and a segment, snapshot or
// manifest that is missing or belongs to another disk.
//
// Two kinds of damage can't be told apart from an unfinished write: a last segment that
// was truncated after the sync, and sectors of its last record that became all zeros, even
// if only because the single set bit in a sector flipped. Disks that write less than a
// sector atomically, or that acknowledge a sync before it is done, are not supported.
package journal

import (
	"fmt"
	"io"
	"log/slog"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 16 << 20

const (
	diskIDName     = "disk-id"
	manifestName   = "manifest"
	lockName       = "lock"
	tempSuffix     = ".tmp"
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
)

// maxSnapshotMetaBytes is more than the metadata of a snapshot takes in its record.
const maxSnapshotMetaBytes = 1 << 20

// ErrClosed is returned by all methods of a closed journal except Close.
var ErrClosed = errors.New("journal is closed")

// CorruptError reports that the folder no longer contains all data that was synced. The
// replica must not start with it.
type CorruptError struct {
	// File is the base name of the damaged file.
	File string
	// Offset is the position of the damaged record in the file, in bytes.
	Offset int64
	// Reason describes the damage.
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal is corrupt: %s at byte %d: %s", e.File, e.Offset, e.Reason)
}

// Options are the settings of a journal.
type Options struct {
	// Dir is the data folder. It is created if missing; its parent must exist.
	Dir string
	// FS is the file system; nil means OS.
	FS FS
	// SegmentBytes is the size at which a new segment is started; zero means
	// DefaultSegmentBytes.
	SegmentBytes int64
	// Logger receives log messages; nil means slog.Default().
	Logger *slog.Logger
	// Metrics is the registry for the counters; nil means a private one.
	Metrics metrics.Registry
}

// Recovered is the content of a folder when it was opened.
type Recovered struct {
	// DiskID is the random identity of the disk. A folder that is created again after a
	// loss has another one.
	DiskID string
	// Fresh is set if Open created the folder's files.
	Fresh bool
	// HardState is the last appended hard state. Its Commit may be below the index of
	// the snapshot.
	HardState consensus.HardState
	// Snapshot is the latest snapshot; its index is zero if there is none.
	Snapshot consensus.Snapshot
	// Entries are the log entries after the snapshot, without gaps.
	Entries []consensus.Entry
	// Truncated is set if an unfinished last record was removed.
	Truncated bool
}

// manifest identifies the current files: the numbers of the first and the last segment,
// and the index of the snapshot, zero if there is none.
type manifest struct {
	First    uint64 `cbor:"1,keyasint"`
	Last     uint64 `cbor:"2,keyasint"`
	Snapshot uint64 `cbor:"3,keyasint"`
}

// segmentHead is the first record of a segment. Previous is the checksum of the last
// record of the segment before it; HardState is the state at the start of the segment.
type segmentHead struct {
	Number    uint64              `cbor:"1,keyasint"`
	DiskID    string              `cbor:"2,keyasint"`
	Previous  uint32              `cbor:"3,keyasint"`
	HardState consensus.HardState `cbor:"4,keyasint"`
}

// batch is the record that one Append writes.
type batch struct {
	HardState *consensus.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []consensus.Entry    `cbor:"2,keyasint,omitempty"`
}

// segment is the in-memory information about a segment file.
type segment struct {
	number uint64
	// highest is the highest index among its entries, zero if it has none.
	highest uint64
}

// Journal is the persistent log of one replica. It is safe for concurrent use.
type Journal struct {
	fs           FS
	dir          string
	segmentBytes int64
	log          *slog.Logger
	counters     counters
	diskID       string
	lock         io.Closer

	// mu guards the fields below.
	mu sync.Mutex
	// failed is the first disk failure, or ErrClosed. All later calls return it.
	failed error
	// file is the last segment, offset its size, and sum the checksum of its last record.
	file      File
	offset    int64
	sum       uint32
	segments  []segment
	hardState consensus.HardState
	snapshot  consensus.SnapshotMeta
	// terms are the terms of the entries after the snapshot.
	terms []uint64
	buf   []byte
}

// Append writes and syncs a batch. The entries replace all existing ones from their first
// index on. If hs is nil, the hard state is unchanged. Entries that would leave a gap, or
// that start at or below the snapshot's index, are rejected without any effect. After a
// disk failure all calls return that failure.
func (j *Journal) Append(hs *consensus.HardState, entries []consensus.Entry) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	if err := j.checkEntries(entries); err != nil {
		return err
	}
	payload, err := encoding.Marshal(batch{HardState: hs, Entries: entries})
	if err != nil {
		return errors.Wrap(err, "encode batch")
	}
	if int64(len(payload)) >= maxPayload {
		return errors.New("batch is too large")
	}
	if j.offset >= j.segmentBytes {
		if err := j.roll(); err != nil {
			return j.fail(err)
		}
	}
	if err := j.write(payload); err != nil {
		return j.fail(err)
	}
	j.applyBatch(hs, entries)
	return nil
}

// SaveSnapshot makes s the current snapshot and deletes the data that it replaces. If the
// log contains the entry with the snapshot's index and term, the entries after it are
// kept; otherwise the whole log is discarded. A snapshot that is not newer than the
// current one, or too large, is rejected without any effect.
func (j *Journal) SaveSnapshot(s consensus.Snapshot) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	if s.Meta.Index <= j.snapshot.Index {
		return errors.Errorf("snapshot %d is not newer than %d", s.Meta.Index, j.snapshot.Index)
	}
	if len(s.Data) >= maxPayload-maxSnapshotMetaBytes {
		return errors.Errorf("snapshot of %d bytes is too large", len(s.Data))
	}
	if err := j.saveSnapshot(s); err != nil {
		return j.fail(err)
	}
	return nil
}

// Close unlocks the folder. It need not sync, because each call syncs before it returns.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if errors.Is(j.failed, ErrClosed) {
		return nil
	}
	j.failed = ErrClosed
	err := j.file.Close()
	if lerr := j.lock.Close(); err == nil {
		err = lerr
	}
	return errors.Wrap(err, "close journal")
}

// fail records a disk failure, which all later calls return. The caller must hold mu.
func (j *Journal) fail(err error) error {
	j.failed = errors.Wrap(err, "journal failed")
	j.log.Error("journal failed", "error", err)
	return j.failed
}

// checkEntries returns an error if the entries don't continue the log without a gap. The
// caller must hold mu.
func (j *Journal) checkEntries(entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	last := j.snapshot.Index + uint64(len(j.terms))
	if first <= j.snapshot.Index || first > last+1 {
		return errors.Errorf("entry %d does not continue a log with snapshot %d and last entry %d", first, j.snapshot.Index, last)
	}
	for i, e := range entries {
		if e.Index != first+uint64(i) {
			return errors.Errorf("entry %d of the batch is not consecutive", e.Index)
		}
	}
	return nil
}

// write appends and syncs one record. The caller must hold mu.
func (j *Journal) write(payload []byte) error {
	buf, sum := appendFrame(j.buf[:0], kindBatch, j.offset, j.sum, payload)
	j.buf = buf
	started := time.Now()
	if _, err := j.file.WriteAt(buf, j.offset); err != nil {
		return errors.Wrap(err, "write record")
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrap(err, "sync record")
	}
	j.counters.appended.Inc(1)
	j.counters.bytes.Inc(int64(len(buf)))
	j.counters.latency.Update(time.Since(started).Microseconds())
	j.offset += int64(len(buf))
	j.sum = sum
	return nil
}

// applyBatch updates the in-memory state with a synced batch. The caller must hold mu.
func (j *Journal) applyBatch(hs *consensus.HardState, entries []consensus.Entry) {
	if hs != nil {
		j.hardState = *hs
	}
	if len(entries) == 0 {
		return
	}
	j.terms = j.terms[:entries[0].Index-j.snapshot.Index-1]
	for _, e := range entries {
		j.terms = append(j.terms, e.Term)
	}
	current := &j.segments[len(j.segments)-1]
	current.highest = max(current.highest, entries[len(entries)-1].Index)
}

// roll starts a new segment. The caller must hold mu.
func (j *Journal) roll() error {
	number := j.segments[len(j.segments)-1].number + 1
	if err := j.createSegment(number); err != nil {
		return err
	}
	j.segments = append(j.segments, segment{number: number})
	return j.writeManifest()
}

// createSegment creates a segment, closes the open one, and opens the new one in its
// place. The caller must hold mu.
func (j *Journal) createSegment(number uint64) error {
	head := segmentHead{Number: number, DiskID: j.diskID, Previous: j.sum, HardState: j.hardState}
	payload, err := encoding.Marshal(head)
	if err != nil {
		return errors.Wrap(err, "encode segment head")
	}
	buf, sum := appendFrame(nil, kindSegment, 0, 0, payload)
	name := segmentName(number)
	if err := writeFileAtomic(j.fs, j.dir, name, buf); err != nil {
		return err
	}
	if j.file != nil {
		if err := j.file.Close(); err != nil {
			return errors.Wrap(err, "close segment")
		}
	}
	j.file, err = j.fs.Open(filepath.Join(j.dir, name))
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	j.offset = int64(len(buf))
	j.sum = sum
	return nil
}

// writeManifest makes the segments and the snapshot in memory the current files. The
// caller must hold mu.
func (j *Journal) writeManifest() error {
	m := manifest{
		First:    j.segments[0].number,
		Last:     j.segments[len(j.segments)-1].number,
		Snapshot: j.snapshot.Index,
	}
	return j.writeRecordFile(manifestName, kindManifest, m)
}

// writeRecordFile replaces a file that consists of a single record.
func (j *Journal) writeRecordFile(name string, kind frameKind, v any) error {
	payload, err := encoding.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	buf, _ := appendFrame(nil, kind, 0, 0, payload)
	return writeFileAtomic(j.fs, j.dir, name, buf)
}

// saveSnapshot writes s, starts a new segment, and deletes the files that s replaces. The
// caller must hold mu.
func (j *Journal) saveSnapshot(s consensus.Snapshot) error {
	if err := j.writeRecordFile(snapshotName(s.Meta.Index), kindSnapshot, s); err != nil {
		return err
	}
	if err := j.roll(); err != nil {
		return err
	}
	replaced := j.snapshot.Index
	dropped := j.countObsoleteSegments(s.Meta)
	j.terms = j.remainingTerms(s.Meta)
	j.snapshot = s.Meta
	j.segments = j.segments[dropped:]
	if err := j.writeManifest(); err != nil {
		return err
	}
	j.counters.snapshots.Inc(1)
	return j.removeObsolete(replaced)
}

// hasSnapshotEntry reports whether the log contains the entry at the index and term of a
// new snapshot.
func (j *Journal) hasSnapshotEntry(meta consensus.SnapshotMeta) bool {
	at := meta.Index - j.snapshot.Index
	return at <= uint64(len(j.terms)) && j.terms[at-1] == meta.Term
}

// remainingTerms returns the terms of the entries that are kept after a new snapshot.
func (j *Journal) remainingTerms(meta consensus.SnapshotMeta) []uint64 {
	if !j.hasSnapshotEntry(meta) {
		return nil
	}
	return slices.Clone(j.terms[meta.Index-j.snapshot.Index:])
}

// countObsoleteSegments returns how many of the first segments a new snapshot replaces.
// The last segment, which is empty, is always kept.
func (j *Journal) countObsoleteSegments(meta consensus.SnapshotMeta) int {
	last := len(j.segments) - 1
	if !j.hasSnapshotEntry(meta) {
		return last
	}
	n := 0
	for n < last && j.segments[n].highest <= meta.Index {
		n++
	}
	return n
}

// removeObsolete deletes the segments before the first current one, and the snapshot with
// the given index unless it is zero. If a crash interrupts it, the next Open deletes the
// rest.
func (j *Journal) removeObsolete(snapshot uint64) error {
	if snapshot != 0 {
		if err := j.fs.Remove(filepath.Join(j.dir, snapshotName(snapshot))); err != nil {
			return errors.Wrap(err, "remove snapshot")
		}
	}
	names, err := j.fs.List(j.dir)
	if err != nil {
		return errors.Wrap(err, "list folder")
	}
	for _, name := range names {
		number, ok := parseName(name, segmentPrefix)
		if !ok || number >= j.segments[0].number {
			continue
		}
		if err := j.fs.Remove(filepath.Join(j.dir, name)); err != nil {
			return errors.Wrap(err, "remove segment")
		}
	}
	return errors.Wrap(j.fs.SyncDir(j.dir), "sync folder")
}

func segmentName(number uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, number) }

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

var encoding, decoding = newCBORModes()

// newCBORModes returns the modes for encoding and decoding. It panics only if the constant
// options are invalid.
func newCBORModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	dec, err := cbor.DecOptions{MaxArrayElements: 1 << 30}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}
