// Command streams measures what a streamed token costs an entry host and an agent: it
// lets callers stream from one engine through one entry host, and prints processor
// time and bytes a token and the time between tokens.
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

const (
	timeout    = 2 * time.Minute
	maxGapUS   = 60_000_000
	precision  = 3
	tokenStart = "data: {"
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
	return local.WithSystem(layout, func(s *local.System) error { return compare(ctx, s, o) })
}

// compare streams past the system and through it.
func compare(ctx context.Context, s *local.System, o options) error {
	if err := s.Prepare(ctx, local.Document("v1")); err != nil {
		return err
	}
	for _, way := range []struct{ name, address string }{
		{"direct", s.Agents[0].Upstream.ListenAddress}, {"through the system", s.Entries[0].ListenAddress},
	} {
		if err := measure(ctx, s, o, way.name, way.address); err != nil {
			return err
		}
	}
	return nil
}

// measure streams from an address and prints what that cost.
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
	c := &crowd{gaps: hdrhistogram.New(1, maxGapUS, precision), first: hdrhistogram.New(1, maxGapUS, precision)}
	var wg sync.WaitGroup
	for i := range o.callers {
		wg.Go(func() { c.stream(ctx, address, fmt.Sprint("caller ", i), o.tokens) })
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
	perToken := func(spent time.Duration) float64 { return float64(spent.Microseconds()) / float64(c.tokens) }
	fmt.Printf("%s: %d tokens, %.0f/s; first token ms p50 %.1f p95 %.1f p99 %.1f; between tokens ms p50 %.1f p95 %.1f p99 %.1f; entry %.1f µs and agent %.1f µs a token; failed %d\n",
		name, c.tokens, float64(c.tokens)/seconds, ms(c.first, 50), ms(c.first, 95), ms(c.first, 99),
		ms(c.gaps, 50), ms(c.gaps, 95), ms(c.gaps, 99),
		perToken(entryAfter.CPU-entry.CPU), perToken(agentAfter.CPU-agent.CPU), c.failed)
	return nil
}

func ms(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// crowd counts over all callers.
type crowd struct {
	mu             sync.Mutex
	gaps, first    *hdrhistogram.Histogram
	tokens, failed int
}

func (c *crowd) stream(ctx context.Context, address, prompt string, tokens int) {
	q := local.CompletionRequest(prompt, tokens, true)
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+q.Path, strings.NewReader(q.Body))
	if err != nil {
		c.fail()
		return
	}
	req.Header.Set("Authorization", "Bearer "+local.CallerToken)
	asked := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		c.fail()
		return
	}
	defer resp.Body.Close()
	last := time.Time{}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), tokenStart) {
			last = c.note(asked, last)
		}
	}
	if lines.Err() != nil {
		c.fail()
	}
}

// note counts a token and returns when it came.
func (c *crowd) note(asked, last time.Time) time.Time {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens++
	if last.IsZero() {
		_ = c.first.RecordValue(now.Sub(asked).Microseconds())
	} else {
		_ = c.gaps.RecordValue(now.Sub(last).Microseconds())
	}
	return now
}

func (c *crowd) fail() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed++
}
