package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/standin"
)

// Guards against a request that is sent to an upstream whose data centre was evacuated after it was
// chosen. An idempotent call goes to another upstream, and a booking has not run and keeps no claim.
func TestRequestIsWithheldFromEvacuatedUpstream(t *testing.T) {
	p := startTestProxy(t, nil)
	var sends atomic.Int64
	p.addUpstream("evacuated", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { sends.Add(1) }), nil)
	p.router.withheld = map[string]bool{"evacuated": true}
	r := p.book("k1", "Elena")
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, "not-run", r.verdict())
	require.NotEmpty(t, r.header.Get("Retry-After"))
	require.Empty(t, p.claims.byKey)
	p.addUpstream("other", standin.NewEngine(standin.EngineConfig{}), nil)
	requireCompleteStream(t, "prompt", 3, p.complete("prompt", 3, true))
	require.Zero(t, sends.Load())
}
