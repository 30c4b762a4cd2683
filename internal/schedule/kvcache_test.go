package schedule

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// cacheTokens is the size of the KV cache in these tests. The mean request of testEngine needs 230.
const cacheTokens = 1000

func newCacheCluster(ranks int) *testCluster {
	l := newTestCluster(1, ranks, 1)
	l.engine.KVCacheTokens = cacheTokens
	l.reportLoads(0)
	return l
}

func (l *testCluster) requestOf(tokens int) *Request {
	r := l.onTimeRequest()
	r.Tokens = tokens
	return r
}

// Guards against an engine that crashes because the requests that this host has sent to it exceed
// its KV cache although slots are free.
func TestRequestsFitTheCache(t *testing.T) {
	l := newCacheCluster(2)
	first, second := l.Admit(l.requestOf(700), l.now), l.Admit(l.requestOf(700), l.now)
	require.NotNil(t, first.Ticket)
	require.NotNil(t, second.Ticket)
	require.NotEqual(t, first.Upstream.ID, second.Upstream.ID)
	waiting := l.Admit(l.requestOf(301), l.now)
	require.NotNil(t, waiting.Waiter)
	results, _ := l.Release(first.Ticket, Success, l.now)
	require.Len(t, results, 1)
	require.Same(t, waiting.Waiter, results[0].Waiter)
	require.Equal(t, first.Upstream.ID, results[0].Upstream.ID)
	require.NotNil(t, l.Admit(l.requestOf(300), l.now).Ticket, "exactly full")
}

// Guards against forgetting the requests of other hosts, which are only known by their number.
func TestRequestsOfOtherHostsCountWithTheMean(t *testing.T) {
	l := newCacheCluster(1)
	l.report("0/0", func(load *wire.EngineLoad) { load.Running = 3 })
	require.NotNil(t, l.Admit(l.requestOf(cacheTokens-3*230+1), l.now).Waiter)
	l = newCacheCluster(1)
	l.report("0/0", func(load *wire.EngineLoad) { load.Running = 3 })
	require.NotNil(t, l.Admit(l.requestOf(cacheTokens-3*230), l.now).Ticket)
}

// Guards against requests without counts being left out of what the others may use.
func TestRequestWithoutCountsIsCountedWithTheMean(t *testing.T) {
	l := newCacheCluster(1)
	require.NotNil(t, l.Admit(l.requestOf(0), l.now).Ticket)
	require.NotNil(t, l.Admit(l.requestOf(cacheTokens-230+1), l.now).Waiter)
}

// Guards against a change where counts or the size of the cache are unknown: slots alone decide.
func TestUnknownTokensDoNotLimit(t *testing.T) {
	for _, c := range []struct{ cache, tokens int }{{0, 5000}, {1, 0}} {
		l := newCacheCluster(1)
		l.engine.KVCacheTokens = c.cache
		for range 4 {
			require.NotNil(t, l.Admit(l.requestOf(c.tokens), l.now).Ticket)
		}
		require.NotNil(t, l.Admit(l.requestOf(c.tokens), l.now).Waiter)
	}
}

// Guards against a request waiting that no engine can ever hold.
func TestRequestLargerThanTheCacheIsRefusedAtOnce(t *testing.T) {
	l := newCacheCluster(1)
	d := l.Admit(l.requestOf(cacheTokens+1), l.now)
	require.Nil(t, d.Waiter)
	require.Equal(t, ExceedsCache, d.Reason)
	require.Equal(t, "kv-cache", d.Reason.Name())
	require.NotNil(t, l.Admit(l.requestOf(cacheTokens), l.now).Ticket)
}

// Guards against a large request at the head of the queue keeping free slots from smaller ones.
func TestLargeWaiterDoesNotHoldUpSmallOnes(t *testing.T) {
	l := newCacheCluster(1)
	first := l.Admit(l.requestOf(600), l.now)
	large, small := l.Admit(l.requestOf(900), l.now), l.Admit(l.requestOf(100), l.now)
	require.NotNil(t, large.Waiter)
	require.NotNil(t, small.Waiter)
	results, _ := l.report("0/0", func(load *wire.EngineLoad) { load.Running = 1 })
	require.Len(t, results, 1)
	require.Same(t, small.Waiter, results[0].Waiter)
	l.Release(results[0].Ticket, Success, l.now)
	l.Release(first.Ticket, Success, l.now)
	results, _ = l.report("0/0", func(load *wire.EngineLoad) { load.Running = 0 })
	require.Len(t, results, 1)
	require.Same(t, large.Waiter, results[0].Waiter)
}
