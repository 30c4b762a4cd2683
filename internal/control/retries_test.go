package control

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/state"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// startRetryLeader starts a leader that grants 40 retries of each service in a window.
func startRetryLeader(t *testing.T) (*Host, *Client) {
	h, th := startLeader(t)
	h.cfg.RetryBudget = retrybudget.Params{Ratio: 0.2, Extra: 40, Window: 10 * time.Second}
	h.retries = newRetryGrantor(h)
	return h, NewClient(startTestHost(t, "e", nil).pool, []string{th.address})
}

// Guards against grants that add up to more than the extra retries of all hosts, or that are not in the log
// from which the next leader learns of them.
func TestRetriesAreGrantedWithinTheExtraAndReserved(t *testing.T) {
	h, client := startRetryLeader(t)
	var granted atomic.Int64
	var hosts sync.WaitGroup
	for range 10 {
		hosts.Go(func() {
			answer, err := client.RequestRetries(t.Context(), &wire.RetryRequest{Service: "s", Count: 6})
			if err == nil {
				granted.Add(int64(answer.Count))
			}
		})
	}
	hosts.Wait()
	require.Equal(t, int64(40), granted.Load())
	require.Equal(t, uint64(40), h.tables.ReservedRetriesOf("s").Reserved)

	answer, err := client.RequestRetries(t.Context(), &wire.RetryRequest{Service: "s", Count: 1})
	require.NoError(t, err)
	require.Zero(t, answer.Count)
	require.GreaterOrEqual(t, answer.AgainMS, minRetryPause.Milliseconds())
	answer, err = client.RequestRetries(t.Context(), &wire.RetryRequest{Service: "other", Count: 1})
	require.NoError(t, err)
	require.Equal(t, 1, answer.Count)

	h.retries = newRetryGrantor(h)
	answer, err = client.RequestRetries(t.Context(), &wire.RetryRequest{Service: "s", Count: 1})
	require.NoError(t, err)
	require.Zero(t, answer.Count, "a control host that starts anew counts what the log has")
}

func TestInvalidRetryRequestIsRefused(t *testing.T) {
	h, client := startRetryLeader(t)
	for _, service := range []string{"", strings.Repeat("x", state.MaxNameBytes+1)} {
		_, err := client.RequestRetries(t.Context(), &wire.RetryRequest{Service: service, Count: 1})
		require.Error(t, err)
	}
	answer, err := client.RequestRetries(t.Context(), &wire.RetryRequest{Service: "s", Count: -5})
	require.NoError(t, err)
	require.Zero(t, answer.Count)
	require.Empty(t, h.tables.ReservedRetries())
}

// Guards against a restart of all control hosts after which no retry is granted for a window, however long
// ago the last one was.
func TestGrantedRetriesAreSettledOnceTheyCountNoMore(t *testing.T) {
	h, client := startRetryLeader(t)
	h.cfg.RetryBudget.Window = time.Millisecond
	h.retries = newRetryGrantor(h)
	answer, err := client.RequestRetries(t.Context(), &wire.RetryRequest{Service: "s", Count: 3})
	require.NoError(t, err)
	require.Equal(t, 3, answer.Count)
	require.Eventually(t, func() bool {
		h.retries.observeAll(true)
		return h.tables.ReservedRetriesOf("s") == state.RetryTotals{Service: "s", Reserved: 3, Settled: 3}
	}, conditionTimeout, 10*time.Millisecond)
}
