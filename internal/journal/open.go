package journal

import (
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// diskIDBytes is the length of the random disk ID.
const diskIDBytes = 16

// Open opens the data folder and returns the journal and the folder's content. The error
// is a *CorruptError if the folder is damaged. Other errors mean that another process uses
// the folder or that the disk failed.
func Open(o Options) (*Journal, Recovered, error) {
	j := newJournal(o)
	if err := j.fs.MkdirAll(j.dir); err != nil {
		return nil, Recovered{}, errors.Wrap(err, "create folder")
	}
	lock, err := j.fs.Lock(filepath.Join(j.dir, lockName))
	if err != nil {
		return nil, Recovered{}, errors.Wrap(err, "lock folder")
	}
	j.lock = lock
	rec, err := j.open()
	if err != nil {
		if j.file != nil {
			_ = j.file.Close()
		}
		_ = lock.Close()
		return nil, Recovered{}, err
	}
	return j, rec, nil
}

func newJournal(o Options) *Journal {
	j := &Journal{fs: o.FS, dir: o.Dir, segmentBytes: o.SegmentBytes, log: o.Logger}
	if j.fs == nil {
		j.fs = OS{}
	}
	if j.segmentBytes == 0 {
		j.segmentBytes = DefaultSegmentBytes
	}
	if j.log == nil {
		j.log = slog.Default()
	}
	j.counters = newCounters(o.Metrics)
	return j
}

// folderListing is the set of file names in a data folder.
type folderListing struct {
	names map[string]bool
}

func (f folderListing) has(name string) bool { return f.names[name] }

// hasData reports whether the folder contains files that the first Open does not create
// before it writes the manifest.
func (f folderListing) hasData() bool {
	for name := range f.names {
		if _, ok := parseName(name, snapshotPrefix); ok {
			return true
		}
		if number, ok := parseName(name, segmentPrefix); ok && number != 1 {
			return true
		}
	}
	return false
}

func (j *Journal) open() (Recovered, error) {
	files, err := j.list()
	if err != nil {
		return Recovered{}, err
	}
	// Sync first: after a failed sync and a restart, a renamed file can be visible although
	// the rename is not on disk.
	if err := j.fs.SyncDir(j.dir); err != nil {
		return Recovered{}, errors.Wrap(err, "sync folder")
	}
	if !files.has(manifestName) {
		return j.create(files)
	}
	return j.recover(files)
}

// list returns the files of the folder. It deletes temporary files, which a crash left
// behind.
func (j *Journal) list() (folderListing, error) {
	names, err := j.fs.List(j.dir)
	if err != nil {
		return folderListing{}, errors.Wrap(err, "list folder")
	}
	files := folderListing{names: map[string]bool{}}
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			files.names[name] = true
			continue
		}
		if err := j.fs.Remove(filepath.Join(j.dir, name)); err != nil {
			return folderListing{}, errors.Wrap(err, "remove temporary file")
		}
	}
	return files, nil
}

// create writes the files of a new folder. It writes the manifest last, so a folder
// without a manifest contains no acknowledged data.
func (j *Journal) create(files folderListing) (Recovered, error) {
	if files.hasData() {
		return Recovered{}, &CorruptError{File: manifestName, Reason: "missing"}
	}
	if err := j.checkSegmentEmpty(files, segmentName(1)); err != nil {
		return Recovered{}, err
	}
	if err := j.fs.SyncDir(filepath.Dir(j.dir)); err != nil {
		return Recovered{}, errors.Wrap(err, "sync parent folder")
	}
	id := make([]byte, diskIDBytes)
	if _, err := rand.Read(id); err != nil {
		return Recovered{}, errors.Wrap(err, "generate disk id")
	}
	j.diskID = hex.EncodeToString(id)
	if err := writeFileAtomic(j.fs, j.dir, diskIDName, []byte(j.diskID+"\n")); err != nil {
		return Recovered{}, err
	}
	if err := j.createSegment(1); err != nil {
		return Recovered{}, err
	}
	j.segments = []segment{{number: 1}}
	if err := j.writeManifest(); err != nil {
		return Recovered{}, err
	}
	j.log.Info("journal created", "dir", j.dir, "disk", j.diskID)
	return Recovered{DiskID: j.diskID, Fresh: true}, nil
}

// checkSegmentEmpty returns a *CorruptError if a segment that the manifest does not list
// contains records after its head. Such records are only written once the manifest lists
// the segment, so the manifest is missing or outdated.
func (j *Journal) checkSegmentEmpty(files folderListing, name string) error {
	if !files.has(name) {
		return nil
	}
	data, err := j.fs.ReadFile(filepath.Join(j.dir, name))
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	head, state, _ := readFrame(data, 0, 0)
	if state != frameOK || head.end != len(data) {
		return &CorruptError{File: manifestName, Reason: "missing or older than " + name}
	}
	return nil
}

// recover restores the journal from a folder that has a manifest.
func (j *Journal) recover(files folderListing) (Recovered, error) {
	id, err := j.readDiskID(files)
	if err != nil {
		return Recovered{}, err
	}
	j.diskID = id
	var m manifest
	if err := j.readRecordFile(files, manifestName, kindManifest, &m); err != nil {
		return Recovered{}, err
	}
	rec := Recovered{DiskID: id}
	if m.Snapshot != 0 {
		if err := j.readRecordFile(files, snapshotName(m.Snapshot), kindSnapshot, &rec.Snapshot); err != nil {
			return Recovered{}, err
		}
		if rec.Snapshot.Meta.Index != m.Snapshot {
			return Recovered{}, &CorruptError{File: snapshotName(m.Snapshot), Reason: "snapshot has another index"}
		}
	}
	r := replay{journal: j, snapshot: rec.Snapshot.Meta.Index}
	if err := r.run(files, m); err != nil {
		return Recovered{}, err
	}
	if err := j.removeUnused(files, m); err != nil {
		return Recovered{}, err
	}
	rec.HardState, rec.Entries, rec.Truncated = r.hardState, r.entries, r.truncated
	j.hardState = r.hardState
	j.snapshot = rec.Snapshot.Meta
	for _, e := range r.entries {
		j.terms = append(j.terms, e.Term)
	}
	return rec, nil
}

func (j *Journal) readDiskID(files folderListing) (string, error) {
	if !files.has(diskIDName) {
		return "", &CorruptError{File: diskIDName, Reason: "missing"}
	}
	data, err := j.fs.ReadFile(filepath.Join(j.dir, diskIDName))
	if err != nil {
		return "", errors.Wrap(err, "read disk id")
	}
	return strings.TrimSuffix(string(data), "\n"), nil
}

// readRecordFile decodes a file that consists of a single record into v.
func (j *Journal) readRecordFile(files folderListing, name string, kind frameKind, v any) error {
	if !files.has(name) {
		return &CorruptError{File: name, Reason: "missing"}
	}
	data, err := j.fs.ReadFile(filepath.Join(j.dir, name))
	if err != nil {
		return errors.Wrapf(err, "read %s", name)
	}
	f, state, reason := readFrame(data, 0, 0)
	if state != frameOK {
		return &CorruptError{File: name, Reason: "unreadable: " + reason}
	}
	if f.kind != kind || f.end != len(data) {
		return &CorruptError{File: name, Reason: "contains another kind of record"}
	}
	if err := decoding.Unmarshal(f.payload, v); err != nil {
		return &CorruptError{File: name, Reason: err.Error()}
	}
	return nil
}

// removeUnused deletes segments and snapshots that are not in the manifest. A crash can
// leave them behind while a snapshot is saved or a segment is started.
func (j *Journal) removeUnused(files folderListing, m manifest) error {
	for name := range files.names {
		snapshot, isSnapshot := parseName(name, snapshotPrefix)
		number, isSegment := parseName(name, segmentPrefix)
		unused := isSnapshot && snapshot != m.Snapshot ||
			isSegment && (number < m.First || number > m.Last)
		if !unused {
			continue
		}
		if isSegment && number > m.Last {
			if err := j.checkSegmentEmpty(files, name); err != nil {
				return err
			}
		}
		if err := j.fs.Remove(filepath.Join(j.dir, name)); err != nil {
			return errors.Wrap(err, "remove unused file")
		}
	}
	return errors.Wrap(j.fs.SyncDir(j.dir), "sync folder")
}

// parseName returns the number of a segment or the index of a snapshot from its file name.
func parseName(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil
}
