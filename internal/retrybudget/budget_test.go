package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var params = Params{Ratio: 0.2, Extra: 90, Window: 10 * time.Second}

func TestExtraIsSplitAcrossHostsAndRefills(t *testing.T) {
	var b Budget
	taken := 0
	for b.Take(params, 9, time.Second) {
		taken++
	}
	require.Equal(t, 8, taken, "a ninth of 90, times the safety factor")
	require.False(t, b.Take(params, 9, 9*time.Second))
	require.True(t, b.Take(params, 9, 12*time.Second))
}

// In any window, all hosts together must make no more retries than the shared budget allows.
// The budget is based on the requests in the same window, in the window before it, or in the
// one half a window earlier.
func TestHostsTogetherStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 5).Draw(t, "hosts")
		budgets := make([]Budget, hosts)
		type event struct {
			at      time.Duration
			isRetry bool
		}
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(50, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			b := &budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			b.AddRequest(params, now)
			events = append(events, event{at: now})
			for rapid.Bool().Draw(t, "again") && b.Take(params, hosts, now) {
				events = append(events, event{now, true})
			}
		}
		count := func(from, end time.Duration, isRetry bool) float64 {
			n := 0.0
			for _, e := range events {
				if e.isRetry == isRetry && e.at > from && e.at <= end {
					n++
				}
			}
			return n
		}
		for _, e := range events {
			end, window := e.at, params.Window
			mostRequests := max(count(end-window, end, false), count(end-2*window, end-window, false), count(end-window*3/2, end-window/2, false))
			if retries, bound := count(end-window, end, true), params.Ratio*mostRequests+params.Extra; retries > bound {
				t.Fatalf("%v retries up to %v, allowed are %v", retries, end, bound)
			}
		}
	})
}
