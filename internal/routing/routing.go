// Package routing chooses the upstream for an attempt.
//
// The choice is a pure function of a snapshot of candidates, the request and a
// source of randomness: filters drop what must not or should not be used, scores
// estimate the time to the first token, and a picker takes one of the best.
// Router keeps the soft state that the snapshot is made of.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Request is what routing has to know of a request.
type Request struct {
	// Pool names the upstreams that can serve the request.
	Pool string
	// Version is what the document wants to be served; empty for plain services.
	Version string
	// Prefixes are the hashes of the prompt's blocks, each over all before it.
	Prefixes []uint64
	// Tried names the upstreams of earlier attempts.
	Tried []string
}

// Candidate is one upstream as this host sees it at the moment of a choice.
type Candidate struct {
	Upstream wire.Upstream
	// Suspect tells that no directory host hears from the upstream.
	Suspect bool
	// Failing tells that attempts of this host failed there lately.
	Failing bool
	// ReportAge is how old the load report is.
	ReportAge time.Duration
	// InFlight counts this host's attempts in progress there.
	InFlight int
	// Others is what the report counts beyond this host's own attempts at its time.
	Others int
	// Cached is the share of the prompt's blocks that should be in the cache, 0 to 1.
	Cached float64
}

// Filter keeps the candidates that fit a request.
type Filter interface {
	// Name identifies the filter in metrics.
	Name() string
	// Keep reports whether c fits.
	Keep(r *Request, c *Candidate) bool
	// IsHard tells that the filter holds even where no candidate passes it.
	IsHard() bool
}

// Score estimates a cost.
type Score interface {
	// Name identifies the score in metrics.
	Name() string
	// Cost is in times to the first token of an idle upstream; less is better.
	Cost(r *Request, c *Candidate) float64
}

// Picker takes one of the scored candidates. There is at least one.
type Picker interface {
	Pick(scored []Scored, rng *rand.Rand) int
}

// Scored is a candidate with the sum of its costs.
type Scored struct {
	Candidate *Candidate
	Cost      float64
}

// Policy is a way to choose.
type Policy struct {
	Filters []Filter
	Scores  []Score
	Picker  Picker
}

// DefaultPolicy is what entry hosts use.
func DefaultPolicy() *Policy {
	return &Policy{
		Filters: []Filter{PoolFilter{}, ReadyFilter{}, UntriedFilter{}, VersionFilter{}, HealthyFilter{}},
		Scores:  []Score{WaitScore{}, PrefillScore{}},
		Picker:  Choices{Draws: 3},
	}
}

// ErrNoUpstream tells that no upstream fits the request; nothing has run.
var ErrNoUpstream = verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream can take the request").WithRetryAfter(time.Second)

// Choose returns the index of the chosen candidate, or ErrNoUpstream.
func (p *Policy) Choose(r *Request, candidates []Candidate, rng *rand.Rand) (int, error) {
	kept := make([]int, 0, len(candidates))
	for i := range candidates {
		kept = append(kept, i)
	}
	for _, f := range p.Filters {
		kept = apply(f, r, candidates, kept)
	}
	if len(kept) == 0 {
		return 0, ErrNoUpstream
	}
	scored := make([]Scored, len(kept))
	for n, i := range kept {
		scored[n] = Scored{Candidate: &candidates[i], Cost: p.cost(r, &candidates[i])}
	}
	return kept[p.Picker.Pick(scored, rng)], nil
}

// apply keeps what f keeps. A soft filter that would drop all drops none.
func apply(f Filter, r *Request, candidates []Candidate, in []int) []int {
	out := make([]int, 0, len(in))
	for _, i := range in {
		if f.Keep(r, &candidates[i]) {
			out = append(out, i)
		}
	}
	if len(out) == 0 && !f.IsHard() {
		return in
	}
	return out
}

func (p *Policy) cost(r *Request, c *Candidate) float64 {
	sum := 0.0
	for _, s := range p.Scores {
		sum += s.Cost(r, c)
	}
	return sum
}
