package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation simulates a service whose upstreams crash, by guilty requests or by outside causes.
// Requests that ran on a crashed upstream are retried, in the worst case all at once and
// together with the request that caused the crash.
type simulation struct {
	// upstreams form one group: a crash of one fails the requests on all.
	// requestsPerUpstream innocent requests run on each.
	upstreams, requestsPerUpstream int
	// guilty is the number of requests that crash every upstream that runs them. Callers send
	// them again in every round. copies is how many copies of each run concurrently.
	guilty, copies int
	// outsideCrashChance is the chance that a round without a crash by a request ends with
	// crashes by an outside cause, of up to outsideCrashes upstreams at once.
	outsideCrashChance float64
	outsideCrashes     int
	// retryChance is the chance that an innocent request is retried after a crash under it.
	retryChance float64
	// popular is how many innocent requests run on every second upstream, in every round.
	popular int
}

// result is the outcome of a simulation.
type result struct {
	// crashes is the most upstreams that one guilty request crashed, outages is the most
	// rounds in which one did.
	crashes, outages int
	// innocent counts the innocent requests that were suspected, quarantined those that were
	// put into quarantine, and refused those that were retried while in quarantine.
	innocent, quarantined, refused int
}

// roundTime is how long the group does not serve after a crash. It is longer than callers wait
// for an answer.
const roundTime = 5 * time.Second

func (sim simulation) run(seed uint64, rounds int) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	table := NewTable(Limits{PerWorkspace: 1 << 20, Total: 1 << 20})
	next := 1000
	var now time.Duration
	var retries []int
	suspected, quarantined, refused := map[int]bool{}, map[int]bool{}, map[int]bool{}
	var answered time.Duration
	crashes, outages := map[int]int{}, map[int]int{}
	for round := range rounds {
		now += roundTime
		requestsOn := make([][]int, sim.upstreams)
		for u := range requestsOn {
			for range sim.requestsPerUpstream {
				next++
				requestsOn[u] = append(requestsOn[u], next)
			}
			for p := range sim.popular {
				if (u+p)%2 == 0 {
					requestsOn[u] = append(requestsOn[u], 100+p)
				}
			}
		}
		startOnRandomUpstream := func(n int) int {
			u := rng.IntN(sim.upstreams)
			requestsOn[u] = append(requestsOn[u], n)
			return u
		}
		for _, n := range retries {
			if table.Verdict(print(n), now) == Quarantined {
				refused[n] = true
				continue
			}
			startOnRandomUpstream(n)
		}
		retries = nil
		crashed := map[int]bool{}
		for g := 1; g <= sim.guilty; g++ {
			if table.Verdict(print(g), now) == Quarantined {
				continue
			}
			outages[g]++
			for range sim.copies {
				crashed[startOnRandomUpstream(g)] = true
			}
		}
		for g := range outages {
			for u := range crashed {
				if slices.Contains(requestsOn[u], g) {
					crashes[g]++
				}
			}
		}
		if len(crashed) == 0 && rng.Float64() < sim.outsideCrashChance {
			for range sim.outsideCrashes {
				crashed[rng.IntN(sim.upstreams)] = true
			}
		}
		for _, u := range slices.Sorted(maps.Keys(crashed)) {
			all := crashUnder(fmt.Sprint(u, "/", round), requestsOn[u]...)
			for i := range all {
				all[i].AgeMS, all[i].RanMS = int64(rng.IntN(30)), int64(200+rng.IntN(100))
				// Hosts that recently saw a popular request answered clear the suspicion.
				isPopular := all[i].Fingerprint.compare(print(100)) >= 0 && all[i].Fingerprint.compare(print(100+sim.popular)) < 0
				all[i].IsCleared = isPopular && answered > 0 && now-answered < trustAfterAnswer
			}
			table.Add(all, now)
			for _, n := range requestsOn[u] {
				if n >= 100 {
					suspected[n] = true
					if rng.Float64() < sim.retryChance {
						retries = append(retries, n)
					}
				}
			}
		}
		if len(crashed) == 0 {
			// No upstream crashed, so all requests were answered.
			answered = now
			for _, all := range requestsOn {
				for _, n := range all {
					table.Clear(print(n), now)
				}
			}
		}
		for n := range suspected {
			quarantined[n] = quarantined[n] || table.Verdict(print(n), now) == Quarantined
		}
	}
	var r result
	for g := 1; g <= sim.guilty; g++ {
		r.crashes, r.outages = max(r.crashes, crashes[g]), max(r.outages, outages[g])
	}
	for n := range suspected {
		r.innocent++
		if quarantined[n] {
			r.quarantined++
		}
	}
	r.refused = len(refused)
	return r
}

// Guards against two failures: a guilty request that causes too many outages before it is
// quarantined, and innocent requests that are refused because they ran beside crashes.
func TestGuiltyRequestIsFoundAndInnocentOnesAreServed(t *testing.T) {
	const (
		seeds = 100
		// maxRefusedShare is the share of the innocent requests on crashed upstreams that may
		// be refused when they are retried.
		maxRefusedShare = 0.01
	)
	for _, c := range []struct {
		name string
		simulation
		// outages is how many outages one request may cause.
		outages int
	}{
		{"outside crashes", simulation{upstreams: 12, requestsPerUpstream: 5, outsideCrashChance: 0.5, outsideCrashes: 1, retryChance: 0.5}, 0},
		{"outside crashes of several upstreams", simulation{upstreams: 12, requestsPerUpstream: 5, outsideCrashChance: 0.5, outsideCrashes: 3, retryChance: 0.5}, 0},
		{"outside crashes of several upstreams and popular requests", simulation{upstreams: 12, requestsPerUpstream: 5, outsideCrashChance: 0.5, outsideCrashes: 4, retryChance: 0.5, popular: 3}, 0},
		{"one guilty, few retries", simulation{upstreams: 12, requestsPerUpstream: 5, guilty: 1, copies: 1, retryChance: 0.2}, 3},
		{"one guilty, all retried", simulation{upstreams: 12, requestsPerUpstream: 10, guilty: 1, copies: 1, retryChance: 1}, 3},
		{"one guilty, four copies", simulation{upstreams: 12, requestsPerUpstream: 5, guilty: 1, copies: 4, retryChance: 0.5}, 3},
		{"two guilty at once", simulation{upstreams: 12, requestsPerUpstream: 5, guilty: 2, copies: 1, retryChance: 0.5}, 4},
		{"one guilty among outside crashes", simulation{upstreams: 12, requestsPerUpstream: 5, guilty: 1, copies: 1, outsideCrashChance: 0.5, outsideCrashes: 2, retryChance: 0.5}, 3},
		{"one guilty in a group of 129", simulation{upstreams: 129, requestsPerUpstream: 6, guilty: 1, copies: 1, retryChance: 1}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var all result
			sum := 0
			for seed := range uint64(seeds) {
				r := c.run(seed, 12)
				all.crashes, all.outages = max(all.crashes, r.crashes), max(all.outages, r.outages)
				sum += r.outages
				all.innocent += r.innocent
				all.quarantined += r.quarantined
				all.refused += r.refused
			}
			t.Logf("outages %.2f on average, at most %d, crashes %d, of %d suspected %d quarantined, %d refused", float64(sum)/seeds, all.outages, all.crashes, all.innocent, all.quarantined, all.refused)
			require.LessOrEqual(t, all.outages, c.outages)
			require.LessOrEqual(t, float64(all.refused), maxRefusedShare*float64(all.innocent))
		})
	}
}
