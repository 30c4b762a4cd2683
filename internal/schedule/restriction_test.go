package schedule

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

func incarnation(id string) backpressure.Incarnation { return backpressure.Incarnation{Upstream: id} }

// limit states a rate limit of 1 request per second for upstreams.
func (l *testCluster) limit(ids ...string) {
	for _, id := range ids {
		l.SetRateLimit(incarnation(id), 1, l.now)
	}
}

// takeToken asks for the tokens that requests have missed, and gives one token of the upstream.
func (l *testCluster) takeToken(t *testing.T, id string) []Result {
	var asked []string
	for _, r := range l.TakeTokenRequests(l.now) {
		asked = append(asked, r.Upstream.ID)
	}
	require.Contains(t, asked, id, "a token was missed")
	return l.AddTokens(incarnation(id), []time.Duration{0}, 0, l.now)
}

// sendingPaths holds the ways in which a request gets an upstream: new requests that are on time
// or late, those whose caller has a part of the answer already, those that were sent elsewhere
// before, those that wait, and those to a plain service. Each returns the upstream that a request
// got, if it got one.
func sendingPaths() map[string]func(*testCluster) string {
	admit := func(change func(*Request)) func(*testCluster) string {
		return func(l *testCluster) string {
			r := l.onTimeRequest()
			change(r)
			if d := l.Admit(r, l.now); d.Ticket != nil {
				return d.Ticket.ID()
			}
			return ""
		}
	}
	return map[string]func(*testCluster) string{
		"on time": admit(func(*Request) {}),
		"late":    admit(func(r *Request) { r.OnTimeUntil = 0 }),
		"resumed": admit(func(r *Request) { r.IsResumed = true }),
		"retried": admit(func(r *Request) { r.Tried = []string{"0/1"} }),
		"waiting": func(l *testCluster) string {
			l.now += time.Millisecond
			l.Admit(l.onTimeRequest(), l.now)
			results, _ := l.report("0/1", func(load *wire.EngineLoad) { load.Running = 4 })
			return ticketID(results)
		},
		"plain service": func(l *testCluster) string {
			if u, _, ok := l.ReserveLeastLoaded("s", nil, l.now); ok {
				return u.ID
			}
			return ""
		},
	}
}

// newClusterWithWaiter returns a cluster of two engines, of which the first has free slots. If
// hasWaiter is set, a request has been queued before.
func newClusterWithWaiter(t *testing.T, hasWaiter bool) *testCluster {
	l := newTestCluster(1, 2, 1)
	l.reportLoads(0)
	if hasWaiter {
		l.reportLoads(4)
		require.NotNil(t, l.Admit(l.onTimeRequest(), l.now).Waiter)
		l.loads["0/0"] = wire.EngineLoad{Address: "0/0", IsOpen: true, Group: "0", Epoch: 1}
	}
	return l
}

// Guards against a path on which requests reach an upstream with a rate limit without a token.
func TestNoPathSendsToLimitedUpstreamWithoutToken(t *testing.T) {
	for name, send := range sendingPaths() {
		t.Run(name, func(t *testing.T) {
			l := newClusterWithWaiter(t, name == "waiting")
			l.limit("0/0")
			for range 2 {
				require.NotEqual(t, "0/0", send(l))
			}
			l.report("0/1", func(load *wire.EngineLoad) { load.Running = 4 })
			if id := ticketID(l.takeToken(t, "0/0")); id != "0/0" {
				require.Equal(t, "0/0", send(l), "the upstream gets what it accepts")
			}
			require.NotEqual(t, "0/0", send(l))
		})
	}
}

// Guards against a path on which requests reach an upstream that has asked this host for rest, and
// against a rest that does not end.
func TestNoPathSendsToRestingUpstream(t *testing.T) {
	for name, send := range sendingPaths() {
		t.Run(name, func(t *testing.T) {
			l := newClusterWithWaiter(t, name == "waiting")
			end := l.now + time.Second
			l.SetRest(incarnation("0/0"), end, l.now)
			for l.now < end-100*time.Millisecond {
				require.NotEqual(t, "0/0", send(l))
				l.now += 90 * time.Millisecond
				l.report("", nil)
			}
			l.now = end
			results, _ := l.report("0/1", func(load *wire.EngineLoad) { load.Running = 4 })
			if ticketID(results) != "0/0" {
				l.upstreams["0/1"].inflight = 9
				require.Equal(t, "0/0", send(l))
			}
		})
	}
}

// Guards against a rest that is forgotten because the upstream is off the list for a moment, as
// when its announcements come late: before the statement, between it and the end of the rest, or
// while the request runs whose answer states it.
func TestRestOutlivesAnAbsence(t *testing.T) {
	absent := func(l *testCluster) { l.SetUpstreams(map[string][]registry.Upstream{}, l.now) }
	rest := func(l *testCluster) { l.SetRest(incarnation("0/0"), l.now+time.Second, l.now) }
	for name, play := range map[string]func(l *testCluster){
		"asked before the absence": func(l *testCluster) { rest(l); absent(l) },
		"asked in the absence": func(l *testCluster) {
			t := l.reserve(l.upstreams["0/0"], l.now)
			absent(l)
			rest(l)
			l.Release(t, Failure, l.now)
			absent(l)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newTestCluster(1, 2, 1)
			play(l)
			l.now += 500 * time.Millisecond
			l.announce(0)
			for range 20 {
				if u, ticket, ok := l.ReserveLeastLoaded("s", nil, l.now); ok {
					require.NotEqual(t, "0/0", u.ID)
					l.Release(ticket, Success, l.now)
				}
			}
			l.now += 500 * time.Millisecond
			l.upstreams["0/1"].inflight = 9
			u, ticket, ok := l.ReserveLeastLoaded("s", nil, l.now)
			require.True(t, ok)
			require.Equal(t, "0/0", u.ID, "the rest is over")
			l.Release(ticket, Success, l.now)
			absent(l)
			require.NotContains(t, l.upstreams, "0/0", "an upstream without a rest is forgotten")
		})
	}
}

// Guards against the end of a request that was sent before the upstream became full: it must not
// end the time for which the upstream is avoided. A later request does.
func TestOnlyLaterSuccessEndsAvoidance(t *testing.T) {
	l := newTestCluster(1, 2, 2)
	l.reportLoads(0)
	reserve := func() *Ticket {
		_, ticket, ok := l.ReserveLeastLoaded("s", &Constraints{Tried: []string{"0/1"}}, l.now)
		require.True(t, ok)
		return ticket
	}
	earlier := reserve()
	l.now += time.Second
	l.Avoid(incarnation("0/0"), l.now+time.Hour, l.now)
	l.Release(earlier, Success, l.now)
	require.True(t, l.upstreams["0/0"].isSuspect(l.now))
	l.Release(reserve(), Success, l.now)
	require.False(t, l.upstreams["0/0"].isSuspect(l.now))
}

// Guards against requests that wait for upstreams that all rest, and against callers that return
// before the first rest is over, or all at the same time.
func TestRequestIsRefusedAtOnceIfAllUpstreamsRest(t *testing.T) {
	l := newTestCluster(1, 2, 4)
	l.reportLoads(4)
	waiter := l.Admit(l.onTimeRequest(), l.now).Waiter
	require.NotNil(t, waiter)
	require.Empty(t, l.SetRest(incarnation("0/0"), l.now+3*time.Second, l.now))
	results := l.SetRest(incarnation("0/1"), l.now+4*time.Second, l.now)
	require.Len(t, results, 1)
	require.Same(t, waiter, results[0].Waiter)
	first, second := results[0].Decision, l.Admit(l.onTimeRequest(), l.now)
	for _, d := range []Decision{first, second} {
		require.Equal(t, Restricted, d.Reason)
		require.GreaterOrEqual(t, d.RetryAfter, 3*time.Second)
		require.LessOrEqual(t, d.RetryAfter, 3*time.Second+maxSpread)
	}
	require.NotEqual(t, first.RetryAfter, second.RetryAfter)
}

// Guards against a request that makes the host ask for more tokens than it can use; the others would
// be lost.
func TestRequestMissesOneToken(t *testing.T) {
	l := newTestCluster(1, 2, 1)
	l.limit("0/0", "0/1")
	_, _, ok := l.ReserveLeastLoaded("s", nil, l.now)
	require.False(t, ok)
	requests := l.TakeTokenRequests(l.now)
	require.Len(t, requests, 2)
	for _, r := range requests {
		require.Equal(t, 1, r.Count, r.Upstream.ID)
	}
}

// Guards against a rest that a new start of the upstream takes over, and against a request to an
// upstream that has just turned another host away while others can run it.
func TestUpstreamThatTurnedAnotherHostAwayIsAvoided(t *testing.T) {
	l := newTestCluster(1, 2, 2)
	l.reportLoads(0)
	l.Avoid(incarnation("0/0"), l.now+time.Hour, l.now)
	for range 4 {
		_, ticket, ok := l.ReserveLeastLoaded("s", nil, l.now)
		require.True(t, ok)
		require.Equal(t, "0/1", ticket.ID())
	}
	u, _, _ := l.ReserveLeastLoaded("s", &Constraints{Tried: []string{"0/1"}}, l.now)
	require.Equal(t, "0/0", u.ID, "no other is left")
	require.False(t, l.upstreams["0/0"].isSuspect(l.now+maxAvoidance))
	l.SetRest(incarnation("0/1"), l.now+time.Hour, l.now)
	l.announce(5)
	require.Zero(t, l.upstreams["0/1"].restUntil)
}

// ticketID returns the upstream of the first queued request that was admitted.
func ticketID(results []Result) string {
	if len(results) == 0 || results[0].Ticket == nil {
		return ""
	}
	return results[0].Ticket.ID()
}

// Guards against a request that waits for an upstream with a rate limit that can't accept it in
// time, and against one that is refused although a token may come at once. The caller learns when
// to return, and callers don't return together.
func TestRequestIsRefusedOnceNoUpstreamAcceptsItInTime(t *testing.T) {
	l := newTestCluster(1, 2, 4)
	l.reportLoads(0)
	l.limit("0/0", "0/1")
	first, second := l.Admit(l.onTimeRequest(), l.now), l.Admit(l.onTimeRequest(), l.now)
	require.NotNil(t, first.Waiter, "the host has not asked for a token yet")
	require.NotNil(t, second.Waiter)
	require.Len(t, l.TakeTokenRequests(l.now), 2)
	require.Empty(t, l.AddTokens(incarnation("0/0"), nil, 3*time.Second, l.now))
	results := l.AddTokens(incarnation("0/1"), []time.Duration{0}, 5*time.Second, l.now)
	require.Len(t, results, 2)
	require.Equal(t, "0/1", results[0].Upstream.ID)
	var waits []time.Duration
	for _, d := range []Decision{results[1].Decision, l.Admit(l.onTimeRequest(), l.now), l.Admit(l.lateRequest(), l.now)} {
		require.Equal(t, Restricted, d.Reason)
		require.GreaterOrEqual(t, d.RetryAfter, 3*time.Second, "until 0/0 may accept a request")
		require.LessOrEqual(t, d.RetryAfter, 3*time.Second+maxSpread)
		waits = append(waits, d.RetryAfter)
	}
	require.NotEqual(t, waits[0], waits[1])
	require.NotEqual(t, waits[1], waits[2])
}

// Guards against more requests that wait for tokens than this host may send in the time in which
// their callers wait.
func TestQueueForTokensIsBounded(t *testing.T) {
	l := newTestCluster(1, 2, 1)
	l.reportLoads(0)
	l.limit("0/0", "0/1")
	waiting := 0
	for range 20 {
		l.now += time.Millisecond
		if l.Admit(l.onTimeRequest(), l.now).Waiter != nil {
			waiting++
		}
	}
	require.LessOrEqual(t, waiting, 2+int(2*MaxQueueWait.Seconds()), "two requests a second are accepted")
	require.Positive(t, waiting)
}

// Guards against a new start of an upstream taking over the limit of the start before, and against
// a limit that outlives its end.
func TestLimitEndsWithItsIncarnation(t *testing.T) {
	l := newTestCluster(1, 2, 1)
	l.reportLoads(0)
	l.limit("0/0", "0/1")
	l.announce(5)
	l.limit("0/0")
	l.reportLoads(0)
	require.Equal(t, map[string]int{"0/0": 4, "0/1": 4}, l.admitUntilFull(), "a limit of the earlier start is ignored")
	now := backpressure.Incarnation{Upstream: "0/0", StartedAt: 5}
	l.SetRateLimit(now, 1, l.now)
	require.NotNil(t, l.upstreams["0/0"].allowance)
	l.SetRateLimit(now, 0, l.now)
	require.Nil(t, l.upstreams["0/0"].allowance)
	require.Empty(t, l.restricted)
}

// Guards against a data centre that is cut off taking the whole rate of an upstream: its hosts use
// their shares among all hosts of the last minute.
func TestHostThatGetsNoAnswerUsesItsShare(t *testing.T) {
	l := newTestCluster(1, 2, 8)
	l.reportLoads(0)
	l.limit("0/0")
	l.now += time.Second
	l.SetHostCount(2, l.now)
	sent := 0
	for range 2400 {
		l.now += 25 * time.Millisecond
		if u, ticket, ok := l.ReserveLeastLoaded("s", &Constraints{Tried: []string{"0/1"}}, l.now); ok {
			require.Equal(t, "0/0", u.ID)
			l.Release(ticket, Success, l.now)
			sent++
		}
		for range l.TakeTokenRequests(l.now) {
			l.TokensUnanswered(incarnation("0/0"), l.now)
		}
	}
	require.InDelta(t, 60.0/8, sent, 1.5, "an eighth of 1 a second in 60 s")
}

// Guards against any course of events in which more requests reach a limited upstream than there
// were tokens for it, or in which a request is left without a decision.
func TestRequestsAtLimitedUpstreamNeedTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newTestCluster(1, 3, 2)
		l.reportLoads(0)
		l.limit("0/0")
		tokens, sent := 0, 0
		var tickets []*Ticket
		record := func(results []Result) {
			for _, r := range results {
				if r.Ticket != nil && r.Ticket.ID() == "0/0" {
					sent++
				}
				if r.Ticket != nil {
					tickets = append(tickets, r.Ticket)
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			l.now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				r := l.onTimeRequest()
				r.IsResumed, r.CanRetry = rapid.Bool().Draw(t, "resumed"), rapid.Bool().Draw(t, "can retry")
				if d := l.Admit(r, l.now); d.Ticket != nil {
					record([]Result{{Decision: d}})
				}
			case 2:
				results, _ := l.reportLoads(rapid.IntRange(0, 5).Draw(t, "load"))
				record(results)
			case 3:
				for _, r := range l.TakeTokenRequests(l.now) {
					n := rapid.IntRange(0, r.Count).Draw(t, "granted")
					tokens += n
					record(l.AddTokens(incarnation("0/0"), make([]time.Duration, n), time.Duration(rapid.IntRange(0, 500).Draw(t, "again"))*time.Millisecond, l.now))
				}
			case 4:
				if len(tickets) > 0 {
					results, _ := l.Release(tickets[0], Success, l.now)
					tickets = tickets[1:]
					record(results)
				}
			case 5:
				record(l.SetRateLimit(incarnation("0/0"), rapid.Float64Range(0.1, 50).Draw(t, "rate"), l.now))
			}
		}
		if sent > tokens {
			t.Fatalf("%d requests, %d tokens", sent, tokens)
		}
	})
}

// BenchmarkRateLimits measures what rate limits add to a decision among 600 upstreams, if a tenth
// of them have one.
func BenchmarkRateLimits(b *testing.B) {
	s := New(Config{Random: rand.New(rand.NewPCG(1, 2))})
	var all []registry.Upstream
	for i := range 600 {
		id := string(rune('a'+i%26)) + time.Duration(i).String()
		all = append(all, registry.Upstream{ID: id, Address: id, Service: "s", Slots: 4})
	}
	s.SetUpstreams(map[string][]registry.Upstream{"s": all}, 0)
	for _, u := range all[:60] {
		s.SetRateLimit(incarnation(u.ID), 1, 0)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.AcceptsAt("s", nil, time.Second)
		for _, u := range s.restricted {
			u.accepts(time.Second)
			u.passOver(time.Second)
		}
	}
}
