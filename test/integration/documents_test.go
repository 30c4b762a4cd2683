package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/api/oas"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
	"github.com/sassafraspost/sassafraspost/test/local"
)

// submitter makes one change after the other, each over the one accepted before.
type submitter struct {
	s    *system
	stop chan struct{}
	wg   sync.WaitGroup
	// acceptedCount counts the accepted changes, tried all.
	acceptedCount, triedCount atomic.Int64
	// target is the control host to ask first; nil is each in turn.
	target atomic.Pointer[local.Host]

	hasUnexpected atomic.Bool

	// The rest is read after end, or once isWrong is set. accepted and refused have change ids.
	accepted   []string
	revisions  []uint64
	refused    []string
	unexpected []string
	resent     int
}

func (s *system) startSubmitter(base uint64) *submitter {
	w := &submitter{s: s, stop: make(chan struct{}), revisions: []uint64{base}}
	w.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-w.stop:
				return
			default:
			}
			if w.hasUnexpected.Load() {
				return
			}
			w.submit(i)
		}
	})
	return w
}

func (w *submitter) submit(i int) {
	c := change{base: w.revisions[len(w.revisions)-1], id: fmt.Sprintf("change-%05d", i)}
	c.text = local.Document(fmt.Sprintf("v%d", i+2))
	first := i
	if h := w.target.Load(); h != nil {
		first = slices.Index(w.s.Control, h)
	}
	r := w.s.putUntilKnown(c, first)
	w.triedCount.Add(1)
	switch {
	case r.isAccepted():
		w.accepted = append(w.accepted, c.id)
		w.revisions = append(w.revisions, r.revision)
		w.acceptedCount.Add(1)
		if r.repeated {
			w.resent++
		}
	case r.isNotRun() && (r.problem == nil || r.problem.StatusCode == http.StatusServiceUnavailable):
		w.refused = append(w.refused, c.id)
	default:
		w.unexpected = append(w.unexpected, c.id+": "+r.String())
		w.hasUnexpected.Store(true)
	}
}

// awaitAccepted waits for n changes more.
func (w *submitter) awaitAccepted(n int) {
	w.s.t.Helper()
	want := w.acceptedCount.Load() + int64(n)
	w.s.await("more accepted changes", func() bool { return w.acceptedCount.Load() >= want || w.hasUnexpected.Load() })
	w.requireNoneUnexpected()
}

func (w *submitter) requireNoneUnexpected() {
	w.s.t.Helper()
	if w.hasUnexpected.Load() {
		require.Empty(w.s.t, w.unexpected, "what came neither to be accepted nor to have not run")
	}
}

// awaitTried waits until n changes more have come to an outcome.
func (w *submitter) awaitTried(n int) {
	w.s.t.Helper()
	want := w.triedCount.Load() + int64(n)
	w.s.await("more tried changes", func() bool { return w.triedCount.Load() >= want || w.hasUnexpected.Load() })
	w.requireNoneUnexpected()
}

func (w *submitter) stopAndWait() {
	close(w.stop)
	w.wg.Wait()
}

// Every submit that was told accepted is there at the end, in its order, whichever
// leader is killed meanwhile; none that was refused is there; none reverts. Before
// every second kill the leader's links are frozen, so that it goes on taking changes
// by itself; what it has sent is lost the first time, and arrives after its end the
// second time.
func TestAcceptedChangesSurviveLeaderCrashes(t *testing.T) {
	t.Parallel()
	s := startEmpty(t, local.Layout{Control: 3, Entries: 3, HasProxies: true})
	first := bootstrapWithDocument(t, s)
	o := s.observeRevisions(s.Entries...)
	w := s.startSubmitter(first)
	rng := rand.New(rand.NewPCG(7, 11))
	for round := range 4 {
		w.awaitAccepted(3 + rng.IntN(30))
		l := s.leader()
		if round%2 == 1 {
			w.target.Store(l)
			w.awaitTried(1)
			s.FreezeLinks(l)
			w.awaitTried(2)
			w.target.Store(nil)
		}
		l.Kill()
		if round == 1 {
			s.Cut(l)
		}
		s.Heal(l)
		w.awaitAccepted(1 + rng.IntN(10))
		require.NoError(t, l.Start())
	}
	w.awaitAccepted(10)
	w.stopAndWait()
	w.requireNoneUnexpected()
	t.Logf("%d changes accepted, %d of them learnt by a resend, %d refused", len(w.accepted), w.resent, len(w.refused))
	latest := w.revisions[len(w.revisions)-1]
	s.awaitInForce(latest, s.Entries...)
	o.requireNoRollback(t, w.revisions)
	for _, h := range s.Control {
		s.await("an answer of "+h.Name, func() bool { return s.acceptedRevision(h) == latest })
		require.Equal(t, append([]string{"change-first"}, w.accepted...), acceptedIDs(s.history(h, "local")), h.Name)
	}
}

// acceptedRevision returns the revision that a control host knows to be accepted, zero where
// it can't tell.
func (s *system) acceptedRevision(h *local.Host) uint64 {
	a, err := s.api(h).GetDocument(s.ctx, oas.GetDocumentParams{Name: "local"})
	if err != nil {
		return 0
	}
	return a.Response.Revision
}

// Of operators that submit over one base at once, one wins, and the others are told
// who did. One change sent through several hosts at once is made once.
func TestOneOfSeveralConcurrentChangesIsAccepted(t *testing.T) {
	t.Parallel()
	s := startEmpty(t, local.Layout{Control: 3, Entries: 1})
	base := bootstrapWithDocument(t, s)
	for round := range 20 {
		results := s.putConcurrently(2+round%2, func(i int) change {
			return change{base: base, id: fmt.Sprintf("change-%d-by-%d", round, i), text: local.Document(fmt.Sprintf("v%d-%d", round, i))}
		})
		winner := slices.IndexFunc(results, putResult.isAccepted)
		require.GreaterOrEqual(t, winner, 0, "%v", results)
		base = results[winner].revision
		for i, r := range results {
			if i == winner {
				continue
			}
			require.NotNil(t, r.problem, "%d: %s", i, r)
			require.Equal(t, http.StatusConflict, r.problem.StatusCode)
			require.Equal(t, oas.ProblemVerdictNotRun, r.problem.Response.Verdict)
			want := oas.Conflict{Revision: base, Author: "platform", ChangeID: fmt.Sprintf("change-%d-by-%d", round, winner)}
			require.Equal(t, oas.NewOptConflict(want), r.problem.Response.Conflict)
		}
	}
	for round := range 10 {
		c := change{base: base, id: fmt.Sprintf("change-twice-%d", round), text: local.Document(fmt.Sprintf("w%d", round))}
		results := s.putConcurrently(3, func(int) change { return c })
		repeated := 0
		for _, r := range results {
			require.NoError(t, r.err, "%s", r)
			require.Equal(t, results[0].revision, r.revision)
			if r.repeated {
				repeated++
			}
		}
		require.Equal(t, 2, repeated)
		base = results[0].revision
	}
	s.await("the history", func() bool { return len(acceptedIDs(s.history(s.Control[0], "local"))) == 31 })
	s.testResendAfterTokenMoved(base)
}

// putConcurrently sends n changes at the same moment through different control hosts.
func (s *system) putConcurrently(n int, c func(i int) change) []putResult {
	results := make([]putResult, n)
	begin := make(chan struct{})
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			<-begin
			results[i] = s.put(s.Control[i%len(s.Control)], c(i))
		})
	}
	close(begin)
	wg.Wait()
	return results
}

// withOtherCallerToken makes the document bind another token than the local system's.
func withOtherCallerToken(text string) string {
	before, _, _ := strings.Cut(text, "token-sha256 = ")
	return before + "token-sha256 = " + strings.Repeat("ab", 32) + "\n"
}

// A resend gets its first outcome although its text would be refused by now.
func (s *system) testResendAfterTokenMoved(base uint64) {
	s.t.Helper()
	c := change{base: base, id: "change-resent", text: local.Document("x1")}
	revision := s.mustPut(c)
	s.mustPut(change{base: revision, id: "change-gives-token", text: withOtherCallerToken(local.Document("x2"))})
	_, binding, _ := strings.Cut(local.Document(""), "token-sha256")
	other := "[service]\nname = other\n\n[model \"scorer\"]\nversion = v1\n\n[workspace \"riders\"]\nshare = 1\ntoken-sha256" + binding
	s.mustPut(change{name: "other", id: "change-takes-token", text: other})
	again := s.put(s.Control[1], c)
	require.NoError(s.t, again.err, "%s", again)
	require.True(s.t, again.repeated)
	require.Equal(s.t, revision, again.revision)
	fresh := c
	fresh.id = "change-is-new"
	require.Equal(s.t, http.StatusUnprocessableEntity, s.put(s.Control[1], fresh).problem.StatusCode)
}

// A leader that is cut off, or frozen, accepts nothing meanwhile; the entry hosts
// that it served get new changes from other control hosts; back again, it reverts
// nobody.
func TestIsolatedLeaderRevertsNoChange(t *testing.T) {
	for name, isolation := range map[string]struct {
		begin, end func(s *system, h *local.Host)
		// isAnswering tells that operators reach the host, isWatched that the entry
		// hosts do.
		isAnswering, isWatched bool
	}{
		"links cut":    {func(s *system, h *local.Host) { s.Cut(h) }, func(s *system, h *local.Host) { s.Heal(h) }, true, false},
		"links frozen": {func(s *system, h *local.Host) { s.FreezeLinks(h) }, func(s *system, h *local.Host) { s.Heal(h) }, true, false},
		"cut from the control hosts": {func(s *system, h *local.Host) { s.setControlLinks(h, (*faultproxy.TCP).Cut) },
			func(s *system, h *local.Host) { s.setControlLinks(h, (*faultproxy.TCP).Heal) }, true, true},
		"stopped": {func(_ *system, h *local.Host) { h.Freeze() }, func(_ *system, h *local.Host) { h.Thaw() }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startEmpty(t, local.Layout{Control: 3, Entries: 3, HasProxies: true})
			base := bootstrapWithDocument(t, s)
			o := s.observeRevisions(s.Entries...)
			old := s.leader()
			rest := slices.DeleteFunc(slices.Clone(s.Control), func(h *local.Host) bool { return h == old })
			accepted := []uint64{base}
			base = s.makeEntriesWatchOnly(old, rest, base)
			accepted = append(accepted, base)
			isolation.begin(s, old)
			isolated := time.Now()
			lost := change{base: base, id: "change-lost", text: local.Document("lost")}
			if isolation.isAnswering {
				r := s.put(old, lost)
				require.NotNil(t, r.problem, "%s", r)
				require.True(t, r.isNotRun(), "%s", r)
				require.Equal(t, http.StatusServiceUnavailable, r.problem.StatusCode)
				require.Positive(t, r.problem.RetryAfter.Or(0), "when to come back")
			}
			for i := range 5 {
				c := change{base: base, id: fmt.Sprintf("change-%05d", i), text: local.Document(fmt.Sprintf("v%d", i+2))}
				s.await("change "+c.id, func() bool {
					r := s.put(rest[i%2], c)
					base = r.revision
					return r.isAccepted()
				})
				at := time.Now()
				accepted = append(accepted, base)
				s.awaitInForce(base, s.Entries...)
				t.Logf("change %d in force everywhere %s after it was accepted, %s after the isolation",
					i, time.Since(at).Round(time.Millisecond), time.Since(isolated).Round(time.Millisecond))
				require.Less(t, time.Since(at), 15*time.Second)
			}
			if isolation.isWatched {
				s.makeEntriesTryStaleHost(old, rest)
			}
			isolation.end(s, old)
			s.await("the old leader's catching up", func() bool { return s.acceptedRevision(old) == base })
			last := s.mustPut(change{base: base, id: "change-after", text: local.Document("after")})
			s.awaitInForce(last, s.Entries...)
			o.requireNoRollback(t, append(accepted, last))
			require.NotContains(t, acceptedIDs(s.history(old, "local")), lost.id)
		})
	}
}

// setControlLinks sets a fault on the links between a control host and the others.
func (s *system) setControlLinks(h *local.Host, set func(*faultproxy.TCP)) {
	for _, other := range s.Control {
		if other != h {
			set(s.Link(h, other))
			set(s.Link(other, h))
		}
	}
}

// makeEntriesTryStaleHost makes every entry host watch a control host that is not current, by
// cutting their links to the rest until each has given it up.
func (s *system) makeEntriesTryStaleHost(stale *local.Host, rest []*local.Host) {
	s.t.Helper()
	given := func(e *local.Host) int {
		return strings.Count(e.Log(), `"control host is not current" host=`+e.Name+" host="+stale.Name)
	}
	for _, e := range s.Entries {
		before := given(e)
		for _, h := range rest {
			s.Link(e, h).Cut()
		}
		defer func() {
			s.await(e.Name+" gives the stale host up", func() bool { return given(e) > before })
			for _, h := range rest {
				s.Link(e, h).Heal()
			}
		}()
	}
}

// makeEntriesWatchOnly makes every entry host watch one control host, by cutting their links to
// the rest until a change over base has come through the one.
func (s *system) makeEntriesWatchOnly(one *local.Host, rest []*local.Host, base uint64) uint64 {
	s.t.Helper()
	for _, h := range rest {
		for _, e := range s.Entries {
			s.Link(e, h).Cut()
		}
	}
	base = s.mustPut(change{base: base, id: "change-watched", text: local.Document("watched")})
	s.awaitInForce(base, s.Entries...)
	for _, h := range rest {
		for _, e := range s.Entries {
			s.Link(e, h).Heal()
		}
	}
	return base
}

// An entry host has no disk. Restarted in a data centre that reaches no current
// control host, it serves by what its mates know, not by what a control host that
// was frozen meanwhile still believes.
func TestRestartedEntryHostLearnsDocumentFromPeers(t *testing.T) {
	t.Parallel()
	s := startEmpty(t, local.Layout{Control: 3, Entries: 2, DataCentres: []string{"centre-a", "centre-b"}, HasProxies: true})
	base := bootstrapWithDocument(t, s)
	stale, restarted := s.Control[1], s.Entries[2]
	require.Equal(t, "centre-b", stale.DataCentre)
	require.Equal(t, "centre-b", restarted.DataCentre)
	stale.Freeze()
	var newer uint64
	s.await("a change without the frozen host", func() bool {
		r := s.put(s.Control[0], change{base: base, id: "change-newer", text: withOtherCallerToken(local.Document("v2"))})
		newer = r.revision
		return r.isAccepted()
	})
	s.awaitInForce(newer, s.Entries...)
	s.CutDataCentre("centre-b")
	restarted.Kill()
	stale.Thaw()
	require.NoError(t, restarted.Start())
	at := time.Now()
	s.await("readiness", func() bool { return local.IsReady(s.ctx, restarted) })
	t.Logf("ready %s after the restart", time.Since(at).Round(time.Millisecond))
	r, ok := s.revisionInForce(restarted)
	require.True(t, ok)
	require.Equal(t, newer, r)
	a := s.sendRequest(restarted, local.Completion("who am I", 1, false))
	require.Equal(t, http.StatusUnauthorized, a.Status, "the newer document binds another token: %s", a.Body)
	s.HealDataCentre("centre-b")
	last := s.mustPut(change{base: newer, id: "change-after", text: local.Document("v3")})
	s.awaitInForce(last, s.Entries...)
}

// Changes are in force on every entry host within seconds; a control host, and all
// of them, come back from snapshot and log with the same state.
func TestChangesReachAllHostsAndSurviveRestarts(t *testing.T) {
	t.Parallel()
	s := startEmpty(t, local.Layout{Control: 3, Entries: 2, DataCentres: []string{"centre-a", "centre-b", "centre-c"}})
	base := bootstrapWithDocument(t, s)
	o := s.observeRevisions(s.Entries...)
	accepted := []uint64{base}
	spread := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range 50 {
		c := change{base: base, id: fmt.Sprintf("change-%05d", i), text: local.Document(fmt.Sprintf("v%d", i+2))}
		r := s.put(s.Control[i%3], c)
		at := time.Now()
		require.True(t, r.isAccepted(), "%s", r)
		base = r.revision
		accepted = append(accepted, base)
		var all time.Time
		s.await("the change on all entry hosts", func() (ok bool) {
			all, ok = o.reachedAllAt(base, len(s.Entries))
			return ok
		})
		require.NoError(t, spread.RecordValue(max(1, all.Sub(at).Microseconds())))
	}
	t.Logf("accepted to in force on %d entry hosts: p50 %dµs, p99 %dµs, max %dµs",
		len(s.Entries), spread.ValueAtQuantile(50), spread.ValueAtQuantile(99), spread.Max())
	require.Less(t, spread.Max(), int64(5*time.Second/time.Microsecond))

	begun := time.Now()
	for i := 50; i < 1050; i++ {
		c := change{base: base, id: fmt.Sprintf("change-%05d", i), text: local.Document(fmt.Sprintf("v%d", i+2))}
		base = s.mustPut(c)
		accepted = append(accepted, base)
	}
	t.Logf("1000 changes in %s", time.Since(begun).Round(time.Millisecond))
	want := s.history(s.Control[0], "local")
	require.Len(t, acceptedIDs(want), 1051)
	s.restartAndCompare(want, base, s.Control[1])
	s.restartAndCompare(want, base, s.Control...)
	s.awaitInForce(base, s.Entries...)
	o.requireNoRollback(t, accepted)
}

// restartAndCompare kills control hosts, starts them, and compares their state.
func (s *system) restartAndCompare(want []oas.Change, revision uint64, hosts ...*local.Host) {
	s.t.Helper()
	for _, h := range hosts {
		h.Kill()
	}
	begun := time.Now()
	for _, h := range hosts {
		require.NoError(s.t, h.Start())
	}
	for _, h := range hosts {
		s.await(h.Name+" back", func() bool { return s.acceptedRevision(h) == revision })
	}
	s.t.Logf("%d control hosts back after %s", len(hosts), time.Since(begun).Round(time.Millisecond))
	for _, h := range hosts {
		require.Equal(s.t, want, s.history(h, "local"), h.Name)
	}
}
