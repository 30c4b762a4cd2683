package expertmap

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// BenchmarkChange runs full changes of a group of 128 ranks on 16 hosts in
// memory; the map itself is empty.
func BenchmarkChange(b *testing.B) {
	w := newWorld(16, 8)
	w.newCoordinator(w.hosts[0], 100)
	base, _ := w.change(w.hosts[0])
	require.False(b, base.IsZero())
	w.sent = 0
	b.ResetTimer()
	for range b.N {
		require.Equal(b, OutcomeChanged, w.changeFrom(base))
		base = w.hosts[0].coord.Ballot()
		b.StopTimer()
		// Leave the armed step behind.
		for range 220 {
			w.enginesWork(w.engines)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(w.sent)/float64(b.N), "messages/change")
}

// changeFrom runs one ballot whose weights are loaded at once.
func (w *world) changeFrom(base Version) Outcome {
	h := w.hosts[0]
	w.propose(h, base)
	w.drainTo(func(Message) bool { return false })
	return h.coord.Outcome()
}

// BenchmarkStageSize measures the encoded stage message, the only large one.
func BenchmarkStageSize(b *testing.B) {
	m := Map{SlotsPerRank: 1}
	for range 58 {
		m.Layers = append(m.Layers, make([]uint16, 128))
	}
	for _, l := range m.Layers {
		for s := range l {
			l[s] = uint16(s % 64)
		}
	}
	var raw []byte
	for range b.N {
		raw, _ = cbor.Marshal(Message{Stage: &Stage{Ballot: v3, Incarnation: 1 << 60, Maps: []Map{m}}})
	}
	b.ReportMetric(float64(len(raw)), "bytes")
}

func TestMessagesPerChange(t *testing.T) {
	w := newWorld(16, 8)
	w.newCoordinator(w.hosts[0], 100)
	base, _ := w.change(w.hosts[0])
	w.sent = 0
	require.Equal(t, OutcomeChanged, w.changeFrom(base))
	require.Equal(t, 4*2*len(w.hosts), w.sent, "four rounds, each asked and answered once a host")
}
