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
	targetDocumentCount   = 27
	workspacesPerDocument = 250
	targetClaimCount      = 100_000
	// workspaceSection is a typical section of a document for one workspace.
	workspaceSection = "[workspace.%04d]\nshare = 12\nrequests-per-second = 40\ntokens-per-second = 9000\npriority = dispatch\ndeadline = 730ms\n"
)

// newTargetLog returns tables with as many documents and workspaces as the system must
// support in two years.
func newTargetLog(b *testing.B) *testLog {
	l := newLog(b, Options{})
	for d := range targetDocumentCount {
		var text strings.Builder
		for w := range workspacesPerDocument {
			fmt.Fprintf(&text, workspaceSection, d*workspacesPerDocument+w)
		}
		l.apply(SubmitDocument{Name: fmt.Sprintf("model-%02d", d), ChangeID: "x", Author: "ann", Text: text.String()})
	}
	return l
}

// addClaims adds targetClaimCount finished claims.
func addClaims(l *testLog) {
	const batch = 100
	for n := 0; n < targetClaimCount; n += batch {
		var claims ClaimBatch
		var finishes FinishClaims
		for i := n; i < n+batch; i++ {
			c := Claim{
				Workspace: fmt.Sprintf("workspace-%04d", i%(targetDocumentCount*workspacesPerDocument)),
				Key:       fmt.Sprintf("%032x", i),
				Attempt:   fmt.Sprintf("%032x", i+targetClaimCount),
				Host:      "entry-001",
				Digest:    [32]byte{byte(i)},
				Deadline:  30_000,
			}
			claims.Claims = append(claims.Claims, c)
			finishes.Finishes = append(finishes.Finishes, Finish{Workspace: c.Workspace, Key: c.Key, Attempt: c.Attempt, Verdict: verdict.Ran})
		}
		l.apply(claims)
		l.apply(finishes)
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

func BenchmarkSnapshotAtTargetSize(b *testing.B) {
	before := heapBytes()
	l := newTargetLog(b)
	documents := heapBytes()
	addClaims(l)
	claims := heapBytes()
	require.Equal(b, targetClaimCount, l.machine.ClaimCount())
	var snapshot []byte
	var err error
	for b.Loop() {
		snapshot, err = l.machine.Snapshot()
		require.NoError(b, err)
	}
	b.ReportMetric((documents-before)/(1<<20), "MiB-documents")
	b.ReportMetric((claims-documents)/targetClaimCount, "B/claim")
	b.ReportMetric(float64(len(snapshot))/(1<<20), "MiB-snapshot")
}

// BenchmarkCaptureAtTargetSize measures for how long a snapshot blocks changes.
func BenchmarkCaptureAtTargetSize(b *testing.B) {
	l := newTargetLog(b)
	addClaims(l)
	for b.Loop() {
		require.Len(b, l.machine.capture().Claims, targetClaimCount)
	}
}

func BenchmarkRestoreAtTargetSize(b *testing.B) {
	l := newTargetLog(b)
	addClaims(l)
	snapshot, err := l.machine.Snapshot()
	require.NoError(b, err)
	for b.Loop() {
		require.NoError(b, New(Options{}).Restore(snapshot))
	}
}
