package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against a request running outside the regions that both its route and its workspace list,
// and against one that may run nowhere waiting instead of being refused.
func TestRequestRunsInAllowedRegion(t *testing.T) {
	for _, engine := range []*routetable.Engine{nil, engine} {
		env := newTestEnv(t)
		table := &routetable.Table{
			Number: 1,
			Routes: []routetable.Route{{
				Name: "safe", HostName: "127.0.0.1", Prefix: "/safe/", Kind: routetable.Safe, Timeout: 20 * time.Second, TargetLatency: 10 * time.Second,
				AttemptLimit: 2, ServiceWeights: []routetable.ServiceWeight{{Service: "s", Weight: 1}}, PermittedRegions: routetable.Regions{"north", "west"},
			}},
			Services: []routetable.Service{{Name: "s", Engine: engine}},
			Workspaces: []routetable.Workspace{
				{Name: "any", Keys: []string{"any"}}, {Name: "north", Keys: []string{"north"}, PermittedRegions: routetable.Regions{"south", "north"}},
				{Name: "south", Keys: []string{"south"}, PermittedRegions: routetable.Regions{"south"}},
				{Name: "west", Keys: []string{"west"}, PermittedRegions: routetable.Regions{"west"}},
			},
		}
		require.NoError(t, table.Build())
		require.True(t, env.gateway.SetTable(table))
		for _, dataCentre := range []string{"n", "s"} {
			env.addUpstream(dataCentre, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, dataCentre) })
			require.NoError(t, env.gateway.Merge("c", []registry.Upstream{{
				ID: dataCentre, Service: "s", Address: env.addresses[dataCentre], Slots: 4, Sequence: 2, DataCentre: dataCentre,
			}}))
			env.reportLoad(dataCentre, wire.EngineLoad{IsOpen: true, Group: dataCentre, Epoch: 1})
		}
		for key, isServed := range map[string]bool{"any": true, "north": true, "south": false, "west": false} {
			for range 10 {
				resp, body := env.post("/safe/", func(r *http.Request) { r.Header.Set("X-K", key) })
				if isServed {
					require.Equal(t, http.StatusOK, resp.StatusCode)
					require.Equal(t, "n", body)
					continue
				}
				require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
				require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
				require.Contains(t, body, "no upstream is in an allowed region")
			}
		}
	}
}
