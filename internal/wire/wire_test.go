package wire

import (
	"errors"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryMessageDecodesToItsType(t *testing.T) {
	for kind, typ := range types {
		m := reflect.New(typ).Interface().(Message)
		data, err := Encode(7, true, m)
		require.NoError(t, err)
		env, got, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, kind, env.Kind)
		require.Equal(t, uint64(7), env.Call)
		require.True(t, env.IsReply)
		require.IsType(t, m, got)
	}
}

func TestUnknownVersionsAndKindsAreTypedErrors(t *testing.T) {
	data, err := Marshal(Envelope{Version: Version + 1, Kind: KindPing})
	require.NoError(t, err)
	_, _, err = Decode(data)
	var version *VersionError
	require.True(t, errors.As(err, &version))
	require.Equal(t, uint8(Version+1), version.Got)

	data, err = Marshal(Envelope{Version: Version, Kind: 9999})
	require.NoError(t, err)
	_, _, err = Decode(data)
	var kind *KindError
	require.True(t, errors.As(err, &kind))
	require.Equal(t, Kind(9999), kind.Got)
}

// FuzzDecode looks for input that makes Decode panic, or that Decode accepts although the
// decoded message can't be encoded again, or not to the same.
func FuzzDecode(f *testing.F) {
	for _, m := range []Message{
		&Hello{Host: "entry-1", Address: "127.0.0.1:7101"},
		&Dispatch{Method: "POST", Path: "/v1/completions", Body: []byte("{}"), Claim: &Claim{Key: "k"}},
		&Delta{Full: true, Upserts: []Upstream{{Name: "w"}}, Loads: []UpstreamLoad{{Name: "w"}}},
		&Changes{Documents: []Document{{Name: "entries", Revision: 3, Text: []byte("[service]")}}},
		&ExpertLoad{Ranks: []RankLoad{{Tokens: [][]uint32{{1, 2}}}}},
	} {
		data, err := Encode(1, false, m)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Add([]byte{0xa3, 0x01, 0x01, 0x02, 0x18, 0x14, 0x05, 0x9f})
	f.Fuzz(func(t *testing.T, data []byte) {
		env, m, err := Decode(data)
		if err != nil && !IsPartial(err) {
			return
		}
		data, err = Encode(env.Call, env.IsReply, m)
		require.NoError(t, err)
		_, again, err := Decode(data)
		require.NoError(t, err)
		requireSame(t, m, again)
	})
}

// An encoded address must be short, because lists of hosts are most of the bytes that an
// expert map change sends in a large group.
func TestAddressEncodingIsCompact(t *testing.T) {
	for _, text := range []string{"10.1.64.9:7340", "[fe80::1]:80", "host:80", ""} {
		data, err := Marshal(MapTarget{Address: Address(text), Incarnation: 300})
		require.NoError(t, err)
		var got MapTarget
		require.NoError(t, Unmarshal(data, &got))
		require.Equal(t, MapTarget{Address: Address(text), Incarnation: 300}, got)
		if text == "10.1.64.9:7340" {
			require.LessOrEqual(t, len(data), 12)
		}
	}
	var a Address
	require.Error(t, a.UnmarshalBinary(nil))
	require.Error(t, a.UnmarshalBinary([]byte{addressBinary, 1, 2}))
}
