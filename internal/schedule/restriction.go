package schedule

import (
	"math"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/registry"
)

const (
	// hostMemory is how long a host that is not heard of any more keeps its share of a rate. It
	// may be cut off and use the share.
	hostMemory = time.Minute
	// maxAvoidance is how long a host avoids an upstream that has asked another host for rest. After
	// that it finds out by itself whether the upstream turns its requests away too.
	maxAvoidance = 3 * time.Second
	// minSpread and maxSpread limit the time over which callers are spread that are refused because
	// of rate limits or rests. All of them would return when a rest ends.
	minSpread = 500 * time.Millisecond
	maxSpread = 2 * time.Second
)

// SetRateLimit sets the rate limit of one incarnation of an upstream, in requests per second; 0
// means none. It returns the decisions on queued requests.
func (s *Scheduler) SetRateLimit(i backpressure.Incarnation, perSecond float64, now time.Duration) []Result {
	u := s.upstreams[i.Upstream]
	if u == nil || u.StartedAt != i.StartedAt || !u.isServing {
		return nil
	}
	u.statedRate = perSecond
	switch {
	case u.isCold():
		u.allowance.SetLimit(u.service.cold.limit().Lower(perSecond))
	case perSecond == 0:
		u.allowance = nil
	case u.allowance == nil:
		u.allowance = backpressure.NewAllowance(perSecond)
	default:
		u.allowance.SetRate(perSecond)
	}
	s.updateRestricted(now)
	return s.reconsiderWaiters(u.service, now)
}

// SetRest records that one incarnation of an upstream wants no requests from this host until the
// given time, also if the upstream is off the list at the moment. It returns the decisions on
// queued requests.
func (s *Scheduler) SetRest(i backpressure.Incarnation, until, now time.Duration) []Result {
	u := s.upstreams[i.Upstream]
	if u == nil || u.StartedAt != i.StartedAt {
		return nil
	}
	u.restUntil = max(u.restUntil, until)
	s.updateRestricted(now)
	return s.reconsiderWaiters(u.service, now)
}

// Avoid records that one incarnation of an upstream has asked another host for rest until the
// given time. It is probably full, so this host prefers others, as if it suspected the upstream,
// for maxAvoidance at most or until the upstream has served a request that was sent after that.
func (s *Scheduler) Avoid(i backpressure.Incarnation, until, now time.Duration) {
	if u := s.upstreams[i.Upstream]; u != nil && u.StartedAt == i.StartedAt {
		u.avoidUntil, u.avoidedAt = max(u.avoidUntil, min(until, now+maxAvoidance)), now
	}
}

// updateRestricted collects the upstreams that have rate limits or rest.
func (s *Scheduler) updateRestricted(now time.Duration) {
	s.restricted = s.restricted[:0]
	for _, u := range s.upstreams {
		if u.isServing && u.isRestricted(now) {
			s.restricted = append(s.restricted, u)
		}
	}
}

// isRestricted reports whether the upstream has a rate limit or rests.
func (u *upstream) isRestricted(now time.Duration) bool {
	return u.allowance != nil || now < u.restUntil
}

// accepts reports whether the upstream accepts a request of this host now: it doesn't rest, and it
// has no rate limit, or the host has a token.
func (u *upstream) accepts(now time.Duration) bool {
	return now >= u.restUntil && (u.allowance == nil || u.allowance.CanSend(now))
}

// passOver records that a request was not sent to the upstream because the host has no token. It has
// no effect for cold upstreams, for which coldTokenRequests asks.
func (u *upstream) passOver(now time.Duration) {
	if u.allowance != nil && !u.isCold() && now >= u.restUntil {
		u.allowance.PassOver()
	}
}

// acceptsAt returns when the upstream accepts a request of this host, as far as it is known.
func (u *upstream) acceptsAt(now time.Duration) time.Duration {
	next := max(u.restUntil, now)
	if u.allowance != nil {
		at := u.allowance.NextAt(now)
		if u.isCold() && u.statedRate == 0 {
			at = min(at, max(u.coldUntil, now))
		}
		next = max(next, at)
	}
	return next
}

// TokenRequest tells of which upstream this host is to ask for how many tokens.
type TokenRequest struct {
	Upstream registry.Upstream
	Count    int
	// ColdRate is the rate limit of all hosts together in requests per second if the upstream is
	// cold, and 0 otherwise.
	ColdRate float64
}

// TakeTokenRequests returns the requests for tokens that are to be sent now. Each must be answered
// by AddTokens or TokensUnanswered.
func (s *Scheduler) TakeTokenRequests(now time.Duration) []TokenRequest {
	s.expireCold(now)
	out := s.coldTokenRequests(nil, now)
	for _, u := range s.restricted {
		if u.allowance == nil || u.isCold() {
			continue
		}
		if n := u.allowance.Ask(now); n > 0 {
			out = append(out, TokenRequest{Upstream: u.Upstream, Count: n})
		}
	}
	return out
}

// AddTokens records the answer to a request for tokens: the waits until each is usable, and the
// time after which the host may ask again. It returns the decisions on queued requests.
func (s *Scheduler) AddTokens(i backpressure.Incarnation, waits []time.Duration, again, now time.Duration) []Result {
	s.expireCold(now)
	u := s.limitedUpstream(i)
	if u == nil {
		return nil
	}
	u.allowance.Granted(waits, again, now)
	return s.reconsiderWaiters(u.service, now)
}

// TokensUnanswered records that a request for tokens was not answered. It returns the decisions on
// queued requests.
func (s *Scheduler) TokensUnanswered(i backpressure.Incarnation, now time.Duration) []Result {
	s.expireCold(now)
	u := s.limitedUpstream(i)
	if u == nil {
		return nil
	}
	if now-s.recentHostsAt > hostMemory {
		s.recentHosts, s.recentHostsAt = s.hosts, now
	}
	random := 0.0
	if u.isCold() {
		random = s.cfg.Random.Float64()
	}
	u.allowance.Unanswered(max(s.recentHosts, s.hosts), random, now)
	return s.reconsiderWaiters(u.service, now)
}

func (s *Scheduler) limitedUpstream(i backpressure.Incarnation) *upstream {
	u := s.upstreams[i.Upstream]
	if u == nil || u.StartedAt != i.StartedAt || u.allowance == nil {
		return nil
	}
	return u
}

// reconsiderWaiters decides on the queued requests of a service, after it has changed which of its
// upstreams accept a request.
func (s *Scheduler) reconsiderWaiters(sv *service, now time.Duration) []Result {
	if len(sv.waiters) == 0 {
		return nil
	}
	return s.refuseWaiters(s.admitWaiters(nil, sv, len(sv.waiters), now), sv, now)
}

// isWhollyRestricted reports whether all upstreams to which the request could be sent have rate limits
// or rest. It is false if all of them are cold and full, because the request then waits for a slot.
func (s *Scheduler) isWhollyRestricted(sv *service, w *Waiter, now time.Duration) bool {
	if len(s.restricted) == 0 {
		return false
	}
	hasUpstream := false
	for _, u := range sv.active {
		if !w.constraints.allow(u) || sv.engineSpec != nil && !sv.serves(u, now) {
			continue
		}
		if !u.isRestricted(now) {
			return false
		}
		hasUpstream = hasUpstream || !u.isCold() || s.estimatedLoad(u, now) < float64(sv.limitOf(u, sv.minStepTimeRatio(now), now))
	}
	return hasUpstream
}

// isRefusedByRestriction reports whether a request to upstreams that all have rate limits or rest
// would wait in vain: none of them accepts a request of this host in time, or as many requests
// wait as this host may send in that time.
func (s *Scheduler) isRefusedByRestriction(sv *service, w *Waiter, now time.Duration) bool {
	next, _ := s.acceptsAt(sv, &w.constraints, now)
	ahead := sv.queuePosition(w, now) - 1
	if next > w.giveUpAt {
		return true
	}
	return ahead > 1+s.ownRate(sv)*MaxQueueWait.Seconds() && !sv.coldEndsBy(w.giveUpAt)
}

// ownRate returns this host's equal share of the rate limits of a service's upstreams, in requests
// per second. It is infinite if one of them has no limit.
func (s *Scheduler) ownRate(sv *service) float64 {
	total := 0.0
	for _, u := range sv.active {
		if u.allowance == nil {
			return math.Inf(1)
		}
		total += u.allowance.Rate()
	}
	return total / float64(s.hosts)
}

// AcceptsAt returns when the first upstream of a service that the request may be sent to accepts one
// of this host, as far as it is known. It returns false if there is none, or if no upstream has a
// rate limit or rests.
func (s *Scheduler) AcceptsAt(name string, c *Constraints, now time.Duration) (time.Duration, bool) {
	s.expireCold(now)
	return s.acceptsAt(s.service(name), c, now)
}

func (s *Scheduler) acceptsAt(sv *service, c *Constraints, now time.Duration) (time.Duration, bool) {
	if len(s.restricted) == 0 {
		return now, false
	}
	first, ok := now, false
	for _, u := range sv.active {
		if !c.allow(u) || sv.engineSpec != nil && !sv.serves(u, now) {
			continue
		}
		if next := u.acceptsAt(now); !ok || next < first {
			first, ok = next, true
		}
	}
	return first, ok
}

// RestrictedRetryAfter returns the Retry-After for a caller whose request no upstream accepts
// before the given time. Callers are spread over the time in which this host may send one
// request, within minSpread and maxSpread, so that they don't return together.
func (s *Scheduler) RestrictedRetryAfter(name string, next, now time.Duration) time.Duration {
	return s.restrictedRetryAfter(s.service(name), next, now)
}

func (s *Scheduler) restrictedRetryAfter(sv *service, next, now time.Duration) time.Duration {
	if sv.coldCount > 0 {
		next = max(next, s.coldQueueEnd(sv, now))
	}
	spread := time.Duration(float64(time.Second) / s.ownRate(sv))
	spread = min(max(spread, minSpread), maxSpread)
	return max(next-now, 0) + time.Duration(s.cfg.Random.Float64()*float64(spread))
}
