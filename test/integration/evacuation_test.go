package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/local"
)

// Guards against requests to an evacuated data centre, also from an entry host that starts during the
// evacuation, against an order that is lost with the control hosts' processes, and against callers
// that wait in vain. The other data centre serves on. The operators' tool gives the orders and shows
// what is evacuated.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{Control: 3, Entries: 1, Engines: 1, Services: 1, DataCentres: []string{"centre-a", "centre-b"}})
	evacuated, serving := s.Entries[1], s.Entries[0]
	require.Equal(t, "centre-b", evacuated.DataCentre)
	request := local.CompletionRequest("prompt", 3, false)
	requireRefused := func() {
		t.Helper()
		began := time.Now()
		r := s.sendRequest(evacuated, request)
		require.Equal(t, http.StatusServiceUnavailable, r.Status, r.Body)
		require.NotEmpty(t, r.Header.Get("Retry-After"))
		require.Less(t, time.Since(began), refusalBound)
	}
	out, err := s.RunCLI(s.ctx, "evacuate", "start", "centre-b")
	require.NoError(t, err, out)
	require.Contains(t, out, "data centre centre-b is evacuated")
	requireRefused()
	require.Equal(t, http.StatusOK, s.sendRequest(serving, request).Status)
	out, err = s.RunCLI(s.ctx, "cluster")
	require.NoError(t, err, out)
	require.Contains(t, out, "data centre centre-b is evacuated")

	evacuated.Kill()
	for _, h := range s.Control {
		h.Kill()
	}
	for _, h := range s.Control {
		require.NoError(t, h.Start())
	}
	require.NoError(t, evacuated.Start())
	s.await("the entry host to be ready", func() bool { return local.IsReady(s.ctx, evacuated) })
	for range 20 {
		requireRefused()
	}
	out, err = s.RunCLI(s.ctx, "history")
	require.NoError(t, err, out)
	require.Contains(t, out, "evacuation-start")
	s.await("the end of the evacuation", func() bool {
		_, err := s.RunCLI(s.ctx, "evacuate", "end", "centre-b")
		return err == nil
	})
	s.await("a response", func() bool { return s.sendRequest(evacuated, request).Status == http.StatusOK })
	out, err = s.RunCLI(s.ctx, "evacuate", "list")
	require.NoError(t, err, out)
	require.Equal(t, "no data centre is evacuated\n", out)
}
