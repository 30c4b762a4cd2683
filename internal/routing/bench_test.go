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

// Parameters of the simulated pool of upstreams. Each upstream has a queue, some slots and a
// prefix cache. The simulation models only queues and caches, in order to compare policies.
const (
	benchUpstreams      = 16
	benchSlots          = 8
	benchDecodeTime     = 300 * time.Millisecond
	benchPrefillTime    = 200 * time.Millisecond // for a prompt that is not cached
	benchPromptBlocks   = 10                     // in each prompt
	benchSharedBlocks   = 8                      // of these, identical in all prompts of a group
	benchPromptGroups   = 200
	benchCacheBlocks    = 400
	benchReportInterval = 2 * time.Second
	benchDuration       = 40 * time.Second
	benchUtilization    = 0.75
	benchFailureDelay   = 50 * time.Millisecond
	benchSeed           = 7
)

// benchScenario is one set of conditions under which the policies are compared.
type benchScenario struct {
	name  string
	hosts int
	// reportDelay is the age of load reports when they arrive.
	reportDelay time.Duration
	// slowdown multiplies the first upstream's processing times.
	slowdown float64
	// failsAt is when the first upstream starts to fail every request.
	failsAt time.Duration
}

var benchScenarios = []benchScenario{
	{name: "steady", hosts: 2, slowdown: 1, failsAt: benchDuration},
	{name: "slow", hosts: 2, slowdown: 4, failsAt: benchDuration},
	{name: "dying", hosts: 2, slowdown: 1, failsAt: benchDuration / 4},
	{name: "late", hosts: 2, reportDelay: 2 * time.Second, slowdown: 1, failsAt: benchDuration},
	{name: "late-8-hosts", hosts: 8, reportDelay: 2 * time.Second, slowdown: 1, failsAt: benchDuration},
}

// roundRobin picks the candidates in rotation.
type roundRobin struct{ next int }

func (p *roundRobin) Pick(scored []ScoredCandidate, _ *rand.Rand) int {
	p.next++
	return p.next % len(scored)
}

// leastCost picks the cheapest of all candidates. Ties go to a random one or the first.
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

// twoChoices draws two candidates at random and picks the cheaper one.
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

// ownInFlightScorer uses the number of this host's attempts in flight as the cost.
type ownInFlightScorer struct{}

func (ownInFlightScorer) Name() string                          { return "own" }
func (ownInFlightScorer) Cost(_ *Request, c *Candidate) float64 { return float64(c.InFlight) }

func benchPolicies() map[string]func() *Policy {
	with := func(p Picker, s ...Scorer) *Policy {
		return &Policy{Filters: DefaultPolicy().Filters, Scorers: s, Picker: p}
	}
	return map[string]func() *Policy{
		"round-robin":     func() *Policy { return with(&roundRobin{}) },
		"least-in-flight": func() *Policy { return with(leastCost{}, ownInFlightScorer{}) },
		"two-choices":     func() *Policy { return with(twoChoices{}, ownInFlightScorer{}) },
		"default":         DefaultPolicy,
	}
}

type benchRequest struct {
	host      int
	prefixes  []uint64
	arrivedAt time.Duration
	tried     []string
	done      func(Outcome)
}

// benchUpstream is one simulated upstream.
type benchUpstream struct {
	entry      directory.Entry
	slowdown   float64
	running    int
	queue      []*benchRequest
	cache      *PrefixIndex
	busyTime   time.Duration
	firstToken float64
}

// benchEvent is an action at a point in simulated time.
type benchEvent struct {
	at  time.Duration
	seq int
	run func()
}

// benchEvents is a min-heap of events by time, then by seq.
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

// benchRun is one discrete-event simulation of a scenario under a policy.
type benchRun struct {
	scenario   benchScenario
	now        time.Duration
	events     benchEvents
	seq        int
	rng        *rand.Rand
	upstreams  []*benchUpstream
	reported   []directory.Entry
	routers    []*Router
	firstToken *hdrhistogram.Histogram
	prompts    int
	cachedSum  float64
	failures   int
	refusals   int
}

func newBenchRun(sc benchScenario, policy func() *Policy) *benchRun {
	b := &benchRun{scenario: sc, rng: rand.New(rand.NewPCG(benchSeed, 1)), firstToken: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
	for i := range benchUpstreams {
		u := &benchUpstream{slowdown: 1, cache: NewPrefixIndex(benchCacheBlocks)}
		if i == 0 {
			u.slowdown = sc.slowdown
		}
		u.entry.Upstream = wire.Upstream{Name: fmt.Sprint("u", i), Pool: "p", Incarnation: 1, State: wire.UpstreamReady}
		u.entry.Upstream.Load.Capacity = benchSlots
		b.upstreams = append(b.upstreams, u)
		b.reported = append(b.reported, u.entry)
	}
	for h := range sc.hosts {
		b.routers = append(b.routers, NewRouter(Config{
			Policy:           policy(),
			Entries:          func() []directory.Entry { return b.reported },
			Now:              func() time.Duration { return b.now },
			Rand:             rand.New(rand.NewPCG(benchSeed, uint64(h)+2)),
			PrefixIndexLimit: 100_000,
		}))
	}
	return b
}

func (b *benchRun) schedule(d time.Duration, run func()) {
	b.seq++
	heap.Push(&b.events, benchEvent{at: b.now + d, seq: b.seq, run: run})
}

func (b *benchRun) simulate() {
	b.schedule(0, b.arrive)
	b.schedule(0, b.sendReport)
	for len(b.events) > 0 {
		e := heap.Pop(&b.events).(benchEvent)
		b.now = e.at
		e.run()
	}
}

// arrive creates a request with a prompt from a random group, and schedules the next arrival.
// A few groups get most of the requests.
func (b *benchRun) arrive() {
	if b.now >= benchDuration {
		return
	}
	mean := (benchDecodeTime + benchPrefillTime).Seconds()
	rate := benchUtilization * benchUpstreams * benchSlots / mean
	b.schedule(time.Duration(b.rng.ExpFloat64()/rate*float64(time.Second)), b.arrive)
	group := uint64(math.Pow(b.rng.Float64(), 2) * benchPromptGroups)
	r := &benchRequest{host: b.rng.IntN(len(b.routers)), arrivedAt: b.now}
	for i := range uint64(benchPromptBlocks) {
		if i < benchSharedBlocks {
			r.prefixes = append(r.prefixes, group*benchPromptBlocks+i)
		} else {
			r.prefixes = append(r.prefixes, b.rng.Uint64())
		}
	}
	b.send(r)
}

func (b *benchRun) send(r *benchRequest) {
	choice, err := b.routers[r.host].Pick(&Request{Pool: "p", Prefixes: r.prefixes, Tried: r.tried})
	up, done := choice.Upstream, choice.Done
	if err != nil {
		b.refusals++
		return
	}
	r.done = done
	r.tried = append(r.tried, up.Name)
	for i, u := range b.upstreams {
		if u.entry.Upstream.Name != up.Name {
			continue
		}
		if i == 0 && b.now >= b.scenario.failsAt {
			b.failures++
			b.schedule(benchFailureDelay, func() { done(Outcome{HasFailed: true}); b.send(r) })
			return
		}
		u.queue = append(u.queue, r)
		b.startQueued(u)
	}
}

func (b *benchRun) startQueued(u *benchUpstream) {
	for u.running < benchSlots && len(u.queue) > 0 {
		r := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		cached := u.cache.CachedFraction("", r.prefixes)
		u.cache.RecordSent("", r.prefixes)
		b.prompts++
		b.cachedSum += cached
		prefill := time.Duration(float64(benchPrefillTime) * (1 - cached) * u.slowdown)
		serviceTime := prefill + time.Duration(float64(benchDecodeTime)*u.slowdown)
		firstToken := b.now + prefill - r.arrivedAt
		_ = b.firstToken.RecordValue(max(1, firstToken.Microseconds()))
		u.firstToken += 0.1 * (float64(prefill.Microseconds()) - u.firstToken)
		u.busyTime += serviceTime
		b.schedule(serviceTime, func() {
			u.running--
			r.done(Outcome{})
			b.startQueued(u)
		})
	}
}

// sendReport captures the current loads and makes them visible after reportDelay.
func (b *benchRun) sendReport() {
	if b.now >= benchDuration {
		return
	}
	entries := make([]directory.Entry, 0, len(b.upstreams))
	reportedAt := b.now
	for i, u := range b.upstreams {
		e := u.entry
		e.Upstream.Load = wire.Load{Running: uint32(u.running), Queued: uint32(len(u.queue)), Capacity: benchSlots,
			FirstTokenUS: uint64(u.firstToken), AgeMS: uint32(b.scenario.reportDelay.Milliseconds())}
		e.Suspect = i == 0 && b.now >= b.scenario.failsAt+3*time.Second
		entries = append(entries, e)
	}
	b.schedule(b.scenario.reportDelay, func() {
		for i := range entries {
			entries[i].LoadAt = reportedAt + b.scenario.reportDelay
		}
		b.reported = entries
	})
	b.schedule(benchReportInterval, b.sendReport)
}

// imbalance returns the busiest upstream's processing time divided by the mean.
func (b *benchRun) imbalance() float64 {
	var most, sum time.Duration
	for _, u := range b.upstreams {
		most = max(most, u.busyTime)
		sum += u.busyTime
	}
	return float64(most) * benchUpstreams / float64(sum)
}

// BenchmarkPolicies compares routing policies under the same arrivals.
func BenchmarkPolicies(b *testing.B) {
	for _, sc := range benchScenarios {
		for name, policy := range benchPolicies() {
			b.Run(sc.name+"/"+name, func(b *testing.B) {
				var run *benchRun
				for b.Loop() {
					run = newBenchRun(sc, policy)
					run.simulate()
				}
				for _, q := range []float64{50, 95, 99} {
					b.ReportMetric(float64(run.firstToken.ValueAtQuantile(q))/1000, fmt.Sprintf("p%.0f-ms", q))
				}
				b.ReportMetric(100*run.cachedSum/float64(run.prompts), "cached-%")
				b.ReportMetric(run.imbalance(), "imbalance")
				b.ReportMetric(float64(run.failures), "failed")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
