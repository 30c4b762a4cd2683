package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// refusalBound is how soon a booking must be refused if no majority of control hosts is reachable.
const refusalBound = 3 * time.Second

// A data centre without a link to the others still serves idempotent requests, and refuses at
// once those that need a majority of control hosts. Once the links are back, documents that were
// accepted meanwhile come into force there, and a booking that was refused runs at most once.
func TestIsolatedDataCentreServesAndCatchesUp(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{
		Control: 3, Entries: 1, Engines: 1, Services: 1,
		DataCentres: []string{"centre-a", "centre-b"}, HasProxies: true,
	})
	isolatedEntry := s.Entries[1]
	require.Equal(t, "centre-b", isolatedEntry.DataCentre)
	s.await("a booking in the data centre", func() bool {
		return s.sendRequest(isolatedEntry, local.BookingRequest("before", "Elena")).Status == http.StatusCreated
	})

	s.CutDataCentre("centre-b")
	for n := range 20 {
		prompt := fmt.Sprint("cut off ", n)
		a := s.sendRequest(isolatedEntry, local.CompletionRequest(prompt, 5, false))
		require.Equal(t, http.StatusOK, a.Status, a.Body)
		require.Contains(t, a.Body, standin.Text(prompt, 5))
	}
	sentAt := time.Now()
	a := s.sendRequest(isolatedEntry, local.BookingRequest("during", "Elena"))
	require.Equal(t, http.StatusServiceUnavailable, a.Status, a.Body)
	require.NotEqual(t, verdict.Ran, a.Verdict)
	require.NotEmpty(t, a.Header.Get("Retry-After"))
	require.Less(t, time.Since(sentAt), refusalBound)
	// If the leader is in the isolated data centre, the other control hosts first elect a new one.
	s.await("a change by the others", func() bool {
		_, err := s.Submit(s.ctx, local.Document("v2"))
		return err == nil
	})

	s.HealDataCentre("centre-b")
	healedAt := time.Now()
	require.NoError(t, s.AwaitInForce(s.ctx))
	t.Logf("in force everywhere %v after the heal", time.Since(healedAt).Round(time.Millisecond))
	s.await("the same booking after the heal", func() bool {
		return s.sendRequest(isolatedEntry, local.BookingRequest("during", "Elena")).Status == http.StatusCreated
	})
	for _, h := range s.Agents {
		r, err := local.Executions(s.ctx, h.Upstream)
		require.NoError(t, err)
		require.LessOrEqual(t, r.ByKey["during"].Started, 1)
	}
}
