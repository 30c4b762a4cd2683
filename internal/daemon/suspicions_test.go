package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// fakeEntrySession keeps the suspicions that were posted to it.
type fakeEntrySession struct {
	posted []quarantine.Suspicion
	closed bool
}

func (s *fakeEntrySession) Post(m wire.Message) error {
	s.posted = append(s.posted, m.(*wire.Suspicions).All...)
	return nil
}

func (s *fakeEntrySession) Alive() bool { return !s.closed }

func suspicionOf(n byte, upstream, pool string) quarantine.Suspicion {
	return quarantine.Suspicion{Fingerprint: quarantine.Fingerprint{n}, Incarnation: quarantine.Incarnation{Upstream: upstream, StartedAt: 1}, Service: pool}
}

func newTestRelay(upstream string) *suspicionRelay {
	return newSuspicionRelay(upstream, func() time.Duration { return time.Hour }, metrics.NewRegistry())
}

// The agent must pass the crash of its upstream on to all entry hosts that use it. If it passed on
// each crash of the pool, a crash would cause as many messages as there are pairs of upstreams and
// entry hosts.
func TestAgentPassesOnSuspicionsOfItsUpstreamOnce(t *testing.T) {
	r := newTestRelay("u1")
	sessions := []*fakeEntrySession{{}, {}, {closed: true}}
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
	var s fakeEntrySession
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
		r.addEntryHost(&fakeEntrySession{closed: true})
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
