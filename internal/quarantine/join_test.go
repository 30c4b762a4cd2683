package quarantine

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawSuspicions is a set of suspicions as hosts may tell them: each end at one time, requests beside
// one another, some taken back.
func drawSuspicions(t *rapid.T) []Suspicion {
	var all []Suspicion
	for n := range rapid.IntRange(1, 8).Draw(t, "ends") {
		age := rapid.Int64Range(0, 30_000).Draw(t, "age")
		for _, f := range rapid.SliceOfN(rapid.IntRange(1, 6), 1, 4).Draw(t, "requests") {
			all = append(all, Suspicion{
				Fingerprint: testFingerprint(f), Workspace: "w", Incarnation: Incarnation{Upstream: string(rune('a' + n))}, AgeMS: age,
				RanMS: rapid.Int64Range(0, 500).Draw(t, "ran"), IsCleared: rapid.IntRange(0, 5).Draw(t, "cleared") == 0,
			})
		}
	}
	return all
}

// verdicts are those of all requests that drawn may name.
func verdicts(table *Table, now time.Duration) []Verdict {
	var out []Verdict
	for f := range 8 {
		out = append(out, table.Verdict(testFingerprint(f), now))
	}
	return out
}

// withoutRequestIDs leaves out what hosts may know differently: the id under which the request ran.
func withoutRequestIDs(all []Suspicion) []Suspicion {
	for i := range all {
		all[i].Request = ""
	}
	return all
}

// News that is crossed, late or repeated comes to the same.
func TestOrderOfSuspicionsDoesNotChangeVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawSuspicions(t)
		now := time.Minute
		one, other := NewTable(testLimits), NewTable(testLimits)
		one.Add(all, now)
		shuffled := append(append([]Suspicion{}, all...), all[:rapid.IntRange(0, len(all)).Draw(t, "repeated")]...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for _, s := range shuffled {
			other.Add([]Suspicion{s}, now)
		}
		require.Equal(t, withoutRequestIDs(one.All(now)), withoutRequestIDs(other.All(now)))
		require.Equal(t, verdicts(one, now), verdicts(other, now))
	})
}

// Each side of a cut goes on with what it knows; once they have told each other all, both
// know and judge the same, and there is no news left to tell.
func TestPartitionedTablesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Minute
		sides := []*Table{NewTable(testLimits), NewTable(testLimits)}
		for _, s := range drawSuspicions(t) {
			sides[rapid.IntRange(0, 1).Draw(t, "side")].Add([]Suspicion{s}, now)
		}
		first := sides[0].All(now)
		sides[0].Add(sides[1].All(now), now)
		sides[1].Add(first, now)
		require.Equal(t, withoutRequestIDs(sides[0].All(now)), withoutRequestIDs(sides[1].All(now)))
		require.Equal(t, verdicts(sides[0], now), verdicts(sides[1], now))
		require.Empty(t, sides[0].Add(sides[1].All(now), now))
	})
}

// What is told of the past counts by its age, and what is long past not at all.
func TestSuspicionsCountByTheirAge(t *testing.T) {
	table := NewTable(testLimits)
	old := crashUnder("a", 1)
	old[0].AgeMS = (3 * maxQuarantine).Milliseconds()
	require.Empty(t, table.Add(old, 0))
	old[0].AgeMS = (minQuarantine - time.Second).Milliseconds()
	table.Add(append(old, crashUnder("b", 1)...), 0)
	require.Equal(t, Quarantined, table.Verdict(testFingerprint(1), 0))
	e := table.Entry(testFingerprint(1), time.Second)
	require.Equal(t, "a", e.Crashes[0].Upstream, "the first one first")
	require.Equal(t, minQuarantine, e.Crashes[0].Age)
	require.Equal(t, minQuarantine-time.Second, e.Remaining)
}

// A verdict ends by itself; a request that goes on ending upstreams is held longer each time.
func TestQuarantineExpiresAndDoubles(t *testing.T) {
	table := NewTable(testLimits)
	now := time.Duration(0)
	table.Add(crashUnder("a", 1), now)
	table.Add(crashUnder("b", 1), now+time.Minute)
	now += time.Minute
	require.Equal(t, Quarantined, table.Verdict(testFingerprint(1), now+minQuarantine-1))
	require.Equal(t, Suspect, table.Verdict(testFingerprint(1), now+minQuarantine), "it is tried once more")
	now += minQuarantine
	table.Add(crashUnder("c", 1), now)
	require.Equal(t, Quarantined, table.Verdict(testFingerprint(1), now+2*minQuarantine-1))
	require.Equal(t, Suspect, table.Verdict(testFingerprint(1), now+2*minQuarantine))
	table.Sweep(now + 4*minQuarantine - 1)
	require.True(t, table.Contains(testFingerprint(1)))
	table.Sweep(now + 4*minQuarantine)
	require.False(t, table.Contains(testFingerprint(1)))
	require.Equal(t, maxQuarantine, quarantineTime(100))
}

// A workspace with a thousand such requests pushes out none of another's, and none of its own
// that was found out by those that are only suspected.
func TestThousandRequestsOfOneWorkspaceStayWithinBounds(t *testing.T) {
	table := NewTable(Limits{PerWorkspace: 20, Total: 50})
	now := time.Duration(0)
	other := crashUnder("x", 9000)
	other[0].Workspace = "other"
	table.Add(other, now)
	for n := range 1000 {
		now += 10 * time.Second
		table.Add(crashUnder(string(rune('a'+n)), 2*n, 2*n+1), now)
		if n < 5 {
			now += 10 * time.Second
			table.Add(crashUnder(string(rune('a'+n))+"2", 2*n), now)
		}
	}
	require.True(t, table.Contains(testFingerprint(9000)))
	require.Equal(t, 20, table.perWorkspace["w"])
	require.LessOrEqual(t, len(table.records), 50)
	for n := range 5 {
		require.True(t, table.Contains(testFingerprint(2*n)), "request %d had ended two", 2*n)
	}
	for w := range 10 {
		name := string(rune('A' + w))
		for n := range 20 {
			s := crashUnder("y", 5000+100*w+n)
			s[0].Workspace = name
			table.Add(s, now)
		}
	}
	require.Len(t, table.records, 50)
	require.True(t, table.Contains(testFingerprint(9000)), "the smallest one loses nothing")
}

// Names that callers and other hosts choose take bounded room.
func TestOversizedNamesAreRejected(t *testing.T) {
	table := NewTable(testLimits)
	long := strings.Repeat("x", 10_000)
	for _, change := range []func(*Suspicion){
		func(s *Suspicion) { s.Incarnation.Upstream = long }, func(s *Suspicion) { s.Incarnation.Upstream = "" },
		func(s *Suspicion) { s.Workspace = long }, func(s *Suspicion) { s.Service = long }, func(s *Suspicion) { s.Request = long },
	} {
		s := crashUnder("a", 1)
		change(&s[0])
		require.Empty(t, table.Add(s, 0))
	}
	run := Attempt{Fingerprint: testFingerprint(1), Request: long, Incarnation: Incarnation{Upstream: "a"}}
	require.Len(t, table.Add([]Suspicion{run.suspicion(0)}, 0), 1)
}
