package gateway

import (
	"net/http"
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/arbitrary"
)

// drawn returns the value of a type that belongs to a seed.
func drawn[T any](seed int) T {
	return rapid.Custom(func(t *rapid.T) T {
		var v T
		arbitrary.Value(t, reflect.ValueOf(&v).Elem(), false)
		return v
	}).Example(seed)
}

// Guards against a message of a control host whose values no build sends, and that makes an entry host panic, or
// keeps it from serving by the upstreams that it knows otherwise.
func TestRequestsAreServedBesideDrawnMessages(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(&routetable.Engine{Slots: 8})
	env.addUpstream("u1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	g := env.gateway
	for seed := range 300 {
		upstreams, hosts := drawn[wire.Upstreams](seed), drawn[wire.Hosts](seed)
		if err := g.Merge("c2", upstreams.All); err != nil {
			require.NotContains(t, err.Error(), "\x00")
		}
		g.MergeDepartures("c2", upstreams.Departures)
		_, _ = g.ResolveLeave(upstreams.Leaving)
		g.SetHostCount(hosts.EntryHosts)
		g.SetTotalDemands(hosts.Demands)
		loads := drawn[wire.EngineLoads](seed).FullRecords
		for i := range loads {
			if seed%2 == 0 && i == 0 {
				loads[i].Address = env.addresses["u1"]
			}
		}
		g.SetLoads(loads)
		g.MergeNotices("c2", drawn[wire.Notices](seed).All)
		evacuations := drawn[wire.Evacuations](seed)
		evacuations.DataCentres = slices.DeleteFunc(evacuations.DataCentres, func(name string) bool { return name == env.dataCentre })
		g.SetEvacuations("c2", &evacuations)
		g.ReportDemands()
		g.LogRetries()
		if seed%50 == 0 {
			_, _ = env.post("/safe/x", nil)
		}
	}
	g.DropSource("c2")
	g.SetHostCount(1)
	g.SetLoads([]wire.EngineLoad{{Address: env.addresses["u1"], IsOpen: true}})
	resp, body := env.post("/safe/x", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode, body)
}
