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

// fullFS is a disk without room for some operations to come.
type fullFS struct {
	FS
	refusals *int
}

func (f fullFS) refuse() error {
	if *f.refusals == 0 {
		return nil
	}
	*f.refusals--
	return errors.WithStack(syscall.ENOSPC)
}

func (f fullFS) Create(name string) (File, error) {
	if err := f.refuse(); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name)
	return fullFile{file, f}, err
}

func (f fullFS) Open(name string) (File, error) {
	file, err := f.FS.Open(name)
	return fullFile{file, f}, err
}

type fullFile struct {
	File
	fs fullFS
}

// WriteAt takes half of the bytes before it finds the disk full.
func (f fullFile) WriteAt(data []byte, offset int64) (int, error) {
	if err := f.fs.refuse(); err != nil {
		n, _ := f.File.WriteAt(data[:len(data)/2], offset)
		return n, err
	}
	return f.File.WriteAt(data, offset)
}

func TestPatientWaitsForSpaceAndLosesNothing(t *testing.T) {
	refusals, pauses := 0, 0
	fs := SpaceWaitingFS{
		FS: fullFS{OS{}, &refusals}, Log: slog.New(slog.DiscardHandler),
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
