// Package balance picks the upstream for an attempt from a snapshot of the candidates.
//
// A Picker is a chain of small steps: filters drop candidates, scores rank what is left,
// and one of the best is drawn. All of it is pure.
package balance

// Candidate is an upstream as a host sees it at one moment.
type Candidate struct {
	ID      string
	Address string
	// Slots is how many requests it works on at once.
	Slots int
	// Inflight is how many requests this host has there now; Elsewhere is an estimate
	// of those of other hosts.
	Inflight  int
	Elsewhere float64
	// IsLocal tells that it is in the data centre of this host.
	IsLocal bool
	// IsSuspect tells that it is silent, or that attempts of late have failed there.
	IsSuspect bool
}

// Filter drops candidates. An empty result means that the filter does not apply.
type Filter func(all []Candidate) []Candidate

// Score ranks a candidate; lower is better.
type Score func(c *Candidate) float64

// Picker is a chain of filters and a score.
type Picker struct {
	Filters []Filter
	Score   Score
}

// Pick returns the index in all of the chosen candidate, or -1 where there is none.
// Draw is uniform in [0, 1) and decides between equals.
func (p *Picker) Pick(all []Candidate, draw float64) int {
	left := all
	for _, f := range p.Filters {
		if kept := f(left); len(kept) > 0 {
			left = kept
		}
	}
	var best []string
	lowest := 0.0
	for i := range left {
		s := p.Score(&left[i])
		switch {
		case len(best) == 0 || s < lowest:
			best, lowest = append(best[:0], left[i].ID), s
		case s == lowest:
			best = append(best, left[i].ID)
		}
	}
	if len(best) == 0 {
		return -1
	}
	return indexOf(all, best[int(draw*float64(len(best)))])
}

func indexOf(all []Candidate, id string) int {
	for i := range all {
		if all[i].ID == id {
			return i
		}
	}
	return -1
}

// Without drops the candidates that were tried before.
func Without(tried []string) Filter {
	return func(all []Candidate) []Candidate {
		return keep(all, func(c *Candidate) bool {
			for _, id := range tried {
				if id == c.ID {
					return false
				}
			}
			return true
		})
	}
}

// Trusted drops suspects.
func Trusted(all []Candidate) []Candidate {
	return keep(all, func(c *Candidate) bool { return !c.IsSuspect })
}

// Untried returns the candidates that were not tried, which may be none: unlike a filter
// it is binding.
func Untried(all []Candidate, tried []string) []Candidate {
	if len(tried) == 0 {
		return all
	}
	return Without(tried)(all)
}

func keep(all []Candidate, ok func(*Candidate) bool) []Candidate {
	var out []Candidate
	for i := range all {
		if ok(&all[i]) {
			out = append(out, all[i])
		}
	}
	return out
}

// localBonus is what being near is worth, in parts of a full upstream: less than one
// request's part, so that it decides between equals only.
const localBonus = 0.02

// LeastLoaded ranks by the part of the slots that is taken.
func LeastLoaded(c *Candidate) float64 {
	load := (float64(c.Inflight) + c.Elsewhere) / float64(max(c.Slots, 1))
	if c.IsLocal {
		load -= localBonus
	}
	return load
}
