package control

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/journal"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// RestartCache saves a control host's list of upstreams in a folder, so that the host knows
// them after a restart before they announce themselves. Without it, callers would wait
// more than a second for announcements after a restart of all hosts. The saved list can be
// out of date: upstreams that no longer exist reject requests, are unreachable or become
// silent.
//
// It also saves the suspicions of the quarantine, which record the requests that ran on
// upstreams that crashed. A harmful request that was forgotten would crash further upstreams
// before it is suspected again.
type RestartCache struct {
	fs  journal.FS
	dir string
}

const (
	upstreamsFile  = "upstreams"
	suspicionsFile = "suspicions"
	// tempSuffix is appended to the name of a file while it is written.
	tempSuffix = ".new"
	// saveInterval is the minimum time between two writes, so that a hundred announcements
	// after a start cause only a few syncs.
	saveInterval = 500 * time.Millisecond
	// checksumBytes is the length of the checksum that precedes the data in a file.
	checksumBytes = 4
)

// NewRestartCache returns a cache in a folder, which is created if it does not exist.
func NewRestartCache(fs journal.FS, dir string) *RestartCache { return &RestartCache{fs: fs, dir: dir} }

// errDamaged is returned for a file that is too short or has a wrong checksum.
var errDamaged = errors.New("the file is damaged")

// LoadUpstreams returns the list of upstreams that was saved last.
func (r *RestartCache) LoadUpstreams() ([]registry.Upstream, error) {
	var all wire.Upstreams
	err := r.load(upstreamsFile, &all)
	return all.All, errors.Wrap(err, "list of upstreams")
}

// SaveUpstreams replaces the saved list of upstreams. It returns once the list is synced to
// disk.
func (r *RestartCache) SaveUpstreams(all []registry.Upstream) error {
	return errors.Wrap(r.save(upstreamsFile, &wire.Upstreams{All: all}), "list of upstreams")
}

// LoadSuspicions returns the suspicions that were saved last.
func (r *RestartCache) LoadSuspicions() ([]quarantine.Suspicion, error) {
	var all wire.Suspicions
	err := r.load(suspicionsFile, &all)
	return all.All, errors.Wrap(err, "suspicions")
}

// SaveSuspicions replaces the saved suspicions.
func (r *RestartCache) SaveSuspicions(all []quarantine.Suspicion) error {
	return errors.Wrap(r.save(suspicionsFile, &wire.Suspicions{All: all}), "suspicions")
}

func (r *RestartCache) load(name string, m wire.Message) error {
	data, err := r.fs.ReadFile(filepath.Join(r.dir, name))
	if err != nil {
		return err
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint32(data) != crc32.ChecksumIEEE(data[checksumBytes:]) {
		return errDamaged
	}
	return wire.Unmarshal(data[checksumBytes:], m)
}

func (r *RestartCache) save(name string, m wire.Message) error {
	body, err := wire.Marshal(m)
	if err != nil {
		return err
	}
	data := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(body))
	return r.write(name, append(data, body...))
}

func (r *RestartCache) write(name string, data []byte) error {
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

// restoreUpstreams adds the saved upstreams to the registry.
func (f *fleet) restoreUpstreams() {
	if f.h.cfg.RestartCache == nil {
		return
	}
	all, err := f.h.cfg.RestartCache.LoadUpstreams()
	if err != nil {
		f.h.cfg.Log.Info("saved upstreams can't be loaded", "error", err.Error())
		return
	}
	f.registry.Restore(all, f.now())
	f.h.cfg.Log.Info("upstreams of before the start are known", "upstreams", len(all))
}

// restoreSuspicions adds the saved suspicions to the quarantine. The time since they were
// saved does not count towards their age, so requests stay in quarantine that much longer.
func (f *fleet) restoreSuspicions() {
	if f.h.cfg.RestartCache == nil {
		return
	}
	all, err := f.h.cfg.RestartCache.LoadSuspicions()
	if err != nil {
		f.h.cfg.Log.Info("saved suspicions can't be loaded", "error", err.Error())
		return
	}
	f.quarantine.Merge(all)
	f.h.cfg.Log.Info("saved suspicions loaded", "suspicions", len(all))
}

// saveLoop saves the upstreams and suspicions whenever they have changed, until ctx ends.
func (f *fleet) saveLoop(ctx context.Context) {
	if f.h.cfg.RestartCache == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.saveRequested:
		}
		f.mu.Lock()
		all := f.registry.All()
		f.mu.Unlock()
		if err := f.h.cfg.RestartCache.SaveUpstreams(all); err != nil {
			f.h.cfg.Log.Warn("upstreams can't be saved", "error", err.Error())
		}
		if err := f.h.cfg.RestartCache.SaveSuspicions(f.quarantine.All()); err != nil {
			f.h.cfg.Log.Warn("suspicions can't be saved", "error", err.Error())
		}
		pause.For(ctx, saveInterval)
	}
}

// requestSave makes saveLoop save the upstreams and suspicions.
func (f *fleet) requestSave() {
	select {
	case f.saveRequested <- struct{}{}:
	default:
	}
}
