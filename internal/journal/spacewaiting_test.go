package journal

import (
	"log/slog"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// fullDiskFS is a file system on which the next operations that need space fail with
// ENOSPC, as many as refusals says.
type fullDiskFS struct {
	FS
	refusals *int
}

func (f fullDiskFS) nextError() error {
	if *f.refusals == 0 {
		return nil
	}
	*f.refusals--
	return errors.WithStack(syscall.ENOSPC)
}

func (f fullDiskFS) Create(name string) (File, error) {
	if err := f.nextError(); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name)
	return fullDiskFile{file, f}, err
}

func (f fullDiskFS) Open(name string) (File, error) {
	file, err := f.FS.Open(name)
	return fullDiskFile{file, f}, err
}

type fullDiskFile struct {
	File
	fs fullDiskFS
}

// WriteAt writes half of the bytes before it fails on a full disk.
func (f fullDiskFile) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.fs.nextError(); err != nil {
		n, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return n, err
	}
	return f.File.WriteAt(data, offset)
}

// A replica on a full disk must wait for space. If a write is retried incompletely, or the
// journal fails instead, the entry of the interrupted Append is lost.
func TestFullDiskIsWaitedForWithoutLoss(t *testing.T) {
	refusals, pauses := 0, 0
	fs := SpaceWaitingFS{
		FS: fullDiskFS{OS{}, &refusals}, Log: slog.New(slog.DiscardHandler),
		Sleep: func(time.Duration) { pauses++ },
	}
	dir := t.TempDir()
	j, _, err := Open(Options{Dir: dir, FS: fs, Logger: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	entry := consensus.Entry{Term: 1, Index: 1, Data: []byte("kept")}
	require.NoError(t, j.Append(&consensus.HardState{Term: 1}, []consensus.Entry{entry}))
	refusals = 3
	entry.Index, entry.Data = 2, []byte("written while the disk was full")
	require.NoError(t, j.Append(nil, []consensus.Entry{entry}))
	require.Equal(t, 3, pauses)
	require.NoError(t, j.Close())

	_, r, err := Open(Options{Dir: dir, Logger: slog.New(slog.DiscardHandler)})
	require.NoError(t, err)
	require.Len(t, r.Entries, 2)
	require.Equal(t, entry.Data, r.Entries[1].Data)
}
