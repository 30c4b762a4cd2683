package wire

import (
	"errors"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEveryMessageComesBackAsItsType(t *testing.T) {
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

// FuzzDecode looks for input that makes the decoder panic, or that it takes without
// being able to encode what it took.
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
		if err != nil {
			return
		}
		_, err = Encode(env.Call, env.IsReply, m)
		require.NoError(t, err)
	})
}
