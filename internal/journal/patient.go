package journal

import (
	"log/slog"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// fullDiskRetryInterval is how often a write is tried again that found the disk full.
const fullDiskRetryInterval = 100 * time.Millisecond

// SpaceWaitingFS is an FS that waits while the disk is full, instead of failing: a replica that
// ends then would start and fail again until there is room, and one that waits is no
// worse off than with a disk that stalls. Only what the system refused whole or in part
// for want of space is done again, at the same place with the same bytes. A sync that
// fails is never repeated.
type SpaceWaitingFS struct {
	FS
	// Log is told when the disk is full and when there is room again.
	Log *slog.Logger
	// Sleep waits for a span; time.Sleep if nil.
	Sleep func(time.Duration)
}

// retryWhileFull calls do until it fails with something else than want of space, or succeeds.
func (p SpaceWaitingFS) retryWhileFull(what string, do func() error) error {
	err := do()
	if !errors.Is(err, syscall.ENOSPC) {
		return err
	}
	pause := p.Sleep
	if pause == nil {
		pause = time.Sleep
	}
	p.Log.Warn("disk is full", "at", what)
	for errors.Is(err, syscall.ENOSPC) {
		pause(fullDiskRetryInterval)
		err = do()
	}
	p.Log.Info("disk has room again", "at", what)
	return err
}

// Create implements FS.
func (p SpaceWaitingFS) Create(name string) (File, error) {
	var f File
	err := p.retryWhileFull("create", func() (err error) {
		f, err = p.FS.Create(name)
		return err
	})
	return p.wrapFile(f, err)
}

// Open implements FS.
func (p SpaceWaitingFS) Open(name string) (File, error) {
	f, err := p.FS.Open(name)
	return p.wrapFile(f, err)
}

func (p SpaceWaitingFS) wrapFile(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return spaceWaitingFile{File: f, fs: p}, nil
}

// Rename implements FS.
func (p SpaceWaitingFS) Rename(from, to string) error {
	return p.retryWhileFull("rename", func() error { return p.FS.Rename(from, to) })
}

// MkdirAll implements FS.
func (p SpaceWaitingFS) MkdirAll(dir string) error {
	return p.retryWhileFull("make folder", func() error { return p.FS.MkdirAll(dir) })
}

// spaceWaitingFile waits with its writes.
type spaceWaitingFile struct {
	File
	fs SpaceWaitingFS
}

// WriteAt implements io.WriterAt.
func (f spaceWaitingFile) WriteAt(data []byte, offset int64) (int, error) {
	done := 0
	err := f.fs.retryWhileFull("write", func() error {
		n, err := f.File.WriteAt(data[done:], offset+int64(done))
		done += n
		return err
	})
	return done, err
}
