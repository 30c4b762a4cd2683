package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// total returns the sum of the results of all workspaces.
func (p *phase) total() *result {
	all := newResult(workspace{})
	for _, r := range p.results {
		all.offered += r.offered
		all.ok += r.ok
		all.refused += r.refused
		all.failed += r.failed
		all.latency.Merge(r.latency)
		all.refusal.Merge(r.refusal)
	}
	return all
}

// rate returns n, a count over the measured time, as a rate per second.
func (p *phase) rate(n int) float64 { return float64(n) / (p.length - warmUp).Seconds() }

// ms returns a percentile of a histogram in milliseconds.
func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

// minLateRefusal is the minimum time after which a refusal counts as late.
const minLateRefusal = 100 * time.Millisecond

// lateRefusals returns the number of refusals that took minLateRefusal or longer.
func (p *phase) lateRefusals() int {
	n := int64(0)
	for _, bucket := range p.total().refusal.Distribution() {
		if bucket.From >= minLateRefusal.Microseconds() {
			n += bucket.Count
		}
	}
	return int(n)
}

// answeredFractions returns the fraction of the requests that succeeded: the lowest of any single
// small workspace, and the totals of the small and of the large workspaces.
func (p *phase) answeredFractions() (lowest, small, large float64) {
	lowest = 1
	var ok, offered, smallOK, smallOffered int
	for _, r := range p.results {
		if r.workspace.isLarge {
			ok += r.ok
			offered += r.offered
			continue
		}
		smallOK += r.ok
		smallOffered += r.offered
		if r.offered > 0 {
			lowest = min(lowest, float64(r.ok)/float64(r.offered))
		}
	}
	return lowest, float64(smallOK) / float64(max(smallOffered, 1)), float64(ok) / float64(max(offered, 1))
}

func measureOverload(ctx context.Context, s *local.System) error {
	client := newClient()
	fmt.Printf("%d engines of %d slots, %.0f requests/s; %d entry hosts; %d large workspaces of share %d, %d small ones of share %d; deadline %s\n\n",
		engineCount, slotsPerEngine, capacity, len(s.Entries), largeCount, largeShare, smallCount, smallShare, deadline)
	fmt.Println("| offered / capacity | offered/s | answered/s | refused/s | failed | answered ms p50 | p99 | refused ms p50 | p99 | refused late | large answered | small answered | least of them | not sent |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	peak, last := 0.0, 0.0
	for _, factor := range []float64{0.8, 1, 1.2, 3} {
		phase := runPhase(ctx, s, client, mixedSources(factor))
		total := phase.total()
		lowest, small, large := phase.answeredFractions()
		last = phase.rate(int(phase.answered.Load()))
		peak = max(peak, last)
		fmt.Printf("| %.1f | %.0f | %.0f | %.0f | %d | %.0f | %.0f | %.1f | %.1f | %d | %.0f%% | %.0f%% | %.0f%% | %d |\n",
			factor, phase.rate(total.offered), last, phase.rate(total.refused), total.failed, ms(total.latency, 50), ms(total.latency, 99),
			ms(total.refusal, 50), ms(total.refusal, 99), phase.lateRefusals(), 100*large, 100*small, 100*lowest, phase.notSent)
	}
	fmt.Printf("\nanswered at the last load over the most: %.3f\n", last/peak)
	return nil
}

// failureModes are the ways in which measureFailures makes a third of the upstreams fail. set
// starts and ends the failure of one upstream. The last one does not end, so it must stay last.
var failureModes = []struct {
	name string
	set  func(ctx context.Context, h *local.Host, on bool) error
}{
	{"none", func(context.Context, *local.Host, bool) error { return nil }},
	{"engine breaks each connection", func(ctx context.Context, h *local.Host, on bool) error {
		f := standin.Failure{}
		if on {
			f = standin.Failure{Mode: standin.Die, Times: 1 << 30}
		}
		return local.InjectFailure(ctx, h.Upstream, f)
	}},
	{"engine is gone", func(_ context.Context, h *local.Host, on bool) error {
		if on {
			h.Upstream.Kill()
			return nil
		}
		return h.Upstream.Start()
	}},
	{"upstream host is gone", func(_ context.Context, h *local.Host, on bool) error {
		if on {
			h.Kill()
			h.Upstream.Kill()
		}
		return nil
	}},
}

// failingLoad is the load of measureFailures as a fraction of the capacity. The two thirds of the
// upstreams that do not fail can serve it.
const failingLoad = 0.5

func measureFailures(ctx context.Context, s *local.System) error {
	client := newClient()
	fmt.Printf("%.1f of the capacity; %d of %d upstreams fail\n\n", failingLoad, engineCount/3, engineCount)
	fmt.Println("| failure | requests | retries | attempts / requests | answered | refused as not run | failed | answered ms p50 | p99 |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, f := range failureModes {
		for _, h := range s.Agents[:engineCount/3] {
			if err := f.set(ctx, h, true); err != nil {
				return errors.Wrap(err, f.name)
			}
		}
		before, err := local.Counters(ctx, s.Entries)
		if err != nil {
			return err
		}
		p := runPhase(ctx, s, client, mixedSources(failingLoad))
		after, err := local.Counters(ctx, s.Entries)
		if err != nil {
			return err
		}
		for _, h := range s.Agents[:engineCount/3] {
			if err := f.set(ctx, h, false); err != nil {
				return errors.Wrap(err, f.name)
			}
		}
		r := p.total()
		requests := after[requestsMetric] - before[requestsMetric]
		retries := after[retriesMetric] - before[retriesMetric]
		fmt.Printf("| %s | %d | %d | %.3f | %.2f%% | %.2f%% | %.2f%% | %.0f | %.0f |\n", f.name, requests, retries,
			float64(requests+retries)/float64(requests), percent(r.ok, r.offered), percent(r.refused, r.offered),
			percent(r.failed, r.offered), ms(r.latency, 50), ms(r.latency, 99))
	}
	return nil
}

// measureLimits loads the system with more than the limits of two workspaces, in two rounds. In
// the second round the entry hosts know the demand from the first.
func measureLimits(ctx context.Context, s *local.System) error {
	client := newClient()
	var sources []source
	for _, w := range limitedWorkspaces {
		sources = append(sources, source{w, limitedLoad * limitRate})
	}
	fmt.Printf("limit %d requests/s over %d entry hosts\n\n", limitRate, len(s.Entries))
	fmt.Println("| workspace | round | offered/s | answered/s | refused/s | failed | refused ms p99 |\n|---|---|---|---|---|---|---|")
	for round := range 2 {
		p := runPhase(ctx, s, client, sources)
		for _, r := range p.results {
			fmt.Printf("| %s | %d | %.0f | %.0f | %.0f | %d | %.1f |\n", r.workspace.name, round+1,
				p.rate(r.offered), p.rate(r.ok), p.rate(r.refused), r.failed, ms(r.refusal, 99))
		}
	}
	return nil
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

var pathLayout = local.Layout{Control: 3, Entries: 1, Engines: 4, Services: 1, EngineArgs: []string{"--step", "0s"}}

// pathCalls is the number of sequential requests to each target that measureAddedLatency compares.
// callerCount callers load the entry host for callersRunTime in measureEntryRate.
const (
	pathCalls      = 3000
	pathTokens     = 8
	callerCount    = 64
	callersRunTime = 5 * time.Second
)

// measurePath prints the memory of idle processes, the latency that the system adds to direct
// calls, and the request rate of one entry host.
func measurePath(ctx context.Context, s *local.System) error {
	if err := printIdleMemory(s); err != nil {
		return err
	}
	if err := measureAddedLatency(ctx, s); err != nil {
		return err
	}
	return measureEntryRate(ctx, s)
}

// measureAddedLatency compares calls through the entry host with direct calls to an engine. The
// calls alternate, so that both are measured under the same conditions.
func measureAddedLatency(ctx context.Context, s *local.System) error {
	client := newClient()
	names := []string{"direct", "path"}
	targets := []string{s.StandIns[0].ListenAddress, s.Entries[0].ListenAddress}
	times := []*hdrhistogram.Histogram{newResult(workspace{}).latency, newResult(workspace{}).latency}
	token := workspaces()[0].token
	for n := range pathCalls {
		for i, target := range targets {
			start := time.Now()
			if status, _ := call(ctx, client, target, token, fmt.Sprint("call ", n), pathTokens); status != http.StatusOK {
				return errors.Errorf("%s: status %d", names[i], status)
			}
			_ = times[i].RecordValue(time.Since(start).Microseconds())
		}
	}
	fmt.Printf("\n| %d calls one after the other | p50 ms | p99 ms |\n|---|---|---|\n", pathCalls)
	for i, h := range times {
		fmt.Printf("| %s | %.2f | %.2f |\n", names[i], ms(h, 50), ms(h, 99))
	}
	fmt.Printf("| added | %.2f | %.2f |\n", ms(times[1], 50)-ms(times[0], 50), ms(times[1], 99)-ms(times[0], 99))
	return nil
}

// measureEntryRate loads one entry host with callers that send the next request as soon as they
// have a response.
func measureEntryRate(ctx context.Context, s *local.System) error {
	client := newClient()
	token := workspaces()[0].token
	var ok, other atomic.Int64
	before, err := s.Entries[0].Usage()
	if err != nil {
		return err
	}
	start := time.Now()
	var wg sync.WaitGroup
	for c := range callerCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(start) < callersRunTime && ctx.Err() == nil; n++ {
				if status, _ := call(ctx, client, s.Entries[0].ListenAddress, token, fmt.Sprint(c, " asks ", n), pathTokens); status == http.StatusOK {
					ok.Add(1)
				} else {
					other.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	elapsed := time.Since(start)
	after, err := s.Entries[0].Usage()
	if err != nil {
		return err
	}
	cpuSeconds := (after.CPU - before.CPU).Seconds()
	fmt.Printf("\n| callers | answered/s | others | cores used by the entry process | answered per core and second | RSS after MiB |\n|---|---|---|---|---|---|\n")
	fmt.Printf("| %d | %.0f | %d | %.2f | %.0f | %.1f |\n", callerCount, float64(ok.Load())/elapsed.Seconds(), other.Load(),
		cpuSeconds/elapsed.Seconds(), float64(ok.Load())/cpuSeconds, mebibytes(after.Resident))
	return nil
}

func printIdleMemory(s *local.System) error {
	fmt.Println("| idle process | RSS MiB |\n|---|---|")
	for _, h := range s.Daemons() {
		u, err := h.Usage()
		if err != nil {
			return err
		}
		fmt.Printf("| %s | %.1f |\n", h.Name, mebibytes(u.Resident))
	}
	return nil
}

func mebibytes(n int64) float64 { return float64(n) / (1 << 20) }

// The names of the entry hosts' counters of requests and retries.
const (
	requestsMetric = "sassafraspost_entry_requests"
	retriesMetric  = "sassafraspost_entry_retries"
)
