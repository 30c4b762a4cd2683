package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

func newTestRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func readyCandidate(name string) Candidate {
	return Candidate{Upstream: wire.Upstream{Name: name, Pool: "p", State: wire.UpstreamReady, Load: wire.Load{Capacity: 8}}}
}

func modifiedCandidate(name string, change func(*Candidate)) Candidate {
	c := readyCandidate(name)
	change(&c)
	return c
}

func TestFilters(t *testing.T) {
	other := modifiedCandidate("other", func(c *Candidate) { c.Upstream.Pool = "q" })
	draining := modifiedCandidate("draining", func(c *Candidate) { c.Upstream.State = wire.UpstreamDraining })
	starting := modifiedCandidate("starting", func(c *Candidate) { c.Upstream.State = wire.UpstreamStarting })
	suspect := modifiedCandidate("suspect", func(c *Candidate) { c.Suspect = true })
	failing := modifiedCandidate("failing", func(c *Candidate) { c.Failing = true })
	newer := modifiedCandidate("newer", func(c *Candidate) { c.Upstream.Version = "v2" })
	evacuated := modifiedCandidate("evacuated", func(c *Candidate) { c.Evacuated = true })
	good := readyCandidate("good")
	cases := []struct {
		name       string
		request    Request
		candidates []Candidate
		want       []string
	}{
		{"another pool", Request{}, []Candidate{other, good}, []string{"good"}},
		{"draining", Request{}, []Candidate{draining, good}, []string{"good"}},
		{"only one that is draining", Request{}, []Candidate{draining}, nil},
		{"evacuated", Request{}, []Candidate{evacuated, suspect}, []string{"suspect"}},
		{"only one that is evacuated", Request{}, []Candidate{evacuated}, nil},
		{"only one that is starting", Request{}, []Candidate{starting}, nil},
		{"only one of another pool", Request{}, []Candidate{other}, nil},
		{"tried", Request{Tried: []string{"good"}}, []Candidate{good, suspect}, []string{"suspect"}},
		{"all tried", Request{Tried: []string{"good"}}, []Candidate{good}, nil},
		{"suspect", Request{}, []Candidate{suspect, good}, []string{"good"}},
		{"only a suspect", Request{}, []Candidate{suspect, draining}, []string{"suspect"}},
		{"failing", Request{}, []Candidate{failing, good}, []string{"good"}},
		{"all failing", Request{}, []Candidate{failing, suspect}, []string{"failing", "suspect"}},
		{"version", Request{Version: "v2"}, []Candidate{good, newer}, []string{"newer"}},
		{"no one has the version", Request{Version: "v3"}, []Candidate{good, newer}, []string{"good", "newer"}},
		{"none", Request{}, nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.request.Pool = "p"
			rng := newTestRand()
			var got []string
			for range 100 {
				i, err := DefaultPolicy().Choose(&c.request, c.candidates, rng)
				if c.want == nil {
					require.ErrorIs(t, err, ErrNoUpstream)
					continue
				}
				require.NoError(t, err)
				got = append(got, c.candidates[i].Upstream.Name)
			}
			slices.Sort(got)
			require.Equal(t, c.want, slices.Compact(got))
		})
	}
}

func TestCheaperUpstreamHasTheLowerCost(t *testing.T) {
	cases := []struct {
		name          string
		cheap, costly Candidate
	}{
		{"own in flight", readyCandidate("a"), modifiedCandidate("b", func(c *Candidate) { c.InFlight = 1 })},
		{"others", readyCandidate("a"), modifiedCandidate("b", func(c *Candidate) { c.OtherHostsLoad = 1 })},
		{"an old report says less", modifiedCandidate("a", func(c *Candidate) { c.OtherHostsLoad, c.ReportAge = 4, 4*time.Second }), modifiedCandidate("b", func(c *Candidate) { c.OtherHostsLoad = 4 })},
		{"a small upstream", modifiedCandidate("a", func(c *Candidate) { c.InFlight, c.Upstream.Load.Capacity = 8, 64 }), modifiedCandidate("b", func(c *Candidate) { c.InFlight = 7 })},
		{"cache", modifiedCandidate("a", func(c *Candidate) { c.CachedFraction = 1 }), modifiedCandidate("b", func(c *Candidate) { c.CachedFraction = 0.5 })},
		{"cache before a little load", modifiedCandidate("a", func(c *Candidate) { c.CachedFraction, c.InFlight = 1, 4 }), readyCandidate("b")},
		{"a free upstream before a queue at the cache", readyCandidate("a"), modifiedCandidate("b", func(c *Candidate) { c.CachedFraction, c.InFlight = 1, 9 })},
	}
	p := DefaultPolicy()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Less(t, p.cost(&Request{}, &c.cheap), p.cost(&Request{}, &c.costly))
		})
	}
}

func TestUpstreamWithTheLongestCachedPrefixIsAlwaysACandidate(t *testing.T) {
	var list []Candidate
	for i := range 100 {
		list = append(list, readyCandidate(fmt.Sprint(i)))
	}
	list[77].CachedFraction = 0.9
	rng := newTestRand()
	for range 100 {
		i, err := DefaultPolicy().Choose(&Request{Pool: "p"}, list, rng)
		require.NoError(t, err)
		require.Equal(t, 77, i)
	}
}

// TestChoiceSpreadsOverEqualUpstreams fails if hosts with the same load reports all choose
// the same upstream, which would overload it.
func TestChoiceSpreadsOverEqualUpstreams(t *testing.T) {
	var list []Candidate
	for i := range 20 {
		list = append(list, readyCandidate(fmt.Sprint(i)))
		list[i].OtherHostsLoad = i
	}
	rng := newTestRand()
	counts := make([]int, 20)
	for range 1000 {
		i, err := DefaultPolicy().Choose(&Request{Pool: "p"}, list, rng)
		require.NoError(t, err)
		counts[i]++
	}
	require.Less(t, slices.Max(counts), 300)
}

// TestLeavingOrTriedUpstreamIsNeverPicked chooses among arbitrary candidates. A candidate that
// a hard filter excludes must never be chosen, and any other candidate rules out an error.
func TestLeavingOrTriedUpstreamIsNeverPicked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Candidate
		var tried []string
		for i := range rapid.IntRange(0, 12).Draw(t, "n") {
			c := readyCandidate(fmt.Sprint(i))
			c.Upstream.State = wire.UpstreamState(rapid.IntRange(0, 2).Draw(t, "state"))
			c.Upstream.Pool = rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool")
			c.Suspect = rapid.Bool().Draw(t, "suspect")
			c.Failing = rapid.Bool().Draw(t, "failing")
			c.InFlight = rapid.IntRange(0, 30).Draw(t, "in flight")
			c.OtherHostsLoad = rapid.IntRange(0, 30).Draw(t, "others")
			c.CachedFraction = rapid.Float64Range(0, 1).Draw(t, "cached")
			if rapid.Bool().Draw(t, "tried") {
				tried = append(tried, c.Upstream.Name)
			}
			list = append(list, c)
		}
		isSuitable := func(c *Candidate) bool {
			return c.Upstream.State == wire.UpstreamReady && c.Upstream.Pool == "p" && !slices.Contains(tried, c.Upstream.Name)
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		i, err := DefaultPolicy().Choose(&Request{Pool: "p", Tried: tried}, list, rng)
		if err == nil {
			require.True(t, isSuitable(&list[i]))
			return
		}
		for i := range list {
			require.False(t, isSuitable(&list[i]), "no upstream was chosen although one is suitable")
		}
	})
}

type routerFixture struct {
	*Router
	now     time.Duration
	entries []directory.Entry
}

func newRouterFixture(names ...string) *routerFixture {
	f := &routerFixture{now: time.Minute}
	for _, name := range names {
		f.entries = append(f.entries, directory.Entry{Upstream: readyCandidate(name).Upstream, LoadAt: f.now})
	}
	f.Router = NewRouter(Config{
		Policy:           DefaultPolicy(),
		Entries:          func() []directory.Entry { return f.entries },
		Now:              func() time.Duration { return f.now },
		Rand:             newTestRand(),
		PrefixIndexLimit: 100,
	})
	return f
}

// candidateAt returns the router's current view of the i-th upstream.
func (f *routerFixture) candidateAt(i int) Candidate {
	return f.newCandidate(&f.entries[i], &Request{Pool: "p"}, f.now)
}

func TestOwnRequestsAreSubtractedFromALoadReport(t *testing.T) {
	f := newRouterFixture("a")
	var done []func(Outcome)
	for range 5 {
		choice, err := f.Pick(&Request{Pool: "p"})
		d := choice.Done
		require.NoError(t, err)
		done = append(done, d)
	}
	f.now += 2 * time.Second
	f.entries[0].Upstream.Load.Running = 9 // reported one second ago, when five were this host's
	f.entries[0].Upstream.Load.AgeMS = 1000
	f.entries[0].LoadAt = f.now
	for _, d := range done[:3] {
		d(Outcome{})
		d(Outcome{})
	}
	got := f.candidateAt(0)
	require.Equal(t, 2, got.InFlight, "own requests in flight now")
	require.Equal(t, 4, got.OtherHostsLoad)
	require.Equal(t, time.Second, got.ReportAge)
	f.now += time.Hour
	require.Equal(t, 4, f.candidateAt(0).OtherHostsLoad, "own requests are counted as of the time of the report")
}

func TestInFlightSamplesAreBounded(t *testing.T) {
	f := newRouterFixture("a")
	for range 3 * maxSamples {
		f.now += time.Millisecond
		choice, err := f.Pick(&Request{Pool: "p"})
		done := choice.Done
		require.NoError(t, err)
		done(Outcome{})
	}
	require.Zero(t, f.candidateAt(0).InFlight)
	require.Zero(t, f.candidateAt(0).OtherHostsLoad)
	require.LessOrEqual(t, len(f.stats["a"].samples), maxSamples)
}

func TestFailedUpstreamIsAvoidedDuringItsCooldown(t *testing.T) {
	f := newRouterFixture("a", "b")
	for {
		choice, err := f.Pick(&Request{Pool: "p"})
		up, done := choice.Upstream, choice.Done
		require.NoError(t, err)
		if up.Name == "a" {
			done(Outcome{HasFailed: true})
			break
		}
		done(Outcome{})
	}
	for range 50 {
		choice, err := f.Pick(&Request{Pool: "p"})
		up, done := choice.Upstream, choice.Done
		require.NoError(t, err)
		require.Equal(t, "b", up.Name)
		done(Outcome{})
	}
	f.now += failureCooldown
	require.False(t, f.candidateAt(0).Failing)
}

// A host that stood still loses its sessions, so attempts fail at all upstreams, and the callers that
// have gone meanwhile cancel others. A cancelled attempt proves nothing. When it cleared the failure
// of one upstream and not of the other, the host sent all its requests to the first, up to its
// capacity, and callers of other hosts waited there while the second was idle.
func TestCancelledAttemptClearsNoFailure(t *testing.T) {
	f := newRouterFixture("a", "b")
	var ends []func(Outcome)
	seen := map[string]int{}
	for seen["a"] < 2 || seen["b"] < 2 {
		choice, err := f.Pick(&Request{Pool: "p"})
		up, done := choice.Upstream, choice.Done
		require.NoError(t, err)
		if seen[up.Name]++; seen[up.Name] == 1 {
			done(Outcome{HasFailed: true})
			continue
		}
		ends = append(ends, done)
	}
	for _, done := range ends {
		done(Outcome{IsNeutral: true})
	}
	require.True(t, f.candidateAt(0).Failing)
	require.True(t, f.candidateAt(1).Failing)
	seen = map[string]int{}
	for range 64 {
		choice, err := f.Pick(&Request{Pool: "p"})
		up := choice.Upstream
		require.NoError(t, err)
		seen[up.Name]++
	}
	require.Positive(t, seen["a"])
	require.Positive(t, seen["b"])
}

func TestAgentRestartResetsTheUpstreamStats(t *testing.T) {
	f := newRouterFixture("a")
	prefixes := []uint64{1, 2}
	_, err := f.Pick(&Request{Pool: "p", Prefixes: prefixes})
	require.NoError(t, err)
	require.InDelta(t, 1, f.prefixes.CachedFraction("a", prefixes), 0)
	f.entries[0].Upstream.Incarnation++
	require.Zero(t, f.candidateAt(0).InFlight)
	require.Zero(t, f.prefixes.CachedFraction("a", prefixes))
}

func TestStatsOfRemovedUpstreamsArePruned(t *testing.T) {
	f := newRouterFixture("a", "b")
	f.candidateAt(0)
	f.entries = f.entries[1:]
	for range pruneInterval {
		choice, err := f.Pick(&Request{Pool: "p"})
		done := choice.Done
		require.NoError(t, err)
		done(Outcome{})
	}
	require.Len(t, f.stats, 1)
}

// TestPrefixIndexIgnoresOutOfOrderCacheEvents delivers cache events in any order and with
// gaps. An event that arrives after a newer one must not change what the index says.
func TestPrefixIndexIgnoresOutOfOrderCacheEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewPrefixIndex(1000)
		expected := make(map[uint64]bool)
		lastSeq := uint64(0)
		for range rapid.IntRange(0, 60).Draw(t, "events") {
			e := wire.CacheEvent{
				Seq:    rapid.Uint64Range(1, 80).Draw(t, "seq"),
				Prefix: rapid.Uint64Range(0, 5).Draw(t, "prefix"),
				Stored: rapid.Bool().Draw(t, "stored"),
			}
			h.ApplyEvent("a", e)
			if e.Seq > lastSeq {
				lastSeq = e.Seq
				expected[e.Prefix] = e.Stored
			}
			if rapid.Bool().Draw(t, "sent") {
				p := rapid.Uint64Range(0, 5).Draw(t, "prefix sent")
				h.RecordSent("a", []uint64{p})
				expected[p] = true
			}
			for p := range uint64(6) {
				want := 0.0
				if expected[p] {
					want = 1
				}
				require.InDelta(t, want, h.CachedFraction("a", []uint64{p}), 0)
				require.Zero(t, h.CachedFraction("b", []uint64{p}), "another upstream")
			}
		}
		h.Forget("a")
		for p := range uint64(6) {
			require.Zero(t, h.CachedFraction("a", []uint64{p}))
		}
	})
}

func TestPrefixIndexCountsLeadingBlocksAndEvictsTheLeastRecentlyUsed(t *testing.T) {
	h := NewPrefixIndex(3)
	h.RecordSent("a", []uint64{1, 2, 3})
	require.InDelta(t, 0.5, h.CachedFraction("a", []uint64{1, 2, 9, 3}), 0)
	h.RecordSent("a", []uint64{1, 4})
	require.Equal(t, 3, h.lru.Len())
	require.Len(t, h.byHash, 3)
	require.Zero(t, h.CachedFraction("a", []uint64{2}), "the least recently used prefix is evicted")
	require.InDelta(t, 1, h.CachedFraction("a", []uint64{1, 4}), 0)
}
