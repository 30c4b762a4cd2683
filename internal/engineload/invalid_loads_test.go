package engineload

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against an engine whose load no receiver accepts, and which thereby costs the loads of all engines after it
// in the message.
func TestLoadThatNoReceiverAcceptsCostsNoOther(t *testing.T) {
	for _, load := range []int{maxRequests + 1, math.MaxInt} {
		var table Table
		var decoder Decoder
		for round := range 3 {
			for n := range 9 {
				l := newLoad(n, round)
				if n == 4 {
					l.Waiting = load - 2 + round
				}
				if n == 8 {
					l.Running = 0
				}
				table.Update(l, "h", 0)
			}
			all, unread := decoder.Decode(table.Flush(0))
			require.Zero(t, unread)
			require.Len(t, all, 9)
		}
	}
}

// Guards against the same at the receiver, for a sender that does not limit the numbers.
func TestLoadAboveTheMaximumCostsOnlyItself(t *testing.T) {
	for _, wrong := range []flushedLoad{{waiting: maxRequests + 1}, {running: maxRequests + 1}, {running: math.MaxInt}} {
		decoder := Decoder{records: map[uint64]wire.EngineLoad{1: {Number: 1}, 2: {Number: 2}, 3: {Number: 3}, 4: {Number: 4}}}
		var unchanged runs
		unchanged.add(4)
		m := &wire.EngineLoads{UnchangedLoads: unchanged.encode()}
		for _, l := range []flushedLoad{{running: 1}, wrong, {running: 3}} {
			m.CompactLoads = appendCompact(m.CompactLoads, 1, l)
		}
		all, unread := decoder.Decode(m)
		require.Equal(t, 1, unread)
		require.Equal(t, []wire.EngineLoad{
			{Number: 1, Running: 1, Slowdown: decodeStepRatio(0)}, {Number: 3, Running: 3, Slowdown: decodeStepRatio(0)}, {Number: 4},
		}, all)
	}
}
