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

// RestartCache keeps a control host's list of upstreams in a folder, so that a host that starts
// again knows them before they announce themselves: after a common restart callers would
// wait for that, more than a second. What it holds may be old, so it is only a first guess;
// upstreams that have gone refuse, are unreachable, or become silent. Beside it stands what
// the quarantine knows: each request that is forgotten costs upstreams before it is known
// again.
type RestartCache struct {
	fs  journal.FS
	dir string
}

const (
	upstreamsFile  = "upstreams"
	suspicionsFile = "suspicions"
	// tempSuffix is added to the name of a file that is being written.
	tempSuffix = ".new"
	// saveInterval is the least time between two writes, so that a hundred announcements at
	// a start cost a few syncs.
	saveInterval = 500 * time.Millisecond
	// checksumBytes is the length of the checksum before the data.
	checksumBytes = 4
)

// NewRestartCache returns the list in a folder, which is made if there is none.
func NewRestartCache(fs journal.FS, dir string) *RestartCache { return &RestartCache{fs: fs, dir: dir} }

// errDamaged tells that a file is not what was written.
var errDamaged = errors.New("the file is damaged")

// LoadUpstreams returns the upstreams that were saved last.
func (r *RestartCache) LoadUpstreams() ([]registry.Upstream, error) {
	var all wire.Upstreams
	err := r.load(upstreamsFile, &all)
	return all.All, errors.Wrap(err, "list of upstreams")
}

// SaveUpstreams replaces the upstreams that were saved. It returns once they have reached the disk.
func (r *RestartCache) SaveUpstreams(all []registry.Upstream) error {
	return errors.Wrap(r.save(upstreamsFile, &wire.Upstreams{All: all}), "list of upstreams")
}

// LoadSuspicions returns what the quarantine knew when that was saved last.
func (r *RestartCache) LoadSuspicions() ([]quarantine.Suspicion, error) {
	var all wire.Suspicions
	err := r.load(suspicionsFile, &all)
	return all.All, errors.Wrap(err, "suspicions")
}

// SaveSuspicions replaces what was saved of the quarantine.
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

// restoreUpstreams takes in what was known before the start.
func (f *fleet) restoreUpstreams() {
	if f.h.cfg.RestartCache == nil {
		return
	}
	all, err := f.h.cfg.RestartCache.LoadUpstreams()
	if err != nil {
		f.h.cfg.Log.Info("upstreams of before the start are not known", "error", err.Error())
		return
	}
	f.registry.Restore(all, f.now())
	f.h.cfg.Log.Info("upstreams of before the start are known", "upstreams", len(all))
}

// restoreSuspicions takes in what the quarantine knew before the start. The time in between
// is not counted, so requests are held that much longer.
func (f *fleet) restoreSuspicions() {
	if f.h.cfg.RestartCache == nil {
		return
	}
	all, err := f.h.cfg.RestartCache.LoadSuspicions()
	if err != nil {
		f.h.cfg.Log.Info("suspicions of before the start are not known", "error", err.Error())
		return
	}
	f.quarantine.Merge(all)
	f.h.cfg.Log.Info("suspicions of before the start are known", "suspicions", len(all))
}

// saveLoop saves what is known whenever it has changed, until ctx ends.
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
			f.h.cfg.Log.Warn("upstreams are not saved", "error", err.Error())
		}
		if err := f.h.cfg.RestartCache.SaveSuspicions(f.quarantine.All()); err != nil {
			f.h.cfg.Log.Warn("suspicions are not saved", "error", err.Error())
		}
		pause.For(ctx, saveInterval)
	}
}

// requestSave tells that what is known has changed.
func (f *fleet) requestSave() {
	select {
	case f.saveRequested <- struct{}{}:
	default:
	}
}
