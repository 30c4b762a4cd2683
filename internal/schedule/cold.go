package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/registry"
)

// ColdParams tells for how long and how much the upstreams of a service are limited while they are
// cold.
type ColdParams struct {
	// Duration is how long an upstream counts as cold if it is not known for how long it is.
	Duration time.Duration
	// Tolerated is the rate that a cold upstream tolerates, and Bound the most requests that it may
	// get in any second, both from all hosts together.
	Tolerated, Bound float64
}

// isSet reports whether upstreams of the service may be cold.
func (p ColdParams) isSet() bool { return p.Duration > 0 && p.Tolerated > 0 }

// never is later than any time of the host's clock.
const never = forever

// SetColdParams sets which services have cold upstreams; services that are missing have none. It
// returns the decisions on queued requests.
func (s *Scheduler) SetColdParams(params map[string]ColdParams, now time.Duration) []Result {
	s.hasColdParams = len(params) > 0
	for name := range params {
		s.service(name)
	}
	for _, sv := range s.services {
		sv.cold = params[sv.name]
	}
	s.updateCold(now)
	return s.reconsiderAll(now)
}

// MarkPossiblyCold records that the evacuation of a data centre ends now. Its upstreams count as
// cold for the cold duration of their service, unless they announce later that they are not. It
// must be called before SetUpstreams is called with the upstreams of the data centre.
func (s *Scheduler) MarkPossiblyCold(dataCentre string, now time.Duration) {
	s.evacuatedUntil[dataCentre] = now
	s.updateCold(now)
}

// SetObservedCold records that one incarnation of an upstream has stated in a response that it is
// cold until the given time.
func (s *Scheduler) SetObservedCold(i backpressure.Incarnation, until, now time.Duration) {
	if u := s.upstreams[i.Upstream]; u != nil && u.StartedAt == i.StartedAt {
		u.observedColdUntil = max(u.observedColdUntil, until)
		s.updateCold(now)
	}
}

// ColdUpstream tells until when an upstream is cold.
type ColdUpstream struct {
	registry.Upstream
	Until time.Duration
}

// ColdUpstreams returns the upstreams that serve and are cold, sorted by ID.
func (s *Scheduler) ColdUpstreams(now time.Duration) []ColdUpstream {
	s.expireCold(now)
	var out []ColdUpstream
	for _, u := range s.restricted {
		if u.isCold() {
			out = append(out, ColdUpstream{u.Upstream, u.coldUntil})
		}
	}
	slices.SortFunc(out, func(a, b ColdUpstream) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// NextColdEnd returns when the first cold upstream is no longer cold, and false if none is cold.
func (s *Scheduler) NextColdEnd() (time.Duration, bool) { return s.nextColdEnd, s.nextColdEnd < never }

// HasCold reports whether an upstream of the service is cold.
func (s *Scheduler) HasCold(name string, now time.Duration) bool {
	s.expireCold(now)
	sv := s.services[name]
	return sv != nil && sv.coldCount > 0
}

// TakePassedOver returns how many requests were sent to an upstream since the last call because a
// less loaded one is cold.
func (s *Scheduler) TakePassedOver() int {
	n := s.coldPassedOver
	s.coldPassedOver = 0
	return n
}

// isCold reports whether the limit for cold upstreams is in force.
func (u *upstream) isCold() bool { return u.allowance != nil && u.allowance.Limit().IsCold }

// coldEnd returns until when the upstream is cold, as far as it is known.
func (s *Scheduler) coldEnd(u *upstream) time.Duration {
	if !u.service.cold.isSet() {
		return 0
	}
	c := backpressure.ColdTime{
		StatedUntil: u.ColdUntil, StatedAt: u.ColdStatedAt, IsUnknown: u.IsColdUnknown,
		ObservedUntil: u.observedColdUntil, EvacuatedUntil: s.evacuatedUntil[u.DataCentre],
	}
	return c.Until(u.service.cold.Duration, registry.ColdJitter)
}

// expireCold ends the limits of upstreams that are no longer cold. Each method that depends on
// limits calls it first.
func (s *Scheduler) expireCold(now time.Duration) {
	if now >= s.nextColdEnd {
		s.updateCold(now)
	}
}

// updateCold puts the limits for cold upstreams into force and ends those that are over. Tokens of
// a warm upstream are dropped when it becomes cold, since they last longer.
func (s *Scheduler) updateCold(now time.Duration) {
	s.nextColdEnd = never
	for _, sv := range s.services {
		sv.coldCount = 0
	}
	if s.hasColdParams || s.hadCold {
		s.hadCold = false
		for _, u := range s.upstreams {
			if u.isServing {
				s.updateColdLimit(u, now)
			}
		}
	}
	s.updateRestricted(now)
}

func (s *Scheduler) updateColdLimit(u *upstream, now time.Duration) {
	u.coldUntil = s.coldEnd(u)
	switch {
	case now < u.coldUntil:
		limit := u.service.cold.limit().Lower(u.statedRate)
		if u.isCold() {
			u.allowance.SetLimit(limit)
		} else {
			u.allowance = backpressure.NewLimitedAllowance(limit)
		}
		u.service.coldCount++
		s.hadCold, s.nextColdEnd = true, min(s.nextColdEnd, u.coldUntil)
	case u.isCold() && u.statedRate > 0:
		u.allowance = backpressure.NewAllowance(u.statedRate)
	case u.isCold():
		u.allowance = nil
	}
}

func (p ColdParams) limit() backpressure.Limit { return backpressure.ColdLimit(p.Tolerated, p.Bound) }

// PlainWaiter is a request to a plain service that waits for a token.
type PlainWaiter struct {
	service     *service
	constraints *Constraints
}

// AddPlainWaiter records that a request to a plain service waits until an upstream accepts it. The
// caller removes it.
func (s *Scheduler) AddPlainWaiter(name string, c *Constraints) *PlainWaiter {
	w := &PlainWaiter{service: s.service(name), constraints: c}
	w.service.plainWaiters = append(w.service.plainWaiters, w)
	return w
}

// RemovePlainWaiter records that the request waits no longer.
func (s *Scheduler) RemovePlainWaiter(w *PlainWaiter) {
	sv := w.service
	if i := slices.Index(sv.plainWaiters, w); i >= 0 {
		sv.plainWaiters = slices.Delete(sv.plainWaiters, i, i+1)
	}
}

// coldTokenRequests returns the requests for tokens of cold upstreams: one token for each request
// that waits, of the upstream that it would be sent to next.
func (s *Scheduler) coldTokenRequests(out []TokenRequest, now time.Duration) []TokenRequest {
	for _, sv := range s.services {
		if sv.coldCount > 0 {
			out = s.coldTokenRequestsOf(out, sv, now)
		}
		sv.overflowed = false
	}
	return out
}

func (s *Scheduler) coldTokenRequestsOf(out []TokenRequest, sv *service, now time.Duration) []TokenRequest {
	outstanding := 0
	counts := map[*upstream]int{}
	for _, u := range s.restricted {
		if u.service == sv && u.isCold() {
			outstanding += u.allowance.Outstanding(now)
		}
	}
	ask := func(c *Constraints) {
		if outstanding > 0 {
			outstanding--
		} else if u := s.nextCold(sv, c, counts, now); u != nil {
			counts[u]++
		}
	}
	for _, w := range sv.waiters {
		ask(&w.constraints)
	}
	for _, w := range sv.plainWaiters {
		ask(w.constraints)
	}
	if sv.overflowed {
		ask(nil)
	}
	for _, u := range s.restricted {
		if n := counts[u]; n > 0 {
			u.allowance.AskFor(n, now)
			out = append(out, TokenRequest{Upstream: u.Upstream, Count: n, ColdRate: u.allowance.Rate()})
		}
	}
	return out
}

// maxColdTokens is how many tokens a host asks for at once. More would be of use only after the
// longest time for which tokens are handed out ahead.
const maxColdTokens = 8

// nextCold returns the cold upstream to which a waiting request would be sent next, of those that
// a token can be asked for now: the least loaded one, chosen at random among equals. counts holds
// how many tokens are about to be asked for. The result is nil if there is none.
func (s *Scheduler) nextCold(sv *service, c *Constraints, counts map[*upstream]int, now time.Duration) *upstream {
	best := leastScore{random: s.cfg.Random}
	minRatio := sv.minStepTimeRatio(now)
	for _, u := range s.restricted {
		if u.service != sv || !u.isCold() || now < u.restUntil || !c.allow(u) {
			continue
		}
		if !u.allowance.MayAsk(now) || counts[u] >= maxColdTokens {
			continue
		}
		load := s.estimatedLoad(u, now) + float64(counts[u]+u.allowance.Outstanding(now))
		if sv.engineSpec != nil && (!sv.serves(u, now) || load >= float64(sv.limitOf(u, minRatio, now))) {
			continue
		}
		score := load / float64(max(u.Slots, 1))
		if u.isSuspect(now) {
			score += suspectPenalty
		}
		best.add(u, score)
	}
	return best.upstream
}

// suspectPenalty is more than any load, so that no token of a suspect upstream is asked for while
// there is another one.
const suspectPenalty = 1e6

// coldEndsBy reports whether a cold upstream of the service has no limit any more at the given time.
func (sv *service) coldEndsBy(until time.Duration) bool {
	return slices.ContainsFunc(sv.active, func(u *upstream) bool { return u.isCold() && u.statedRate == 0 && u.coldUntil <= until })
}

// coldQueueEnd returns when the requests of this host that wait for a service with cold upstreams are
// served, at its share of the rates, or when the first of the upstreams is no longer cold.
func (s *Scheduler) coldQueueEnd(sv *service, now time.Duration) time.Duration {
	waiting := float64(len(sv.waiters) + len(sv.plainWaiters))
	return min(now+time.Duration(waiting/s.ownRate(sv)*float64(time.Second)), s.nextColdEnd)
}

// reconsiderAll decides on the queued requests of all services.
func (s *Scheduler) reconsiderAll(now time.Duration) []Result {
	var out []Result
	for _, sv := range s.services {
		out = append(out, s.reconsiderWaiters(sv, now)...)
	}
	return out
}

// ReconsiderCold decides on the queued requests after upstreams have stopped being cold, or after
// tokens have become usable.
func (s *Scheduler) ReconsiderCold(now time.Duration) []Result {
	s.expireCold(now)
	return s.reconsiderAll(now)
}
