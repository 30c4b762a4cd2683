// Package routing chooses the upstream for an attempt to serve a request.
//
// The choice is a pure function of a snapshot of candidates, the request and a source of
// randomness. Filters drop candidates that must not or should not be used. Scorers estimate
// the time to the first token. A picker takes one of the cheapest candidates. Router keeps
// the statistics from which the snapshot is made.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Request describes a request to be routed.
type Request struct {
	// Pool is the name of the pool of upstreams that can serve the request.
	Pool string
	// Version is the model version that the service's document asks for. It is empty for
	// services without models.
	Version string
	// Prefixes has a hash for each block of the prompt, computed over the prompt up to and
	// including that block.
	Prefixes []uint64
	// Tried has the names of the upstreams that earlier attempts used.
	Tried []string
}

// Candidate is a snapshot of what this host knows about one upstream.
type Candidate struct {
	Upstream wire.Upstream
	// Suspect is set if no directory host receives announcements of the upstream.
	Suspect bool
	// Evacuated is set if the upstream is in an evacuated data centre.
	Evacuated bool
	// Failing is set if an attempt of this host failed there within failureCooldown.
	Failing bool
	// ReportAge is the age of the load report.
	ReportAge time.Duration
	// InFlight is the number of this host's attempts in progress there.
	InFlight int
	// OtherHostsLoad is the number of requests in the load report minus this host's own
	// attempts at the time of the report.
	OtherHostsLoad int
	// CachedFraction is the fraction, 0 to 1, of the prompt's leading blocks that should be
	// in the upstream's prefix cache.
	CachedFraction float64
}

// Filter decides which candidates are suitable for a request.
type Filter interface {
	// Name identifies the filter in metrics.
	Name() string
	// Keep reports whether c is suitable for r.
	Keep(r *Request, c *Candidate) bool
	// IsHard reports whether the filter applies even if it drops all candidates. A soft
	// filter is skipped in that case.
	IsHard() bool
}

// Scorer estimates one part of the cost of sending a request to a candidate.
type Scorer interface {
	// Name identifies the scorer in metrics.
	Name() string
	// Cost returns the cost in multiples of an idle upstream's time to the first token.
	// Lower is better.
	Cost(r *Request, c *Candidate) float64
}

// Picker chooses one of the scored candidates, of which there is at least one, and returns
// its index.
type Picker interface {
	Pick(scored []ScoredCandidate, rng *rand.Rand) int
}

// ScoredCandidate is a candidate with the sum of its costs.
type ScoredCandidate struct {
	Candidate *Candidate
	Cost      float64
}

// Policy combines filters, scorers and a picker.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
}

// DefaultPolicy returns the policy that entry hosts use.
func DefaultPolicy() *Policy {
	return &Policy{
		Filters: []Filter{PoolFilter{}, ReadyFilter{}, EvacuationFilter{}, UntriedFilter{}, VersionFilter{}, HealthyFilter{}},
		Scorers: []Scorer{WaitScorer{}, PrefillScorer{}},
		Picker:  PowerOfDChoices{Draws: 3},
	}
}

// ErrNoUpstream means that no upstream is suitable for the request. Nothing has run.
var ErrNoUpstream = verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream can take the request").WithRetryAfter(time.Second)

// Choose returns the index of the chosen candidate, or ErrNoUpstream.
func (p *Policy) Choose(r *Request, candidates []Candidate, rng *rand.Rand) (int, error) {
	suitable := p.suitable(r, candidates)
	if len(suitable) == 0 {
		return 0, ErrNoUpstream
	}
	return p.best(r, candidates, suitable, rng), nil
}

// suitable returns the indices of the candidates that all filters keep.
func (p *Policy) suitable(r *Request, candidates []Candidate) []int {
	kept := make([]int, 0, len(candidates))
	for i := range candidates {
		kept = append(kept, i)
	}
	for _, f := range p.Filters {
		kept = applyFilter(f, r, candidates, kept)
	}
	return kept
}

// best returns the index of the candidate that the picker picks among the suitable ones.
func (p *Policy) best(r *Request, candidates []Candidate, suitable []int, rng *rand.Rand) int {
	scored := make([]ScoredCandidate, len(suitable))
	for n, i := range suitable {
		scored[n] = ScoredCandidate{Candidate: &candidates[i], Cost: p.cost(r, &candidates[i])}
	}
	return suitable[p.Picker.Pick(scored, rng)]
}

// applyFilter returns the indices that f keeps. A soft filter that would drop all of them
// drops none.
func applyFilter(f Filter, r *Request, candidates []Candidate, in []int) []int {
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
	for _, s := range p.Scorers {
		sum += s.Cost(r, c)
	}
	return sum
}
