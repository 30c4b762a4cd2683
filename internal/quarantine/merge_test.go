package quarantine

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawnParts is the number of the first of the parts that drawSuspicions may draw.
const drawnParts = 20

// drawSuspicions draws suspicions as hosts may report them: each crash has one time, one or more
// requests, and parts that several requests have, and some suspicions are cleared.
func drawSuspicions(t *rapid.T) []Suspicion {
	var all []Suspicion
	for n := range rapid.IntRange(1, 8).Draw(t, "ends") {
		age := rapid.Int64Range(0, 30_000).Draw(t, "age")
		for _, f := range rapid.SliceOfN(rapid.IntRange(1, 6), 1, 4).Draw(t, "requests") {
			all = append(all, Suspicion{
				Fingerprint: print(f), Workspace: "w", Incarnation: Incarnation{Upstream: string(rune('a' + n))}, AgeMS: age,
				RanMS: rapid.Int64Range(0, 500).Draw(t, "ran"), IsCleared: rapid.IntRange(0, 5).Draw(t, "cleared") == 0,
			})
		}
		for _, f := range rapid.SliceOfN(rapid.IntRange(drawnParts, drawnParts+3), 0, 3).Draw(t, "parts") {
			for _, carrier := range rapid.SliceOfN(rapid.IntRange(1, 12), 1, maxCarriers+2).Draw(t, "carriers") {
				all = append(all, Suspicion{
					Fingerprint: print(f), Carrier: print(carrier), Incarnation: Incarnation{Upstream: string(rune('a' + n))}, AgeMS: age,
					RanMS: rapid.Int64Range(0, 500).Draw(t, "ran"), IsCleared: rapid.IntRange(0, 9).Draw(t, "cleared") == 0,
				})
			}
		}
	}
	return all
}

// verdicts returns the verdicts on all requests that drawSuspicions may draw.
func verdicts(table *Table, now time.Duration) []Verdict {
	var out []Verdict
	for f := range drawnParts + 4 {
		out = append(out, table.Verdict(print(f), now))
	}
	return out
}

// withoutRequestIDs removes the request ids, which may differ between hosts: a table keeps the
// id that it received first.
func withoutRequestIDs(all []Suspicion) []Suspicion {
	for i := range all {
		all[i].Request = ""
	}
	return all
}

// Suspicions that arrive out of order, late or twice must lead to the same verdicts. Otherwise
// hosts would disagree on which requests are quarantined.
func TestOrderOfSuspicionsDoesNotChangeVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := drawSuspicions(t)
		now := time.Minute
		ordered, unordered := NewTable(testLimits), NewTable(testLimits)
		ordered.Add(all, now)
		shuffled := append(append([]Suspicion{}, all...), all[:rapid.IntRange(0, len(all)).Draw(t, "repeated")]...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 0))
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for _, s := range shuffled {
			unordered.Add([]Suspicion{s}, now)
		}
		require.Equal(t, withoutRequestIDs(ordered.All(now)), withoutRequestIDs(unordered.All(now)))
		require.Equal(t, verdicts(ordered, now), verdicts(unordered, now))
	})
}

// During a network partition each side collects its own suspicions. Once they have exchanged
// them, both must have the same suspicions and verdicts, with nothing left to send.
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

// A suspicion must count from the time of the crash, not from its arrival, and an outdated one
// not at all. Otherwise a host that joins late would restart quarantines.
func TestSuspicionsCountByTheirAge(t *testing.T) {
	table := NewTable(testLimits)
	old := crashUnder("a", 1)
	old[0].AgeMS = (3 * maxQuarantine).Milliseconds()
	require.Empty(t, table.Add(old, 0))
	old[0].AgeMS = (minQuarantine - time.Second).Milliseconds()
	table.Add(append(old, crashUnder("b", 1)...), 0)
	require.Equal(t, Quarantined, table.Verdict(print(1), 0))
	e := table.Entry(print(1), time.Second)
	require.Equal(t, "a", e.Ends[0].Upstream, "the oldest crash comes first")
	require.Equal(t, minQuarantine, e.Ends[0].Age)
	require.Equal(t, minQuarantine-time.Second, e.Remaining)
}

// A quarantine must expire by itself, so that a wrong verdict isn't permanent. It must double
// with each further crash, and the record must go once it is outdated.
func TestQuarantineExpiresAndDoubles(t *testing.T) {
	table := NewTable(testLimits)
	now := time.Duration(0)
	table.Add(crashUnder("a", 1), now)
	table.Add(crashUnder("b", 1), now+time.Minute)
	now += time.Minute
	require.Equal(t, Quarantined, table.Verdict(print(1), now+minQuarantine-1))
	require.Equal(t, Suspect, table.Verdict(print(1), now+minQuarantine), "it is tried once more")
	now += minQuarantine
	table.Add(crashUnder("c", 1), now)
	require.Equal(t, Quarantined, table.Verdict(print(1), now+2*minQuarantine-1))
	require.Equal(t, Suspect, table.Verdict(print(1), now+2*minQuarantine))
	table.Sweep(now + 4*minQuarantine - 1)
	require.True(t, table.Contains(print(1)))
	table.Sweep(now + 4*minQuarantine)
	require.False(t, table.Contains(print(1)))
	require.Equal(t, maxQuarantine, quarantineTime(100))
}

// A workspace with a thousand suspected requests must not evict the records of another one.
// Its own requests with one crash must not evict those with two.
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
	require.True(t, table.Contains(print(9000)))
	require.Equal(t, 20, table.perQuota[quota{workspace: "w"}])
	require.LessOrEqual(t, len(table.records), 50)
	for n := range 5 {
		require.True(t, table.Contains(print(2*n)), "request %d has two crashes", 2*n)
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
	require.True(t, table.Contains(print(9000)), "the smallest workspace loses no record")
}

// Suspicions with names beyond the limit must be rejected, since callers and other hosts choose
// the names. A long request id from a caller is cut instead.
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
	attempt := Attempt{Content: Content{Request: print(1)}, RequestID: long, Incarnation: Incarnation{Upstream: "a"}}
	require.Len(t, table.Add(attempt.suspicions(0), 0), 1)
}
