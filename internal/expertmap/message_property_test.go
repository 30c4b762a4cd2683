package expertmap

import (
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/arbitrary"
)

// Guards against messages of a change of map that are decoded to something else, and against one that makes a
// participant or a coordinator panic, which would end the agent.
func TestPropertyAnyMessageIsStepped(t *testing.T) { rapid.Check(t, messageProperty) }

func FuzzMessages(f *testing.F) { f.Fuzz(rapid.MakeFuzz(messageProperty)) }

func messageProperty(t *rapid.T) {
	sim := newSimulation(2, 2)
	for range rapid.IntRange(1, 30).Draw(t, "steps") {
		h := sim.hosts[rapid.IntRange(0, 1).Draw(t, "host")]
		switch rapid.IntRange(0, 4).Draw(t, "action") {
		case 0:
			if h.coordinator == nil {
				sim.newCoordinator(h, 3)
				sim.propose(h, Version{})
			}
		case 1:
			if len(sim.network) > 0 {
				sim.deliver(rapid.IntRange(0, len(sim.network)-1).Draw(t, "packet"))
			}
		case 2:
			sim.runAgent(h)
		case 3:
			sim.stepDrawn(t, h)
		case 4:
			if h.coordinator != nil {
				sim.sendAll(h, h.coordinator.Tick())
			}
		}
	}
}

// stepDrawn hands a drawn message to a host. Most have the ballot of its coordinator, since others are refused.
func (sim *simulation) stepDrawn(t *rapid.T, h *fakeHost) {
	var m Message
	arbitrary.Value(t, reflect.ValueOf(&m).Elem(), false)
	if h.coordinator != nil && rapid.Bool().Draw(t, "isOfBallot") {
		setBallots(reflect.ValueOf(&m).Elem(), h.coordinator.ballot)
	}
	data, err := wire.Marshal(m)
	require.NoError(t, err)
	var decoded Message
	require.NoError(t, wire.Unmarshal(data, &decoded))
	require.True(t, arbitrary.IsSame(reflect.ValueOf(m), reflect.ValueOf(decoded)), "%+v %+v", m, decoded)
	from := Address(rapid.IntRange(0, 2).Draw(t, "from"))
	if h.coordinator != nil && rapid.Bool().Draw(t, "isReply") {
		for _, e := range h.coordinator.Step(from, decoded) {
			if int(e.To) < len(sim.hosts) {
				sim.sendAll(h, []Envelope{e})
			}
		}
		return
	}
	out := h.participant.Step(from%2, decoded)
	sim.handleOutput(h, out)
}

// setBallots sets the field Ballot of all parts of a message.
func setBallots(v reflect.Value, b Ballot) {
	for i := range v.NumField() {
		part := v.Field(i)
		if part.Kind() != reflect.Pointer || part.IsNil() {
			continue
		}
		if f := part.Elem().FieldByName("Ballot"); f.IsValid() {
			f.Set(reflect.ValueOf(b))
		}
	}
}
