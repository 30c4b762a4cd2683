package consensus

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/arbitrary"
)

// Guards against messages between replicas that are decoded to something else, and against one that makes a
// replica panic, which would end the process and then every other one that gets it.
func TestPropertyAnyMessageIsStepped(t *testing.T) { rapid.Check(t, messageProperty) }

func FuzzMessages(f *testing.F) { f.Fuzz(rapid.MakeFuzz(messageProperty)) }

func messageProperty(t *rapid.T) {
	membership, err := EncodeMembership(threeVoters())
	require.NoError(t, err)
	r := PersistedState{HardState: HardState{Term: 2}, Entries: []Entry{{Term: 1, Index: 1, Kind: EntryMembership, Data: membership}, {Term: 2, Index: 2}}}
	c, err := New(Config{ID: idA, ElectionTicks: 10, MaxAppendBytes: 4, MaxInflightAppends: 2, MaxUncommittedBytes: 16, Rand: rand.New(rand.NewPCG(1, 2))}, r)
	require.NoError(t, err)
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		if rapid.IntRange(0, 2).Draw(t, "isTick") == 0 {
			for range rapid.IntRange(1, 15).Draw(t, "ticks") {
				c.Tick()
			}
			drainReady(c)
			continue
		}
		m := drawReplicaMessage(t, c)
		data, err := wire.Marshal(m)
		require.NoError(t, err)
		var decoded Message
		require.NoError(t, wire.Unmarshal(data, &decoded))
		require.True(t, arbitrary.IsSame(reflect.ValueOf(m), reflect.ValueOf(decoded)), "%+v %+v", m, decoded)
		if c.Step(decoded) != nil {
			// The replica stops.
			return
		}
		drainReady(c)
	}
}

// drawReplicaMessage draws a message to a replica. Most are of its term and of another voter, since others are
// ignored.
func drawReplicaMessage(t *rapid.T, c *Core) Message {
	var m Message
	arbitrary.Value(t, reflect.ValueOf(&m).Elem(), false)
	m.To = idA
	m.Type = MessageType(rapid.IntRange(0, 11).Draw(t, "type"))
	if rapid.IntRange(0, 4).Draw(t, "isVoter") > 0 {
		m.From = rapid.SampledFrom([]ReplicaID{idB, idC}).Draw(t, "from")
	}
	if rapid.IntRange(0, 4).Draw(t, "isTerm") > 0 {
		m.Term = c.hardState.Term + uint64(rapid.IntRange(0, 1).Draw(t, "newer"))
	}
	if rapid.Bool().Draw(t, "isContiguous") {
		for i := range m.Entries {
			m.Entries[i].Index, m.Entries[i].Term = m.Index+1+uint64(i), m.Term
		}
	}
	return m
}
