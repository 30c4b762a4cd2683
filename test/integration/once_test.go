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

// startOnce runs a system whose bookings take some time, with a deadline short
// enough to be outlived by a frozen host.
func startOnce(t *testing.T, services int, delay string) *ledger {
	s := start(t, local.Layout{
		Control: 3, Entries: 3, Engines: 1, Services: services, HasProxies: true,
		ServiceArgs: []string{"--delay", delay},
	})
	out, err := s.Submit(s.ctx, strings.Replace(local.Document("v1"), "deadline = 20s", "deadline = 4s", 1))
	require.NoError(t, err, out)
	require.NoError(t, s.AwaitInForce(s.ctx))
	l := &ledger{s: s}
	l.awaitBooking("warm-up")
	return l
}

// service is the agent of the only service.
func (l *ledger) service() *local.Host { return l.s.Agents[1] }

// run runs a subtest, whose failures end it alone, once bookings go through the first
// entry host again.
func (l *ledger) run(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) {
		l.s.t = t
		l.s.await("bookings before "+name, func() bool {
			return l.book(l.s.Entries[0], fmt.Sprint("before-", len(l.sendings))).Status == http.StatusCreated
		})
		test(t)
	})
	l.s.t = t
}

// book sends one booking.
func (l *ledger) book(e *local.Host, key string) local.Answer {
	return l.send(e.Listen, local.Booking(key, "rider of "+key))
}

// later sends one booking and gives the answer when it comes.
func (l *ledger) later(address, key string) <-chan local.Answer {
	out := make(chan local.Answer, 1)
	go func() { out <- l.send(address, local.Booking(key, "rider of "+key)) }()
	return out
}

// awaitBooking resends a key through all entry hosts in turn until its answer comes.
func (l *ledger) awaitBooking(key string) local.Answer {
	l.s.t.Helper()
	var a local.Answer
	n := 0
	l.s.await("a booking for "+key, func() bool {
		e := l.s.Entries[n%len(l.s.Entries)]
		n++
		a = l.book(e, key)
		return a.Status == http.StatusCreated
	})
	return a
}

// awaitUnknown resends a key until it is told that the call may have run for good.
func (l *ledger) awaitUnknown(e *local.Host, key string) {
	l.s.t.Helper()
	l.s.await("the end of the claim of "+key, func() bool {
		a := l.book(e, key)
		return a.Verdict == verdict.MayHaveRun && strings.Contains(a.Body, `"conflict"`)
	})
}

// awaitEnd resends a key until its end is known: its recorded answer, or that the call
// may have run for good.
func (l *ledger) awaitEnd(e *local.Host, key string) {
	l.s.t.Helper()
	l.s.await("the end of "+key, func() bool {
		a := l.book(e, key)
		require.NotEqual(l.s.t, verdict.NotRun, a.Verdict, a.Body)
		return isReplay(a) || strings.Contains(a.Body, `"conflict"`)
	})
}

func isReplay(a local.Answer) bool {
	return a.Status == http.StatusCreated && a.Header.Get("Idempotency-Replayed") == "true"
}

func (l *ledger) awaitBegun(key string) {
	l.s.t.Helper()
	l.s.await("the execution of "+key, func() bool { return l.s.executed().ByKey[key].Begun > 0 })
}

func (l *ledger) requireBegun(times int, key string) {
	l.s.t.Helper()
	require.Equal(l.s.t, times, l.s.executed().ByKey[key].Begun, "executions of %s", key)
}

// restart starts a process that was killed and waits until bookings go through it.
func (l *ledger) restart(h *local.Host) {
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

// A key runs at most once, whatever is killed, cut or frozen around the entry host
// and the agent, and a resend through another entry host says so.
func TestBookingRunsOnceThroughFaultsOfTheDataPath(t *testing.T) {
	t.Parallel()
	l := startOnce(t, 1, "300ms")
	s := l.s
	one, two, three := s.Entries[0], s.Entries[1], s.Entries[2]

	l.run(t, "one key through all entry hosts at once", func(t *testing.T) {
		var answers []<-chan local.Answer
		for i := range 12 {
			answers = append(answers, l.later(s.Entries[i%3].Listen, "at-once"))
		}
		created := 0
		for _, c := range answers {
			a := <-c
			if a.Status == http.StatusCreated && a.Header.Get("Idempotency-Replayed") == "" {
				created++
			}
		}
		require.Equal(t, 1, created)
		l.requireBegun(1, "at-once")
	})
	l.run(t, "the same key with another body", func(t *testing.T) {
		a := l.send(two.Listen, local.Booking("at-once", "somebody else"))
		require.Equal(t, http.StatusUnprocessableEntity, a.Status)
		require.Equal(t, verdict.NotRun, a.Verdict)
	})
	l.run(t, "the caller's connection is cut before the answer", func(t *testing.T) {
		p, err := faultproxy.NewTCP(one.Listen)
		require.NoError(t, err)
		defer p.Close()
		first := l.later(p.Address(), "lost-answer")
		l.awaitBegun("lost-answer")
		p.Cut()
		require.Error(t, (<-first).Err)
		require.Contains(t, l.awaitBooking("lost-answer").Body, "lost-answer")
		l.requireBegun(1, "lost-answer")
	})
	l.run(t, "the link between agent and entry host is cut before the answer", func(t *testing.T) {
		first := l.later(one.Listen, "cut-link")
		l.awaitBegun("cut-link")
		s.Cut(l.service())
		require.Equal(t, verdict.MayHaveRun, (<-first).Verdict)
		s.Heal(l.service())
		l.awaitEnd(two, "cut-link")
		l.requireBegun(1, "cut-link")
		l.awaitBooking("after-cut-link")
	})
	l.run(t, "the agent is killed and starts again", func(t *testing.T) {
		first := l.later(one.Listen, "agent-killed")
		l.awaitBegun("agent-killed")
		l.service().Kill()
		require.Equal(t, verdict.MayHaveRun, (<-first).Verdict)
		require.NoError(t, l.service().Start())
		l.awaitBooking("after-agent-killed")
		a := l.book(two, "agent-killed")
		require.Equal(t, verdict.MayHaveRun, a.Verdict, a.Body)
		l.requireBegun(1, "agent-killed")
	})
	l.run(t, "the entry host is killed while its dispatch is on the way", func(t *testing.T) {
		granted := s.counter(one, "entry_claims_granted")
		l.service().Freeze()
		first := l.later(one.Listen, "killed-on-the-way")
		s.await("the claim", func() bool { return s.counter(one, "entry_claims_granted") > granted })
		one.Kill()
		require.Error(t, (<-first).Err)
		a := l.book(two, "killed-on-the-way")
		require.Equal(t, verdict.MayHaveRun, a.Verdict, a.Body)
		l.service().Thaw()
		l.awaitEnd(three, "killed-on-the-way")
		l.restart(one)
	})
	l.run(t, "the entry host is killed after the dispatch", func(t *testing.T) {
		first := l.later(one.Listen, "killed-after-dispatch")
		l.awaitBegun("killed-after-dispatch")
		one.Kill()
		require.Error(t, (<-first).Err)
		a := l.book(two, "killed-after-dispatch")
		require.Equal(t, verdict.MayHaveRun, a.Verdict, a.Body)
		l.requireBegun(1, "killed-after-dispatch")
		l.restart(one)
	})
	l.run(t, "the entry host is killed after the answer", func(t *testing.T) {
		first := l.book(one, "killed-after-answer")
		require.Equal(t, http.StatusCreated, first.Status, first.Body)
		one.Kill()
		again := l.book(two, "killed-after-answer")
		require.Equal(t, first.Body, again.Body)
		l.requireBegun(1, "killed-after-answer")
		l.restart(one)
	})
	l.run(t, "the entry host is frozen between claim and dispatch and wakes late", func(t *testing.T) {
		// The agent answers no new session: the dispatch can't leave.
		granted := s.counter(one, "entry_claims_granted")
		l.service().Freeze()
		s.Cut(l.service())
		s.Heal(l.service())
		first := l.later(one.Listen, "woke-late")
		s.await("the claim", func() bool { return s.counter(one, "entry_claims_granted") > granted })
		one.Freeze()
		a := l.book(two, "woke-late")
		require.Contains(t, a.Body, "in-progress", "its time is not over")
		l.awaitUnknown(two, "woke-late")
		l.service().Thaw()
		one.Thaw()
		<-first
		l.awaitBooking("after-woke-late")
		require.LessOrEqual(t, s.executed().ByKey["woke-late"].Begun, 1)
	})
	t.Logf("%d sendings: %+v", len(l.sendings), l.judge())
}

// A key runs at most once, and is not lost to its caller, whatever happens to the
// leader of the control hosts.
func TestBookingRunsOnceThroughFaultsOfTheLeader(t *testing.T) {
	t.Parallel()
	l := startOnce(t, 1, "100ms")
	s := l.s
	one, two := s.Entries[0], s.Entries[1]

	l.run(t, "the leader is killed between the claim and its reply", func(t *testing.T) {
		leader := s.leader()
		s.Link(one, leader).SetFault(faultproxy.Backward, faultproxy.Fault{Frozen: true})
		first := l.book(one, "reply-lost")
		require.Equal(t, verdict.MayHaveRun, first.Verdict)
		require.Contains(t, first.Body, "SAME key")
		require.NotEmpty(t, first.Header.Get("Retry-After"))
		leader.Kill()
		s.Link(one, leader).Heal()
		l.awaitBooking("reply-lost")
		l.requireBegun(1, "reply-lost")
		require.NoError(t, leader.Start())
		require.NoError(t, s.awaitVoters(3))
	})
	l.run(t, "the leader is killed before the outcome is recorded", func(t *testing.T) {
		leader := s.leader()
		first := l.later(one.Listen, "outcome-lost")
		l.awaitBegun("outcome-lost")
		leader.Kill()
		require.Equal(t, http.StatusCreated, (<-first).Status)
		require.Equal(t, (l.awaitBooking("outcome-lost")).Header.Get("Idempotency-Replayed"), "true")
		l.requireBegun(1, "outcome-lost")
		require.NoError(t, leader.Start())
		require.NoError(t, s.awaitVoters(3))
	})
	l.run(t, "the leader is frozen and wakes later", func(t *testing.T) {
		leader := s.leader()
		leader.Freeze()
		first := l.later(one.Listen, "frozen-leader")
		l.awaitBooking("frozen-leader")
		leader.Thaw()
		<-first
		s.await("a leader", func() bool { return s.Leader(s.ctx) != "" })
		again := l.awaitBooking("frozen-leader")
		require.Equal(t, "true", again.Header.Get("Idempotency-Replayed"))
		l.requireBegun(1, "frozen-leader")
	})
	l.run(t, "no quorum: the key stays open, and nothing runs", func(t *testing.T) {
		ran := l.awaitBooking("before-no-quorum")
		s.Control[0].Freeze()
		s.Control[1].Freeze()
		s.await("the loss of the quorum", func() bool {
			return strings.Contains(l.book(two, "probe").Body, "no-quorum")
		})
		for _, key := range []string{"before-no-quorum", "in-no-quorum"} {
			a := l.book(two, key)
			require.Equal(t, verdict.MayHaveRun, a.Verdict, a.Body)
			require.Contains(t, a.Body, "SAME key")
			require.NotEmpty(t, a.Header.Get("Retry-After"))
		}
		l.requireBegun(0, "in-no-quorum")
		s.Control[0].Thaw()
		s.Control[1].Thaw()
		require.Equal(t, ran.Body, l.awaitBooking("before-no-quorum").Body)
		l.awaitBooking("in-no-quorum")
	})
	t.Logf("%d sendings: %+v", len(l.sendings), l.judge())
}

func (s *system) awaitVoters(n int) error {
	ctx, cancel := context.WithTimeout(s.ctx, patience)
	defer cancel()
	return local.Await(ctx, func() bool { return s.Leader(ctx) != "" && s.Voters(ctx) == n })
}

const (
	mixSeed    = 20260915
	mixCallers = 12
	mixRounds  = 10
	// mixProgress is how many bookings come whole between two faults.
	mixProgress = 25
)

// mix is a crowd of callers that resend each key until they know its end.
type mix struct {
	l    *ledger
	stop chan struct{}
	wg   sync.WaitGroup
	// whole counts the keys whose answer came, unknown those that may have run.
	whole, unknown atomic.Int64
	// keys is the number of the key that each caller asks for.
	keys [mixCallers]atomic.Int64
}

func (m *mix) run(caller int, r *rand.Rand) {
	defer m.wg.Done()
	for n := 0; ; n++ {
		m.keys[caller].Store(int64(n))
		key := fmt.Sprintf("mix-%d-%d", caller, n)
		for ended := false; !ended; {
			select {
			case <-m.stop:
				return
			default:
			}
			ended = m.tryKey(key, r)
		}
	}
}

// tryKey sends a key to one or two entry hosts and reports whether its end is known.
func (m *mix) tryKey(key string, r *rand.Rand) bool {
	order := r.Perm(len(m.l.s.Entries))
	ctx, cancel := context.WithTimeout(m.l.s.ctx, 3*time.Second)
	defer cancel()
	if r.IntN(3) == 0 {
		m.wg.Go(func() {
			m.l.sendIn(ctx, m.l.s.Entries[order[1]].Listen, local.Booking(key, "rider of "+key))
			<-ctx.Done()
		})
	}
	a := m.l.sendIn(ctx, m.l.s.Entries[order[0]].Listen, local.Booking(key, "rider of "+key))
	switch {
	case a.Status == http.StatusCreated && a.Err == nil:
		m.whole.Add(1)
		return true
	case a.Verdict == verdict.MayHaveRun && strings.Contains(a.Body, `"conflict"`):
		m.unknown.Add(1)
		return true
	}
	return false
}

// Callers, kills, freezes and cuts in a seeded order: no key runs twice, and every
// verdict is true.
func TestBookingsRunOnceThroughARandomMix(t *testing.T) {
	t.Parallel()
	l := startOnce(t, 2, "30ms")
	s := l.s
	r := rand.New(rand.NewPCG(mixSeed, 0))
	m := &mix{l: l, stop: make(chan struct{})}
	for i := range mixCallers {
		m.wg.Add(1)
		go m.run(i, rand.New(rand.NewPCG(mixSeed, uint64(i+1))))
	}
	progress := func() {
		from := m.whole.Load()
		s.await("bookings", func() bool { return m.whole.Load() >= from+mixProgress })
	}
	progress()
	for range mixRounds {
		lift := m.fault(r)
		progress()
		lift()
		progress()
	}
	m.outliveClaims(r)
	close(m.stop)
	m.wg.Wait()
	count := l.judge()
	t.Logf("seed %d: %d keys whole, %d unknown; %d sendings: %+v", mixSeed, m.whole.Load(), m.unknown.Load(), len(l.sendings), count)
}

// outliveClaims kills an entry host and the agents at once, with bookings on their way,
// so that nobody is left who knows their ends, and goes on until each caller has
// learnt the end of the key that it had then.
func (m *mix) outliveClaims(r *rand.Rand) {
	s := m.l.s
	h := s.Entries[r.IntN(len(s.Entries))]
	h.Kill()
	for _, a := range s.Agents[1:] {
		a.Kill()
	}
	var keys [mixCallers]int64
	for i := range keys {
		keys[i] = m.keys[i].Load()
	}
	for _, a := range s.Agents[1:] {
		require.NoError(s.t, a.Start())
	}
	s.await("the ends of all keys", func() bool {
		for i := range keys {
			if m.keys[i].Load() == keys[i] {
				return false
			}
		}
		return true
	})
	require.NoError(s.t, h.Start())
}

// fault puts one fault on the system and returns what lifts it.
func (m *mix) fault(r *rand.Rand) (lift func()) {
	s := m.l.s
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
