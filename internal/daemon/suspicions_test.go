package daemon

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// fakeSession keeps the suspicions that were posted to it.
type fakeSession struct {
	posted []quarantine.Suspicion
	closed bool
}

func (s *fakeSession) Post(m wire.Message) error {
	s.posted = append(s.posted, m.(*wire.Suspicions).All...)
	return nil
}

func (s *fakeSession) Alive() bool { return !s.closed }

func suspicionOf(n byte, upstream, pool string) quarantine.Suspicion {
	return quarantine.Suspicion{Fingerprint: quarantine.Fingerprint{n}, Incarnation: quarantine.Incarnation{Upstream: upstream, StartedAt: 1}, Service: pool}
}

func newTestRelay(upstream string) *suspicionRelay {
	return newSuspicionRelay(relayConfig{
		upstream: upstream, pool: "p", fingerprints: quarantine.NewHasher("secret"), controlHosts: func() []hostSession { return nil },
		now: func() time.Duration { return time.Hour }, log: slog.New(slog.DiscardHandler), metrics: metrics.NewRegistry(),
	})
}

// The agent must pass the crash of its upstream on to all entry hosts that use it. If it passed on
// each crash of the pool, a crash would cause as many messages as there are pairs of upstreams and
// entry hosts.
func TestAgentPassesOnSuspicionsOfItsUpstreamOnce(t *testing.T) {
	r := newTestRelay("u1")
	sessions := []*fakeSession{{}, {}, {closed: true}}
	for _, s := range sessions {
		r.addEntryHost(s)
	}
	own, other := suspicionOf(1, "u1", "p"), suspicionOf(2, "u2", "p")
	for range 2 {
		r.merge([]quarantine.Suspicion{own, other})
	}
	require.Equal(t, []quarantine.Suspicion{own}, sessions[0].posted)
	require.Equal(t, []quarantine.Suspicion{own}, sessions[1].posted)
	require.Empty(t, sessions[2].posted)
}

// An entry host that connects after the crashes must learn of all of them, including those of other
// upstreams: it may reach only this agent.
func TestAgentSendsAllSuspicionsWithTheFirstDispatch(t *testing.T) {
	r := newTestRelay("u1")
	r.merge([]quarantine.Suspicion{suspicionOf(1, "u1", "p"), suspicionOf(1, "u2", "p")})
	var s fakeSession
	for range 3 {
		r.addEntryHost(&s)
	}
	require.Len(t, s.posted, 2)
}

// Sessions end and begin all the time. If the ended ones stayed in the set, it would grow for as
// long as the agent runs.
func TestAgentForgetsEndedSessions(t *testing.T) {
	r := newTestRelay("u1")
	for range 100 {
		r.addEntryHost(&fakeSession{closed: true})
	}
	require.LessOrEqual(t, len(r.entryHosts), 1)
}

// Entry hosts must be recognized by their names: behind a proxy, the address by which a host is
// dialled is not the one that it announces, and it would get no suspicions. Agents of other pools
// must get none, since they can do nothing with them.
func TestSuspicionsGoToTheHostsThatNeedThem(t *testing.T) {
	receivers := &suspicionReceivers{entryPeers: []string{"entry-2"}, pools: map[string]string{"u1": "p", "u2": "q"}}
	all := []quarantine.Suspicion{suspicionOf(1, "u1", "p"), suspicionOf(2, "u2", "q")}
	for i, c := range []struct {
		remote wire.Hello
		want   []quarantine.Suspicion
	}{
		{wire.Hello{Host: "control-1", Replica: "control-1/1"}, all},
		{wire.Hello{Host: "entry-2", Address: "10.0.0.2:7000"}, all},
		{wire.Hello{Host: "u1"}, all[:1]},
		{wire.Hello{Host: "u2"}, all[1:]},
		{wire.Hello{Host: "u3"}, nil},
	} {
		require.Equal(t, c.want, receivers.choose(c.remote, all), fmt.Sprint(i))
	}
	require.Len(t, all, 2)
}

// If an upstream crashes just after the session of a request was lost, only its agent can attribute
// the crash to the request. A crash that the others see and that is attributed to none of its
// candidates lets the request crash one more upstream.
func TestAgentAttributesCrashToAbandonedAttempt(t *testing.T) {
	now := time.Hour
	var control, entryHost fakeSession
	r := newSuspicionRelay(relayConfig{
		upstream: "u1", pool: "p", fingerprints: quarantine.NewHasher("secret"), controlHosts: func() []hostSession { return []hostSession{&control} },
		now: func() time.Duration { return now }, log: slog.New(slog.DiscardHandler), metrics: metrics.NewRegistry(),
	})
	r.addEntryHost(&entryHost)
	d := &wire.Dispatch{Workspace: "w", RequestID: "r", Method: "POST", Path: "/v1/completions?a=b", Body: []byte("body")}
	r.attemptAbandoned(d, 20*time.Millisecond)
	now += 5 * time.Millisecond
	for range 2 {
		r.upstreamEnded(77)
	}
	want := []quarantine.Suspicion{{
		Fingerprint: quarantine.NewHasher("secret").Of(&quarantine.Request{Workspace: "w", Method: "POST", Target: "/v1/completions?a=b", Body: []byte("body")}),
		Workspace:   "w", Incarnation: quarantine.Incarnation{Upstream: "u1", StartedAt: 77}, Service: "p", Request: "r", AgeMS: 5, RanMS: 20,
	}}
	require.Equal(t, want, control.posted)
	require.Equal(t, want, entryHost.posted)

	r.attemptAbandoned(d, 20*time.Millisecond)
	now += 2 * time.Second
	r.upstreamEnded(78)
	require.Len(t, control.posted, 1, "the upstream ended too long after the attempt")
}
