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

// countingMachine counts the commands that it applies.
type countingMachine struct{ n int }

func (m *countingMachine) Apply(uint64, []byte) any { m.n++; return nil }
func (m *countingMachine) Capture() func() ([]byte, error) {
	return func() ([]byte, error) { return []byte{1}, nil }
}
func (m *countingMachine) Restore([]byte) error { return nil }

// nullStorage stores nothing and syncs nothing.
type nullStorage struct{}

func (nullStorage) Append(*consensus.HardState, []consensus.Entry) error { return nil }
func (nullStorage) SaveSnapshot(consensus.Snapshot) error                { return nil }
func (nullStorage) Close() error                                         { return nil }

type nullTransport struct{}

func (nullTransport) Send(consensus.ReplicaID, consensus.Message) {}

func openSingleVoter(b *testing.B, snapshotEntries uint64) *Replica {
	r, err := Open(Options{ID: idA, Storage: nullStorage{}, StateMachine: &countingMachine{}, Transport: nullTransport{}, Tick: testTick,
		SnapshotEntries: snapshotEntries, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
	require.NoError(b, err)
	require.NoError(b, r.Bootstrap(context.Background(), consensus.Membership{Voters: []consensus.ReplicaID{idA}}))
	require.Eventually(b, func() bool { _, err := r.Read(context.Background()); return err == nil }, waitTimeout, pollInterval)
	return r
}

// BenchmarkPropose measures the cost of the replica's loop alone: a single voter without a
// disk, and 256 concurrent callers per processor.
func BenchmarkPropose(b *testing.B) {
	r := openSingleVoter(b, DefaultSnapshotEntries)
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

// BenchmarkEntryMemory reports the heap bytes that a log entry takes beyond its data, which
// all entries share here.
func BenchmarkEntryMemory(b *testing.B) {
	const entries = 200000
	for b.Loop() {
		r := openSingleVoter(b, 2*entries)
		before := heapBytes()
		data := bytes.Repeat([]byte("x"), benchEntryBytes)
		for range entries / 100 {
			proposeMany(b, r, data, 100)
		}
		b.ReportMetric(float64(heapBytes()-before)/entries, "heap-B/entry")
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

func heapBytes() int64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&s)
	return int64(s.HeapAlloc)
}
