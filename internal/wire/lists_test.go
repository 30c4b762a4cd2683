package wire

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
)

// FuzzDecodeLists looks for input that Decode accepts, with or without some elements of its lists, although the decoded
// message can't be sent on.
func FuzzDecodeLists(f *testing.F) {
	for _, m := range []Message{
		&Upstreams{All: []registry.Upstream{{ID: "i-9\xff"}, {ID: "ok", ColdRemainingMS: 4}}, Departures: []registry.Departure{{ID: "a"}}, Leaving: "z"},
		&Delta{Full: true, Upserts: []Upstream{{Name: "w\xfe"}}, Loads: []UpstreamLoad{{Name: "w"}}, Silent: []string{"a", "\xff"}},
		&Hosts{ControlHosts: []string{"a:1", "\xff"}, Demands: []ServiceDemand{{Service: "s", PerSecond: 2}}},
		&EngineLoads{FullRecords: []EngineLoad{{Address: "a", Group: "\xff"}}, CompactLoads: []byte{1}},
		&InForce{Hosts: []ActiveRevision{{Host: "\xff"}, {Host: "b"}}},
	} {
		body, err := Marshal(m)
		require.NoError(f, err)
		data, err := Marshal(Envelope{Version: Version, Kind: m.Kind(), Call: 3, Body: body})
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		env, m, err := Decode(data)
		if err != nil && !IsPartial(err) {
			require.Nil(t, m)
			return
		}
		again, err := Encode(env.Call, env.IsReply, m)
		require.NoError(t, err)
		env2, m2, err := Decode(again)
		require.NoError(t, err)
		require.Equal(t, env.Call, env2.Call)
		third, err := Encode(env2.Call, env2.IsReply, m2)
		require.NoError(t, err)
		require.Equal(t, again, third)
	})
}
