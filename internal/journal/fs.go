package journal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// File is an open file of the journal.
type File interface {
	io.WriterAt
	io.Closer
	// Truncate sets the length in bytes.
	Truncate(size int64) error
	// Sync returns once all written data has reached the disk.
	Sync() error
}

// FS is the subset of file system operations that the journal uses. Names are paths.
type FS interface {
	MkdirAll(dir string) error
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for writing.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List returns the base names of the files in dir.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir returns once the directory entries of dir have reached the disk.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock on the file with this name. It fails immediately if
	// another process holds the lock.
	Lock(name string) (io.Closer, error)
}

const (
	dirMode  = 0o700
	fileMode = 0o600
)

// OS is the operating system's file system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, dirMode) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, fileMode)
}

// Open implements FS.
func (OS) Open(name string) (File, error) { return os.OpenFile(name, os.O_RDWR, fileMode) }

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	err = d.Sync()
	if cerr := d.Close(); err == nil {
		err = cerr
	}
	return err
}

// Lock implements FS with flock. The kernel releases the lock when the process ends.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, errors.Wrapf(err, "folder %s is in use by another process", filepath.Dir(name))
	}
	return f, nil
}

// writeFileAtomic replaces the file name in dir. After a crash the file is either the
// complete old one or the complete new one.
func writeFileAtomic(fs FS, dir, name string, data []byte) error {
	tmp := filepath.Join(dir, name+tempSuffix)
	f, err := fs.Create(tmp)
	if err != nil {
		return errors.Wrap(err, "create")
	}
	_, err = f.WriteAt(data, 0)
	if err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return errors.Wrapf(err, "write %s", tmp)
	}
	if err := fs.Rename(tmp, filepath.Join(dir, name)); err != nil {
		return errors.Wrap(err, "rename")
	}
	return errors.Wrap(fs.SyncDir(dir), "sync folder")
}
