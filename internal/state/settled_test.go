package state

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// A claim whose call ended some time ago is kept in short form: it frees room for
// others and never lets the key run again within the retention. Without the look into
// the settled claims this fails: the key is granted again.
func TestCompactClaimIsNotGrantedAgain(t *testing.T) {
	l := newLog(t, Options{ClaimRetention: 5000, CompactAfter: 1000, CompactClaims: 2, Claims: 3, ClaimsPerWorkspace: 3})
	for _, key := range []string{"a", "b", "c"} {
		require.Equal(t, ClaimGranted, l.claim(key, "1", 7).Outcome)
		require.Equal(t, FinishRecorded, l.finish(key, "1", verdict.Ran, &RecordedResponse{Status: 201, Body: []byte("slot")}))
	}
	require.Equal(t, ClaimRefused, l.claim("d", "1", 7).Outcome, "the table is full")
	require.NotNil(t, l.claim("a", "2", 7).Answer)
	l.apply(AdvanceClock{Elapsed: 1000})

	require.Equal(t, 3, l.machine.ClaimCount())
	require.Equal(t, ClaimResult{Outcome: ClaimFinished, Verdict: verdict.Ran}, l.claim("a", "2", 7))
	require.Equal(t, ClaimKeyReused, l.claim("b", "2", 8).Outcome)
	require.NotNil(t, l.claim("c", "2", 7).Answer, "the third had no room and is whole")
	require.Equal(t, FinishIgnored, l.finish("a", "1", verdict.NotRun, nil))
	require.Equal(t, ClaimGranted, l.claim("d", "1", 7).Outcome, "there is room again")

	image, err := l.machine.Snapshot()
	require.NoError(t, err)
	require.NoError(t, l.machine.Restore(image))
	require.Equal(t, ClaimFinished, l.claim("a", "3", 7).Outcome)
	again, err := l.machine.Snapshot()
	require.NoError(t, err)
	require.Equal(t, image[len(image)-2*compactClaimBytes:], again[len(again)-2*compactClaimBytes:])

	l.apply(AdvanceClock{Elapsed: 5000})
	require.Equal(t, ClaimGranted, l.claim("a", "4", 7).Outcome, "the retention has ended")
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

// What was set aside does not change with what is applied before it is encoded.
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

// A claim in its short form is kept no less long than it was whole: one that allowed its call
// much time and ended soon was forgotten before its retention had passed, and its key could run
// again.
func TestCompactionDoesNotShortenRetention(t *testing.T) {
	l := newLog(t, smallOptions)
	const deadline = 1217
	c := Claim{Workspace: "w", Key: "k", Attempt: "p", Deadline: deadline}
	require.Equal(t, ClaimGranted, l.apply(ClaimBatch{Claims: []Claim{c}}).(ClaimBatchResult).Claims[0].Outcome)
	require.Equal(t, FinishRecorded, l.finish("k", "p", verdict.MayHaveRun, nil))
	promised := uint64(deadline + smallOptions.ClaimRetention)
	l.apply(AdvanceClock{Elapsed: uint64(smallOptions.CompactAfter)})
	l.apply(AdvanceClock{Elapsed: promised - uint64(smallOptions.CompactAfter) - 1})
	require.Equal(t, ClaimFinished, l.apply(ClaimBatch{Claims: []Claim{c}}).(ClaimBatchResult).Claims[0].Outcome)
	l.apply(AdvanceClock{Elapsed: 1})
	require.Equal(t, ClaimGranted, l.apply(ClaimBatch{Claims: []Claim{c}}).(ClaimBatchResult).Claims[0].Outcome)
}
