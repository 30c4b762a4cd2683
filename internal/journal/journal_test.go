package journal

import (
	"bytes"
	"io"
	"log/slog"
	"path/filepath"
	"slices"
	"strconv"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

const testDir = "/data"

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

func openTestJournal(fs *memFS) (*Journal, Recovered, error) {
	return Open(Options{Dir: testDir, FS: fs, SegmentBytes: 2000, Logger: discardLogger})
}

func entry(index, term uint64, size int) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: bytes.Repeat([]byte{byte(index) | 1}, size)}
}

// expectedState is the state that a replica relies on after acknowledged calls.
type expectedState struct {
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
}

// withEntries returns the state after a successful Append.
func (c expectedState) withEntries(hs *consensus.HardState, entries []consensus.Entry) expectedState {
	if hs != nil {
		c.hardState = *hs
	}
	if len(entries) > 0 {
		kept := c.entries[:entries[0].Index-c.snapshot.Meta.Index-1]
		c.entries = append(append([]consensus.Entry(nil), kept...), entries...)
	}
	return c
}

// withSnapshot returns the state after a successful SaveSnapshot.
func (c expectedState) withSnapshot(s consensus.Snapshot) expectedState {
	at := s.Meta.Index - c.snapshot.Meta.Index
	if at <= uint64(len(c.entries)) && c.entries[at-1].Term == s.Meta.Term {
		c.entries = c.entries[at:]
	} else {
		c.entries = nil
	}
	c.snapshot = s
	return c
}

func (c expectedState) matches(rec Recovered) bool {
	if c.hardState != rec.HardState || c.snapshot.Meta.Index != rec.Snapshot.Meta.Index ||
		!bytes.Equal(c.snapshot.Data, rec.Snapshot.Data) || len(c.entries) != len(rec.Entries) {
		return false
	}
	for i, e := range c.entries {
		got := rec.Entries[i]
		if e.Index != got.Index || e.Term != got.Term || !bytes.Equal(e.Data, got.Data) {
			return false
		}
	}
	return true
}

// drawCall draws one Append or SaveSnapshot. It returns the call and the expected state
// after it.
func drawCall(t *rapid.T, c expectedState) (func(*Journal) error, expectedState) {
	last := c.snapshot.Meta.Index + uint64(len(c.entries))
	term := c.hardState.Term + uint64(rapid.IntRange(0, 1).Draw(t, "term"))
	if rapid.IntRange(0, 5).Draw(t, "kind") == 0 {
		s := consensus.Snapshot{Data: bytes.Repeat([]byte{7}, rapid.IntRange(0, 1500).Draw(t, "size"))}
		s.Meta.Index = c.snapshot.Meta.Index + uint64(rapid.IntRange(1, len(c.entries)+2).Draw(t, "index"))
		s.Meta.Term = term
		if at := s.Meta.Index - c.snapshot.Meta.Index; at <= uint64(len(c.entries)) && rapid.Bool().Draw(t, "held") {
			s.Meta.Term = c.entries[at-1].Term
		}
		return func(j *Journal) error { return j.SaveSnapshot(s) }, c.withSnapshot(s)
	}
	hs := &consensus.HardState{Term: term, Vote: "a/1", Commit: c.hardState.Commit}
	if rapid.Bool().Draw(t, "without hard state") {
		hs = nil
	}
	first := last + 1 - uint64(rapid.IntRange(0, min(len(c.entries), 2)).Draw(t, "back"))
	var entries []consensus.Entry
	for i := range rapid.IntRange(0, 4).Draw(t, "entries") {
		entries = append(entries, entry(first+uint64(i), term, rapid.IntRange(0, 900).Draw(t, "size")))
	}
	return func(j *Journal) error { return j.Append(hs, entries) }, c.withEntries(hs, entries)
}

// TestCrashLosesNoAcknowledgedWrite guards against lost data after a crash. Whatever the
// calls before it and wherever the crash comes, the recovered state must contain all
// acknowledged calls and, in addition, at most the interrupted one.
func TestCrashLosesNoAcknowledgedWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS()
		var acked expectedState
		possible := []expectedState{acked}
		diskID := ""
		pickIndex := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		for range rapid.IntRange(1, 4).Draw(t, "lives") {
			fs.callsUntilCrash = rapid.IntRange(1, 60).Draw(t, "budget")
			j, rec, err := openTestJournal(fs)
			if err == nil {
				acked = requireMatch(t, possible, rec)
				if diskID != "" {
					require.Equal(t, diskID, rec.DiskID)
				}
				diskID = rec.DiskID
				possible = []expectedState{acked}
			}
			for range rapid.IntRange(0, 12).Draw(t, "steps") {
				if err != nil {
					break
				}
				call, next := drawCall(t, acked)
				if err = call(j); err == nil {
					acked = next
					possible = []expectedState{acked}
				} else {
					possible = []expectedState{acked, next}
				}
			}
			fs.restart(rapid.Bool().Draw(t, "power"), pickIndex)
		}
		_, rec, err := openTestJournal(fs)
		require.NoError(t, err)
		requireMatch(t, possible, rec)
	})
}

// requireMatch returns the possible state that equals the recovered one, and fails if there
// is none.
func requireMatch(t *rapid.T, possible []expectedState, rec Recovered) expectedState {
	for _, c := range possible {
		if c.matches(rec) {
			return c
		}
	}
	require.Fail(t, "recovered neither what was acknowledged nor that and the interrupted call",
		"recovered %+v", rec)
	return expectedState{}
}

// writeSampleJournal writes several segments and a snapshot, and an all-zero entry at the
// end. It returns the expected state.
func writeSampleJournal(t require.TestingT, fs *memFS) expectedState {
	j, _, err := openTestJournal(fs)
	require.NoError(t, err)
	var c expectedState
	hs := &consensus.HardState{Term: 1, Vote: "a/1"}
	for i := uint64(1); i <= 12; i++ {
		batch := []consensus.Entry{entry(i, 1, 700)}
		require.NoError(t, j.Append(hs, batch))
		c = c.withEntries(hs, batch)
		if i == 4 {
			s := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 3, Term: 1}, Data: []byte("tables")}
			require.NoError(t, j.SaveSnapshot(s))
			c = c.withSnapshot(s)
		}
	}
	zeros := []consensus.Entry{{Index: 13, Term: 1, Data: make([]byte, 3*sectorSize)}}
	require.NoError(t, j.Append(hs, zeros))
	require.NoError(t, j.Close())
	return c.withEntries(hs, zeros)
}

func lastSegment(fs *memFS) *inode {
	names, _ := fs.List(testDir)
	return fs.names[filepath.Join(testDir, names[slices.Index(names, snapshotName(3))-1])]
}

// TestFlippedBitIsRefused guards against starting with a single damaged bit in any file,
// including the last synced record, which must not pass for an unfinished write.
func TestFlippedBitIsRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fs := newMemFS()
		writeSampleJournal(t, fs)
		names, _ := fs.List(testDir)
		name := filepath.Join(testDir, rapid.SampledFrom(names).Draw(t, "file"))
		bit := rapid.IntRange(0, len(fs.names[name].data)*8-1).Draw(t, "bit")
		fs.names[name].data[bit/8] ^= 1 << (bit % 8)
		_, _, err := openTestJournal(fs)
		var corrupt *CorruptError
		require.ErrorAs(t, err, &corrupt)
	})
}

// TestFlippedBitNextToZeroSectorsIsRefused damages each byte of a last record that contains
// all-zero sectors. Such sectors must not make the damage look like an unfinished write.
func TestFlippedBitNextToZeroSectorsIsRefused(t *testing.T) {
	fs := newMemFS()
	writeSampleJournal(t, fs)
	data := lastSegment(fs).data
	start := scanSegment(data).lastStart
	require.Greater(t, len(data)-start, 3*sectorSize)
	for at := start; at < len(data); at++ {
		data[at] ^= 1 << (at % 8)
		require.NotEmpty(t, scanSegment(data).corrupt, "byte %d", at)
		data[at] ^= 1 << (at % 8)
	}
	require.Empty(t, scanSegment(data).corrupt)
}

// TestMissingFileIsRefused guards against starting without one of the folder's files.
func TestMissingFileIsRefused(t *testing.T) {
	fs := newMemFS()
	want := writeSampleJournal(t, fs)
	names, err := fs.List(testDir)
	require.NoError(t, err)
	require.Greater(t, len(names), 5)
	for _, base := range names {
		name := filepath.Join(testDir, base)
		file := fs.names[name]
		delete(fs.names, name)
		_, _, err := openTestJournal(fs)
		var corrupt *CorruptError
		require.ErrorAs(t, err, &corrupt, base)
		fs.names[name] = file
	}
	_, rec, err := openTestJournal(fs)
	require.NoError(t, err)
	require.True(t, want.matches(rec))
	require.False(t, rec.Truncated)
}

// TestSegmentOfAnotherDiskIsRefused guards against a segment file that was copied from the
// data folder of another replica.
func TestSegmentOfAnotherDiskIsRefused(t *testing.T) {
	fs, other := newMemFS(), newMemFS()
	writeSampleJournal(t, fs)
	writeSampleJournal(t, other)
	name := filepath.Join(testDir, segmentName(4))
	require.Contains(t, fs.names, name)
	fs.names[name] = other.names[name]
	_, _, err := openTestJournal(fs)
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt)
	require.Equal(t, segmentName(4), corrupt.File)
}

// TestZerosAfterLastRecordAreTruncated guards against refusing a file that a crash left
// extended but not written.
func TestZerosAfterLastRecordAreTruncated(t *testing.T) {
	fs := newMemFS()
	want := writeSampleJournal(t, fs)
	last := lastSegment(fs)
	whole := len(last.data)
	last.data = append(last.data, make([]byte, 3*sectorSize)...)
	_, rec, err := openTestJournal(fs)
	require.NoError(t, err)
	require.True(t, rec.Truncated)
	require.True(t, want.matches(rec))
	require.Equal(t, whole, len(last.data))
}

// TestRecordWithMissingSectorsIsTruncated zeroes each subset of the sectors of an unsynced
// last record, as a crash can. Open must remove the record and must not report corruption.
func TestRecordWithMissingSectorsIsTruncated(t *testing.T) {
	const sectors = 4
	for lost := 1; lost < 1<<sectors; lost++ {
		fs := newMemFS()
		j, _, err := openTestJournal(fs)
		require.NoError(t, err)
		require.NoError(t, j.Append(nil, []consensus.Entry{entry(1, 1, 300)}))
		fs.failSync = errSync
		require.Error(t, j.Append(nil, []consensus.Entry{entry(2, 1, (sectors-1)*sectorSize)}))
		file := fs.names[filepath.Join(testDir, segmentName(1))]
		synced := len(file.durable)
		require.Less(t, synced, sectorSize)
		require.Equal(t, sectors, (len(file.data)+sectorSize-1)/sectorSize)
		for at := synced; at < len(file.data); at++ {
			if lost&(1<<(at/sectorSize)) != 0 {
				file.data[at] = 0
			}
		}
		fs.restart(false, nil)
		_, rec, err := openTestJournal(fs)
		require.NoError(t, err, "lost sectors %b", lost)
		require.True(t, rec.Truncated)
		require.Equal(t, []consensus.Entry{entry(1, 1, 300)}, rec.Entries)
		require.Equal(t, synced, len(file.data))
	}
}

// TestZeroedRecordBeforeAnotherIsRefused guards against taking zeros before a valid record
// for an unfinished write: a record is only written once the previous one has been synced.
func TestZeroedRecordBeforeAnotherIsRefused(t *testing.T) {
	fs := newMemFS()
	j, _, err := openTestJournal(fs)
	require.NoError(t, err)
	file := fs.names[filepath.Join(testDir, segmentName(1))]
	start := len(file.data)
	require.NoError(t, j.Append(nil, []consensus.Entry{entry(1, 1, 300)}))
	end := len(file.data)
	require.NoError(t, j.Append(nil, []consensus.Entry{entry(2, 1, 300)}))
	require.NoError(t, j.Close())
	clear(file.data[start:end])
	_, _, err = openTestJournal(fs)
	var corrupt *CorruptError
	require.ErrorAs(t, err, &corrupt)
	require.Equal(t, int64(start), corrupt.Offset)
}

// TestShortenedSegmentIsRefused removes the last record of a segment that is followed by
// another. The record contains no entry, so there is no gap in the log, and only the chain
// of checksums reveals the loss.
func TestShortenedSegmentIsRefused(t *testing.T) {
	fs := newMemFS()
	j, _, err := openTestJournal(fs)
	require.NoError(t, err)
	require.NoError(t, j.Append(nil, []consensus.Entry{entry(1, 1, 1000)}))
	file := fs.names[filepath.Join(testDir, segmentName(1))]
	require.NoError(t, j.Append(nil, []consensus.Entry{entry(2, 1, 760)}))
	before := len(file.data)
	require.NoError(t, j.Append(&consensus.HardState{Term: 1, Vote: "a/1"}, nil))
	require.Greater(t, len(file.data), before)
	whole := file.data
	require.NoError(t, j.Append(nil, []consensus.Entry{entry(3, 1, 1000)}))
	require.Equal(t, len(whole), len(file.data))
	require.NoError(t, j.Close())
	for _, size := range []int{before, before + headerSize} {
		file.data = whole[:size]
		_, _, err = openTestJournal(fs)
		var corrupt *CorruptError
		require.ErrorAs(t, err, &corrupt)
	}
}

// TestDiskFailureFailsAllLaterCalls guards against continuing after a failed write or sync,
// when it is unknown which data is on disk.
func TestDiskFailureFailsAllLaterCalls(t *testing.T) {
	for name, inject := range map[string]func(*memFS){
		"sync":  func(m *memFS) { m.failSync = errSync },
		"full":  func(m *memFS) { m.failWrite = errFull },
		"short": func(m *memFS) { m.shortWrite = true },
	} {
		t.Run(name, func(t *testing.T) {
			fs := newMemFS()
			j, _, err := openTestJournal(fs)
			require.NoError(t, err)
			hs := &consensus.HardState{Term: 1}
			require.NoError(t, j.Append(hs, []consensus.Entry{entry(1, 1, 900)}))
			inject(fs)
			first := j.Append(hs, []consensus.Entry{entry(2, 1, 900)})
			require.Error(t, first)
			fs.failSync, fs.failWrite, fs.shortWrite = nil, nil, false
			require.Same(t, first, j.Append(hs, []consensus.Entry{entry(2, 1, 900)}))
			require.Same(t, first, j.SaveSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}}))
		})
	}
}

// TestRecordOfFailedSyncIsRewrittenAtOpen: after a failed sync a record is in the page
// cache but not on disk. A restarted process that reads it back must write and sync it
// again before it relies on it, otherwise a later power failure loses it.
func TestRecordOfFailedSyncIsRewrittenAtOpen(t *testing.T) {
	fs := newMemFS()
	j, _, err := openTestJournal(fs)
	require.NoError(t, err)
	fs.failSync = errSync
	require.Error(t, j.Append(nil, []consensus.Entry{entry(1, 1, 900)}))
	fs.restart(false, nil)
	_, rec, err := openTestJournal(fs)
	require.NoError(t, err)
	require.Len(t, rec.Entries, 1)
	fs.restart(true, func(int) int { return 0 })
	_, rec, err = openTestJournal(fs)
	require.NoError(t, err)
	require.Len(t, rec.Entries, 1)
}

func TestInvalidCallsHaveNoEffect(t *testing.T) {
	fs := newMemFS()
	j, rec, err := openTestJournal(fs)
	require.NoError(t, err)
	require.True(t, rec.Fresh)
	require.Error(t, j.Append(nil, []consensus.Entry{entry(2, 1, 1)}))
	require.Error(t, j.Append(nil, []consensus.Entry{entry(1, 1, 1), entry(3, 1, 1)}))
	require.NoError(t, j.Append(nil, []consensus.Entry{entry(1, 1, 1)}))
	require.NoError(t, j.SaveSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}}))
	require.Error(t, j.SaveSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}}))
	require.Error(t, j.Append(nil, []consensus.Entry{entry(1, 1, 1)}))
	require.NoError(t, j.Append(nil, []consensus.Entry{entry(2, 1, 1)}))
	require.NoError(t, j.Close())
	require.NoError(t, j.Close())
	require.True(t, errors.Is(j.Append(nil, nil), ErrClosed))
}

func TestJournalOnRealFileSystem(t *testing.T) {
	o := Options{Dir: filepath.Join(t.TempDir(), "control"), Logger: discardLogger, SegmentBytes: 100}
	j, rec, err := Open(o)
	require.NoError(t, err)
	require.True(t, rec.Fresh)
	_, _, err = Open(o)
	require.ErrorContains(t, err, "in use")
	require.NoError(t, j.Append(&consensus.HardState{Term: 3, Vote: "b/2"}, []consensus.Entry{entry(1, 3, 200)}))
	require.NoError(t, j.Append(nil, []consensus.Entry{entry(2, 3, 200)}))
	require.NoError(t, j.SaveSnapshot(consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 3}}))
	require.NoError(t, j.Close())
	j, again, err := Open(o)
	require.NoError(t, err)
	require.False(t, again.Fresh)
	require.Equal(t, rec.DiskID, again.DiskID)
	require.Equal(t, consensus.HardState{Term: 3, Vote: "b/2"}, again.HardState)
	require.Equal(t, []consensus.Entry{entry(2, 3, 200)}, again.Entries)
	require.NoError(t, j.Close())
}

// FuzzScanSegment looks for segments that make scanSegment panic or read past the end, or of
// which it skips bytes without reporting damage.
func FuzzScanSegment(f *testing.F) {
	fs := newMemFS()
	writeSampleJournal(f, fs)
	for name, file := range fs.names {
		if _, ok := parseName(filepath.Base(name), segmentPrefix); ok {
			f.Add(file.data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := scanSegment(data)
		require.LessOrEqual(t, s.end, len(data))
		if s.torn == "" && s.corrupt == "" {
			require.Equal(t, len(data), s.end)
		}
		again := scanSegment(data[:s.end])
		require.Equal(t, len(s.batches), len(again.batches))
	})
}

func BenchmarkAppend(b *testing.B) {
	for _, n := range []int{1, 16, 128} {
		b.Run("batch="+strconv.Itoa(n), func(b *testing.B) {
			j, _, err := Open(Options{Dir: b.TempDir(), Logger: discardLogger})
			require.NoError(b, err)
			next := uint64(1)
			for b.Loop() {
				entries := make([]consensus.Entry, n)
				for i := range entries {
					entries[i] = entry(next, 1, 256)
					next++
				}
				require.NoError(b, j.Append(nil, entries))
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "entries/s")
			require.NoError(b, j.Close())
		})
	}
}

// Guards against a snapshot that is longer than the longest record: it would be written, and the journal could
// not be opened again.
func TestSnapshotLongerThanARecordIsRejected(t *testing.T) {
	dir := t.TempDir()
	j, _, err := Open(Options{Dir: dir, Logger: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	require.NoError(t, j.Append(nil, []consensus.Entry{{Term: 1, Index: 1, Data: []byte("x")}}))
	// The pages of the slice are never touched.
	tooLong := consensus.Snapshot{Meta: consensus.SnapshotMeta{Index: 1, Term: 1}, Data: make([]byte, maxPayload)}
	require.Error(t, j.SaveSnapshot(tooLong))
	require.NoError(t, j.Append(nil, []consensus.Entry{{Term: 1, Index: 2, Data: []byte("y")}}), "the journal goes on")
	require.NoError(t, j.Close())
	j, recovered, err := Open(Options{Dir: dir, Logger: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	require.Len(t, recovered.Entries, 2)
	require.NoError(t, j.Close())
}
