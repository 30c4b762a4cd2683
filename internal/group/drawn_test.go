package group

import (
	"context"
	"reflect"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/arbitrary"
)

// drawnMessage returns the message between agents that belongs to a seed. Most are about the group.
func drawnMessage(group string, seed int) wire.Message {
	return rapid.Custom(func(t *rapid.T) wire.Message {
		var inner expertmap.Message
		arbitrary.Value(t, reflect.ValueOf(&inner).Elem(), false)
		data, err := wire.Marshal(inner)
		if err != nil {
			t.Fatal(err)
		}
		kinds := []wire.Message{&wire.MapRequest{}, &wire.MapReply{}, &wire.ExpertLoad{}, &wire.GroupQuery{}, &wire.ExpertsWanted{}}
		m := rapid.SampledFrom(kinds).Draw(t, "kind")
		v := reflect.ValueOf(m).Elem()
		arbitrary.Value(t, v, false)
		if rapid.IntRange(0, 9).Draw(t, "isOther") > 0 {
			v.FieldByName("Group").SetString(group)
		}
		if f := v.FieldByName("Data"); f.IsValid() && rapid.IntRange(0, 9).Draw(t, "isNoMessage") > 0 {
			f.SetBytes(data)
		}
		return m
	}).Example(seed)
}

// Guards against a message of another agent whose values no build sends, and that makes an agent panic. What such
// messages say may end a change of map, so that none is required.
func TestAgentsOutlastDrawnMessages(t *testing.T) {
	const ranks, messages = 4, 1500
	runInVirtualTime(t, "drawn", func(t *testing.T) {
		a := startAgents(t, newEngineGroup(testShape(ranks)), nil)
		a.awaitChanges(t, 1)
		group := a.runner(0).cfg.Group
		for i := range messages {
			s, err := a.pools[i%ranks].Get(context.Background(), a.members[(i+1+i/ranks%(ranks-1))%ranks].Address)
			require.NoError(t, err, "after message %d", i)
			require.NoError(t, s.Send(context.Background(), drawnMessage(group, i)))
			if i%10 == 0 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		time.Sleep(time.Second)
		require.Positive(t, a.count("group.loads.unread"), "the messages have arrived")
		for _, reg := range a.metrics {
			require.Zero(t, metrics.GetOrRegisterCounter("peer.messages.harmful", reg).Count())
			require.Zero(t, metrics.GetOrRegisterCounter("peer.messages.unreadable", reg).Count())
		}
	})
}
