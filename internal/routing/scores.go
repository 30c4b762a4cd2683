package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// reportHalfLife is the age at which a load report counts half.
	reportHalfLife = 4 * time.Second
	// defaultFirstTokenUS stands in where an upstream reported no time yet.
	defaultFirstTokenUS = 50_000
	// prefillShare is the part of the first token's time that a cached prompt saves.
	prefillShare = 0.8
)

// WaitScore estimates how long the request waits behind others. What this host has
// there is known exactly; what others have is known from the report, which counts
// less with its age.
type WaitScore struct{}

// Name implements Score.
func (WaitScore) Name() string { return "wait" }

// Cost implements Score.
func (WaitScore) Cost(_ *Request, c *Candidate) float64 {
	discount := math.Exp2(-c.ReportAge.Seconds() / reportHalfLife.Seconds())
	expected := float64(c.InFlight) + float64(c.Others)*discount
	capacity := math.Max(float64(c.Upstream.Load.Capacity), 1)
	return firstToken(c) * expected / capacity
}

// PrefillScore estimates the time to compute the part of the prompt that is not
// in the upstream's cache.
type PrefillScore struct{}

// Name implements Score.
func (PrefillScore) Name() string { return "prefill" }

// Cost implements Score.
func (PrefillScore) Cost(_ *Request, c *Candidate) float64 {
	return firstToken(c) * (1 - prefillShare*c.Cached)
}

func firstToken(c *Candidate) float64 {
	if c.Upstream.Load.FirstTokenUS == 0 {
		return defaultFirstTokenUS
	}
	return float64(c.Upstream.Load.FirstTokenUS)
}

// TwoChoices draws two candidates and takes the cheaper one. Entry hosts that see
// the same late reports so do not all go to the same upstream.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(scored []Scored, rng *rand.Rand) int {
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
