package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// reportHalfLife is the age at which the other hosts' load in a report counts half.
	reportHalfLife = 500 * time.Millisecond
	// fullLoadCost is the cost of an upstream that runs at its capacity, relative to an idle
	// one, because its decoding steps take longer.
	fullLoadCost = 1
	// queuedBatchCost is the cost of waiting until as many requests have ended as the upstream
	// runs concurrently. A complete answer takes several times the time to its first token.
	queuedBatchCost = 8
	// uncachedPromptCost is the fraction of the time to the first token that is saved if the
	// whole prompt is in the prefix cache.
	uncachedPromptCost = 0.8
)

// WaitScorer estimates how long the request waits behind others. The number of this host's
// own requests is exact. The number of the other hosts' requests is from the load report,
// which counts less the older it is.
type WaitScorer struct{}

// Name implements Scorer.
func (WaitScorer) Name() string { return "wait" }

// Cost implements Scorer.
func (WaitScorer) Cost(_ *Request, c *Candidate) float64 {
	discount := math.Exp2(-c.ReportAge.Seconds() / reportHalfLife.Seconds())
	expected := float64(c.InFlight) + float64(c.OtherHostsLoad)*discount + 1
	utilization := expected / math.Max(float64(c.Upstream.Load.Capacity), 1)
	return fullLoadCost*utilization + queuedBatchCost*math.Max(0, utilization-1)
}

// PrefillScorer estimates the time to process the part of the prompt that is not in the
// upstream's prefix cache.
type PrefillScorer struct{}

// Name implements Scorer.
func (PrefillScorer) Name() string { return "prefill" }

// Cost implements Scorer.
func (PrefillScorer) Cost(_ *Request, c *Candidate) float64 {
	return uncachedPromptCost * (1 - c.CachedFraction)
}

// PowerOfDChoices picks the cheapest of a few candidates. Draws of them are drawn at random,
// so entry hosts that have the same stale load reports don't all pick the same upstream. One
// more is the candidate with the largest part of the prompt in its cache, which random draws
// would rarely include. If no candidate has any part of it, that one is random too.
type PowerOfDChoices struct{ Draws int }

// Pick implements Picker.
func (p PowerOfDChoices) Pick(scored []ScoredCandidate, rng *rand.Rand) int {
	best := 0
	for i := range scored {
		if scored[i].Candidate.CachedFraction > scored[best].Candidate.CachedFraction {
			best = i
		}
	}
	if scored[best].Candidate.CachedFraction == 0 {
		best = rng.IntN(len(scored))
	}
	for range p.Draws {
		if i := rng.IntN(len(scored)); scored[i].Cost < scored[best].Cost {
			best = i
		}
	}
	return best
}
