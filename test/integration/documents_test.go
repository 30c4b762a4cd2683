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

// submitter submits one change after another, each with the last accepted revision as its base.
type submitter struct {
	s    *system
	stop chan struct{}
	wg   sync.WaitGroup
	// acceptedCount counts the accepted changes, triedCount all changes with a known outcome.
	acceptedCount, triedCount atomic.Int64
	// target is the control host that gets each change first. If it is nil, they take turns.
	target atomic.Pointer[local.Host]

	// hasUnexpected is set with the first change that was neither accepted nor refused as not run.
	hasUnexpected atomic.Bool

	// The fields below may be read after stopAndWait, or once hasUnexpected is set. accepted and
	// refused have change ids; resent counts changes that were accepted before a resend.
	accepted   []string
	revisions  []uint64
	refused    []string
	unexpected []string
	resent     int
}

// startSubmitter starts a submitter whose first change replaces the revision base.
func (s *system) startSubmitter(base uint64) *submitter {
	sub := &submitter{s: s, stop: make(chan struct{}), revisions: []uint64{base}}
	sub.wg.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-sub.stop:
				return
			default:
			}
			if sub.hasUnexpected.Load() {
				return
			}
			sub.submit(i)
		}
	})
	return sub
}

// submit submits change i and records its outcome.
func (sub *submitter) submit(i int) {
	c := change{base: sub.revisions[len(sub.revisions)-1], id: fmt.Sprintf("change-%05d", i)}
	c.text = local.Document(fmt.Sprintf("v%d", i+2))
	first := i
	if h := sub.target.Load(); h != nil {
		first = slices.Index(sub.s.Control, h)
	}
	r := sub.s.putUntilKnown(c, first)
	sub.triedCount.Add(1)
	switch {
	case r.isAccepted():
		sub.accepted = append(sub.accepted, c.id)
		sub.revisions = append(sub.revisions, r.revision)
		sub.acceptedCount.Add(1)
		if r.repeated {
			sub.resent++
		}
	case r.isNotRun() && (r.problem == nil || r.problem.StatusCode == http.StatusServiceUnavailable):
		sub.refused = append(sub.refused, c.id)
	default:
		sub.unexpected = append(sub.unexpected, c.id+": "+r.String())
		sub.hasUnexpected.Store(true)
	}
}

// awaitAccepted waits until n more changes are accepted.
func (sub *submitter) awaitAccepted(n int) {
	sub.s.t.Helper()
	want := sub.acceptedCount.Load() + int64(n)
	sub.s.await("more accepted changes", func() bool { return sub.acceptedCount.Load() >= want || sub.hasUnexpected.Load() })
	sub.requireNoneUnexpected()
}

// requireNoneUnexpected fails the test if a change had an outcome that is not allowed.
func (sub *submitter) requireNoneUnexpected() {
	sub.s.t.Helper()
	if sub.hasUnexpected.Load() {
		require.Empty(sub.s.t, sub.unexpected, "changes that were neither accepted nor refused as not run")
	}
}

// awaitTried waits until n more changes have a known outcome.
func (sub *submitter) awaitTried(n int) {
	sub.s.t.Helper()
	want := sub.triedCount.Load() + int64(n)
	sub.s.await("more tried changes", func() bool { return sub.triedCount.Load() >= want || sub.hasUnexpected.Load() })
	sub.requireNoneUnexpected()
}

func (sub *submitter) stopAndWait() {
	close(sub.stop)
	sub.wg.Wait()
}

// Every change that a submit reported as accepted is in the history at the end, in order, although
// leaders are killed meanwhile. No refused change is in it, and no host goes back to an older
// revision. Before every second kill the leader's links are frozen, so that it still takes changes
// but can't replicate them. The first time the frozen messages are lost; the second time they are
// delivered after the leader has been killed.
func TestAcceptedChangesSurviveLeaderCrashes(t *testing.T) {
	t.Parallel()
	s := startEmpty(t, local.Layout{Control: 3, Entries: 3, HasProxies: true})
	first := bootstrapWithDocument(t, s)
	observer := s.observeRevisions(s.Entries...)
	submitter := s.startSubmitter(first)
	rng := rand.New(rand.NewPCG(7, 11))
	for round := range 4 {
		submitter.awaitAccepted(3 + rng.IntN(30))
		leader := s.leader()
		if round%2 == 1 {
			submitter.target.Store(leader)
			submitter.awaitTried(1)
			s.FreezeLinks(leader)
			submitter.awaitTried(2)
			submitter.target.Store(nil)
		}
		leader.Kill()
		if round == 1 {
			s.Cut(leader)
		}
		s.Heal(leader)
		submitter.awaitAccepted(1 + rng.IntN(10))
		require.NoError(t, leader.Start())
	}
	submitter.awaitAccepted(10)
	submitter.stopAndWait()
	submitter.requireNoneUnexpected()
	t.Logf("%d changes accepted, %d of them known only after a resend, %d refused", len(submitter.accepted), submitter.resent, len(submitter.refused))
	latest := submitter.revisions[len(submitter.revisions)-1]
	s.awaitInForce(latest, s.Entries...)
	observer.requireNoRollback(t, submitter.revisions)
	for _, h := range s.Control {
		s.await("an answer of "+h.Name, func() bool { return s.acceptedRevision(h) == latest })
		require.Equal(t, append([]string{"change-first"}, submitter.accepted...), acceptedIDs(s.history(h, "local")), h.Name)
	}
}

// acceptedRevision returns the accepted revision as a control host reports it, zero if its read
// fails.
func (s *system) acceptedRevision(h *local.Host) uint64 {
	a, err := s.api(h).GetDocument(s.ctx, oas.GetDocumentParams{Name: "local"})
	if err != nil {
		return 0
	}
	return a.Response.Revision
}

// If operators concurrently submit changes with the same base, one is accepted, and the conflict
// that the others get names it. One change that is sent through several hosts concurrently is made
// once.
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

// putConcurrently sends n changes concurrently through different control hosts.
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

// withOtherCallerToken returns the document with another caller token in place of
// local.CallerToken.
func withOtherCallerToken(text string) string {
	before, _, _ := strings.Cut(text, "token-sha256 = ")
	return before + "token-sha256 = " + strings.Repeat("ab", 32) + "\n"
}

// testResendAfterTokenMoved checks that a resent change gets its recorded outcome even if its text
// would be refused by now: another document has since taken the token that it contains.
func (s *system) testResendAfterTokenMoved(base uint64) {
	s.t.Helper()
	c := change{base: base, id: "change-resent", text: local.Document("x1")}
	revision := s.mustPut(c)
	s.mustPut(change{base: revision, id: "change-gives-token", text: withOtherCallerToken(local.Document("x2"))})
	_, tokenHash, _ := strings.Cut(local.Document(""), "token-sha256")
	other := "[service]\nname = other\n\n[model \"scorer\"]\nversion = v1\n\n[workspace \"riders\"]\nshare = 1\ntoken-sha256" + tokenHash
	s.mustPut(change{name: "other", id: "change-takes-token", text: other})
	resent := s.put(s.Control[1], c)
	require.NoError(s.t, resent.err, "%s", resent)
	require.True(s.t, resent.repeated)
	require.Equal(s.t, revision, resent.revision)
	newChange := c
	newChange.id = "change-is-new"
	require.Equal(s.t, http.StatusUnprocessableEntity, s.put(s.Control[1], newChange).problem.StatusCode)
}

// An isolated or frozen leader must not accept a change. Entry hosts that watched it get new
// changes from other control hosts. When it is back, no host goes back to an older revision.
func TestIsolatedLeaderRevertsNoChange(t *testing.T) {
	for name, isolation := range map[string]struct {
		begin, end func(s *system, h *local.Host)
		// isAnswering tells whether operators still reach the host, isWatched whether entry
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
			observer := s.observeRevisions(s.Entries...)
			oldLeader := s.leader()
			others := slices.DeleteFunc(slices.Clone(s.Control), func(h *local.Host) bool { return h == oldLeader })
			accepted := []uint64{base}
			base = s.makeEntriesWatchOnly(oldLeader, others, base)
			accepted = append(accepted, base)
			isolation.begin(s, oldLeader)
			isolatedAt := time.Now()
			lost := change{base: base, id: "change-lost", text: local.Document("lost")}
			if isolation.isAnswering {
				r := s.put(oldLeader, lost)
				require.NotNil(t, r.problem, "%s", r)
				require.True(t, r.isNotRun(), "%s", r)
				require.Equal(t, http.StatusServiceUnavailable, r.problem.StatusCode)
				require.Positive(t, r.problem.RetryAfter.Or(0), "Retry-After is missing")
			}
			for i := range 5 {
				c := change{base: base, id: fmt.Sprintf("change-%05d", i), text: local.Document(fmt.Sprintf("v%d", i+2))}
				s.await("change "+c.id, func() bool {
					r := s.put(others[i%2], c)
					base = r.revision
					return r.isAccepted()
				})
				acceptedAt := time.Now()
				accepted = append(accepted, base)
				s.awaitInForce(base, s.Entries...)
				t.Logf("change %d in force everywhere %s after it was accepted, %s after the isolation",
					i, time.Since(acceptedAt).Round(time.Millisecond), time.Since(isolatedAt).Round(time.Millisecond))
				require.Less(t, time.Since(acceptedAt), 15*time.Second)
			}
			if isolation.isWatched {
				s.makeEntriesTryStaleHost(oldLeader, others)
			}
			isolation.end(s, oldLeader)
			s.await("the old leader's catching up", func() bool { return s.acceptedRevision(oldLeader) == base })
			last := s.mustPut(change{base: base, id: "change-after", text: local.Document("after")})
			s.awaitInForce(last, s.Entries...)
			observer.requireNoRollback(t, append(accepted, last))
			require.NotContains(t, acceptedIDs(s.history(oldLeader, "local")), lost.id)
		})
	}
}

// setControlLinks applies set to the proxies on the links between a control host and the other
// control hosts.
func (s *system) setControlLinks(h *local.Host, set func(*faultproxy.TCP)) {
	for _, other := range s.Control {
		if other != h {
			set(s.Link(h, other))
			set(s.Link(other, h))
		}
	}
}

// makeEntriesTryStaleHost cuts the links of every entry host to all control hosts but the stale
// one, until each has tried that one and logged that it is not current.
func (s *system) makeEntriesTryStaleHost(stale *local.Host, others []*local.Host) {
	s.t.Helper()
	rejections := func(e *local.Host) int {
		return strings.Count(e.Log(), `"control host is not current" host=`+e.Name+" host="+stale.Name)
	}
	for _, e := range s.Entries {
		before := rejections(e)
		for _, h := range others {
			s.Link(e, h).Cut()
		}
		defer func() {
			s.await(e.Name+" gives the stale host up", func() bool { return rejections(e) > before })
			for _, h := range others {
				s.Link(e, h).Heal()
			}
		}()
	}
}

// makeEntriesWatchOnly makes every entry host watch one control host: it cuts their links to the
// others until a new change, with the given base, has reached them. It returns the new revision.
func (s *system) makeEntriesWatchOnly(watched *local.Host, others []*local.Host, base uint64) uint64 {
	s.t.Helper()
	for _, h := range others {
		for _, e := range s.Entries {
			s.Link(e, h).Cut()
		}
	}
	base = s.mustPut(change{base: base, id: "change-watched", text: local.Document("watched")})
	s.awaitInForce(base, s.Entries...)
	for _, h := range others {
		for _, e := range s.Entries {
			s.Link(e, h).Heal()
		}
	}
	return base
}

// An entry host stores nothing on disk. If it restarts in an isolated data centre, it must take the
// document from the other entry hosts there, and not the older one of a control host that was
// frozen while the document changed.
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
	restartedAt := time.Now()
	s.await("readiness", func() bool { return local.IsReady(s.ctx, restarted) })
	t.Logf("ready %s after the restart", time.Since(restartedAt).Round(time.Millisecond))
	r, ok := s.revisionInForce(restarted)
	require.True(t, ok)
	require.Equal(t, newer, r)
	response := s.sendRequest(restarted, local.CompletionRequest("who am I", 1, false))
	require.Equal(t, http.StatusUnauthorized, response.Status, "the newer document binds another token: %s", response.Body)
	s.HealDataCentre("centre-b")
	last := s.mustPut(change{base: newer, id: "change-after", text: local.Document("v3")})
	s.awaitInForce(last, s.Entries...)
}

// A change is in force on every entry host within seconds. After a restart of one control host, and
// of all at once, snapshot and journal yield the same history as before.
func TestChangesReachAllHostsAndSurviveRestarts(t *testing.T) {
	t.Parallel()
	s := startEmpty(t, local.Layout{Control: 3, Entries: 2, DataCentres: []string{"centre-a", "centre-b", "centre-c"}})
	base := bootstrapWithDocument(t, s)
	observer := s.observeRevisions(s.Entries...)
	accepted := []uint64{base}
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range 50 {
		c := change{base: base, id: fmt.Sprintf("change-%05d", i), text: local.Document(fmt.Sprintf("v%d", i+2))}
		r := s.put(s.Control[i%3], c)
		acceptedAt := time.Now()
		require.True(t, r.isAccepted(), "%s", r)
		base = r.revision
		accepted = append(accepted, base)
		var reachedAt time.Time
		s.await("the change on all entry hosts", func() (ok bool) {
			reachedAt, ok = observer.reachedAllAt(base, len(s.Entries))
			return ok
		})
		require.NoError(t, latencies.RecordValue(max(1, reachedAt.Sub(acceptedAt).Microseconds())))
	}
	t.Logf("accepted to in force on %d entry hosts: p50 %dµs, p99 %dµs, max %dµs",
		len(s.Entries), latencies.ValueAtQuantile(50), latencies.ValueAtQuantile(99), latencies.Max())
	require.Less(t, latencies.Max(), int64(5*time.Second/time.Microsecond))

	startedAt := time.Now()
	for i := 50; i < 1050; i++ {
		c := change{base: base, id: fmt.Sprintf("change-%05d", i), text: local.Document(fmt.Sprintf("v%d", i+2))}
		base = s.mustPut(c)
		accepted = append(accepted, base)
	}
	t.Logf("1000 changes in %s", time.Since(startedAt).Round(time.Millisecond))
	want := s.history(s.Control[0], "local")
	require.Len(t, acceptedIDs(want), 1051)
	s.restartAndCompare(want, base, s.Control[1])
	s.restartAndCompare(want, base, s.Control...)
	s.awaitInForce(base, s.Entries...)
	observer.requireNoRollback(t, accepted)
}

// restartAndCompare kills control hosts, starts them again and compares their history with want.
func (s *system) restartAndCompare(want []oas.Change, revision uint64, hosts ...*local.Host) {
	s.t.Helper()
	for _, h := range hosts {
		h.Kill()
	}
	startedAt := time.Now()
	for _, h := range hosts {
		require.NoError(s.t, h.Start())
	}
	for _, h := range hosts {
		s.await(h.Name+" back", func() bool { return s.acceptedRevision(h) == revision })
	}
	s.t.Logf("%d control hosts back after %s", len(hosts), time.Since(startedAt).Round(time.Millisecond))
	for _, h := range hosts {
		require.Equal(s.t, want, s.history(h, "local"), h.Name)
	}
}
