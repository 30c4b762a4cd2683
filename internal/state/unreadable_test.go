package state

import (
	"bytes"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// drawTextCommand draws a command of any kind with texts of any bytes.
func drawTextCommand(t *rapid.T) Command {
	text := func(label string) string {
		if rapid.Bool().Draw(t, label+" is plain") {
			return rapid.SampledFrom([]string{"a", "b", "é", "\x00\n\""}).Draw(t, label)
		}
		return string(rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, label))
	}
	switch rapid.IntRange(1, 9).Draw(t, "kind") {
	case 1:
		return Init{ClusterID: text("id"), Author: text("author")}
	case 2:
		return AdvanceClock{Elapsed: rapid.Uint64().Draw(t, "elapsed"), Retention: rapid.Uint64().Draw(t, "retention")}
	case 3:
		return SubmitDocument{Name: text("name"), ChangeID: text("change"), Author: text("author"), Text: text("text")}
	case 4:
		c := Claim{Workspace: text("workspace"), Key: text("key"), Attempt: text("attempt"), Host: text("host"), Deadline: 1000}
		return ClaimBatch{Claims: []Claim{c, {Workspace: "w", Key: "k", Attempt: "a"}}}
	case 5:
		r := &RecordedResponse{Status: 200, ContentType: text("type"), Body: []byte(text("body"))}
		f := Finish{Workspace: text("workspace"), Key: text("key"), Attempt: text("attempt"), Verdict: verdict.Ran, Response: r}
		return FinishClaims{Finishes: []Finish{f, {Workspace: "w", Key: "k", Attempt: "a", Verdict: verdict.Ran, Response: r}}}
	case 6:
		return SetVoterAddress{Replica: consensus.ReplicaID(text("replica")), Host: text("host"), Address: text("address"), Author: text("author")}
	case 7:
		return PutConfiguration{Number: rapid.Uint64Range(0, 9).Draw(t, "number"), Data: []byte(text("data")), Author: text("author")}
	case 8:
		return SetEvacuation{DataCentre: text("centre"), IsEvacuated: rapid.Bool().Draw(t, "evacuated"), Author: text("author")}
	}
	return ReserveRetries{All: []RetryReservation{{Service: text("service"), Count: 1}}, Settled: []RetryReservation{{Service: text("settled"), Count: 1}}}
}

// encodeUnchecked encodes a command as builds without a check of texts do.
func encodeUnchecked(t require.TestingT, c Command) []byte {
	body, err := cbor.Marshal(c)
	require.NoError(t, err)
	data, err := cbor.Marshal(envelope{Version: commandVersion, Kind: c.kind(), Body: body})
	require.NoError(t, err)
	return data
}

// Guards against a writer and a reader of the log that differ: what Encode accepts is decoded to the same value,
// and what it refuses no replica could decode.
func TestEncodeAcceptsWhatReplicasDecode(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := drawTextCommand(rt)
		data, err := Encode(c)
		if err != nil {
			_, rejected := decode(encodeUnchecked(rt, c))
			require.Equal(rt, &Rejected{Reason: ReasonMalformed}, rejected)
			return
		}
		decoded, rejected := decode(data)
		require.Nil(rt, rejected)
		again, err := Encode(decoded)
		require.NoError(rt, err)
		require.Equal(rt, data, again)
	})
}

// Guards against entries that end a replica, or in which replicas differ, because they can't be decoded: those
// of builds that did not check texts, damaged ones and those nested too deeply. One replica of the test is
// restored from snapshots, as one that joins or starts again.
func TestEntriesThatCanNotBeDecodedAreRefusedAlike(t *testing.T) {
	deep := append(bytes.Repeat([]byte{0x81}, 100), 0x01)
	rapid.Check(t, func(rt *rapid.T) {
		reference, restored := New(smallOptions), New(smallOptions)
		for i := uint64(1); i <= uint64(rapid.IntRange(1, 20).Draw(rt, "entries")); i++ {
			data := encodeUnchecked(rt, drawTextCommand(rt))
			switch rapid.IntRange(0, 5).Draw(rt, "damage") {
			case 0:
				data = rapid.SliceOfN(rapid.Byte(), 1, 20).Draw(rt, "bytes")
			case 1:
				data = data[:rapid.IntRange(1, len(data)).Draw(rt, "length")]
			case 2:
				data[rapid.IntRange(0, len(data)-1).Draw(rt, "at")] ^= byte(rapid.IntRange(1, 255).Draw(rt, "bits"))
			case 3:
				data = deep
			}
			before, err := reference.Snapshot()
			require.NoError(rt, err)
			result := reference.Apply(i, data)
			require.Equal(rt, result, restored.Apply(i, data))
			require.Equal(rt, i, reference.AppliedIndex())
			after, err := reference.Snapshot()
			require.NoError(rt, err)
			if _, isRejected := result.(Rejected); isRejected {
				require.Equal(rt, withoutIndex(rt, before), withoutIndex(rt, after), "a rejected entry changed the tables")
			}
			if rapid.Bool().Draw(rt, "restore") {
				restored = New(smallOptions)
				require.NoError(rt, restored.Restore(after), "a snapshot that no replica can read")
			}
			other, err := restored.Snapshot()
			require.NoError(rt, err)
			require.Equal(rt, after, other)
		}
	})
}

// withoutIndex decodes a snapshot and clears the index of the last entry.
func withoutIndex(t require.TestingT, data []byte) snapshot {
	var s snapshot
	require.NoError(t, decoding.Unmarshal(data, &s))
	s.AppliedIndex = 0
	return s
}

// Guards against tables that grow past what Restore accepts: lists and maps longer than the decoder's defaults.
func TestSnapshotOfMoreThanADecodersDefaultLimitIsRestored(t *testing.T) {
	const defaultMaxElements = 131_072
	l := newLog(t, Options{})
	var b ClaimBatch
	for i := range defaultMaxElements + 1 {
		b.Claims = append(b.Claims, Claim{Workspace: "w" + string(rune('a'+i%4)), Key: string(rune(0x4e00+i%20_000)) + string(rune('a'+i/20_000)), Attempt: "a", Deadline: 1000})
	}
	l.apply(b)
	require.Equal(t, len(b.Claims), l.machine.ClaimCount())
	data, err := l.machine.Snapshot()
	require.NoError(t, err)
	restored := New(Options{})
	require.NoError(t, restored.Restore(data))
	require.Equal(t, len(b.Claims), restored.ClaimCount())
}

// Guards against a snapshot of a newer build, or a damaged one, that changes the tables before it is refused, and
// against one that is in force before the replica has taken it.
func TestSnapshotIsDecodedBeforeItIsRestored(t *testing.T) {
	l := newLog(t, Options{})
	l.apply(PutConfiguration{Number: 1, Data: []byte("one")})
	data, err := l.machine.Snapshot()
	require.NoError(t, err)
	var newer snapshot
	require.NoError(t, decoding.Unmarshal(data, &newer))
	newer.Version++
	newerData, err := encoding.Marshal(newer)
	require.NoError(t, err)
	invalidTextData, err := cbor.Marshal(snapshot{Version: snapshotVersion, ClusterID: "\xff"})
	require.NoError(t, err)
	m := New(Options{})
	for name, refused := range map[string][]byte{"newer": newerData, "text": invalidTextData, "truncated": data[:len(data)-1], "empty": nil} {
		_, err := m.PrepareRestore(refused)
		require.Error(t, err, name)
		require.Error(t, m.Restore(refused), name)
	}
	restore, err := m.PrepareRestore(data)
	require.NoError(t, err)
	require.Zero(t, m.AppliedIndex())
	require.Zero(t, m.Configuration().Number)
	require.NoError(t, restore())
	require.Equal(t, uint64(1), m.Configuration().Number)
}
