package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
	"github.com/sassafraspost/sassafraspost/test/local"
)

// startBookings starts a system in which a booking takes the given delay. The deadline of requests
// is so short that a host can stay frozen for longer.
func startBookings(t *testing.T, services int, delay string) *requestLog {
	s := start(t, local.Layout{
		Control: 3, Entries: 3, Engines: 1, Services: services, HasProxies: true,
		ServiceArgs: []string{"--delay", delay},
	})
	out, err := s.Submit(s.ctx, strings.Replace(local.Document("v1"), "deadline = 20s", "deadline = 4s", 1))
	require.NoError(t, err, out)
	require.NoError(t, s.AwaitInForce(s.ctx))
	l := &requestLog{s: s}
	l.awaitBooking("warm-up")
	return l
}

// service returns the agent of the first plain service.
func (l *requestLog) service() *local.Host { return l.s.Agents[1] }

// runSubtest waits until bookings through the first entry host succeed again and runs a subtest.
// A check that fails in it ends the subtest only.
func (l *requestLog) runSubtest(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		l.s.t = t
		l.s.await("bookings before "+name, func() bool {
			return l.book(l.s.Entries[0], fmt.Sprint("before-", len(l.requests))).Status == http.StatusCreated
		})
		test(t)
	})
	l.s.t = t
}

// book sends one booking through an entry host.
func (l *requestLog) book(e *local.Host, key string) local.Response {
	return l.send(e.ListenAddress, local.BookingRequest(key, "rider of "+key))
}

// bookAsync sends one booking and returns a channel that receives the response.
func (l *requestLog) bookAsync(address, key string) <-chan local.Response {
	out := make(chan local.Response, 1)
	go func() { out <- l.send(address, local.BookingRequest(key, "rider of "+key)) }()
	return out
}

// awaitBooking sends a booking again and again, through all entry hosts in turn, until it succeeds.
func (l *requestLog) awaitBooking(key string) local.Response {
	l.s.t.Helper()
	var a local.Response
	n := 0
	l.s.await("a booking for "+key, func() bool {
		e := l.s.Entries[n%len(l.s.Entries)]
		n++
		a = l.book(e, key)
		return a.Status == http.StatusCreated
	})
	return a
}

// awaitMayHaveRun resends a key until the response is final and says that the call may have run.
func (l *requestLog) awaitMayHaveRun(e *local.Host, key string) {
	l.s.t.Helper()
	l.s.await("the end of the claim of "+key, func() bool {
		a := l.book(e, key)
		return a.Verdict == verdict.MayHaveRun && strings.Contains(a.Body, `"conflict"`)
	})
}

// awaitOutcome resends a key until its outcome is final: the recorded response is replayed, or the
// response says that the call may have run.
func (l *requestLog) awaitOutcome(e *local.Host, key string) {
	l.s.t.Helper()
	l.s.await("the end of "+key, func() bool {
		a := l.book(e, key)
		require.NotEqual(l.s.t, verdict.NotRun, a.Verdict, a.Body)
		return isReplayed(a) || strings.Contains(a.Body, `"conflict"`)
	})
}

// isReplayed reports whether a response is the recorded response of an earlier booking.
func isReplayed(a local.Response) bool {
	return a.Status == http.StatusCreated && a.Header.Get("Idempotency-Replayed") == "true"
}

// awaitStarted waits until a stand-in has started to execute a key.
func (l *requestLog) awaitStarted(key string) {
	l.s.t.Helper()
	l.s.await("the execution of "+key, func() bool { return l.s.executions().ByKey[key].Started > 0 })
}

// requireExecutions requires that the stand-ins have started to execute a key so many times.
func (l *requestLog) requireExecutions(times int, key string) {
	l.s.t.Helper()
	require.Equal(l.s.t, times, l.s.executions().ByKey[key].Started, "executions of %s", key)
}

// restart starts a process that was killed. If it is an entry host, it waits until bookings
// through it succeed.
func (l *requestLog) restart(h *local.Host) {
	l.s.t.Helper()
	require.NoError(l.s.t, h.Start())
	for _, e := range l.s.Entries {
		if e == h {
			l.s.await(h.Name+" to serve", func() bool {
				return local.IsReady(l.s.ctx, h) && l.book(h, "restart-"+h.Name).Status == http.StatusCreated
			})
			return
		}
	}
}

// A call runs at most once per idempotency key, whichever of the entry host, the agent and their
// links is killed, cut or frozen. A resend through another entry host gets the recorded response,
// or the verdict that the call may have run.
func TestBookingRunsOnceDespiteDataPathFaults(t *testing.T) {
	t.Parallel()
	l := startBookings(t, 1, "300ms")
	s := l.s
	entry1, entry2, entry3 := s.Entries[0], s.Entries[1], s.Entries[2]

	l.runSubtest(t, "one key through all entry hosts at once", func(t *testing.T) {
		var answers []<-chan local.Response
		for i := range 12 {
			answers = append(answers, l.bookAsync(s.Entries[i%3].ListenAddress, "at-once"))
		}
		created := 0
		for _, c := range answers {
			a := <-c
			if a.Status == http.StatusCreated && a.Header.Get("Idempotency-Replayed") == "" {
				created++
			}
		}
		require.Equal(t, 1, created)
		l.requireExecutions(1, "at-once")
	})
	l.runSubtest(t, "the same key with another body", func(t *testing.T) {
		a := l.send(entry2.ListenAddress, local.BookingRequest("at-once", "somebody else"))
		require.Equal(t, http.StatusUnprocessableEntity, a.Status)
		require.Equal(t, verdict.NotRun, a.Verdict)
	})
	l.runSubtest(t, "the caller's connection is cut before the answer", func(t *testing.T) {
		p, err := faultproxy.NewTCP(entry1.ListenAddress)
		require.NoError(t, err)
		defer p.Close()
		first := l.bookAsync(p.Address(), "lost-answer")
		l.awaitStarted("lost-answer")
		p.Cut()
		require.Error(t, (<-first).Err)
		require.Contains(t, l.awaitBooking("lost-answer").Body, "lost-answer")
		l.requireExecutions(1, "lost-answer")
	})
	l.runSubtest(t, "the link between agent and entry host is cut before the answer", func(t *testing.T) {
		first := l.bookAsync(entry1.ListenAddress, "cut-link")
		l.awaitStarted("cut-link")
		s.Cut(l.service())
		require.Equal(t, verdict.MayHaveRun, (<-first).Verdict)
		s.Heal(l.service())
		l.awaitOutcome(entry2, "cut-link")
		l.requireExecutions(1, "cut-link")
		l.awaitBooking("after-cut-link")
	})
	l.runSubtest(t, "the agent is killed and starts again", func(t *testing.T) {
		first := l.bookAsync(entry1.ListenAddress, "agent-killed")
		l.awaitStarted("agent-killed")
		l.service().Kill()
		require.Equal(t, verdict.MayHaveRun, (<-first).Verdict)
		require.NoError(t, l.service().Start())
		l.awaitBooking("after-agent-killed")
		a := l.book(entry2, "agent-killed")
		require.Equal(t, verdict.MayHaveRun, a.Verdict, a.Body)
		l.requireExecutions(1, "agent-killed")
	})
	l.runSubtest(t, "the entry host is killed while its dispatch is on the way", func(t *testing.T) {
		claimsBefore := s.counter(entry1, "entry_claims_granted")
		l.service().Freeze()
		first := l.bookAsync(entry1.ListenAddress, "killed-on-the-way")
		s.await("the claim", func() bool { return s.counter(entry1, "entry_claims_granted") > claimsBefore })
		entry1.Kill()
		require.Error(t, (<-first).Err)
		a := l.book(entry2, "killed-on-the-way")
		require.Equal(t, verdict.MayHaveRun, a.Verdict, a.Body)
		l.service().Thaw()
		l.awaitOutcome(entry3, "killed-on-the-way")
		l.restart(entry1)
	})
	l.runSubtest(t, "the entry host is killed after the dispatch", func(t *testing.T) {
		first := l.bookAsync(entry1.ListenAddress, "killed-after-dispatch")
		l.awaitStarted("killed-after-dispatch")
		entry1.Kill()
		require.Error(t, (<-first).Err)
		a := l.book(entry2, "killed-after-dispatch")
		require.Equal(t, verdict.MayHaveRun, a.Verdict, a.Body)
		l.requireExecutions(1, "killed-after-dispatch")
		l.restart(entry1)
	})
	l.runSubtest(t, "the entry host is killed after the answer", func(t *testing.T) {
		first := l.book(entry1, "killed-after-answer")
		require.Equal(t, http.StatusCreated, first.Status, first.Body)
		entry1.Kill()
		again := l.book(entry2, "killed-after-answer")
		require.Equal(t, first.Body, again.Body)
		l.requireExecutions(1, "killed-after-answer")
		l.restart(entry1)
	})
	l.runSubtest(t, "the entry host is frozen between claim and dispatch and wakes late", func(t *testing.T) {
		// The frozen agent does not accept a new session, so the entry host can't send the dispatch.
		claimsBefore := s.counter(entry1, "entry_claims_granted")
		l.service().Freeze()
		s.Cut(l.service())
		s.Heal(l.service())
		first := l.bookAsync(entry1.ListenAddress, "woke-late")
		s.await("the claim", func() bool { return s.counter(entry1, "entry_claims_granted") > claimsBefore })
		entry1.Freeze()
		a := l.book(entry2, "woke-late")
		require.Contains(t, a.Body, "in-progress", "its time is not over")
		l.awaitMayHaveRun(entry2, "woke-late")
		l.service().Thaw()
		entry1.Thaw()
		<-first
		l.awaitBooking("after-woke-late")
		require.LessOrEqual(t, s.executions().ByKey["woke-late"].Started, 1)
	})
	t.Logf("%d requests: %+v", len(l.requests), l.checkVerdicts())
}

// A call runs at most once per idempotency key, and its caller learns the outcome by resending the
// key, although the leader is killed or frozen or the quorum is lost.
func TestBookingRunsOnceDespiteLeaderFaults(t *testing.T) {
	t.Parallel()
	l := startBookings(t, 1, "100ms")
	s := l.s
	entry1, entry2 := s.Entries[0], s.Entries[1]

	l.runSubtest(t, "the leader is killed between the claim and its reply", func(t *testing.T) {
		leader := s.leader()
		s.Link(entry1, leader).SetFault(faultproxy.Backward, faultproxy.Fault{Frozen: true})
		first := l.book(entry1, "reply-lost")
		require.Equal(t, verdict.MayHaveRun, first.Verdict)
		require.Contains(t, first.Body, "SAME key")
		require.NotEmpty(t, first.Header.Get("Retry-After"))
		leader.Kill()
		s.Link(entry1, leader).Heal()
		l.awaitBooking("reply-lost")
		l.requireExecutions(1, "reply-lost")
		require.NoError(t, leader.Start())
		require.NoError(t, s.awaitVoters(3))
	})
	l.runSubtest(t, "the leader is killed before the outcome is recorded", func(t *testing.T) {
		leader := s.leader()
		first := l.bookAsync(entry1.ListenAddress, "outcome-lost")
		l.awaitStarted("outcome-lost")
		leader.Kill()
		require.Equal(t, http.StatusCreated, (<-first).Status)
		require.Equal(t, (l.awaitBooking("outcome-lost")).Header.Get("Idempotency-Replayed"), "true")
		l.requireExecutions(1, "outcome-lost")
		require.NoError(t, leader.Start())
		require.NoError(t, s.awaitVoters(3))
	})
	l.runSubtest(t, "the leader is frozen and wakes later", func(t *testing.T) {
		leader := s.leader()
		leader.Freeze()
		first := l.bookAsync(entry1.ListenAddress, "frozen-leader")
		l.awaitBooking("frozen-leader")
		leader.Thaw()
		<-first
		s.await("a leader", func() bool { return s.Leader(s.ctx) != "" })
		again := l.awaitBooking("frozen-leader")
		require.Equal(t, "true", again.Header.Get("Idempotency-Replayed"))
		l.requireExecutions(1, "frozen-leader")
	})
	l.runSubtest(t, "no quorum: the key stays open, and nothing runs", func(t *testing.T) {
		recorded := l.awaitBooking("before-no-quorum")
		s.Control[0].Freeze()
		s.Control[1].Freeze()
		s.await("the loss of the quorum", func() bool {
			return strings.Contains(l.book(entry2, "probe").Body, "no-quorum")
		})
		for _, key := range []string{"before-no-quorum", "in-no-quorum"} {
			a := l.book(entry2, key)
			require.Equal(t, verdict.MayHaveRun, a.Verdict, a.Body)
			require.Contains(t, a.Body, "SAME key")
			require.NotEmpty(t, a.Header.Get("Retry-After"))
		}
		l.requireExecutions(0, "in-no-quorum")
		s.Control[0].Thaw()
		s.Control[1].Thaw()
		require.Equal(t, recorded.Body, l.awaitBooking("before-no-quorum").Body)
		l.awaitBooking("in-no-quorum")
	})
	t.Logf("%d requests: %+v", len(l.requests), l.checkVerdicts())
}

// awaitVoters waits until the cluster has a leader and n voters.
func (s *system) awaitVoters(n int) error {
	ctx, cancel := context.WithTimeout(s.ctx, conditionTimeout)
	defer cancel()
	return local.Await(ctx, func() bool { return s.Leader(ctx) != "" && s.VoterCount(ctx) == n })
}

const (
	bookingSeed        = 20260915
	bookingCallerCount = 12
	faultRounds        = 10
	// bookingsPerFault is the number of successful bookings that the test awaits after each
	// injected or removed fault.
	bookingsPerFault = 25
)

// bookingCallers are concurrent callers that resend each key until they know its outcome.
type bookingCallers struct {
	l    *requestLog
	stop chan struct{}
	wg   sync.WaitGroup
	// complete counts the keys with a successful response, unknown those that finally may have run.
	complete, unknown atomic.Int64
	// currentKeys has the number of the key that each caller is sending now.
	currentKeys [bookingCallerCount]atomic.Int64
}

// run sends one key after another until stop is closed, each until its outcome is known.
func (c *bookingCallers) run(caller int, r *rand.Rand) {
	defer c.wg.Done()
	for n := 0; ; n++ {
		c.currentKeys[caller].Store(int64(n))
		key := fmt.Sprintf("mix-%d-%d", caller, n)
		for ended := false; !ended; {
			select {
			case <-c.stop:
				return
			default:
			}
			ended = c.tryKey(key, r)
		}
	}
}

// tryKey sends a key to one or two entry hosts and reports whether its outcome is known.
func (c *bookingCallers) tryKey(key string, r *rand.Rand) bool {
	order := r.Perm(len(c.l.s.Entries))
	ctx, cancel := context.WithTimeout(c.l.s.ctx, 3*time.Second)
	defer cancel()
	if r.IntN(3) == 0 {
		c.wg.Go(func() {
			c.l.sendWithContext(ctx, c.l.s.Entries[order[1]].ListenAddress, local.BookingRequest(key, "rider of "+key))
			<-ctx.Done()
		})
	}
	a := c.l.sendWithContext(ctx, c.l.s.Entries[order[0]].ListenAddress, local.BookingRequest(key, "rider of "+key))
	switch {
	case a.Status == http.StatusCreated && a.Err == nil:
		c.complete.Add(1)
		return true
	case a.Verdict == verdict.MayHaveRun && strings.Contains(a.Body, `"conflict"`):
		c.unknown.Add(1)
		return true
	}
	return false
}

// Concurrent callers resend keys while hosts are killed and frozen and links cut, in an order that a
// seed determines. No key may run twice, and every verdict must agree with what the stand-ins ran.
func TestBookingsRunOnceDespiteRandomFaults(t *testing.T) {
	t.Parallel()
	l := startBookings(t, 2, "30ms")
	s := l.s
	r := rand.New(rand.NewPCG(bookingSeed, 0))
	callers := &bookingCallers{l: l, stop: make(chan struct{})}
	for i := range bookingCallerCount {
		callers.wg.Add(1)
		go callers.run(i, rand.New(rand.NewPCG(bookingSeed, uint64(i+1))))
	}
	awaitProgress := func() {
		from := callers.complete.Load()
		s.await("bookings", func() bool { return callers.complete.Load() >= from+bookingsPerFault })
	}
	awaitProgress()
	for range faultRounds {
		removeFault := callers.injectFault(r)
		awaitProgress()
		removeFault()
		awaitProgress()
	}
	callers.testCrashOfAllClaimHolders(r)
	close(callers.stop)
	callers.wg.Wait()
	counts := l.checkVerdicts()
	t.Logf("seed %d: %d keys complete, %d unknown; %d requests: %+v", bookingSeed, callers.complete.Load(), callers.unknown.Load(), len(l.requests), counts)
}

// testCrashOfAllClaimHolders kills an entry host and the service agents at once while bookings are
// in progress, so that no process is left that knows their outcomes. It then waits until every
// caller has a final outcome for the key that it was sending.
func (c *bookingCallers) testCrashOfAllClaimHolders(r *rand.Rand) {
	s := c.l.s
	h := s.Entries[r.IntN(len(s.Entries))]
	h.Kill()
	for _, a := range s.Agents[1:] {
		a.Kill()
	}
	var keysAtCrash [bookingCallerCount]int64
	for i := range keysAtCrash {
		keysAtCrash[i] = c.currentKeys[i].Load()
	}
	for _, a := range s.Agents[1:] {
		require.NoError(s.t, a.Start())
	}
	s.await("the ends of all keys", func() bool {
		for i := range keysAtCrash {
			if c.currentKeys[i].Load() == keysAtCrash[i] {
				return false
			}
		}
		return true
	})
	require.NoError(s.t, h.Start())
}

// injectFault injects one random fault and returns a function that removes it.
func (c *bookingCallers) injectFault(r *rand.Rand) (remove func()) {
	s := c.l.s
	pick := func(list []*local.Host) *local.Host { return list[r.IntN(len(list))] }
	restart := func(h *local.Host) func() {
		h.Kill()
		return func() { require.NoError(s.t, h.Start()) }
	}
	freeze := func(h *local.Host) func() {
		h.Freeze()
		return h.Thaw
	}
	switch r.IntN(8) {
	case 0:
		return restart(pick(s.Entries))
	case 1:
		return freeze(pick(s.Entries))
	case 2:
		return restart(pick(s.Agents[1:]))
	case 3:
		return freeze(pick(s.Agents[1:]))
	case 4:
		return restart(pick(s.Control))
	case 5:
		return freeze(pick(s.Control))
	case 6:
		h := pick(s.Agents[1:])
		s.Cut(h)
		return func() { s.Heal(h) }
	default:
		h := pick(s.Entries)
		s.FreezeLinks(h)
		return func() { s.Heal(h) }
	}
}
