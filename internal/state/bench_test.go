package state

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	targetDocuments  = 27
	targetWorkspaces = 250
	targetClaims     = 100_000
	// workspaceLines is a plausible section of a document for one workspace.
	workspaceLines = "[workspace.%04d]\nshare = 12\nrequests-per-second = 40\ntokens-per-second = 9000\npriority = dispatch\ndeadline = 730ms\n"
)

// atTarget returns tables of the size to be carried in two years.
func atTarget(b *testing.B) *log {
	l := newLog(b, Options{})
	for d := range targetDocuments {
		var text strings.Builder
		for w := range targetWorkspaces {
			fmt.Fprintf(&text, workspaceLines, d*targetWorkspaces+w)
		}
		l.do(SubmitDocument{Name: fmt.Sprintf("model-%02d", d), ChangeID: "x", Author: "ann", Text: text.String()})
	}
	return l
}

func addClaims(l *log) {
	const batch = 100
	for n := 0; n < targetClaims; n += batch {
		var claims ClaimBatch
		var ends FinishClaims
		for i := n; i < n+batch; i++ {
			c := Claim{
				Workspace: fmt.Sprintf("workspace-%04d", i%(targetDocuments*targetWorkspaces)),
				Key:       fmt.Sprintf("%032x", i),
				Attempt:   fmt.Sprintf("%032x", i+targetClaims),
				Host:      "entry-001",
				Digest:    [32]byte{byte(i)},
				Deadline:  30_000,
			}
			claims.Claims = append(claims.Claims, c)
			ends.Finishes = append(ends.Finishes, Finish{Workspace: c.Workspace, Key: c.Key, Attempt: c.Attempt, Verdict: verdict.Ran})
		}
		l.do(claims)
		l.do(ends)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

func BenchmarkSnapshotAtTarget(b *testing.B) {
	before := heapBytes()
	l := atTarget(b)
	documents := heapBytes()
	addClaims(l)
	claims := heapBytes()
	require.Equal(b, targetClaims, l.m.ClaimCount())
	var image []byte
	var err error
	for b.Loop() {
		image, err = l.m.Snapshot()
		require.NoError(b, err)
	}
	b.ReportMetric((documents-before)/(1<<20), "MiB-documents")
	b.ReportMetric((claims-documents)/targetClaims, "B/claim")
	b.ReportMetric(float64(len(image))/(1<<20), "MiB-snapshot")
}

// BenchmarkCaptureAtTarget measures how long a snapshot holds up changes.
func BenchmarkCaptureAtTarget(b *testing.B) {
	l := atTarget(b)
	addClaims(l)
	for b.Loop() {
		require.Len(b, l.m.capture().Claims, targetClaims)
	}
}

func BenchmarkRestoreAtTarget(b *testing.B) {
	l := atTarget(b)
	addClaims(l)
	image, err := l.m.Snapshot()
	require.NoError(b, err)
	for b.Loop() {
		require.NoError(b, New(Options{}).Restore(image))
	}
}
