package control

import (
	"encoding/binary"
	"hash/crc32"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// LocalStore saves in the data folder of a control host, beside the journal, what is not replicated by
// the log:
//   - The list of upstreams and the suspicions of the quarantine. These are caches: the host knows them
//     after a restart of all hosts before they are told again. Without the list, callers would wait more
//     than a second for announcements; without the suspicions, a harmful request would crash further
//     upstreams. The list can be out of date: upstreams that no longer exist reject requests, are
//     unreachable or become silent.
//   - The departures of upstreams. An upstream's leave is acknowledged only after its departure is on
//     the disks of enough hosts.
//   - The first seeds. A disk without them may have replaced one that took part in the first start.
//
// A record of a list that can't be decoded does not cost the others: it is not saved, and a file that has one, as
// builds without a check of texts wrote it, is loaded without it. The error is a *wire.PartialError then, and what
// is returned with it can be used. A file that can't be read at all is kept under another name.
type LocalStore struct {
	fs  journal.FS
	dir string
}

const (
	upstreamsFile  = "upstreams"
	suspicionsFile = "suspicions"
	departuresFile = "departures"
	firstSeedsFile = "first-seeds"
	// tempSuffix is appended to the name of a file while it is written.
	tempSuffix = ".new"
	// unreadableSuffix is appended to the name of a file that can't be read. The latest one is kept.
	unreadableSuffix = ".unreadable"
	// checksumBytes is the length of the checksum that precedes the data in a file.
	checksumBytes = 4
)

// NewLocalStore returns the store in a folder. If the folder does not exist it is created, but only
// the caller can make sure that it outlives a power failure.
func NewLocalStore(fs journal.FS, dir string) *LocalStore { return &LocalStore{fs: fs, dir: dir} }

// errDamaged is returned for a file that is too short or has a wrong checksum.
var errDamaged = errors.New("the file is damaged")

// LoadUpstreams returns the list of upstreams that was saved last.
func (r *LocalStore) LoadUpstreams() ([]registry.Upstream, error) {
	var all wire.Upstreams
	err := r.load(upstreamsFile, &all)
	return all.All, errors.Wrap(err, "list of upstreams")
}

// SaveUpstreams replaces the saved list of upstreams. It returns once the list is synced to
// disk.
func (r *LocalStore) SaveUpstreams(all []registry.Upstream) error {
	return errors.Wrap(r.save(upstreamsFile, &wire.Upstreams{All: all}), "list of upstreams")
}

// LoadSuspicions returns the suspicions that were saved last.
func (r *LocalStore) LoadSuspicions() ([]quarantine.Suspicion, error) {
	var all wire.Suspicions
	err := r.load(suspicionsFile, &all)
	return all.All, errors.Wrap(err, "suspicions")
}

// SaveSuspicions replaces the saved suspicions.
func (r *LocalStore) SaveSuspicions(all []quarantine.Suspicion) error {
	return errors.Wrap(r.save(suspicionsFile, &wire.Suspicions{All: all}), "suspicions")
}

// LoadDepartures returns the departures that were saved last. Their ages count from now, a time of
// day.
func (r *LocalStore) LoadDepartures(now time.Time) ([]registry.Departure, error) {
	var saved wire.SavedDepartures
	err := r.load(departuresFile, &saved)
	if err != nil && !wire.IsPartial(err) {
		return nil, errors.Wrap(err, "departures")
	}
	// The time of day may have been set back since.
	elapsed := max(now.UnixMilli()-saved.SavedAt, 0)
	for i := range saved.All {
		saved.All[i].AgeMS += elapsed
	}
	return saved.All, errors.Wrap(err, "departures")
}

// SaveDepartures replaces the saved departures. It returns once they are synced to disk.
func (r *LocalStore) SaveDepartures(all []registry.Departure, now time.Time) error {
	return errors.Wrap(r.save(departuresFile, &wire.SavedDepartures{All: all, SavedAt: now.UnixMilli()}), "departures")
}

// LoadFirstSeeds returns the initial voters of the cluster. It fails on a disk that was not there at the
// first start. The list is returned whole or not at all: hosts with different lists could form two clusters.
func (r *LocalStore) LoadFirstSeeds() ([]string, error) {
	var seeds []string
	if err := r.load(firstSeedsFile, &seeds); err != nil {
		return nil, errors.Wrap(err, "first seeds")
	}
	return seeds, nil
}

// SaveFirstSeeds records at the first start which hosts are the initial voters.
func (r *LocalStore) SaveFirstSeeds(seeds []string) error {
	return errors.Wrap(r.save(firstSeedsFile, &seeds), "first seeds")
}

// load decodes a file into what m points to. With a *wire.PartialError m can be used.
func (r *LocalStore) load(name string, m any) error {
	path := filepath.Join(r.dir, name)
	data, err := r.fs.ReadFile(path)
	if err != nil {
		return err
	}
	if err = decodeFile(data, m); err == nil || wire.IsPartial(err) {
		return err
	}
	if renameErr := r.fs.Rename(path, path+unreadableSuffix); renameErr != nil {
		return errors.Wrapf(err, "not kept aside (%v)", renameErr)
	}
	return errors.Wrapf(err, "kept as %s", name+unreadableSuffix)
}

func decodeFile(data []byte, m any) error {
	if len(data) < checksumBytes || binary.BigEndian.Uint32(data) != crc32.ChecksumIEEE(data[checksumBytes:]) {
		return errDamaged
	}
	return wire.UnmarshalValid(data[checksumBytes:], m)
}

// save replaces a file by what m points to. With a *wire.PartialError the rest is saved.
func (r *LocalStore) save(name string, m any) error {
	body, partial := wire.MarshalValid(m)
	if partial != nil && !wire.IsPartial(partial) {
		return partial
	}
	// Decoding into a raw message checks the number of elements and the nesting.
	if err := wire.Unmarshal(body, new(cbor.RawMessage)); err != nil {
		return err
	}
	data := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(body))
	if err := r.write(name, append(data, body...)); err != nil {
		return err
	}
	return partial
}

func (r *LocalStore) write(name string, data []byte) error {
	if err := r.fs.MkdirAll(r.dir); err != nil {
		return err
	}
	temp := filepath.Join(r.dir, name+tempSuffix)
	f, err := r.fs.Create(temp)
	if err != nil {
		return err
	}
	if _, err := f.WriteAt(data, 0); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Sync(); err != nil {
		_ = f.Close()
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := r.fs.Rename(temp, filepath.Join(r.dir, name)); err != nil {
		return err
	}
	return r.fs.SyncDir(r.dir)
}
