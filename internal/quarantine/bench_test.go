package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// fullTable returns a table at its bounds, with two ends a request.
func fullTable() *Table {
	t := NewTable(DefaultLimits)
	for n := range DefaultLimits.Total {
		for e := range 2 {
			s := Suspicion{
				Fingerprint: testFingerprint(n), Workspace: fmt.Sprint("w", n%16), Incarnation: Incarnation{Upstream: fmt.Sprintf("i-%08x", n/10*2+e)},
				Request: fmt.Sprintf("%016x", n), AgeMS: int64(n * 10),
			}
			t.add(s, time.Hour)
		}
	}
	return t
}

// What each request costs: nearly all are not known.
func BenchmarkVerdict(b *testing.B) {
	t := fullTable()
	for b.Loop() {
		t.Verdict(Fingerprint{0xff}, time.Hour)
	}
}

// What news cost a host whose table is full.
func BenchmarkUpdateVerdicts(b *testing.B) {
	t := fullTable()
	for b.Loop() {
		t.updateVerdicts()
	}
}

func BenchmarkFingerprint(b *testing.B) {
	h := NewHasher("secret")
	r := &Request{Workspace: "workspace", Method: "POST", Host: "a.example", Target: "/a/b", Body: make([]byte, 4096)}
	b.SetBytes(int64(len(r.Body)))
	for b.Loop() {
		h.Of(r)
	}
}

// The memory of a table at its bounds, as allocated bytes.
func BenchmarkFullTable(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fullTable()
	}
}
