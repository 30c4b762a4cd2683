package gateway

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
)

// Guards against a request that reaches an upstream whose departure arrived after the choice and before the
// first byte, on each way that a request takes: at once, after a refusal, and as the rest of a broken stream.
// Beside load, a dial or the wait for a processor lies between the two.
func TestDepartureBetweenChoiceAndSendingCounts(t *testing.T) {
	for name, c := range sendingPaths {
		for _, state := range []registry.State{registry.Draining, registry.Gone} {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int64
				var isChosen atomic.Bool
				env := c.start(t, func(http.ResponseWriter, *http.Request) { requests.Add(1) })
				env.gateway.cfg.Log = slog.New(&afterChoice{of: "u1", hook: func(string) {
					isChosen.Store(true)
					_ = env.gateway.Merge("c", []registry.Upstream{{ID: "u1", State: state}})
				}})
				for range 100 {
					env.tryPost(c.path)
					if isChosen.Load() {
						break
					}
				}
				require.True(t, isChosen.Load())
				require.Zero(t, requests.Load())
			})
		}
	}
}
