package wire

import (
	"fmt"
	"testing"

	"github.com/sassafraspost/sassafraspost/internal/registry"
)

// The cost of encoding messages that are sent often.
func BenchmarkEncode(b *testing.B) {
	loads := &EngineLoads{}
	for i := range 500 {
		loads.FullRecords = append(loads.FullRecords, EngineLoad{
			Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), IsOpen: true, Running: 7, Waiting: 3, Slowdown: 1.02, Group: "g-17", Epoch: 3,
			StartedAt: 1_764_900_000_000, Rank: uint32(i), Number: uint64(i),
		})
	}
	upstreams := &Upstreams{}
	for i := range 1000 {
		upstreams.All = append(upstreams.All, registry.Upstream{
			ID: fmt.Sprintf("i-%08x", i), Service: "completions", Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250), DataCentre: "north-1", Slots: 8, Sequence: uint64(i), StartedAt: 1_764_900_000_000,
		})
	}
	for _, m := range []Message{
		loads, &Frame{Data: make([]byte, 4<<10)}, &Consensus{To: "control-1/8c1f", Data: make([]byte, 1<<10)}, upstreams,
	} {
		b.Run(fmt.Sprintf("%T", m), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Encode(0, false, m); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
