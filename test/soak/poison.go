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
	// poisonPrompts is the number of different prompts in a run that crash upstreams.
	poisonPrompts = 2
	// maxCrashesPerPrompt is how many upstreams one such prompt may crash before it is
	// quarantined everywhere. It holds as long as all hosts can reach each other.
	maxCrashesPerPrompt = 3
	// poisonPause is the pause between two such requests. It is longer than the entry hosts
	// take to tell each other of a crash, and shorter than the downtime of a crashed upstream.
	poisonPause = 300 * time.Millisecond
)

// sendPoison sends one of the prompts that crash upstreams again and again until the fault is
// over, to one entry host after the other.
func sendPoison(ctx context.Context, s *local.System, r *record, f Fault) {
	ctx, cancel := context.WithTimeout(ctx, f.For)
	defer cancel()
	prompt := fmt.Sprintf("%s %d", standin.Poison, int(f.At/time.Millisecond)%poisonPrompts)
	for n := int(f.At); ctx.Err() == nil; n++ {
		answer := local.Do(ctx, s.Entries[n%len(s.Entries)].ListenAddress, local.CompletionRequest(prompt, streamTokens, true))
		switch {
		case strings.Contains(answer.Body, string(verdict.CodeQuarantined)):
			r.count("poison held")
		case ctx.Err() == nil:
			r.count("poison asked")
		}
		sleep(ctx, poisonPause)
	}
}

// checkCrashes checks that no prompt has crashed more than maxCrashesPerPrompt upstreams.
func (c *callerPool) checkCrashes(executions standin.Report) {
	for prompt, n := range executions.Crashes {
		c.r.mu.Lock()
		c.r.counts["upstreams ended"] += n
		c.r.mu.Unlock()
		if n > maxCrashesPerPrompt {
			c.r.addViolation(Contained, "%q has ended %d upstreams", prompt, n)
		}
	}
}

// checkNotQuarantined records a violation if a request that crashes no upstream was refused as
// quarantined.
func (c *callerPool) checkNotQuarantined(id string, answer local.Response) {
	if strings.Contains(answer.Body, `"`+string(verdict.CodeQuarantined)+`"`) {
		c.r.addViolation(Contained, "%s is held, and has ended nobody", id)
	}
}
