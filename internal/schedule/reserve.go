package schedule

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
)

const (
	// suspectFailures is how many attempts in a row must fail at an upstream before other
	// upstreams are preferred. A single attempt fails by chance too often.
	suspectFailures = 2
	// suspectDuration is how long other upstreams are preferred after suspectFailures failed
	// attempts. It is about the interval between two announcements of an upstream, which show
	// that the upstream is back.
	suspectDuration = 1500 * time.Millisecond
	// localBonus is the advantage of an upstream in the same data centre, as a fraction of a
	// fully loaded upstream. It is less than the share of one request, so that it only breaks
	// ties.
	localBonus = 0.02
	// localWeight is how much more likely an upstream in the same data centre is drawn than an
	// equally loaded one elsewhere, since its answers don't cross data centres.
	localWeight = 1.5
	// maxCountedLoad is the largest number of requests at an engine that fillLevel counts
	// exactly.
	maxCountedLoad = 64
)

// Ticket is an attempt's reservation of a slot at an upstream. It must be released once.
type Ticket struct {
	upstream *upstream
	service  *service
	// class is the priority class of the request; nil for plain services.
	class     *class
	workspace string
	// id, born and address are those of the upstream when the slot was reserved.
	id      string
	born    int64
	address string
	// EstimatedLoad is the number of requests that the upstream was assumed to have when the
	// slot was reserved. LoadAge is the age of the load report used for that; it is negative if
	// there was none.
	EstimatedLoad float64
	LoadAge       time.Duration
	began         time.Duration
	isLate        bool
	isReleased    bool
	// constraints are those of the request, for its next attempt; nil for plain services.
	constraints *Constraints
	// tokens is how many tokens the attempt needs in the KV cache of its engine.
	tokens int
	// hasToken is set if a token of the upstream's rate limit was taken for the attempt. allowance is
	// where it was taken from, and sendBy until when it lasts.
	hasToken  bool
	allowance *backpressure.Allowance
	sendBy    time.Duration
	// retry was taken from the budget for the next attempt of the request, which leaves its upstream; nil
	// if none was, or once TakeLeaveRetry has returned it.
	retry *retrybudget.Retry
}

// ID returns the id of the upstream.
func (t *Ticket) ID() string { return t.id }

// StartedAt returns when the upstream's process started.
func (t *Ticket) StartedAt() int64 { return t.born }

// ClassRank returns how many of the service's priority classes are more urgent than that of the
// request. It returns false if the service has only one class.
func (t *Ticket) ClassRank() (int, bool) {
	return slices.Index(t.service.classes, t.class), len(t.service.classes) > 1 && t.class != nil
}

// TakeLeaveRetry returns the retry that was taken for the next attempt of the request when it had to leave
// its upstream. It returns false if there is none. A retry that is not asked for before the release is
// given back.
func (t *Ticket) TakeLeaveRetry() (retrybudget.Retry, bool) {
	if t.retry == nil {
		return retrybudget.Retry{}, false
	}
	r := *t.retry
	t.retry = nil
	return r, true
}

// Address returns the address of the upstream when the attempt began, as "ip:port".
func (t *Ticket) Address() string { return t.address }

// ReserveLeastLoaded reserves the least loaded upstream of a plain service that the request may be
// sent to. Upstreams suspected of failure are used only if there is no other. It returns false if
// none is left, or none that accepts a request now.
func (s *Scheduler) ReserveLeastLoaded(name string, c *Constraints, now time.Duration) (registry.Upstream, *Ticket, bool) {
	s.expireCold(now)
	sv := s.service(name)
	for _, mayBeSuspect := range []bool{false, true} {
		if u := s.leastLoaded(sv, c, mayBeSuspect, now); u != nil {
			return u.Upstream, s.reserve(u, now), true
		}
	}
	return registry.Upstream{}, nil, false
}

// leastLoaded returns the upstream with the smallest fraction of its slots in use, chosen at
// random among equals, or nil if there is none.
func (s *Scheduler) leastLoaded(sv *service, c *Constraints, mayBeSuspect bool, now time.Duration) *upstream {
	best := leastScore{random: s.cfg.Random}
	lowestCold := math.Inf(1)
	for _, u := range sv.active {
		if !c.allow(u) || !mayBeSuspect && u.isSuspect(now) {
			continue
		}
		if !u.accepts(now) {
			if u.isCold() && now >= u.restUntil {
				lowestCold = min(lowestCold, s.loadFraction(u, now))
			}
			// The second search, among suspect upstreams too, is for the same request.
			if !mayBeSuspect {
				u.passOver(now)
			}
			continue
		}
		score := s.loadFraction(u, now)
		if u.DataCentre == s.cfg.DataCentre {
			score -= localBonus
		}
		best.add(u, score)
	}
	if best.upstream != nil && lowestCold < best.score {
		s.coldPassedOver++
		sv.overflowed = best.score >= 1 && lowestCold < 1
	}
	return best.upstream
}

// loadFraction returns the estimated fraction of the upstream's slots that is in use.
func (s *Scheduler) loadFraction(u *upstream, now time.Duration) float64 {
	return s.estimatedLoad(u, now) / float64(max(u.Slots, 1))
}

// leastScore finds the upstream with the lowest score, chosen at random among equals. upstream is
// nil before the first one is added.
type leastScore struct {
	random   *rand.Rand
	upstream *upstream
	score    float64
	ties     int
}

func (l *leastScore) add(u *upstream, score float64) {
	switch {
	case l.upstream == nil || score < l.score:
		l.upstream, l.score, l.ties = u, score, 1
	case score == l.score:
		// Reservoir sampling: each of the tied upstreams is kept with the same probability.
		if l.ties++; l.random.IntN(l.ties) == 0 {
			l.upstream = u
		}
	}
}

// isSuspect reports whether others are preferred to the upstream, because it is suspected of
// failure or has asked another host for rest.
func (u *upstream) isSuspect(now time.Duration) bool {
	return u.IsSilent || now < u.suspectUntil || now < u.avoidUntil
}

// candidate is an engine at which a request could get a slot.
type candidate struct {
	upstream *upstream
	load     float64
}

// pickEngine chooses an engine that the request may be sent to and that has a free slot. Suspect
// engines are used only if no other engine serves, not if all others are merely full. A preferred
// request needs no quota and finds a slot just beyond the concurrency limit too.
func (s *Scheduler) pickEngine(sv *service, c *Constraints, isPreferred bool, now time.Duration) (*upstream, bool) {
	minRatio, maxAge := sv.minStepTimeRatio(now), sv.trustedAgeLimit(now)
	s.trustedCandidates, s.suspectCandidates, s.lacksCache = s.trustedCandidates[:0], s.suspectCandidates[:0], false
	hasTrusted, limitsTokens := false, sv.limitsTokens(c)
	lowestCold := math.Inf(1)
	for _, u := range sv.active {
		if !sv.serves(u, now) || !c.allow(u) {
			continue
		}
		isTrusted := u.isTrusted(maxAge, now)
		hasTrusted = hasTrusted || isTrusted
		load := s.estimatedLoad(u, now)
		hasSlot := (isPreferred || u.isWithinQuota(now)) && load < float64(sv.admissionLimit(u, isPreferred, minRatio, now))
		if hasSlot && limitsTokens && !s.fitsCache(u, c, now) {
			s.lacksCache = true
			continue
		}
		if hasSlot && !u.accepts(now) {
			u.passOver(now)
			if u.isCold() {
				lowestCold = min(lowestCold, load)
			}
			continue
		}
		switch {
		case hasSlot && isTrusted:
			s.trustedCandidates = append(s.trustedCandidates, candidate{u, load})
		case hasSlot:
			s.suspectCandidates = append(s.suspectCandidates, candidate{u, load})
		}
	}
	candidates := s.suspectCandidates
	if hasTrusted {
		candidates = s.trustedCandidates
	}
	u, ok := s.drawCandidate(sv, candidates, now)
	if ok && lowestCold < s.estimatedLoad(u, now) {
		s.coldPassedOver++
	}
	return u, ok
}

// isTrusted reports whether the engine is not suspect, does not rest, and has no load report that is
// older than maxAge.
func (u *upstream) isTrusted(maxAge, now time.Duration) bool {
	return !u.isSuspect(now) && now >= u.restUntil && !u.lacksReport(maxAge, now)
}

// admissionLimit returns the concurrency limit of an engine for a request. For a preferred one it is
// higher by urgentHeadroom if the engine has slots beyond it and is not slow.
func (sv *service) admissionLimit(u *upstream, isPreferred bool, minRatio float64, now time.Duration) int {
	limit := sv.limitOf(u, minRatio, now)
	if !isPreferred || u.isSlow(minRatio, now) {
		return limit
	}
	return min(limit+urgentHeadroom, max(limit, sv.engineSpec.Slots))
}

// isWithinQuota reports whether this host may take a free slot of the engine. Without a fresh
// load report its free slots are unknown, and the quota does not apply. Neither does it apply to
// an engine with a rate limit, for which a token is needed instead.
func (u *upstream) isWithinQuota(now time.Duration) bool {
	return u.allowance != nil || u.service.quota > 0 || !u.service.hasQuota || !u.load.isFresh(now)
}

// drawCandidate chooses one of the engines at random; it returns false if there is none. What
// other hosts have admitted since the load reports were made can only be estimated, and only in
// total. Together all hosts fill the least loaded engines up to a common level, so each engine
// is weighted by how far its load is below that level. With few hosts this picks the least
// loaded engine; with many hosts it picks one of those with free slots.
func (s *Scheduler) drawCandidate(sv *service, candidates []candidate, now time.Duration) (*upstream, bool) {
	fillLevel := fillLevel(candidates, 1+s.unreportedAdmissions(sv, now))
	var best *upstream
	sum := 0.0
	for _, c := range candidates {
		weight := max(fillLevel-c.load, 0)
		if c.upstream.DataCentre == s.cfg.DataCentre {
			weight *= localWeight
		}
		sum += weight
		if weight > 0 && s.cfg.Random.Float64()*sum < weight {
			best = c.upstream
		}
	}
	return best, best != nil
}

// fillLevel returns the load that the engines reach when the added requests are placed at the
// least loaded engines first.
func fillLevel(candidates []candidate, added float64) float64 {
	var counts [maxCountedLoad + 1]int
	var sums [maxCountedLoad + 1]float64
	for _, c := range candidates {
		i := min(int(c.load), maxCountedLoad)
		counts[i]++
		sums[i] += c.load
	}
	engines, total := 0, 0.0
	for next := range maxCountedLoad {
		engines += counts[next]
		total += sums[next]
		if level := float64(next + 1); float64(engines)*level-total >= added {
			return level
		}
	}
	return maxCountedLoad
}

// unreportedAdmissions estimates how many requests the other hosts have admitted since the load
// reports were made, from what this host admits and its share.
func (s *Scheduler) unreportedAdmissions(sv *service, now time.Duration) float64 {
	if !sv.hasRecentReports(now) {
		return 0
	}
	age := (now - sv.lastReport + meanReportDelay).Seconds()
	return sv.demand.admissions.perSecond(now) * age * (1/s.shareOf(sv, now) - 1)
}

// reserve counts an attempt at an upstream and returns its reservation.
func (s *Scheduler) reserve(u *upstream, now time.Duration) *Ticket {
	t := &Ticket{upstream: u, service: u.service, id: u.ID, born: u.StartedAt, address: u.Address, EstimatedLoad: s.estimatedLoad(u, now), LoadAge: -1, began: now}
	if u.load.isKnown {
		t.LoadAge = now - u.load.receivedAt
	}
	u.inflight++
	u.service.inflight++
	if u.allowance == nil {
		u.service.quota = max(u.service.quota-1, 0)
	} else {
		t.allowance = u.allowance
		t.sendBy, t.hasToken = u.allowance.Take(now)
	}
	return t
}

// MaySend reports whether the attempt may still be sent to its upstream. Since the slot was
// reserved, the upstream may have left the list, asked for rest, stated a rate limit or become cold.
// The token of a cold upstream may have ended while a connection was opened.
func (s *Scheduler) MaySend(t *Ticket, now time.Duration) bool {
	s.expireCold(now)
	u := t.upstream
	if t.born != u.StartedAt || !u.isServing || now < u.restUntil {
		return false
	}
	if u.isCold() {
		return t.hasToken && t.allowance == u.allowance && now <= t.sendBy
	}
	return u.allowance == nil || t.hasToken
}

// RecordFirstEvent records that the first event of an attempt's answer has arrived.
func (s *Scheduler) RecordFirstEvent(t *Ticket, now time.Duration) {
	t.hear(now)
	t.service.demand.began(now - t.began)
}

// Outcome is the result of an attempt, as far as it says something about the upstream.
type Outcome uint8

const (
	// Neutral means that the attempt ended for a reason on the caller's side.
	Neutral Outcome = iota
	Success
	// Failure means that the upstream broke off the answer, refused the attempt or failed.
	Failure
)

// Release ends a reservation and records the outcome of its attempt. It returns the decisions
// on queued requests, and whether the upstream is suspected of failure from now on.
func (s *Scheduler) Release(t *Ticket, outcome Outcome, now time.Duration) (results []Result, isSuspected bool) {
	if t.isReleased {
		return nil, false
	}
	s.expireCold(now)
	t.isReleased = true
	u, sv := t.upstream, t.service
	delete(sv.awaitingHeader, t)
	delete(sv.movable, t)
	if r, ok := t.TakeLeaveRetry(); ok {
		s.ReturnRetry(sv.name, r, now)
	}
	u.inflight--
	u.tokens -= t.tokens
	sv.inflight--
	if t.class != nil {
		t.class.end(t.workspace)
	}
	// This host may reuse the released slot at once, unless the engine still has at least as
	// many requests as its concurrency limit.
	if sv.engineSpec != nil && u.allowance == nil && s.estimatedLoad(u, now) < float64(sv.limitOf(u, sv.minStepTimeRatio(now), now)) {
		sv.quota++
	}
	if t.isLate {
		sv.late--
	}
	switch {
	case t.born != u.StartedAt:
	case outcome == Success:
		u.consecutiveFailures, u.suspectUntil = 0, 0
		if t.began >= u.avoidedAt {
			// The upstream accepts requests again.
			u.avoidUntil = 0
		}
		sv.demand.recordServiceTime(now - t.began)
	case outcome == Failure:
		u.consecutiveFailures++
		if isSuspected = u.consecutiveFailures >= suspectFailures; isSuspected {
			u.suspectUntil = now + suspectDuration
		}
	}
	if len(sv.waiters) > 0 {
		results = s.admitWaiters(nil, sv, 1, now)
	}
	return results, isSuspected
}
