// Package journal keeps the log, the hard state and the newest snapshot of one
// replica in one data folder.
//
// # Files
//
// disk-id names the disk; manifest names the first and the last segment and the
// snapshot in force; segment-N holds records; snapshot-N holds the snapshot of
// index N; lock carries the lock of the process. All but the segments are
// replaced whole: written under a temporary name, synced, renamed, and the
// folder synced.
//
// # What is detected
//
// Each record carries its length, its offset, the checksum of the record before
// it, and CRC-32C sums of header and body. One Append is one record, one write
// and one sync, so at most the last record can be unfinished. A crash may leave
// it short or with sectors (512 bytes) of zeros in the place of others; it is then cut. All else is a
// CorruptError: a bad header that is not all zeros, a bad body of full length in
// which no sector is missing (a flipped bit in the last record, even though it
// was synced), damage before any later record, a gap, and a missing or foreign
// segment, snapshot or manifest.
//
// Not told from an unfinished write: a last segment that was shortened after the
// sync, and sectors of its last record that turned to zeros as a whole, also by
// the flip of the only bit set in one. A disk that writes less than a sector at
// once, and one that answers a sync before it is done, are outside the model.
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

// DefaultSegmentBytes is the size at which a new segment is begun.
const DefaultSegmentBytes = 16 << 20

const (
	diskIDName     = "disk-id"
	manifestName   = "manifest"
	lockName       = "lock"
	tempSuffix     = ".tmp"
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
)

// ErrClosed is what a closed journal answers.
var ErrClosed = errors.New("journal is closed")

// CorruptError tells that the folder does not hold what was once synced. The
// replica must not start from it.
type CorruptError struct {
	// File is the base name of the damaged file.
	File string
	// Offset is the position in bytes of the damaged record.
	Offset int64
	// Reason tells what is wrong.
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("journal is corrupt: %s at byte %d: %s", e.File, e.Offset, e.Reason)
}

// Options are the settings of a journal.
type Options struct {
	// Dir is the data folder; it is made where it is missing, in a folder that exists.
	Dir string
	// FS is the file system; nil is that of the machine.
	FS FS
	// SegmentBytes is the size at which a new segment is begun; zero is
	// DefaultSegmentBytes.
	SegmentBytes int64
	// Logger receives changes of state; nil is slog.Default.
	Logger *slog.Logger
	// Metrics receives the counters; nil keeps them to the journal.
	Metrics metrics.Registry
}

// Recovered is what a folder held when it was opened.
type Recovered struct {
	// DiskID names the disk; a folder that is lost comes back under another.
	DiskID string
	// Fresh tells that the folder was empty.
	Fresh bool
	// HardState is the last one that was appended. Its Commit may be below the
	// index of the snapshot.
	HardState consensus.HardState
	// Snapshot is the newest one; its index is zero where there is none.
	Snapshot consensus.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []consensus.Entry
	// Truncated tells that an unfinished last record was cut.
	Truncated bool
}

// manifest names the files in force.
type manifest struct {
	First    uint64 `cbor:"1,keyasint"`
	Last     uint64 `cbor:"2,keyasint"`
	Snapshot uint64 `cbor:"3,keyasint"`
}

// segmentHead is the first record of a segment.
type segmentHead struct {
	Number    uint64              `cbor:"1,keyasint"`
	DiskID    string              `cbor:"2,keyasint"`
	Previous  uint32              `cbor:"3,keyasint"`
	HardState consensus.HardState `cbor:"4,keyasint"`
}

// batch is what one Append wrote.
type batch struct {
	HardState *consensus.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []consensus.Entry    `cbor:"2,keyasint,omitempty"`
}

// segment is what the journal remembers of a segment.
type segment struct {
	number uint64
	// highest is the highest index of an entry that it holds.
	highest uint64
}

// Journal is the log of one replica. Its methods may be called concurrently.
type Journal struct {
	fs           FS
	dir          string
	segmentBytes int64
	log          *slog.Logger
	counters     counters
	diskID       string
	lock         io.Closer

	// mu guards all below.
	mu sync.Mutex
	// failed is the first failure; every later call returns it.
	failed    error
	file      File
	offset    int64
	sum       uint32
	segments  []segment
	hardState consensus.HardState
	snapshot  consensus.SnapshotMeta
	// terms holds the terms of the entries after the snapshot.
	terms []uint64
	buf   []byte
}

// Append writes and syncs a batch. Entries replace those from their first index
// on. A nil hs leaves the hard state as it is. After a failure of the disk the
// journal answers every call with that failure. Entries that leave a gap or reach
// below the snapshot are refused without effect.
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

// SaveSnapshot makes s the snapshot in force and drops what it replaces. Entries
// after it are kept where the log holds the entry of its index and term, and
// dropped otherwise. A snapshot that is not newer is refused without effect.
func (j *Journal) SaveSnapshot(s consensus.Snapshot) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil {
		return j.failed
	}
	if s.Meta.Index <= j.snapshot.Index {
		return errors.Errorf("snapshot %d is not newer than %d", s.Meta.Index, j.snapshot.Index)
	}
	if err := j.saveSnapshot(s); err != nil {
		return j.fail(err)
	}
	return nil
}

// Close releases the folder. All that was acknowledged is synced already.
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

// fail poisons the journal. The caller holds mu.
func (j *Journal) fail(err error) error {
	j.failed = errors.Wrap(err, "journal failed")
	j.log.Error("journal failed", "error", err)
	return j.failed
}

// checkEntries tells whether entries continue the log. The caller holds mu.
func (j *Journal) checkEntries(entries []consensus.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	last := j.snapshot.Index + uint64(len(j.terms))
	if first <= j.snapshot.Index || first > last+1 {
		return errors.Errorf("entry %d does not continue a log of %d to %d", first, j.snapshot.Index, last)
	}
	for i, e := range entries {
		if e.Index != first+uint64(i) {
			return errors.Errorf("entry %d follows a gap", e.Index)
		}
	}
	return nil
}

// write appends and syncs one record. The caller holds mu.
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

// applyBatch takes a synced batch into memory. The caller holds mu.
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

// roll begins a new segment. The caller holds mu.
func (j *Journal) roll() error {
	number := j.segments[len(j.segments)-1].number + 1
	if err := j.createSegment(number); err != nil {
		return err
	}
	j.segments = append(j.segments, segment{number: number})
	return j.writeManifest()
}

// createSegment replaces the open file by a new segment. The caller holds mu.
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

// writeManifest puts the present files in force. The caller holds mu.
func (j *Journal) writeManifest() error {
	m := manifest{
		First:    j.segments[0].number,
		Last:     j.segments[len(j.segments)-1].number,
		Snapshot: j.snapshot.Index,
	}
	return j.writeRecordFile(manifestName, kindManifest, m)
}

// writeRecordFile replaces a file of a single record.
func (j *Journal) writeRecordFile(name string, kind frameKind, v any) error {
	payload, err := encoding.Marshal(v)
	if err != nil {
		return errors.Wrapf(err, "encode %s", name)
	}
	buf, _ := appendFrame(nil, kind, 0, 0, payload)
	return writeFileAtomic(j.fs, j.dir, name, buf)
}

// saveSnapshot writes s, begins a segment, and drops what s replaces. The caller
// holds mu.
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

// hasSnapshotEntry tells whether the log has the last entry of a snapshot.
func (j *Journal) hasSnapshotEntry(meta consensus.SnapshotMeta) bool {
	at := meta.Index - j.snapshot.Index
	return at <= uint64(len(j.terms)) && j.terms[at-1] == meta.Term
}

// remainingTerms returns the terms that follow a new snapshot.
func (j *Journal) remainingTerms(meta consensus.SnapshotMeta) []uint64 {
	if !j.hasSnapshotEntry(meta) {
		return nil
	}
	return slices.Clone(j.terms[meta.Index-j.snapshot.Index:])
}

// countObsoleteSegments counts the first segments that a new snapshot replaces. The last
// segment, which is empty, always stays.
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

// removeObsolete removes the segments before the first in force, and a snapshot. What a
// crash leaves behind is removed at the next Open.
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

// newCBORModes returns the CBOR modes; the options are constant and valid.
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
