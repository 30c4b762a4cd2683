package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against shares that change with ordinary differences between hosts, and against a host that
// keeps its part of a crowd after the crowd is over.
func TestTotalsAreToldDuringAndAfterCrowds(t *testing.T) {
	var totals CrowdTotals
	hosts := func(first float64) [][]wire.ServiceDemand {
		out := [][]wire.ServiceDemand{{{Service: "s", PerSecond: first}}}
		for range 8 {
			out = append(out, []wire.ServiceDemand{{Service: "s", PerSecond: 5}})
		}
		return out
	}
	now := time.Minute
	require.Empty(t, totals.Sum(hosts(10), now))
	require.Equal(t, []wire.ServiceDemand{{Service: "s", PerSecond: 80}}, totals.Sum(hosts(40), now))
	require.Equal(t, []wire.ServiceDemand{{Service: "s", PerSecond: 45}}, totals.Sum(hosts(5), now+crowdHold-1))
	require.Empty(t, totals.Sum(hosts(5), now+crowdHold))
	require.Empty(t, totals.until)
	require.Greater(t, crowdHold, maxDemandAge)
}
