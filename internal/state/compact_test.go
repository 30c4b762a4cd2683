package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Compacting a finished claim makes room for further claims. Its key must not be granted
// again within the retention. It would be if only uncompacted claims were looked up.
func TestCompactClaimIsNotGrantedAgain(t *testing.T) {
	l := newLog(t, Options{ClaimRetention: 5000, CompactAfter: 1000, CompactClaims: 2, Claims: 3, ClaimsPerWorkspace: 3})
	for _, key := range []string{"a", "b", "c"} {
		require.Equal(t, ClaimGranted, l.claim(key, "1", 7).Outcome)
		require.Equal(t, FinishRecorded, l.finish(key, "1", verdict.Ran, &RecordedResponse{Status: 201, Body: []byte("slot")}))
	}
	require.Equal(t, ClaimRefused, l.claim("d", "1", 7).Outcome, "the limit of uncompacted claims is reached")
	require.NotNil(t, l.claim("a", "2", 7).Response)
	l.apply(AdvanceClock{Elapsed: 1000})

	require.Equal(t, 3, l.machine.ClaimCount())
	require.Equal(t, ClaimResult{Outcome: ClaimFinished, Verdict: verdict.Ran}, l.claim("a", "2", 7))
	require.Equal(t, ClaimKeyReused, l.claim("b", "2", 8).Outcome)
	require.NotNil(t, l.claim("c", "2", 7).Response, "the limit of compact claims is reached, so the third stays uncompacted")
	require.Equal(t, FinishIgnored, l.finish("a", "1", verdict.NotRun, nil))
	require.Equal(t, ClaimGranted, l.claim("d", "1", 7).Outcome, "compaction made room")

	snapshot, err := l.machine.Snapshot()
	require.NoError(t, err)
	require.NoError(t, l.machine.Restore(snapshot))
	require.Equal(t, ClaimFinished, l.claim("a", "3", 7).Outcome)
	second, err := l.machine.Snapshot()
	require.NoError(t, err)
	require.Equal(t, snapshot[len(snapshot)-2*compactClaimBytes:], second[len(second)-2*compactClaimBytes:])

	l.apply(AdvanceClock{Elapsed: 5000})
	require.Equal(t, ClaimGranted, l.claim("a", "4", 7).Outcome, "the retention has passed")
}

func BenchmarkCompactClaimMemory(b *testing.B) {
	const count = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := compactTable{maxClaims: count}
		s.clear()
		for i := range count {
			s.add(newCompactKey("workspace", fmt.Sprint("key ", i)), compactClaim{expires: LogicalTime(i)})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/claim")
		runtime.KeepAlive(s.byKey)
	}
}

// A capture is encoded while further commands are applied. They must not change it.
func TestLaterCommandsDoNotChangeACapture(t *testing.T) {
	l := newLog(t, Options{})
	require.Equal(t, ClaimGranted, l.claim("a", "1", 7).Outcome)
	want, err := l.machine.Snapshot()
	require.NoError(t, err)
	encode := l.machine.Capture()
	require.Equal(t, FinishRecorded, l.finish("a", "1", verdict.Ran, &RecordedResponse{Status: 201}))
	require.Equal(t, ClaimGranted, l.claim("b", "1", 7).Outcome)
	l.apply(AdvanceClock{Elapsed: 1000})
	got, err := encode()
	require.NoError(t, err)
	require.Equal(t, want, got)
}

// Compaction must not shorten the time for which a claim is kept: the retention after its
// deadline, even if it finished long before. Otherwise its key would be granted again too early,
// and the call could run twice.
func TestCompactionDoesNotShortenRetention(t *testing.T) {
	l := newLog(t, smallOptions)
	const deadline = 1217
	c := Claim{Workspace: "w", Key: "k", Attempt: "p", Deadline: deadline}
	require.Equal(t, ClaimGranted, l.apply(ClaimBatch{Claims: []Claim{c}}).(ClaimBatchResult).Claims[0].Outcome)
	require.Equal(t, FinishRecorded, l.finish("k", "p", verdict.MayHaveRun, nil))
	expires := uint64(deadline + smallOptions.ClaimRetention)
	l.apply(AdvanceClock{Elapsed: uint64(smallOptions.CompactAfter)})
	l.apply(AdvanceClock{Elapsed: expires - uint64(smallOptions.CompactAfter) - 1})
	require.Equal(t, ClaimFinished, l.apply(ClaimBatch{Claims: []Claim{c}}).(ClaimBatchResult).Claims[0].Outcome)
	l.apply(AdvanceClock{Elapsed: 1})
	require.Equal(t, ClaimGranted, l.apply(ClaimBatch{Claims: []Claim{c}}).(ClaimBatchResult).Claims[0].Outcome)
}
