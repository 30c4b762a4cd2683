package gateway

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Guards against a request waiting, or being sent, that needs more tokens than an engine has room
// for. Its caller is told that a retry does not help.
func TestRequestLargerThanKVCacheIsRefused(t *testing.T) {
	env := newTestEnv(t)
	limited := *engine
	limited.KVCacheTokens = 1000
	env.setTable(&limited)
	env.addUpstream("u1", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Seen", r.Header.Get("X-T")) })
	env.reportRunning("u1", 0, true)
	post := func(counts string) (*http.Response, string) {
		return env.post("/safe/", func(r *http.Request) { r.Header.Set("X-T", counts) })
	}
	resp, body := post("900,101")
	require.Equal(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
	require.Empty(t, resp.Header.Get("Retry-After"))
	require.Contains(t, body, "KV cache")
	for _, counts := range []string{"900,100", "", "nonsense"} {
		resp, _ = post(counts)
		require.Equal(t, http.StatusOK, resp.StatusCode, counts)
		require.Equal(t, counts, resp.Header.Get("X-Seen"))
	}
}
