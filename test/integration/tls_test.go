package integration

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// With certificates in the settings, callers, operators and the sessions between hosts all use TLS,
// and an entry host does not serve a request without TLS.
func TestAllConnectionsUseTLS(t *testing.T) {
	t.Parallel()
	s := startEmpty(t, local.Layout{Control: 3, Entries: 2, Engines: 1, HasTLS: true})
	require.NoError(t, s.Bootstrap(s.ctx))
	out, err := s.Submit(s.ctx, local.Document("v1"))
	require.NoError(t, err, out)
	client, err := s.TLSClient()
	require.NoError(t, err)
	url := "https://" + s.Entries[0].ListenAddress + "/v1/completions"
	s.await("an answer by TLS", func() bool {
		request := local.CompletionRequest("by TLS", 5, false)
		req, err := http.NewRequestWithContext(s.ctx, request.Method, url, strings.NewReader(request.Body))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+local.CallerToken)
		resp, err := client.Do(req)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body := new(strings.Builder)
		require.NoError(t, resp.Write(body))
		return resp.StatusCode == http.StatusOK && strings.Contains(body.String(), standin.Text("by TLS", 5))
	})
	plain := s.sendRequest(s.Entries[0], local.CompletionRequest("in the clear", 5, false))
	require.NotEqual(t, http.StatusOK, plain.Status)
}
