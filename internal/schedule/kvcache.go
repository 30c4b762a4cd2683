package schedule

import "time"

// An engine crashes if the requests that it holds need more tokens than its KV cache has room for.
// This host knows what its own requests need at most, as far as their callers have stated it. The
// other requests at the engine are assumed to need the mean of the configuration.

// limitsTokens reports whether the KV cache limits where a request may be sent: its tokens and the
// size of the engines' caches are known.
func (sv *service) limitsTokens(c *Constraints) bool {
	return c != nil && c.Tokens > 0 && sv.engineSpec != nil && sv.engineSpec.KVCacheTokens > 0
}

// exceedsCache reports whether a request needs more tokens than an empty cache has room for.
func (sv *service) exceedsCache(c *Constraints) bool {
	return sv.limitsTokens(c) && c.Tokens > sv.engineSpec.KVCacheTokens
}

// fitsCache reports whether the engine's cache has room for a request.
func (s *Scheduler) fitsCache(u *upstream, c *Constraints, now time.Duration) bool {
	sv := u.service
	if !sv.limitsTokens(c) {
		return true
	}
	others := max(s.estimatedLoad(u, now)-float64(u.inflight), 0)
	return float64(u.tokens+c.Tokens)+others*sv.meanTokens() <= float64(sv.engineSpec.KVCacheTokens)
}

// meanTokens returns the mean number of tokens that a request needs, 0 for plain services.
func (sv *service) meanTokens() float64 {
	if sv.engineSpec == nil {
		return 0
	}
	return sv.engineSpec.MeanPromptTokens + sv.engineSpec.MeanAnswerTokens
}

// countTokens counts what an attempt needs at its engine until it is released.
func (t *Ticket) countTokens() {
	t.tokens = t.constraints.Tokens
	if t.tokens == 0 {
		t.tokens = int(t.service.meanTokens())
	}
	t.upstream.tokens += t.tokens
}
