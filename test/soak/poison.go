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
	// poisonPrompts is how many different requests end upstreams in a run.
	poisonPrompts = 2
	// maxCrashesPerPrompt is how many upstreams one such request may end, as long as all hosts hear of each
	// other.
	maxCrashesPerPrompt = 3
	// poisonPause is the pause between two askings: longer than what hosts take to tell each
	// other, and shorter than an upstream is away.
	poisonPause = 300 * time.Millisecond
)

// sendPoison asks for one of the prompts that end whoever runs them until the fault is over, at
// one entry host after the other.
func sendPoison(ctx context.Context, s *local.System, r *record, f Fault) {
	ctx, cancel := context.WithTimeout(ctx, f.For)
	defer cancel()
	prompt := fmt.Sprintf("%s %d", standin.Poison, int(f.At/time.Millisecond)%poisonPrompts)
	for n := int(f.At); ctx.Err() == nil; n++ {
		a := local.Do(ctx, s.Entries[n%len(s.Entries)].Listen, local.Completion(prompt, streamTokens, true))
		switch {
		case strings.Contains(a.Body, string(verdict.CodeQuarantined)):
			r.count("poison held")
		case ctx.Err() == nil:
			r.count("poison asked")
		}
		sleep(ctx, poisonPause)
	}
}

// checkCrashes compares how many upstreams each such request has ended with what is promised.
func (c *callerPool) checkCrashes(done standin.Report) {
	for prompt, n := range done.Crashes {
		c.r.mu.Lock()
		c.r.counts["upstreams ended"] += n
		c.r.mu.Unlock()
		if n > maxCrashesPerPrompt {
			c.r.addViolation(Contained, "%q has ended %d upstreams", prompt, n)
		}
	}
}

// checkNotQuarantined notes an answer to an innocent request that was taken for one that ends upstreams.
func (c *callerPool) checkNotQuarantined(id string, a local.Answer) {
	if strings.Contains(a.Body, `"`+string(verdict.CodeQuarantined)+`"`) {
		c.r.addViolation(Contained, "%s is held, and has ended nobody", id)
	}
}
