package gateway

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
)

// Guards against data races between attempts, which read what their reservations know of the upstream and of the
// priority of the request, and announcements and requests of other priorities, which change it. The race detector
// finds them.
func TestUpstreamsAndPrioritiesChangeDuringAttempts(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(slowEngine)
	table := *env.gateway.Table()
	table.Number++
	table.Routes = slices.Clone(table.Routes)
	for i := range table.Routes {
		table.Routes[i].Priority = testPriority + 100*i
	}
	require.NoError(t, table.Build())
	require.True(t, env.gateway.SetTable(&table))
	env.addUpstream("u1", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	done := make(chan struct{})
	var changes sync.WaitGroup
	changes.Go(func() {
		for sequence := uint64(2); ; sequence++ {
			select {
			case <-done:
				return
			default:
			}
			_ = env.gateway.Merge("c", []registry.Upstream{{ID: "u1", Service: "s", Address: env.addresses["u1"], Slots: 4 + int(sequence%2), Sequence: sequence}})
			time.Sleep(time.Millisecond)
		}
	})
	var requests sync.WaitGroup
	for _, path := range []string{"/safe/", "/unsafe/"} {
		for range 3 {
			requests.Go(func() {
				for range 50 {
					env.post(path, nil)
				}
			})
		}
	}
	requests.Wait()
	close(done)
	changes.Wait()
}
