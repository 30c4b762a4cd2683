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
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Recall keeps a control host's list of upstreams in a folder, so that a host that starts
// again knows them before they announce themselves: after a common restart callers would
// wait for that, more than a second. What it holds may be old, so it is only a first guess;
// upstreams that have gone refuse, are unreachable, or become silent.
type Recall struct {
	fs  journal.FS
	dir string
}

const (
	recallFile = "upstreams"
	recallTemp = "upstreams.new"
	// recallPause is the least time between two writes, so that a hundred announcements at
	// a start cost a few syncs.
	recallPause = 500 * time.Millisecond
	// checksumBytes is the length of the checksum before the list.
	checksumBytes = 4
)

// NewRecall returns the list in a folder, which is made if there is none.
func NewRecall(fs journal.FS, dir string) *Recall { return &Recall{fs: fs, dir: dir} }

// errDamaged tells that the file is not what was written.
var errDamaged = errors.New("the list of upstreams is damaged")

// Load returns what was saved last.
func (r *Recall) Load() ([]registry.Upstream, error) {
	data, err := r.fs.ReadFile(filepath.Join(r.dir, recallFile))
	if err != nil {
		return nil, errors.Wrap(err, "list of upstreams")
	}
	if len(data) < checksumBytes || binary.BigEndian.Uint32(data) != crc32.ChecksumIEEE(data[checksumBytes:]) {
		return nil, errDamaged
	}
	var all wire.Upstreams
	if err := wire.Unmarshal(data[checksumBytes:], &all); err != nil {
		return nil, errors.Wrap(err, "list of upstreams")
	}
	return all.All, nil
}

// Save replaces what was saved. It returns once the list has reached the disk.
func (r *Recall) Save(all []registry.Upstream) error {
	list, err := wire.Marshal(&wire.Upstreams{All: all})
	if err != nil {
		return errors.Wrap(err, "list of upstreams")
	}
	data := binary.BigEndian.AppendUint32(nil, crc32.ChecksumIEEE(list))
	return errors.Wrap(r.write(append(data, list...)), "list of upstreams")
}

func (r *Recall) write(data []byte) error {
	if err := r.fs.MkdirAll(r.dir); err != nil {
		return err
	}
	temp := filepath.Join(r.dir, recallTemp)
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
	if err := r.fs.Rename(temp, filepath.Join(r.dir, recallFile)); err != nil {
		return err
	}
	return r.fs.SyncDir(r.dir)
}

// restore takes in what was known before the start.
func (f *fleet) restore() {
	if f.h.cfg.Recall == nil {
		return
	}
	all, err := f.h.cfg.Recall.Load()
	if err != nil {
		f.h.cfg.Log.Info("upstreams of before the start are not known", "error", err.Error())
		return
	}
	f.registry.Restore(all, f.now())
	f.h.cfg.Log.Info("upstreams of before the start are known", "upstreams", len(all))
}

// remember saves the list whenever it has changed, until ctx ends.
func (f *fleet) remember(ctx context.Context) {
	if f.h.cfg.Recall == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
		}
		f.mu.Lock()
		all := f.registry.All()
		f.mu.Unlock()
		if err := f.h.cfg.Recall.Save(all); err != nil {
			f.h.cfg.Log.Warn("upstreams are not saved", "error", err.Error())
		}
		pause.For(ctx, recallPause)
	}
}

// note tells that the list has changed.
func (f *fleet) note() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}
