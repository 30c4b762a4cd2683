package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// params gives each request credit for a fifth of a retry.
var params = Params{Ratio: 0.23, Extra: 90, Window: 10 * time.Second}

// takeAll takes retries until none is allowed.
func takeAll(b *Budget, now time.Duration) (all []Retry) {
	for {
		r, ok := b.Take(now)
		if !ok {
			return all
		}
		all = append(all, r)
	}
}

func addRequests(b *Budget, n int, now time.Duration) {
	for range n {
		b.AddRequest(params, now)
	}
}

func TestRequestsPayForRetriesOnce(t *testing.T) {
	var b Budget
	require.Empty(t, takeAll(&b, time.Second), "a process that starts has nothing to spend")
	addRequests(&b, 51, time.Second)
	require.Len(t, takeAll(&b, time.Second), 10)
	require.Empty(t, takeAll(&b, time.Second+Lifetime/2))
	addRequests(&b, 5, time.Second+Lifetime/2)
	require.Len(t, takeAll(&b, time.Second+Lifetime/2), 1)
}

// Guards against credits that outlive the requests of the windows in which they are used.
func TestCreditsEndAfterTheirLifetime(t *testing.T) {
	for phase := time.Duration(0); phase < bucketWidth; phase += bucketWidth / 7 {
		var early, late Budget
		began := time.Minute + phase
		addRequests(&early, 51, began)
		require.Len(t, takeAll(&early, began+Lifetime-bucketWidth), 10, "phase %v", phase)
		addRequests(&late, 51, began)
		require.Empty(t, takeAll(&late, began+Lifetime), "phase %v", phase)
	}
}

// Guards against retries that are sent long after the requests that pay for them, since they have waited.
func TestRetryThatHasWaitedIsNotSent(t *testing.T) {
	var b Budget
	addRequests(&b, 6, time.Second)
	r, ok := b.Take(time.Second)
	require.True(t, ok)
	require.False(t, r.IsGranted())
	require.True(t, b.MaySend(r, time.Second+Lifetime/2))
	require.False(t, b.MaySend(r, time.Second+Lifetime))
	b.Return(r, time.Second+Lifetime)
	require.Empty(t, takeAll(&b, time.Second+Lifetime))
}

func TestReturnedRetryIsAllowedAgain(t *testing.T) {
	var b Budget
	addRequests(&b, 6, 0)
	r, ok := b.Take(0)
	require.True(t, ok)
	require.Empty(t, takeAll(&b, 0))
	b.Return(r, 0)
	require.Len(t, takeAll(&b, 0), 1)
}

func TestGrantedRetryEndsAfterItsLifetime(t *testing.T) {
	var b Budget
	b.Granted(2, time.Second, 0, time.Second+Lifetime/2)
	r, ok := b.Take(time.Second + Lifetime - 1)
	require.True(t, ok)
	require.True(t, r.IsGranted())
	require.True(t, b.MaySend(r, time.Second+Lifetime-1))
	require.False(t, b.MaySend(r, time.Second+Lifetime))
	require.Empty(t, takeAll(&b, time.Second+Lifetime))
}

// Guards against retries of a host whose monotonic clock stood still while it was suspended.
func TestSuspendedHostHasNothingLeft(t *testing.T) {
	var b Budget
	addRequests(&b, 12, 0)
	b.Granted(2, 0, 0, 0)
	taken, ok := b.Take(0)
	require.True(t, ok)
	require.NotEmpty(t, takeAll(&b, 0))
	require.Positive(t, b.Ask(params, 0))

	b.DropAll()
	require.False(t, b.MaySend(taken, 0))
	require.Empty(t, takeAll(&b, 0))
	b.Granted(1, 0, 0, 0)
	require.Empty(t, takeAll(&b, 0), "granted to a request before the suspension")
	addRequests(&b, 6, 0)
	require.Len(t, takeAll(&b, 0), 1)
}

func TestHostAsksOnceForWhatItMissed(t *testing.T) {
	var b Budget
	require.False(t, b.MayBeGranted(Params{Ratio: 0.2, Window: time.Second}, 0), "there is no extra")
	require.Zero(t, b.Ask(params, 0))
	for range MaxAsked + 8 {
		_, ok := b.Take(0)
		require.False(t, ok)
	}
	require.Equal(t, MaxAsked, b.Ask(params, 0))
	require.True(t, b.MayBeGranted(params, 0))
	_, _ = b.Take(0)
	require.Zero(t, b.Ask(params, 0), "one request at a time")

	b.Granted(0, 0, 300*time.Millisecond, 0)
	require.False(t, b.MayBeGranted(params, 299*time.Millisecond))
	_, _ = b.Take(0)
	require.Zero(t, b.Ask(params, 299*time.Millisecond))
	require.Equal(t, 1, b.Ask(params, 300*time.Millisecond))

	b.Granted(0, 0, time.Hour, 0)
	require.True(t, b.MayBeGranted(params, maxAskPause), "no answer keeps a host from asking for long")

	b.Unanswered(time.Second)
	_, _ = b.Take(time.Second)
	require.False(t, b.MayBeGranted(params, time.Second+unansweredPause-1))
	require.Equal(t, 1, b.Ask(params, time.Second+unansweredPause))
}
