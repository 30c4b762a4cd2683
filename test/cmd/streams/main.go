// Command streams measures what a streamed token costs an entry host and an agent.
// Callers stream from one engine, first directly and then through one entry host. It
// prints the CPU time per token, the time to the first token and the time between tokens.
package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"github.com/sassafraspost/sassafraspost/test/local"
)

// maxRecordedUS is the longest time that the histograms record, in microseconds. tokenPrefix starts
// each line of a stream that carries a token.
const (
	timeout           = 2 * time.Minute
	maxRecordedUS     = 60_000_000
	significantDigits = 3
	tokenPrefix       = "data: {"
)

type options struct {
	callers, tokens int
	step            time.Duration
}

func main() {
	var o options
	cmd := &cobra.Command{
		Use:          "streams",
		Short:        "Measure what a streamed token costs",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(o) },
	}
	fs := cmd.Flags()
	fs.IntVar(&o.callers, "callers", 60, "streams at once")
	fs.IntVar(&o.tokens, "tokens", 500, "tokens of each stream")
	fs.DurationVar(&o.step, "step", 20*time.Millisecond, "time between tokens of the engine")
	if err := cmd.Execute(); err != nil {
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	layout := local.Layout{Control: 1, Entries: 1, Engines: 1, EngineArgs: []string{"--step", o.step.String()}}
	return local.WithSystem(layout, func(s *local.System) error { return measureBoth(ctx, s, o) })
}

// measureBoth measures streams directly from the engine, and streams through the system.
func measureBoth(ctx context.Context, s *local.System, o options) error {
	if err := s.Prepare(ctx, local.Document("v1")); err != nil {
		return err
	}
	for _, target := range []struct{ name, address string }{
		{"direct", s.Agents[0].Upstream.ListenAddress}, {"through the system", s.Entries[0].ListenAddress},
	} {
		if err := measure(ctx, s, o, target.name, target.address); err != nil {
			return err
		}
	}
	return nil
}

// measure runs all streams from one address, and prints their latency and their cost per token.
func measure(ctx context.Context, s *local.System, o options, name, address string) error {
	entry, err := s.Entries[0].Usage()
	if err != nil {
		return err
	}
	agent, err := s.Agents[0].Usage()
	if err != nil {
		return err
	}
	begin := time.Now()
	stats := &streamStats{gaps: hdrhistogram.New(1, maxRecordedUS, significantDigits), first: hdrhistogram.New(1, maxRecordedUS, significantDigits)}
	var wg sync.WaitGroup
	for i := range o.callers {
		wg.Go(func() { stats.stream(ctx, address, fmt.Sprint("caller ", i), o.tokens) })
	}
	wg.Wait()
	seconds := time.Since(begin).Seconds()
	entryAfter, err := s.Entries[0].Usage()
	if err != nil {
		return err
	}
	agentAfter, err := s.Agents[0].Usage()
	if err != nil {
		return err
	}
	perToken := func(cpu time.Duration) float64 { return float64(cpu.Microseconds()) / float64(stats.tokens) }
	fmt.Printf("%s: %d tokens, %.0f/s; first token ms p50 %.1f p95 %.1f p99 %.1f; between tokens ms p50 %.1f p95 %.1f p99 %.1f; entry %.1f µs and agent %.1f µs a token; failed %d\n",
		name, stats.tokens, float64(stats.tokens)/seconds, ms(stats.first, 50), ms(stats.first, 95), ms(stats.first, 99),
		ms(stats.gaps, 50), ms(stats.gaps, 95), ms(stats.gaps, 99),
		perToken(entryAfter.CPU-entry.CPU), perToken(agentAfter.CPU-agent.CPU), stats.failed)
	return nil
}

func ms(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// streamStats collects the measurements of all callers. gaps holds the times between two tokens of
// a stream, first the times from a request to its first token, both in microseconds.
type streamStats struct {
	mu             sync.Mutex
	gaps, first    *hdrhistogram.Histogram
	tokens, failed int
}

func (s *streamStats) stream(ctx context.Context, address, prompt string, tokens int) {
	q := local.CompletionRequest(prompt, tokens, true)
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Path, strings.NewReader(q.Body))
	if err != nil {
		s.recordFailure()
		return
	}
	req.Header.Set("Authorization", "Bearer "+local.CallerToken)
	sentAt := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		s.recordFailure()
		return
	}
	defer resp.Body.Close()
	last := time.Time{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), tokenPrefix) {
			last = s.recordToken(sentAt, last)
		}
	}
	if lines.Err() != nil {
		s.recordFailure()
	}
}

// recordToken records that a token arrived now, and returns that time. last is the time of the
// previous token, zero for the first.
func (s *streamStats) recordToken(sentAt, last time.Time) time.Time {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tokens++
	if last.IsZero() {
		_ = s.first.RecordValue(now.Sub(sentAt).Microseconds())
	} else {
		_ = s.gaps.RecordValue(now.Sub(last).Microseconds())
	}
	return now
}

func (s *streamStats) recordFailure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed++
}
