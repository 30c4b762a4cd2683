package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// reportHalfLife is the age at which what a report says of others counts half.
	reportHalfLife = 500 * time.Millisecond
	// fullLoadCost is what a full upstream costs against an idle one: its steps are longer.
	fullLoadCost = 1
	// queuedBatchCost is what a request costs that waits for as many to end as the upstream
	// runs at once: a whole answer takes several times the time to its first token.
	queuedBatchCost = 8
	// uncachedPromptCost is the part of the time to the first token that a prompt saves that is
	// in the cache.
	uncachedPromptCost = 0.8
)

// WaitScorer estimates how long the request waits behind others. What this host has
// there is known exactly; what others have is known from the report, which counts
// less with its age.
type WaitScorer struct{}

// Name implements Score.
func (WaitScorer) Name() string { return "wait" }

// Cost implements Score.
func (WaitScorer) Cost(_ *Request, c *Candidate) float64 {
	discount := math.Exp2(-c.ReportAge.Seconds() / reportHalfLife.Seconds())
	expected := float64(c.InFlight) + float64(c.OtherHostsLoad)*discount + 1
	full := expected / math.Max(float64(c.Upstream.Load.Capacity), 1)
	return fullLoadCost*full + queuedBatchCost*math.Max(0, full-1)
}

// PrefillScorer estimates the time to compute the part of the prompt that is not
// in the upstream's cache.
type PrefillScorer struct{}

// Name implements Score.
func (PrefillScorer) Name() string { return "prefill" }

// Cost implements Score.
func (PrefillScorer) Cost(_ *Request, c *Candidate) float64 {
	return uncachedPromptCost * (1 - c.CachedFraction)
}

// PowerOfDChoices takes the cheapest of some candidates: Draws at random, so that entry hosts
// which see the same late reports do not all go to the same upstream, and the one that
// has most of the prompt in its cache, which a draw would rarely find.
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
