package quarantine

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// partPrint returns the fingerprint of part n.
func partPrint(n int) Fingerprint { return Fingerprint{0xff, byte(n >> 8), byte(n)} }

// carried is a request with its parts.
type carried struct {
	request int
	parts   []int
}

func (c carried) content() Content {
	out := Content{Request: print(c.request)}
	for _, part := range c.parts {
		out.Parts = append(out.Parts, partPrint(part))
	}
	return out
}

// crashUnderParts returns the suspicions of the parts of requests that ran on an upstream when it
// crashed.
func crashUnderParts(upstream string, all ...carried) []Suspicion {
	var out []Suspicion
	for _, c := range all {
		attempt := Attempt{Content: c.content(), Workspace: "w", Incarnation: Incarnation{Upstream: upstream}, Service: "s"}
		out = append(out, attempt.suspicions(0)...)
	}
	return out
}

// For each pattern of crashes, exactly the parts that explain the crashes must be in quarantine. Guards
// against parts that go on crashing upstreams in requests no two of which are alike, and against sound
// parts that are held back since they were on upstreams that crashed.
func TestVerdictsOnPartsByCrashPattern(t *testing.T) {
	const first, harmful, companion = 1, 2, 3
	withHarmful := func(request int, others ...int) carried {
		return carried{request, append([]int{harmful}, others...)}
	}
	for name, c := range map[string]struct {
		events      []event
		quarantined []int
	}{
		"one crash": {
			events: []event{{at: 0, suspicions: crashUnderParts("a", withHarmful(1, first))}},
		},
		"two crashes under two requests": {
			events: []event{
				{at: 0, suspicions: crashUnderParts("a", withHarmful(1, 10), carried{5, []int{11}})},
				{at: 5, suspicions: crashUnderParts("b", withHarmful(2, 12), carried{6, []int{13}})},
			}, quarantined: []int{harmful},
		},
		"one request and its retries are enough to explain the crashes": {
			events: []event{
				{at: 0, suspicions: crashUnderParts("a", withHarmful(1))},
				{at: 5, suspicions: crashUnderParts("b", withHarmful(1))},
				{at: 10, suspicions: crashUnderParts("c", withHarmful(1))},
			},
		},
		"a second request after retries of the first": {
			events: []event{
				{at: 0, suspicions: crashUnderParts("a", withHarmful(1))},
				{at: 5, suspicions: crashUnderParts("b", withHarmful(1))},
				{at: 10, suspicions: crashUnderParts("c", withHarmful(2))},
			}, quarantined: []int{harmful},
		},
		"a part that all requests have counts for less than one that few have": {
			events: []event{
				{at: 0, suspicions: crashUnderParts("a", withHarmful(1, first), carried{11, []int{first}})},
				{at: 5, suspicions: crashUnderParts("b", withHarmful(2, first), carried{12, []int{first}})},
				{at: 10, suspicions: crashUnderParts("c", withHarmful(3, first), carried{13, []int{first}})},
			}, quarantined: []int{harmful},
		},
		"two parts that always come together": {
			events: []event{
				{at: 0, suspicions: crashUnderParts("a", withHarmful(1, companion))},
				{at: 5, suspicions: crashUnderParts("b", withHarmful(2, companion))},
				{at: 10, suspicions: crashUnderParts("c", withHarmful(3, companion))},
			}, quarantined: []int{harmful, companion},
		},
		"crashes at once, as by a loss of power": {
			events: []event{{at: 0, suspicions: slices.Concat(
				crashUnderParts("a", withHarmful(1)), crashUnderParts("b", withHarmful(2)), crashUnderParts("c", withHarmful(3)),
				crashUnderParts("d", carried{4, []int{7}}),
			)}},
		},
		"four crashes at once under the part and no other": {
			events: []event{{at: 0, suspicions: slices.Concat(
				crashUnderParts("a", withHarmful(1)), crashUnderParts("b", withHarmful(2)), crashUnderParts("c", withHarmful(3)), crashUnderParts("d", withHarmful(4)),
			)}}, quarantined: []int{harmful},
		},
		"two crashes among others without the part": {
			events: []event{
				{at: 0, suspicions: crashUnderParts("a", withHarmful(1))},
				{at: 3, suspicions: crashUnderParts("x", carried{8, []int{8}})},
				{at: 5, suspicions: crashUnderParts("b", withHarmful(2))},
			},
		},
		"three crashes among others without the part": {
			events: []event{
				{at: 0, suspicions: crashUnderParts("a", withHarmful(1))},
				{at: 3, suspicions: crashUnderParts("x", carried{8, []int{8}})},
				{at: 5, suspicions: crashUnderParts("b", withHarmful(2))},
				{at: 9, suspicions: crashUnderParts("c", withHarmful(3))},
			}, quarantined: []int{harmful},
		},
	} {
		t.Run(name, func(t *testing.T) {
			table, now := replay(c.events)
			for part := range 20 {
				require.Equal(t, slices.Contains(c.quarantined, part), table.Verdict(partPrint(part), now) == Quarantined, "part %d", part)
			}
		})
	}
}

// Guards against a request whose part is in quarantine being sent, and against one without the part
// being refused with it.
func TestRequestIsHeldWithItsPart(t *testing.T) {
	now := time.Minute
	k := newPartKeeper(&now, nil)
	k.AnswerBegan([]Fingerprint{partPrint(1)})
	k.Merge(crashUnderParts("a", carried{1, []int{1, 2}}))
	now += 5 * time.Second
	k.Merge(crashUnderParts("b", carried{2, []int{1, 2}}))
	require.Equal(t, Quarantined, k.Verdict(carried{3, []int{1, 2}}.content()))
	require.Equal(t, Free, k.Verdict(carried{4, []int{1}}.content()))
	now += minQuarantine - time.Millisecond
	require.Equal(t, Quarantined, k.Verdict(carried{3, []int{1, 2}}.content()))
	now += time.Millisecond
	require.Equal(t, Free, k.Verdict(carried{3, []int{1, 2}}.content()), "it is tried once more")
}

// Guards against hosts that all try a part at the same moment when its quarantine ends.
func TestHostsTryPartOneAfterTheOther(t *testing.T) {
	now := time.Minute
	k := newPartKeeper(&now, nil)
	k.cfg.TrialDelay = 20 * time.Second
	k.Merge(crashUnderParts("a", carried{1, []int{2}}))
	now += 5 * time.Second
	k.Merge(crashUnderParts("b", carried{2, []int{2}}))
	now += minQuarantine + 19*time.Second
	require.Equal(t, Quarantined, k.Verdict(carried{4, []int{2}}.content()))
	now += time.Second
	require.Equal(t, Free, k.Verdict(carried{4, []int{2}}.content()))
}

// Guards against parts that become suspect because nothing is answered during an outage, and parts that
// are trusted for good.
func TestTrustInPartLastsWhileOthersAreAnswered(t *testing.T) {
	var a answeredParts
	now := time.Duration(0)
	require.True(t, a.isEmpty())
	a.add([]Fingerprint{partPrint(1)}, now)
	now += time.Hour
	require.True(t, a.isTrusted(partPrint(1)), "nothing was answered since")
	require.False(t, a.isTrusted(partPrint(2)))
	for range int(partTrust / maxAnswerGap) {
		require.True(t, a.isTrusted(partPrint(1)))
		now += maxAnswerGap
		a.add([]Fingerprint{partPrint(2)}, now)
	}
	require.False(t, a.isTrusted(partPrint(1)))
	require.True(t, a.isTrusted(partPrint(2)))
}

// Guards against memory that grows with the number of parts, and against the loss of parts that are
// answered all the time.
func TestAnsweredPartsAreBounded(t *testing.T) {
	var a answeredParts
	for n := range 10 * maxAnsweredParts {
		a.add([]Fingerprint{partPrint(0), {1, byte(n >> 16), byte(n >> 8), byte(n)}}, 0)
	}
	require.LessOrEqual(t, len(a.recent)+len(a.older), 2*maxAnsweredParts)
	require.True(t, a.isTrusted(partPrint(0)))
}

// Guards against the parts of many crashes evicting records of requests, or growing without bound.
func TestPartsStayWithinBounds(t *testing.T) {
	table := NewTable(Limits{PerWorkspace: 20, Total: 100})
	request := crashUnder("x", 9000)
	request[0].Workspace = ""
	table.Add(request, 0)
	for n := range 500 {
		table.Add(crashUnderParts(fmt.Sprint(n), carried{n, []int{n}}), time.Duration(n)*time.Second)
	}
	require.Equal(t, 20, table.perQuota[quota{isOfParts: true}])
	require.True(t, table.Contains(print(9000)))
	var many []carried
	for n := range 100 {
		many = append(many, carried{n, []int{600}})
	}
	table.Add(crashUnderParts("y", many...), 600*time.Second)
	require.Len(t, table.records[partPrint(600)].crashes[Incarnation{Upstream: "y"}].carriers, maxCarriers)
}

// newPartKeeper returns a Keeper that reads the time from now.
func newPartKeeper(now *time.Duration, publish func([]Suspicion)) *Keeper {
	return NewKeeper(Config{
		Limits: DefaultLimits, Now: func() time.Duration { return *now }, Publish: publish,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Metrics: metrics.NewRegistry(),
	})
}

// partSimulation simulates a group of engines that serves in turns: it opens, requests begin on its
// ranks, and a crash of one rank stops it for roundTime. Requests come at any host, no two alike. All
// have the first part of their route, and most another one.
type partSimulation struct {
	hosts, ranks, routes int
	// parts is the number of other sound parts. Half of the requests have one of the first few, the
	// others any of them.
	parts int
	// requests begin in each second in which the group is open.
	requests int
	// harmfulShare is the share of the requests that have the harmful part.
	harmfulShare float64
	// outsideCrashChance is the chance of crashes by an outside cause in a second, outsideCrashes how
	// many ranks crash then at most.
	outsideCrashChance float64
	outsideCrashes     int
	// restarted is the number of hosts that forget everything every ten seconds, and then know what
	// another host knows.
	restarted int
}

// partResult is the outcome of a simulation.
type partResult struct {
	// harmful is the number of requests with the harmful part that ran, late how many of them ran more
	// than contactTime after the fifth.
	harmful, late int
	// sound and refused are the requests without the harmful part, and those of them that were refused.
	sound, refused int
}

const (
	contactTime          = 3 * time.Second
	harmfulPart          = 9999
	firstSoundPart       = 100
	popularParts         = 10
	crashesBeforeLimit   = 5
	maxSimulatedRequests = 1 << 20
)

// simulatedRequest is a request that has begun on a rank.
type simulatedRequest struct {
	host, rank int
	content    Content
	isHarmful  bool
	// beginsAt is when its upstream writes the first token, in fractions of the second.
	beginsAt float64
}

func (sim partSimulation) run(seed uint64, seconds int) partResult {
	rng := rand.New(rand.NewPCG(seed, 3))
	now := time.Minute
	var keepers []*Keeper
	newKeeper := func(host int) *Keeper {
		return newPartKeeper(&now, func(all []Suspicion) {
			for other, k := range keepers {
				if other != host {
					k.Merge(all)
				}
			}
		})
	}
	for host := range sim.hosts {
		keepers = append(keepers, newKeeper(host))
	}
	var r partResult
	var fifth, openFrom time.Duration
	next := 0
	for second := range seconds {
		now += time.Second
		if second%10 == 9 {
			for host := range sim.restarted {
				keepers[host] = newKeeper(host)
				keepers[host].Merge(keepers[sim.hosts-1].All())
			}
		}
		if now < openFrom {
			continue
		}
		var running []simulatedRequest
		for range sim.requests {
			next++
			c := carried{request: next % maxSimulatedRequests, parts: []int{rng.IntN(sim.routes)}}
			q := simulatedRequest{host: rng.IntN(sim.hosts), rank: rng.IntN(sim.ranks), beginsAt: rng.Float64()}
			if q.isHarmful = second >= 10 && rng.Float64() < sim.harmfulShare; q.isHarmful {
				c.parts = append(c.parts, harmfulPart)
			} else if sim.parts > 0 {
				c.parts = append(c.parts, firstSoundPart+rng.IntN([]int{popularParts, sim.parts}[rng.IntN(2)]))
			}
			q.content = c.content()
			q.content.Request = Fingerprint{byte(next >> 16), byte(next >> 8), byte(next), 1}
			isHeld := keepers[q.host].Verdict(q.content) == Quarantined
			if !q.isHarmful {
				r.sound++
				if isHeld {
					r.refused++
				}
			}
			if !isHeld {
				running = append(running, q)
			}
		}
		crashed := map[int]float64{}
		slices.SortFunc(running, func(a, b simulatedRequest) int { return int(1e9 * (a.beginsAt - b.beginsAt)) })
		groupEnd := 1.0
		for _, q := range running {
			// Ranks that are as far as the first one that crashes crash too.
			if q.isHarmful && q.beginsAt < groupEnd+0.02 {
				if _, ok := crashed[q.rank]; !ok {
					crashed[q.rank] = q.beginsAt
				}
				groupEnd = min(groupEnd, q.beginsAt)
				if r.harmful++; r.harmful == crashesBeforeLimit {
					fifth = now
				}
				if fifth > 0 && now > fifth+contactTime {
					r.late++
				}
			}
		}
		if len(crashed) == 0 && rng.Float64() < sim.outsideCrashChance {
			groupEnd = rng.Float64()
			for range 1 + rng.IntN(sim.outsideCrashes) {
				crashed[rng.IntN(sim.ranks)] = groupEnd
			}
		}
		for _, q := range running {
			if !q.isHarmful && q.beginsAt+0.05 < groupEnd {
				keepers[q.host].AnswerBegan(q.content.Parts)
			}
		}
		for _, q := range running {
			at, ok := crashed[q.rank]
			if !ok || q.beginsAt > at+0.3 {
				continue
			}
			keepers[q.host].UpstreamCrashed(Attempt{
				Content: q.content, Workspace: "w", Service: "s", Ran: 300 * time.Millisecond,
				Incarnation: Incarnation{Upstream: fmt.Sprint(q.rank), StartedAt: int64(now)},
			})
		}
		if len(crashed) > 0 {
			openFrom = now + roundTime
		}
	}
	return r
}

// Guards against two failures: a part that goes on crashing upstreams, and sound requests that are
// refused because their parts were on upstreams that crashed.
func TestHarmfulPartIsFoundAndSoundOnesAreServed(t *testing.T) {
	const (
		seeds, seconds = 20, 60
		// maxRefusedShare is the share of the sound requests that may be refused.
		maxRefusedShare = 0.005
	)
	for name, sim := range map[string]partSimulation{
		"outside crashes":                              {outsideCrashChance: 0.1, outsideCrashes: 1},
		"outside crashes of several upstreams":         {outsideCrashChance: 0.1, outsideCrashes: 5},
		"outside crashes in most seconds":              {outsideCrashChance: 0.8, outsideCrashes: 2},
		"harmful part in one request of five":          {harmfulShare: 0.2},
		"harmful part in one request of fifty":         {harmfulShare: 0.02},
		"harmful part beside outside crashes":          {harmfulShare: 0.1, outsideCrashChance: 0.1, outsideCrashes: 2},
		"harmful part while hosts restart":             {harmfulShare: 0.1, restarted: 4},
		"harmful part while hosts restart, outside":    {harmfulShare: 0.1, restarted: 4, outsideCrashChance: 0.1, outsideCrashes: 2},
		"harmful part in most requests":                {harmfulShare: 0.6},
		"harmful part in most requests, hosts restart": {harmfulShare: 0.6, restarted: 4},
	} {
		t.Run(name, func(t *testing.T) {
			sim.hosts, sim.ranks, sim.routes, sim.parts, sim.requests = 9, 12, 3, 300, 60
			var all partResult
			most := 0
			for seed := range uint64(seeds) {
				r := sim.run(seed, seconds)
				most = max(most, r.harmful)
				all.harmful, all.sound, all.refused = all.harmful+r.harmful, all.sound+r.sound, all.refused+r.refused
				all.late = max(all.late, r.late)
			}
			t.Logf("harmful requests that ran: %.2f on average, at most %d, late at most %d; of %d sound ones %d refused",
				float64(all.harmful)/seeds, most, all.late, all.sound, all.refused)
			require.LessOrEqual(t, all.late, 3)
			require.LessOrEqual(t, float64(all.refused), maxRefusedShare*float64(all.sound))
		})
	}
}
