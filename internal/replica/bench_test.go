package replica

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

const benchEntryBytes = 200

// countMachine counts the commands.
type countMachine struct{ n int }

func (m *countMachine) Apply(uint64, []byte) any  { m.n++; return nil }
func (m *countMachine) Snapshot() ([]byte, error) { return []byte{1}, nil }
func (m *countMachine) Restore([]byte) error      { return nil }

// nullStorage keeps nothing and syncs nothing.
type nullStorage struct{}

func (nullStorage) Append(*consensus.HardState, []consensus.Entry) error { return nil }
func (nullStorage) SaveSnapshot(consensus.Snapshot) error                { return nil }
func (nullStorage) Close() error                                         { return nil }

type nullTransport struct{}

func (nullTransport) Send(consensus.ReplicaID, consensus.Message) {}

func openSingle(b *testing.B, snapshotEntries uint64) *Replica {
	r, err := Open(Options{ID: idA, Storage: nullStorage{}, StateMachine: &countMachine{}, Transport: nullTransport{}, Tick: testTick,
		SnapshotEntries: snapshotEntries, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	require.NoError(b, err)
	require.NoError(b, r.Bootstrap(context.Background(), consensus.Membership{Voters: []consensus.ReplicaID{idA}}))
	require.Eventually(b, func() bool { _, err := r.Read(context.Background()); return err == nil }, patience, glance)
	return r
}

// BenchmarkPropose is the cost of the loop alone, one voter without a disk; 256
// callers a processor propose at the same time.
func BenchmarkPropose(b *testing.B) {
	r := openSingle(b, DefaultSnapshotEntries)
	data := bytes.Repeat([]byte("x"), benchEntryBytes)
	b.SetParallelism(256)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := r.Propose(context.Background(), data); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.StopTimer()
	b.ReportMetric(float64(b.N)/float64(r.metrics.sync.Count()), "proposals/sync")
	require.NoError(b, r.Close(context.Background()))
}

// BenchmarkEntryMemory reports the heap that an entry of the log holds beyond its data.
func BenchmarkEntryMemory(b *testing.B) {
	const entries = 200000
	for b.Loop() {
		r := openSingle(b, 2*entries)
		before := heap()
		data := bytes.Repeat([]byte("x"), benchEntryBytes)
		for range entries / 100 {
			proposeMany(b, r, data, 100)
		}
		b.ReportMetric(float64(heap()-before)/entries, "heap-B/entry")
		require.NoError(b, r.Close(context.Background()))
	}
}

func proposeMany(b *testing.B, r *Replica, data []byte, n int) {
	errs := make(chan error, n)
	for range n {
		go func() {
			_, err := r.Propose(context.Background(), data)
			errs <- err
		}()
	}
	for range n {
		require.NoError(b, <-errs)
	}
}

func heap() int64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
