package engineload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against an engine whose load, as it reports it, costs the loads of other engines: all others reach the
// receiver, and the last load of each is what the receiver has.
func TestPropertyAnyLoadCostsOnlyItself(t *testing.T) { rapid.Check(t, loadProperty) }

func FuzzLoads(f *testing.F) { f.Fuzz(rapid.MakeFuzz(loadProperty)) }

func loadProperty(t *rapid.T) {
	const engines = 6
	var table Table
	var decoder Decoder
	counts := rapid.SampledFrom([]int{0, 1, 7, -1, maxRequests, maxRequests + 1, 1 << 40, -1 << 63})
	ratios := rapid.SampledFrom([]float64{0, 1, 1.5, -1, 1e-300, 1e300})
	for round := range rapid.IntRange(1, 5).Draw(t, "rounds") {
		sent := make(map[string]wire.EngineLoad)
		for n := range engines {
			if rapid.Bool().Draw(t, "isReported") {
				l := newLoad(n, counts.Draw(t, "running"))
				l.Waiting, l.Slowdown = counts.Draw(t, "waiting"), ratios.Draw(t, "ratio")
				table.Update(l, "h", time.Duration(round))
				sent[l.Address] = l
			}
		}
		m := table.Flush(time.Duration(round))
		if m == nil {
			require.Empty(t, sent)
			continue
		}
		data, err := wire.Encode(0, false, m)
		require.NoError(t, err)
		_, decoded, err := wire.Decode(data)
		require.NoError(t, err)
		loads, unread := decoder.Decode(decoded.(*wire.EngineLoads))
		require.Zero(t, unread)
		require.Len(t, loads, len(sent))
		for _, l := range loads {
			want := sent[l.Address]
			require.Equal(t, bounded(want.Running), l.Running, fmt.Sprint("running of ", l.Address))
			require.Equal(t, bounded(want.Waiting), l.Waiting, fmt.Sprint("waiting of ", l.Address))
		}
	}
}

// bounded returns a number of requests as a compact load can tell it.
func bounded(n int) int { return min(max(n, 0), maxRequests) }

// FuzzDecoder looks for bytes that make a decoder panic, take long, or return loads of engines that it does not
// know.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte{1, 2, 3, 64}, []byte{1, 3})
	f.Add([]byte{1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 0, 64, 1, 1, 1, 64}, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 1})
	f.Fuzz(func(t *testing.T, compact, unchanged []byte) {
		var decoder Decoder
		known := map[string]bool{}
		for n := range 3 {
			l := newLoad(n, 1)
			l.Number = uint64(n + 1)
			known[l.Address] = true
			decoder.Decode(&wire.EngineLoads{FullRecords: []wire.EngineLoad{l}})
		}
		loads, _ := decoder.Decode(&wire.EngineLoads{CompactLoads: compact, UnchangedLoads: unchanged})
		require.LessOrEqual(t, len(loads), len(compact)+len(known))
		for _, l := range loads {
			require.True(t, known[l.Address])
			require.Equal(t, bounded(l.Running), l.Running)
		}
	})
}
