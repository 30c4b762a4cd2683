package integration

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// Guards the basic path of each kind of request through a system without faults: completions,
// bookings, documents, bad input, metrics and a graceful shutdown of every role.
func TestRequestPathEndToEnd(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{Control: 3, Entries: 2, Engines: 2, Services: 1})

	t.Run("a document comes back as it was submitted", func(t *testing.T) {
		out, err := s.RunCLI(s.ctx, "get", "local")
		require.NoError(t, err, out)
		require.Equal(t, local.Document("v1"), out)
	})
	t.Run("answers are whole, streamed and not", func(t *testing.T) {
		for i, e := range s.Entries {
			prompt := strings.Repeat("route question ", i+1)
			a := s.sendRequest(e, local.CompletionRequest(prompt, 20, false))
			require.NoError(t, a.Err)
			require.Equal(t, http.StatusOK, a.Status)
			require.Equal(t, verdict.Ran, a.Verdict)
			require.Contains(t, a.Body, standin.Text(prompt, 20))
			a = s.sendRequest(e, local.CompletionRequest(prompt, 20, true))
			require.NoError(t, a.Err)
			require.Equal(t, strings.Join(standin.Stream(prompt, 20), ""), a.Body)
		}
	})
	t.Run("a booking runs once and is replayed through any entry host", func(t *testing.T) {
		first := s.sendRequest(s.Entries[0], local.BookingRequest("key-1", "Elena"))
		require.Equal(t, http.StatusCreated, first.Status, first.Body)
		again := s.sendRequest(s.Entries[1], local.BookingRequest("key-1", "Elena"))
		require.Equal(t, http.StatusCreated, again.Status, again.Body)
		require.Equal(t, first.Body, again.Body)
		require.Equal(t, "true", again.Header.Get("Idempotency-Replayed"))
		other := s.sendRequest(s.Entries[1], local.BookingRequest("key-1", "Ivan"))
		require.Equal(t, http.StatusUnprocessableEntity, other.Status)
		none := s.sendRequest(s.Entries[0], local.BookingRequest("", "Elena"))
		require.Equal(t, http.StatusBadRequest, none.Status)
		require.Equal(t, verdict.NotRun, none.Verdict)
	})
	t.Run("bad input gets a clear error and harms nobody", func(t *testing.T) {
		unknown := local.CompletionRequest("x", 1, false)
		unknown.Body = `{"model":"nobody","prompt":"x"}`
		a := s.sendRequest(s.Entries[0], unknown)
		require.Equal(t, http.StatusNotFound, a.Status)
		require.Equal(t, verdict.NotRun, a.Verdict)
		huge := local.CompletionRequest(strings.Repeat("x", 2<<20), 1, false)
		require.Equal(t, http.StatusRequestEntityTooLarge, s.sendRequest(s.Entries[0], huge).Status)
		out, err := s.Submit(s.ctx, "[service]\nname = local\nfrom = nowhere\n")
		require.Error(t, err)
		require.Contains(t, out, "from")
	})
	t.Run("counters are served", func(t *testing.T) {
		resp, err := http.Get("http://" + s.Entries[0].MetricsAddress + "/metrics")
		require.NoError(t, err)
		defer resp.Body.Close()
		require.Equal(t, http.StatusOK, resp.StatusCode)
	})
	t.Run("every role shuts down gracefully", func(t *testing.T) {
		for _, h := range append(append(append([]*local.Host{}, s.Entries...), s.Agents...), s.Control...) {
			s.shutDown(h)
		}
	})
}
