package expertmap

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// BenchmarkChange measures whole map changes, from promise to commit, of a simulated group with
// 128 ranks on 16 hosts. The maps have no layers.
func BenchmarkChange(b *testing.B) {
	sim := newSimulation(16, 8)
	sim.newCoordinator(sim.hosts[0], 100)
	base, _ := sim.changeMap(sim.hosts[0])
	require.False(b, base.IsZero())
	sim.sentMessages = 0
	b.ResetTimer()
	for range b.N {
		require.Equal(b, OutcomeChanged, sim.changeMapFrom(base))
		base = sim.hosts[0].coordinator.Ballot()
		b.StopTimer()
		// Run past the armed step, so that the next change starts from the new map.
		for range 220 {
			sim.runEngines(sim.engines)
		}
		b.StartTimer()
	}
	b.ReportMetric(float64(sim.sentMessages)/float64(b.N), "messages/change")
}

// changeMapFrom runs one ballot that proposes a map planned on base. All weights load at once.
func (sim *simulation) changeMapFrom(base Version) Outcome {
	h := sim.hosts[0]
	sim.propose(h, base)
	sim.deliverExcept(func(Message) bool { return false })
	return h.coordinator.Outcome()
}

// BenchmarkStageSize reports the encoded size of a stage message, which carries a map and is the
// only large message of a change.
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
	var encoded []byte
	for range b.N {
		encoded, _ = cbor.Marshal(Message{Stage: &Stage{Ballot: v3, Incarnation: 1 << 60, Maps: []Map{m}}})
	}
	b.ReportMetric(float64(len(encoded)), "bytes")
}

// Guards against rounds that need more than one request and one answer per host.
func TestMessagesPerChange(t *testing.T) {
	sim := newSimulation(16, 8)
	sim.newCoordinator(sim.hosts[0], 100)
	base, _ := sim.changeMap(sim.hosts[0])
	sim.sentMessages = 0
	require.Equal(t, OutcomeChanged, sim.changeMapFrom(base))
	require.Equal(t, 4*2*len(sim.hosts), sim.sentMessages, "four rounds, with one request and one answer per host in each")
}
