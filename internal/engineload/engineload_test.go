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
		Address: fmt.Sprintf("10.0.0.%d:80", n), IsOpen: true, Group: "g", Epoch: 3, Rank: uint32(n), Born: int64(n), Running: running, Pace: 1,
	}
}

// What one host sends for the loads of a fleet is the number of receivers times this, ten
// times a second: whole records of 129 engines are 8 KB.
func TestRepeatedLoadsAreEncodedCompactly(t *testing.T) {
	var table Table
	for round := range 3 {
		for n := range 129 {
			table.Update(newLoad(n, round), "h", 0)
		}
		m := table.Flush(0)
		if round == 0 {
			require.Len(t, m.All, 129)
			continue
		}
		data, err := wire.Encode(0, false, m)
		require.NoError(t, err)
		require.LessOrEqual(t, len(data), 129*4+40)
	}
	require.Nil(t, table.Flush(0), "nothing was heard")
}

// Whatever is heard in whatever order, a receiver that misses nothing has the newest record
// of every engine; one that comes later has it from the records of that moment on.
func TestDecodersHaveTheLatestRecordOfEveryEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		views := []*Decoder{{}}
		newest := make([]map[string]wire.EngineLoad, 1, 2)
		newest[0] = map[string]wire.EngineLoad{}
		read := func(i int, m *wire.EngineLoads) {
			if m == nil {
				return
			}
			all, unread := views[i].Decode(m)
			require.Zero(t, unread)
			for _, l := range all {
				newest[i][l.Address] = l
			}
		}
		truth := map[string]wire.EngineLoad{}
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			for range rapid.IntRange(0, 6).Draw(t, "heard") {
				l := newLoad(rapid.IntRange(1, 8).Draw(t, "engine"), rapid.IntRange(0, 300).Draw(t, "running"))
				l.IsOpen = rapid.Bool().Draw(t, "open")
				l.Waiting = rapid.IntRange(0, 3).Draw(t, "waiting")
				table.Update(l, "h", 0)
				truth[l.Address] = l
			}
			m := table.Flush(0)
			for i := range views {
				read(i, m)
			}
			if len(views) == 1 && rapid.Bool().Draw(t, "comes") {
				views, newest = append(views, &Decoder{}), append(newest, map[string]wire.EngineLoad{})
				read(1, table.All(0))
			}
		}
		for i := range views {
			for address, l := range truth {
				got := newest[i][address]
				got.Number = 0
				require.Equal(t, l, got)
			}
		}
	})
}

// Bytes that are no loads, or of engines that nobody has told of, change nothing.
func TestUnreadableCompactLoadsAreSkipped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v Decoder
		all, _ := v.Decode(&wire.EngineLoads{Brief: rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")})
		require.Empty(t, all)
	})
	var v Decoder
	all, unread := v.Decode(&wire.EngineLoads{All: []wire.EngineLoad{{Number: 1, Address: "a"}}, Brief: []byte{1, 2, 3}})
	require.Len(t, all, 1)
	require.Equal(t, 1, unread)
}

func TestGroupMembersAreThoseHeardLatelyInTheEpoch(t *testing.T) {
	var table Table
	table.Update(newLoad(0, 0), "h0", 0)
	table.Update(newLoad(1, 0), "h1", 3*time.Second)
	other := newLoad(2, 0)
	other.Epoch = 2
	table.Update(other, "h2", 3*time.Second)
	require.Equal(t, []wire.GroupMember{{Address: "h1", FirstRank: 1, Ranks: 1}}, table.Members("g", 3, 3*time.Second))
	require.Len(t, table.Members("g", 3, time.Second), 2)
	table.Flush(2 * forgetTimeout)
	table.Flush(2 * forgetTimeout)
	require.Empty(t, table.engines)
}

func TestStepRatioIsEncodedWithinTwoPercent(t *testing.T) {
	for _, pace := range []float64{0.5, 1, 1.07, 3.5, 12} {
		require.InEpsilon(t, pace, decodeStepRatio(encodeStepRatio(pace)), 0.02)
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
	require.Len(t, table.Flush(0).All, 1)
	require.Nil(t, table.All(2*maxSnapshotAge))
	table.Update(newLoad(1, 0), "h", 2*maxSnapshotAge)
	require.Len(t, table.Flush(2*maxSnapshotAge).All, 1)
}
