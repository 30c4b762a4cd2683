package schedule

import (
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
)

const (
	// suspectFailures is how many attempts in a row have to fail at an upstream before
	// others are preferred: a single one fails by chance too often.
	suspectFailures = 2
	// suspectDuration is how long others are preferred then. It is about the time between
	// two announcements, which show that an upstream is back.
	suspectDuration = 1500 * time.Millisecond
	// localBonus is what being near is worth, in parts of a full upstream: less than one
	// request's part, so that it decides between equals only.
	localBonus = 0.02
	// localWeight is how much likelier a near upstream is drawn than a far one that is as
	// free: its answers cross no data centre.
	localWeight = 1.5
	// maxCountedLoad bounds the requests at an engine that are told apart.
	maxCountedLoad = 64
)

// Ticket is an attempt's hold on an upstream; it ends once.
type Ticket struct {
	upstream *upstream
	service  *service
	born     int64
	address  string
	// EstimatedLoad is how many requests the upstream was thought to have, by a report of its
	// load of the age LoadAge; a negative age is none.
	EstimatedLoad float64
	LoadAge       time.Duration
	began         time.Duration
	isLate        bool
	isReleased    bool
}

// ID returns the id of the upstream.
func (t *Ticket) ID() string { return t.upstream.ID }

// Born returns when the upstream's incarnation started.
func (t *Ticket) Born() int64 { return t.born }

// Address returns where the upstream was when the attempt began, "ip:port".
func (t *Ticket) Address() string { return t.address }

// ReserveLeastLoaded takes hold of an upstream of a plain service that was not tried: the least loaded
// that is trusted. It returns false where there is none.
func (s *Scheduler) ReserveLeastLoaded(name string, tried []string, now time.Duration) (registry.Upstream, *Ticket, bool) {
	sv := s.service(name)
	for _, mayBeSuspect := range []bool{false, true} {
		if u := s.leastLoaded(sv, tried, mayBeSuspect, now); u != nil {
			return u.Upstream, s.reserve(u, now), true
		}
	}
	return registry.Upstream{}, nil, false
}

// leastLoaded returns the upstream with the least part of its slots taken, drawn between
// equals; nil if there is none.
func (s *Scheduler) leastLoaded(sv *service, tried []string, mayBeSuspect bool, now time.Duration) *upstream {
	var best *upstream
	lowest, ties := 0.0, 0
	for _, u := range sv.active {
		if slices.Contains(tried, u.ID) || !mayBeSuspect && u.isSuspect(now) {
			continue
		}
		score := s.estimatedLoad(u, now) / float64(max(u.Slots, 1))
		if u.DataCentre == s.cfg.DataCentre {
			score -= localBonus
		}
		switch {
		case best == nil || score < lowest:
			best, lowest, ties = u, score, 1
		case score == lowest:
			// Each of the equals is kept with the same probability.
			if ties++; s.cfg.Random.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}

// isSuspect reports whether others are preferred to the upstream.
func (u *upstream) isSuspect(now time.Duration) bool { return u.IsSilent || now < u.suspectUntil }

// candidate is an engine at which a request could get a place.
type candidate struct {
	upstream *upstream
	load     float64
}

// pickEngine finds an engine that was not tried and has a place free; suspects only where
// nobody else serves, not where all others are full.
func (s *Scheduler) pickEngine(sv *service, tried []string, now time.Duration) (*upstream, bool) {
	minRatio, maxAge := sv.minStepTimeRatio(now), sv.trustedAgeLimit(now)
	s.trustedCandidates, s.suspectCandidates = s.trustedCandidates[:0], s.suspectCandidates[:0]
	hasTrusted := false
	for _, u := range sv.active {
		if !sv.serves(u, now) || slices.Contains(tried, u.ID) {
			continue
		}
		isTrusted := !u.isSuspect(now) && (!u.load.isKnown || now-u.load.receivedAt < maxAge)
		hasTrusted = hasTrusted || isTrusted
		load := s.estimatedLoad(u, now)
		switch hasSlot := u.isWithinQuota(now) && load < float64(sv.limitOf(u, minRatio, now)); {
		case hasSlot && isTrusted:
			s.trustedCandidates = append(s.trustedCandidates, candidate{u, load})
		case hasSlot:
			s.suspectCandidates = append(s.suspectCandidates, candidate{u, load})
		}
	}
	if hasTrusted {
		return s.drawCandidate(sv, s.trustedCandidates, now)
	}
	return s.drawCandidate(sv, s.suspectCandidates, now)
}

// isWithinQuota reports whether a free place of the engine would be this host's to take. Where
// nothing is heard of the engine, nobody can tell.
func (u *upstream) isWithinQuota(now time.Duration) bool {
	return u.service.quota > 0 || !u.service.hasQuota || !u.load.isFresh(now)
}

// drawCandidate returns one of the engines, false if there is none. The requests that other hosts
// have placed since the loads were read are not known, only about how many there are; all
// hosts together fill the emptiest engines up to one level. So an engine is drawn by what
// it is below that level: with few hosts the least loaded, with many one of those with
// room.
func (s *Scheduler) drawCandidate(sv *service, candidates []candidate, now time.Duration) (*upstream, bool) {
	fillLevel := fillLevel(candidates, 1+s.unreportedAdmissions(sv, now))
	var best *upstream
	sum := 0.0
	for _, o := range candidates {
		weight := max(fillLevel-o.load, 0)
		if o.upstream.DataCentre == s.cfg.DataCentre {
			weight *= localWeight
		}
		sum += weight
		if weight > 0 && s.cfg.Random.Float64()*sum < weight {
			best = o.upstream
		}
	}
	return best, best != nil
}

// fillLevel returns up to how many requests that many more fill the engines, the emptiest
// first.
func fillLevel(candidates []candidate, added float64) float64 {
	var counts [maxCountedLoad + 1]int
	var sums [maxCountedLoad + 1]float64
	for _, o := range candidates {
		i := min(int(o.load), maxCountedLoad)
		counts[i]++
		sums[i] += o.load
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

// unreportedAdmissions is about how many requests the other hosts have placed since the loads were read:
// as many as this host in that time, each.
func (s *Scheduler) unreportedAdmissions(sv *service, now time.Duration) float64 {
	if !sv.hasRecentReports(now) {
		return 0
	}
	age := (now - sv.lastReport + meanReportDelay).Seconds()
	return sv.demand.admissions.perSecond(now) * age * float64(s.hosts-1)
}

// reserve counts an attempt at an upstream.
func (s *Scheduler) reserve(u *upstream, now time.Duration) *Ticket {
	t := &Ticket{upstream: u, service: u.service, born: u.Born, address: u.Address, EstimatedLoad: s.estimatedLoad(u, now), LoadAge: -1, began: now}
	if u.load.isKnown {
		t.LoadAge = now - u.load.receivedAt
	}
	u.inflight++
	u.service.inflight++
	u.service.quota = max(u.service.quota-1, 0)
	return t
}

// RecordFirstEvent tells that the first event of an attempt's answer is there.
func (s *Scheduler) RecordFirstEvent(t *Ticket, now time.Duration) {
	t.service.demand.began(now - t.began)
}

// Outcome is how an attempt went, as far as it says something of the upstream.
type Outcome uint8

const (
	// Neutral: the attempt was ended for a reason of the caller's.
	Neutral Outcome = iota
	Success
	// Bad: the upstream broke off, refused or failed.
	Failure
)

// Release gives a hold back. It returns what becomes of requests that wait, and whether the
// upstream is suspected from now on.
func (s *Scheduler) Release(t *Ticket, outcome Outcome, now time.Duration) (results []Result, isSuspected bool) {
	if t.isReleased {
		return nil, false
	}
	t.isReleased = true
	u, sv := t.upstream, t.service
	delete(sv.awaitingHeader, t)
	u.inflight--
	sv.inflight--
	// A place that it gives back is this host's to take, unless the engine still has more
	// requests than places.
	if sv.engineSpec != nil && s.estimatedLoad(u, now) < float64(sv.limitOf(u, sv.minStepTimeRatio(now), now)) {
		sv.quota++
	}
	if t.isLate {
		sv.late--
	}
	switch {
	case t.born != u.Born:
	case outcome == Success:
		u.consecutiveFailures, u.suspectUntil = 0, 0
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
