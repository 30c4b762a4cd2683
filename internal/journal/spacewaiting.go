package journal

import (
	"log/slog"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// fullDiskRetryInterval is the pause before an operation is retried that failed because the
// disk was full.
const fullDiskRetryInterval = 100 * time.Millisecond

// SpaceWaitingFS is an FS that waits while the disk is full instead of failing. A replica
// that exited because of a full disk would restart and fail again until there is space. A
// replica that waits is no worse off than with a disk that stalls. Only operations that
// failed with ENOSPC are retried; a partial write continues with the remaining bytes at
// their offset. A failed sync is never retried.
type SpaceWaitingFS struct {
	FS
	// Log receives a message when the disk becomes full and when it has space again.
	Log *slog.Logger
	// Sleep pauses before a retry; nil means time.Sleep.
	Sleep func(time.Duration)
}

// retryWhileFull calls do until its error is not ENOSPC, and returns that error or nil. The
// parameter what names the operation in the log.
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

// spaceWaitingFile is a File whose writes wait while the disk is full.
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
