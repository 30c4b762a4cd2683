package routing

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sassafraspost/sassafraspost/internal/directory"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// The stand-in of the benchmark: upstreams with a queue, some slots and a prefix
// cache. Only queues and caches are modelled, to compare ways to choose.
const (
	benchUpstreams   = 16
	benchSlots       = 8
	benchDecode      = 300 * time.Millisecond
	benchPrefill     = 200 * time.Millisecond // of a prompt that is not cached
	benchBlocks      = 10                     // in a prompt
	benchShared      = 8                      // of them shared by the prompts of a group
	benchGroups      = 200
	benchCacheBlocks = 400
	benchReport      = 2 * time.Second
	benchSpan        = 40 * time.Second
	benchLoad        = 0.75
	benchFailTime    = 50 * time.Millisecond
	benchSeed        = 7
)

type benchScenario struct {
	name  string
	hosts int
	// late is how old reports are when they come.
	late time.Duration
	// slow is the factor of the first upstream's times.
	slow float64
	// dies is when the first upstream begins to fail.
	dies time.Duration
}

var benchScenarios = []benchScenario{
	{name: "steady", hosts: 2, slow: 1, dies: benchSpan},
	{name: "slow", hosts: 2, slow: 4, dies: benchSpan},
	{name: "dying", hosts: 2, slow: 1, dies: benchSpan / 4},
	{name: "late", hosts: 2, late: 2 * time.Second, slow: 1, dies: benchSpan},
	{name: "late-8-hosts", hosts: 8, late: 2 * time.Second, slow: 1, dies: benchSpan},
}

// roundRobin takes the candidates in turn.
type roundRobin struct{ next int }

func (p *roundRobin) Pick(scored []ScoredCandidate, _ *rand.Rand) int {
	p.next++
	return p.next % len(scored)
}

// leastCost takes the cheapest, a random one of equals.
type leastCost struct{}

func (leastCost) Pick(scored []ScoredCandidate, rng *rand.Rand) int {
	best := rng.IntN(len(scored))
	for i := range scored {
		if scored[i].Cost < scored[best].Cost {
			best = i
		}
	}
	return best
}

// twoChoices draws two candidates and takes the cheaper one.
type twoChoices struct{}

// Pick implements Picker.
func (twoChoices) Pick(scored []ScoredCandidate, rng *rand.Rand) int {
	if len(scored) == 1 {
		return 0
	}
	a := rng.IntN(len(scored))
	b := rng.IntN(len(scored) - 1)
	if b >= a {
		b++
	}
	if scored[b].Cost < scored[a].Cost {
		return b
	}
	return a
}

// ownInFlight costs what this host has there.
type ownInFlight struct{}

func (ownInFlight) Name() string                          { return "own" }
func (ownInFlight) Cost(_ *Request, c *Candidate) float64 { return float64(c.InFlight) }

func benchPolicies() map[string]func() *Policy {
	with := func(p Picker, s ...Scorer) *Policy {
		return &Policy{Filters: DefaultPolicy().Filters, Scorers: s, Picker: p}
	}
	return map[string]func() *Policy{
		"round-robin":     func() *Policy { return with(&roundRobin{}) },
		"least-in-flight": func() *Policy { return with(leastCost{}, ownInFlight{}) },
		"two-choices":     func() *Policy { return with(twoChoices{}, ownInFlight{}) },
		"default":         DefaultPolicy,
	}
}

type benchRequest struct {
	host     int
	prefixes []uint64
	arrived  time.Duration
	tried    []string
	done     func(Outcome)
}

type benchUpstream struct {
	entry   directory.Entry
	slow    float64
	running int
	queue   []*benchRequest
	cache   *PrefixIndex
	served  time.Duration
	first   float64
}

type benchEvent struct {
	at  time.Duration
	seq int
	run func()
}

type benchEvents []benchEvent

func (h benchEvents) Len() int { return len(h) }
func (h benchEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h benchEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *benchEvents) Push(x any)   { *h = append(*h, x.(benchEvent)) }
func (h *benchEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type benchRun struct {
	scenario  benchScenario
	now       time.Duration
	events    benchEvents
	seq       int
	rng       *rand.Rand
	upstreams []*benchUpstream
	seen      []directory.Entry
	routers   []*Router
	first     *hdrhistogram.Histogram
	blocks    int
	hits      float64
	failed    int
	refused   int
}

func newBenchRun(sc benchScenario, policy func() *Policy) *benchRun {
	b := &benchRun{scenario: sc, rng: rand.New(rand.NewPCG(benchSeed, 1)), first: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
	for i := range benchUpstreams {
		u := &benchUpstream{slow: 1, cache: NewPrefixIndex(benchCacheBlocks)}
		if i == 0 {
			u.slow = sc.slow
		}
		u.entry.Upstream = wire.Upstream{Name: fmt.Sprint("u", i), Pool: "p", Incarnation: 1, State: wire.UpstreamReady}
		u.entry.Upstream.Load.Capacity = benchSlots
		b.upstreams = append(b.upstreams, u)
		b.seen = append(b.seen, u.entry)
	}
	for h := range sc.hosts {
		b.routers = append(b.routers, NewRouter(Config{
			Policy:           policy(),
			Entries:          func() []directory.Entry { return b.seen },
			Now:              func() time.Duration { return b.now },
			Rand:             rand.New(rand.NewPCG(benchSeed, uint64(h)+2)),
			PrefixIndexLimit: 100_000,
		}))
	}
	return b
}

func (b *benchRun) after(d time.Duration, run func()) {
	b.seq++
	heap.Push(&b.events, benchEvent{at: b.now + d, seq: b.seq, run: run})
}

func (b *benchRun) start() {
	b.after(0, b.arrive)
	b.after(0, b.report)
	for len(b.events) > 0 {
		e := heap.Pop(&b.events).(benchEvent)
		b.now = e.at
		e.run()
	}
}

// arrive makes a request of a group of prompts; a few groups have most of them.
func (b *benchRun) arrive() {
	if b.now >= benchSpan {
		return
	}
	mean := (benchDecode + benchPrefill).Seconds()
	rate := benchLoad * benchUpstreams * benchSlots / mean
	b.after(time.Duration(b.rng.ExpFloat64()/rate*float64(time.Second)), b.arrive)
	group := uint64(math.Pow(b.rng.Float64(), 2) * benchGroups)
	r := &benchRequest{host: b.rng.IntN(len(b.routers)), arrived: b.now}
	for i := range uint64(benchBlocks) {
		if i < benchShared {
			r.prefixes = append(r.prefixes, group*benchBlocks+i)
		} else {
			r.prefixes = append(r.prefixes, b.rng.Uint64())
		}
	}
	b.send(r)
}

func (b *benchRun) send(r *benchRequest) {
	up, done, err := b.routers[r.host].Pick(&Request{Pool: "p", Prefixes: r.prefixes, Tried: r.tried})
	if err != nil {
		b.refused++
		return
	}
	r.done = done
	r.tried = append(r.tried, up.Name)
	for i, u := range b.upstreams {
		if u.entry.Upstream.Name != up.Name {
			continue
		}
		if i == 0 && b.now >= b.scenario.dies {
			b.failed++
			b.after(benchFailTime, func() { done(Outcome{HasFailed: true}); b.send(r) })
			return
		}
		u.queue = append(u.queue, r)
		b.next(u)
	}
}

func (b *benchRun) next(u *benchUpstream) {
	for u.running < benchSlots && len(u.queue) > 0 {
		r := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		cached := u.cache.CachedFraction("", r.prefixes)
		u.cache.RecordSent("", r.prefixes)
		b.blocks++
		b.hits += cached
		prefill := time.Duration(float64(benchPrefill) * (1 - cached) * u.slow)
		whole := prefill + time.Duration(float64(benchDecode)*u.slow)
		first := b.now + prefill - r.arrived
		_ = b.first.RecordValue(max(1, first.Microseconds()))
		u.first += 0.1 * (float64(prefill.Microseconds()) - u.first)
		u.served += whole
		b.after(whole, func() {
			u.running--
			r.done(Outcome{})
			b.next(u)
		})
	}
}

// report takes the loads now and shows them late.
func (b *benchRun) report() {
	if b.now >= benchSpan {
		return
	}
	entries := make([]directory.Entry, 0, len(b.upstreams))
	made := b.now
	for i, u := range b.upstreams {
		e := u.entry
		e.Upstream.Load = wire.Load{Running: uint32(u.running), Queued: uint32(len(u.queue)), Capacity: benchSlots,
			FirstTokenUS: uint64(u.first), AgeMS: uint32(b.scenario.late.Milliseconds())}
		e.Suspect = i == 0 && b.now >= b.scenario.dies+3*time.Second
		entries = append(entries, e)
	}
	b.after(b.scenario.late, func() {
		for i := range entries {
			entries[i].LoadAt = made + b.scenario.late
		}
		b.seen = entries
	})
	b.after(benchReport, b.report)
}

// imbalance is the busiest upstream's work over the mean, in time.
func (b *benchRun) imbalance() float64 {
	var most, sum time.Duration
	for _, u := range b.upstreams {
		most = max(most, u.served)
		sum += u.served
	}
	return float64(most) * benchUpstreams / float64(sum)
}

// BenchmarkPolicies compares ways to choose on the same arrivals.
func BenchmarkPolicies(b *testing.B) {
	for _, sc := range benchScenarios {
		for name, policy := range benchPolicies() {
			b.Run(sc.name+"/"+name, func(b *testing.B) {
				var run *benchRun
				for b.Loop() {
					run = newBenchRun(sc, policy)
					run.start()
				}
				for _, q := range []float64{50, 95, 99} {
					b.ReportMetric(float64(run.first.ValueAtQuantile(q))/1000, fmt.Sprintf("p%.0f-ms", q))
				}
				b.ReportMetric(100*run.hits/float64(run.blocks), "cached-%")
				b.ReportMetric(run.imbalance(), "imbalance")
				b.ReportMetric(float64(run.failed), "failed")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
