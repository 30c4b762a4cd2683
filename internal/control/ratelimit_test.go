package control

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// limitNotice reports that an upstream has stated a rate limit.
func limitNotice(perSecond float64) backpressure.Notice {
	return backpressure.Notice{Incarnation: backpressure.Incarnation{Upstream: "u"}, Rate: perSecond}
}

// attachEntry attaches a host that sends requests to upstreams, and returns its session.
func (th *testHost) attachEntry(t *testing.T, control *testHost) *peer.Session {
	t.Helper()
	s, err := th.pool.Get(t.Context(), control.address)
	require.NoError(t, err)
	require.NoError(t, s.Post(&wire.Attach{Role: roleEntry}))
	return s
}

// awaitRate waits until a host is told the rate limit of the upstream.
func (th *testHost) awaitRate(t *testing.T, perSecond float64) {
	t.Helper()
	timeout := time.After(propagationTimeout)
	for {
		select {
		case m := <-th.received:
			if n, ok := m.(*wire.Notices); ok && len(n.All) > 0 && n.All[0].Rate == perSecond {
				return
			}
		case <-timeout:
			t.Fatal("the host was not told")
		}
	}
}

// Guards against a limit that only the host knows that has read it: the other entry hosts must
// hear of it, also those that attach later, and of its end.
func TestRateLimitReachesAllEntryHosts(t *testing.T) {
	control := startTestHost(t, "c1", newControlHost(nil))
	a, b := startTestHost(t, "e1", nil), startTestHost(t, "e2", nil)
	fromA := a.attachEntry(t, control)
	b.attachEntry(t, control)
	require.Eventually(t, func() bool { return len(b.received) > 0 }, propagationTimeout, time.Millisecond, "b is attached")
	require.NoError(t, fromA.Post(&wire.Notices{All: []backpressure.Notice{limitNotice(2.5)}}))
	b.awaitRate(t, 2.5)
	late := startTestHost(t, "e3", nil)
	late.attachEntry(t, control)
	late.awaitRate(t, 2.5)
	require.NoError(t, fromA.Post(&wire.Notices{All: []backpressure.Notice{limitNotice(0)}}))
	b.awaitRate(t, 0)
}

// Guards against the part of a data centre that is cut off being handed out too, while its hosts
// use it. After a minute the part is handed out again.
func TestPartOfLostEntryHostsIsKeptBack(t *testing.T) {
	f := newFleet(&Host{})
	now := time.Hour
	f.entryHosts = map[string]time.Duration{"e1": now, "e2": now, "e3": now - entryHostMemory - 1, "e4": now - time.Second}
	require.Equal(t, minReachable, f.countReachable(now), "no host is attached")
	control := startTestHost(t, "c1", newControlHost(nil))
	for range 3 {
		s := startTestHost(t, "e1", nil).attachEntry(t, control)
		f.attached[s] = roleEntry
	}
	// The sessions are those of this end, so that the other end is the control host.
	require.InDelta(t, 1.0/4, f.countReachable(now), 0.001, "c1 of c1, e1, e2 and e4")
}

// Guards against a leader that needs to know an upstream's cold time or the configuration to hand
// out its tokens, that lifts a lower stated limit, or that hands out tokens at the begin of its term
// while those of the leader before may still be used.
func TestTokensOfColdUpstream(t *testing.T) {
	s := startTestHost(t, "e1", nil).attachEntry(t, startTestHost(t, "c1", newControlHost(nil)))
	f := newFleet(&Host{cfg: Config{Metrics: metrics.NewRegistry()}})
	request := &wire.TokenRequest{Notice: limitNotice(0), Count: 5, ColdRate: 50}
	first := f.handOutCold(s, request, 1)
	require.Empty(t, first.WaitsMS, "the term has just begun")
	require.Positive(t, first.AgainMS)
	require.Eventually(t, func() bool { return len(f.handOutCold(s, request, 1).WaitsMS) > 0 }, propagationTimeout, 10*time.Millisecond)
	require.Positive(t, metrics.GetOrRegisterCounter("control.cold.tokens.granted", f.h.cfg.Metrics).Count())
	request.Notice = limitNotice(0.5)
	request.Count = 100
	require.LessOrEqual(t, len(f.handOutCold(s, request, 1).WaitsMS), 1, "the stated limit is lower")
	require.Empty(t, f.handOutCold(s, request, 2).WaitsMS, "a new term")
}
