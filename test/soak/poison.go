package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

const (
	// poisons is how many different requests end upstreams in a run.
	poisons = 2
	// mostEnds is how many upstreams one such request may end, as long as all hosts hear of each
	// other.
	mostEnds = 3
	// poisonPause is the pause between two askings: longer than what hosts take to tell each
	// other, and shorter than an upstream is away.
	poisonPause = 300 * time.Millisecond
)

// poison asks for one of the prompts that end whoever runs them until the fault is over, at
// one entry host after the other.
func poison(ctx context.Context, s *local.System, r *record, f Fault) {
	ctx, cancel := context.WithTimeout(ctx, f.For)
	defer cancel()
	prompt := fmt.Sprintf("%s %d", standin.Poison, int(f.At/time.Millisecond)%poisons)
	for n := int(f.At); ctx.Err() == nil; n++ {
		a := local.Do(ctx, s.Entries[n%len(s.Entries)].ListenAddress, local.CompletionRequest(prompt, tokens, true))
		switch {
		case strings.Contains(a.Body, string(verdict.CodeQuarantined)):
			r.count("poison held")
		case ctx.Err() == nil:
			r.count("poison asked")
		}
		pause(ctx, poisonPause)
	}
}

// checkEnds compares how many upstreams each such request has ended with what is promised.
func (c *callers) checkEnds(done standin.Report) {
	for prompt, n := range done.Ends {
		c.r.mu.Lock()
		c.r.counts["upstreams ended"] += n
		c.r.mu.Unlock()
		if n > mostEnds {
			c.r.fail(Contained, "%q has ended %d upstreams", prompt, n)
		}
	}
}

// noteHeld notes an answer to an innocent request that was taken for one that ends upstreams.
func (c *callers) noteHeld(id string, a local.Response) {
	if strings.Contains(a.Body, `"`+string(verdict.CodeQuarantined)+`"`) {
		c.r.fail(Contained, "%s is held, and has ended nobody", id)
	}
}
