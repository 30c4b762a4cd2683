package journal

import (
	"io"
	"maps"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"
)

var (
	errCrashed  = errors.New("crashed")
	errSync     = errors.New("sync failed")
	errFull     = errors.New("no space left")
	errShort    = errors.New("short write")
	errNotFound = errors.New("no such file")
)

// inode is a file of memFS. Readers see data. Only durable survives a power failure. dirty
// contains the sectors that the next sync copies from data to durable.
type inode struct {
	data, durable []byte
	dirty         map[int]bool
}

// nameOp is a change of directory entries: it removes from and points to at file. Empty
// names are ignored.
type nameOp struct {
	from, to string
	file     *inode
}

// memFS is an in-memory FS that can lose unsynced data. Each modifying call decrements
// callsUntilCrash unless it is negative. When it is zero, the call fails, a write after
// half of its bytes, and so do all later calls until restart.
type memFS struct {
	names, durableNames map[string]*inode
	pending             []nameOp
	callsUntilCrash     int
	crashed             bool
	locked              bool
	failSync            error
	failWrite           error
	shortWrite          bool
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*inode{}, durableNames: map[string]*inode{}, callsUntilCrash: -1}
}

func (m *memFS) countCall() error {
	if m.crashed {
		return errCrashed
	}
	if m.callsUntilCrash == 0 {
		m.crashed = true
		return errCrashed
	}
	if m.callsUntilCrash > 0 {
		m.callsUntilCrash--
	}
	return nil
}

// name applies a change of directory entries, which is lost in a power failure unless
// SyncDir follows.
func (m *memFS) name(op nameOp) {
	applyNameOp(m.names, op)
	m.pending = append(m.pending, op)
}

func applyNameOp(names map[string]*inode, op nameOp) {
	if op.from != "" {
		delete(names, op.from)
	}
	if op.to != "" {
		names[op.to] = op.file
	}
}

func (m *memFS) MkdirAll(string) error { return m.countCall() }

func (m *memFS) Create(name string) (File, error) {
	if err := m.countCall(); err != nil {
		return nil, err
	}
	f := &inode{dirty: map[int]bool{}}
	m.name(nameOp{to: name, file: f})
	return &memFile{m, f}, nil
}

func (m *memFS) Open(name string) (File, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, errNotFound
	}
	return &memFile{m, f}, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	f, ok := m.names[name]
	if !ok {
		return nil, errNotFound
	}
	return append([]byte(nil), f.data...), nil
}

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.countCall(); err != nil {
		return err
	}
	m.name(nameOp{from: from, to: to, file: m.names[from]})
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.countCall(); err != nil {
		return err
	}
	m.name(nameOp{from: name})
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.countCall(); err != nil {
		return err
	}
	for _, op := range m.pending {
		applyNameOp(m.durableNames, op)
	}
	m.pending = nil
	return nil
}

func (m *memFS) Lock(string) (io.Closer, error) {
	if m.locked {
		return nil, errors.New("locked")
	}
	m.locked = true
	return memLock{m}, nil
}

type memLock struct{ m *memFS }

func (u memLock) Close() error { u.m.locked = false; return nil }

// restart simulates the restart of the process, or of the host after a power failure. A
// power failure keeps the first few of the unsynced directory changes, and an arbitrary
// subset of each file's unsynced sectors. A process that was killed loses no written data.
func (m *memFS) restart(powerFailure bool, pickIndex func(n int) int) {
	m.crashed, m.locked, m.callsUntilCrash = false, false, -1
	m.failSync, m.failWrite, m.shortWrite = nil, nil, false
	if !powerFailure {
		return
	}
	for _, op := range m.pending[:pickIndex(len(m.pending)+1)] {
		applyNameOp(m.durableNames, op)
	}
	m.pending = nil
	m.names = maps.Clone(m.durableNames)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		m.names[name].losePower(pickIndex)
	}
}

// losePower keeps all, some or none of the unsynced sectors and drops the others.
func (f *inode) losePower(pickIndex func(n int) int) {
	switch pickIndex(3) {
	case 0:
		f.dirty = map[int]bool{}
	case 1:
		for sector := 0; sector*sectorSize < len(f.data); sector++ {
			if f.dirty[sector] && pickIndex(2) == 0 {
				delete(f.dirty, sector)
			}
		}
	}
	f.sync()
	if len(f.durable) > len(f.data) {
		f.durable = f.durable[:len(f.data)]
	}
	f.data = append([]byte(nil), f.durable...)
}

func (f *inode) sync() {
	for sector := range f.dirty {
		start := sector * sectorSize
		end := min(start+sectorSize, len(f.data))
		if start >= end {
			continue
		}
		f.durable = grow(f.durable, end)
		copy(f.durable[start:end], f.data[start:end])
	}
	f.dirty = map[int]bool{}
}

func grow(b []byte, n int) []byte {
	if len(b) < n {
		b = append(b, make([]byte, n-len(b))...)
	}
	return b
}

type memFile struct {
	m *memFS
	f *inode
}

func (h *memFile) WriteAt(p []byte, off int64) (int, error) {
	n, err := len(p), h.m.countCall()
	if err == nil {
		err = h.m.failWrite
	}
	if err != nil || h.m.shortWrite {
		n /= 2
	}
	if err == nil && h.m.shortWrite {
		err = errShort
	}
	h.f.data = grow(h.f.data, int(off)+n)
	copy(h.f.data[off:], p[:n])
	for at := int(off); at < int(off)+n; at++ {
		h.f.dirty[at/sectorSize] = true
	}
	return n, err
}

func (h *memFile) Truncate(size int64) error {
	if err := h.m.countCall(); err != nil {
		return err
	}
	h.f.data = h.f.data[:size]
	h.f.durable = h.f.durable[:min(int(size), len(h.f.durable))]
	return nil
}

// Sync clears the dirty marks even if it fails, as kernels do.
func (h *memFile) Sync() error {
	if err := h.m.countCall(); err != nil {
		return err
	}
	if h.m.failSync != nil {
		h.f.dirty = map[int]bool{}
		return h.m.failSync
	}
	h.f.sync()
	return nil
}

func (h *memFile) Close() error { return nil }
