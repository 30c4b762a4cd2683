package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// fullTable returns a table at its limits, with two crashes per request.
func fullTable() *Table {
	t := NewTable(DefaultLimits)
	for n := range DefaultLimits.Total {
		for crash := range 2 {
			s := Suspicion{
				Fingerprint: print(n), Workspace: fmt.Sprint("w", n%16), Incarnation: Incarnation{Upstream: fmt.Sprintf("i-%08x", n/10*2+crash)},
				Request: fmt.Sprintf("%016x", n), AgeMS: int64(n * 10),
			}
			t.add(s, time.Hour)
		}
	}
	return t
}

// BenchmarkVerdict measures the check on every request. Nearly all requests have no record.
func BenchmarkVerdict(b *testing.B) {
	t := fullTable()
	for b.Loop() {
		t.Verdict(Fingerprint{0xff}, time.Hour)
	}
}

// BenchmarkUpdateVerdicts measures what each new suspicion costs a host whose table is full.
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

// BenchmarkFullTable measures the memory of a table at its limits, as allocated bytes.
func BenchmarkFullTable(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		fullTable()
	}
}

// BenchmarkPartFingerprints measures what the parts of one prompt cost a request.
func BenchmarkPartFingerprints(b *testing.B) {
	h := NewHasher("secret")
	for b.Loop() {
		h.OfPart("5c1e07a2")
	}
}

// BenchmarkAnsweredParts measures what the parts of one prompt cost an answer.
func BenchmarkAnsweredParts(b *testing.B) {
	var a answeredParts
	n := 0
	for b.Loop() {
		n++
		a.add([]Fingerprint{{1}, {2, byte(n >> 16), byte(n >> 8), byte(n)}}, time.Duration(n))
	}
}

// BenchmarkFullPartMemory measures the memory of the remembered parts at their limit, as allocated bytes.
func BenchmarkFullPartMemory(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var a answeredParts
		for n := range 2 * maxAnsweredParts {
			a.add([]Fingerprint{{byte(n >> 8), byte(n)}}, 0)
		}
	}
}
