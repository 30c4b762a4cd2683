package engineload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

func newLoad(n, running int) wire.EngineLoad {
	return wire.EngineLoad{
		Address: fmt.Sprintf("10.0.0.%d:80", n), IsOpen: true, Group: "g", Epoch: 3, Rank: uint32(n), StartedAt: int64(n), Running: running, Slowdown: 1,
	}
}

// A sender sends the loads of all engines to every receiver ten times per second. Full records
// of 129 engines take 8 KB, so after the first message compact loads must be used.
func TestRepeatedLoadsAreEncodedCompactly(t *testing.T) {
	var table Table
	for round := range 3 {
		for n := range 129 {
			table.Update(newLoad(n, round), "h", 0)
		}
		m := table.Flush(0)
		if round == 0 {
			require.Len(t, m.FullRecords, 129)
			continue
		}
		data, err := wire.Encode(0, false, m)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), 129*4+40)
	}
	require.Nil(t, table.Flush(0), "no load has arrived since the last message")
}

// A load that is as before must take next to nothing, and must still reach the receivers, which
// ignore engines that they hear nothing of.
func TestUnchangedLoadsTakeFewBytes(t *testing.T) {
	const engines, changed = 1000, 50
	var table Table
	var decoder Decoder
	for round := range 3 {
		for n := range engines {
			running := 0
			if n%(engines/changed) == 0 {
				running = round
			}
			table.Update(newLoad(n, running), "h", 0)
		}
		m := table.Flush(0)
		all, unread := decoder.Decode(m)
		require.Zero(t, unread)
		require.Len(t, all, engines)
		if round == 0 {
			continue
		}
		data, err := wire.Encode(0, false, m)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), changed*8+40)
	}
}

// A run may not claim more engines than are known.
func TestRunsOfUnknownEnginesAreRefused(t *testing.T) {
	var decoder Decoder
	m := &wire.EngineLoads{FullRecords: []wire.EngineLoad{{Number: 1, Address: "a"}}, UnchangedLoads: []byte{1, 255, 255, 255, 255, 15}}
	all, unread := decoder.Decode(m)
	require.Len(t, all, 1)
	require.Equal(t, 1, unread)
}

// For arbitrary loads in any order, a receiver that gets every message must have the latest
// record of every engine. So must a receiver that attaches later and starts with FullRecords.
func TestDecodersHaveTheLatestRecordOfEveryEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		decoders := []*Decoder{{}}
		latest := make([]map[string]wire.EngineLoad, 1, 2)
		latest[0] = map[string]wire.EngineLoad{}
		decode := func(i int, m *wire.EngineLoads) {
			if m == nil {
				return
			}
			all, unread := decoders[i].Decode(m)
			require.Zero(t, unread)
			for _, l := range all {
				latest[i][l.Address] = l
			}
		}
		sent := map[string]wire.EngineLoad{}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			for range rapid.IntRange(0, 6).Draw(t, "heard") {
				l := newLoad(rapid.IntRange(1, 8).Draw(t, "engine"), rapid.IntRange(0, 300).Draw(t, "running"))
				l.IsOpen = rapid.Bool().Draw(t, "open")
				l.Waiting = rapid.IntRange(0, 3).Draw(t, "waiting")
				table.Update(l, "h", 0)
				sent[l.Address] = l
			}
			m := table.Flush(0)
			for i := range decoders {
				decode(i, m)
			}
			if len(decoders) == 1 && rapid.Bool().Draw(t, "comes") {
				decoders, latest = append(decoders, &Decoder{}), append(latest, map[string]wire.EngineLoad{})
				decode(1, table.FullRecords(0))
			}
		}
		for i := range decoders {
			for address, l := range sent {
				got := latest[i][address]
				got.Number = 0
				require.Equal(t, l, got)
			}
		}
	})
}

// Bytes that are not valid loads, or loads of engines whose full record was not received, must
// not produce records.
func TestUnreadableCompactLoadsAreSkipped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var decoder Decoder
		all, _ := decoder.Decode(&wire.EngineLoads{CompactLoads: rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")})
		require.Empty(t, all)
		all, _ = decoder.Decode(&wire.EngineLoads{UnchangedLoads: rapid.SliceOf(rapid.Byte()).Draw(t, "runs")})
		require.Empty(t, all)
	})
	var decoder Decoder
	all, unread := decoder.Decode(&wire.EngineLoads{FullRecords: []wire.EngineLoad{{Number: 1, Address: "a"}}, CompactLoads: []byte{1, 2, 3}})
	require.Len(t, all, 1)
	require.Equal(t, 1, unread)
}

func TestGroupMembersAreThoseHeardLatelyInTheEpoch(t *testing.T) {
	var table Table
	table.Update(newLoad(0, 0), "h0", 0)
	table.Update(newLoad(1, 0), "h1", 3*time.Second)
	otherEpoch := newLoad(2, 0)
	otherEpoch.Epoch = 2
	table.Update(otherEpoch, "h2", 3*time.Second)
	require.Equal(t, []wire.GroupMember{{Address: "h1", FirstRank: 1, Ranks: 1}}, table.Members("g", 3, 3*time.Second))
	require.Len(t, table.Members("g", 3, time.Second), 2)
	table.Flush(2 * forgetTimeout)
	table.Flush(2 * forgetTimeout)
	require.Empty(t, table.engines)
}

func TestStepRatioIsEncodedWithinTwoPercent(t *testing.T) {
	for _, ratio := range []float64{0.5, 1, 1.07, 3.5, 12} {
		require.InEpsilon(t, ratio, decodeStepRatio(encodeStepRatio(ratio)), 0.02)
	}
	require.Zero(t, decodeStepRatio(encodeStepRatio(0)))
	require.InDelta(t, 1, decodeStepRatio(encodeStepRatio(1)), 0)
}

func BenchmarkFlush(b *testing.B) {
	for _, engines := range []int{16, 129, 600} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			var table Table
			for b.Loop() {
				for n := range engines {
					table.Update(newLoad(n, 3), "h", 0)
				}
				table.Flush(0)
			}
		})
	}
}

func TestFullRecordIsSentAgainAfterASilence(t *testing.T) {
	var table Table
	table.Update(newLoad(1, 0), "h", 0)
	require.Len(t, table.Flush(0).FullRecords, 1)
	require.Nil(t, table.FullRecords(2*maxSnapshotAge))
	table.Update(newLoad(1, 0), "h", 2*maxSnapshotAge)
	require.Len(t, table.Flush(2*maxSnapshotAge).FullRecords, 1)
}
