package schedule

import (
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
)

const (
	// suspectAfter is how many attempts in a row have to fail at an upstream before
	// others are preferred: a single one fails by chance too often.
	suspectAfter = 2
	// suspectFor is how long others are preferred then. It is about the time between
	// two announcements, which show that an upstream is back.
	suspectFor = 1500 * time.Millisecond
	// localBonus is what being near is worth, in parts of a full upstream: less than one
	// request's part, so that it decides between equals only.
	localBonus = 0.02
	// localWeight is how much likelier a near upstream is drawn than a far one that is as
	// free: its answers cross no data centre.
	localWeight = 1.5
	// mostTaken bounds the requests at an engine that are told apart.
	mostTaken = 64
)

// Ticket is an attempt's hold on an upstream; it ends once.
type Ticket struct {
	up      *upstream
	service *service
	born    int64
	address string
	// EstimatedLoad is how many requests the upstream was thought to have, by a report of its
	// load of the age LoadAge; a negative age is none.
	EstimatedLoad float64
	LoadAge       time.Duration
	began         time.Duration
	isLate        bool
	isEnded       bool
}

// ID returns the id of the upstream.
func (t *Ticket) ID() string { return t.up.ID }

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
			return u.Upstream, s.hold(u, now), true
		}
	}
	return registry.Upstream{}, nil, false
}

// leastLoaded returns the upstream with the least part of its slots taken, drawn between
// equals; nil if there is none.
func (s *Scheduler) leastLoaded(sv *service, tried []string, mayBeSuspect bool, now time.Duration) *upstream {
	var best *upstream
	lowest, equals := 0.0, 0
	for _, u := range sv.all {
		if slices.Contains(tried, u.ID) || !mayBeSuspect && u.isSuspect(now) {
			continue
		}
		score := s.taken(u, now) / float64(max(u.Slots, 1))
		if u.DataCentre == s.cfg.DataCentre {
			score -= localBonus
		}
		switch {
		case best == nil || score < lowest:
			best, lowest, equals = u, score, 1
		case score == lowest:
			// Each of the equals is kept with the same probability.
			if equals++; s.cfg.Random.IntN(equals) == 0 {
				best = u
			}
		}
	}
	return best
}

// isSuspect reports whether others are preferred to the upstream.
func (u *upstream) isSuspect(now time.Duration) bool { return u.IsSilent || now < u.suspectUntil }

// option is an engine at which a request could get a place.
type option struct {
	up    *upstream
	taken float64
}

// place finds an engine that was not tried and has a place free; suspects only where
// nobody else serves, not where all others are full.
func (s *Scheduler) place(sv *service, tried []string, now time.Duration) (*upstream, bool) {
	least, darkest := sv.leastPace(now), sv.darkest(now)
	s.trusted, s.suspect = s.trusted[:0], s.suspect[:0]
	hasTrusted := false
	for _, u := range sv.all {
		if !sv.serves(u, now) || slices.Contains(tried, u.ID) {
			continue
		}
		isTrusted := !u.isSuspect(now) && (!u.load.isKnown || now-u.load.at < darkest)
		hasTrusted = hasTrusted || isTrusted
		taken := s.taken(u, now)
		switch hasPlace := u.isMine(now) && taken < float64(sv.placesAt(u, least, now)); {
		case hasPlace && isTrusted:
			s.trusted = append(s.trusted, option{u, taken})
		case hasPlace:
			s.suspect = append(s.suspect, option{u, taken})
		}
	}
	if hasTrusted {
		return s.draw(sv, s.trusted, now)
	}
	return s.draw(sv, s.suspect, now)
}

// isMine reports whether a free place of the engine would be this host's to take. Where
// nothing is heard of the engine, nobody can tell.
func (u *upstream) isMine(now time.Duration) bool {
	return u.service.mine > 0 || !u.service.isDealt || !u.load.isFresh(now)
}

// draw returns one of the engines, false if there is none. The requests that other hosts
// have placed since the loads were read are not known, only about how many there are; all
// hosts together fill the emptiest engines up to one level. So an engine is drawn by what
// it is below that level: with few hosts the least loaded, with many one of those with
// room.
func (s *Scheduler) draw(sv *service, all []option, now time.Duration) (*upstream, bool) {
	level := level(all, 1+s.unseen(sv, now))
	var best *upstream
	sum := 0.0
	for _, o := range all {
		weight := max(level-o.taken, 0)
		if o.up.DataCentre == s.cfg.DataCentre {
			weight *= localWeight
		}
		sum += weight
		if weight > 0 && s.cfg.Random.Float64()*sum < weight {
			best = o.up
		}
	}
	return best, best != nil
}

// level returns up to how many requests that many more fill the engines, the emptiest
// first.
func level(all []option, more float64) float64 {
	var count [mostTaken + 1]int
	var sum [mostTaken + 1]float64
	for _, o := range all {
		i := min(int(o.taken), mostTaken)
		count[i]++
		sum[i] += o.taken
	}
	below, taken := 0, 0.0
	for l := range mostTaken {
		below += count[l]
		taken += sum[l]
		if top := float64(l + 1); float64(below)*top-taken >= more {
			return top
		}
	}
	return mostTaken
}

// unseen is about how many requests the other hosts have placed since the loads were read:
// as many as this host in that time, each.
func (s *Scheduler) unseen(sv *service, now time.Duration) float64 {
	if !sv.isHeard(now) {
		return 0
	}
	age := (now - sv.heard + loadLag).Seconds()
	return sv.demand.grants.rate(now) * age * float64(s.hosts-1)
}

// hold counts an attempt at an upstream.
func (s *Scheduler) hold(u *upstream, now time.Duration) *Ticket {
	t := &Ticket{up: u, service: u.service, born: u.Born, address: u.Address, EstimatedLoad: s.taken(u, now), LoadAge: -1, began: now}
	if u.load.isKnown {
		t.LoadAge = now - u.load.at
	}
	u.inflight++
	u.service.inflight++
	u.service.mine = max(u.service.mine-1, 0)
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
func (s *Scheduler) Release(t *Ticket, o Outcome, now time.Duration) (results []Result, isSuspected bool) {
	if t.isEnded {
		return nil, false
	}
	t.isEnded = true
	u, sv := t.up, t.service
	delete(sv.unheard, t)
	u.inflight--
	sv.inflight--
	// A place that it gives back is this host's to take, unless the engine still has more
	// requests than places.
	if sv.shape != nil && s.taken(u, now) < float64(sv.placesAt(u, sv.leastPace(now), now)) {
		sv.mine++
	}
	if t.isLate {
		sv.late--
	}
	switch {
	case t.born != u.Born:
	case o == Success:
		u.failures, u.suspectUntil = 0, 0
		sv.demand.stayed(now - t.began)
	case o == Failure:
		u.failures++
		if isSuspected = u.failures >= suspectAfter; isSuspected {
			u.suspectUntil = now + suspectFor
		}
	}
	if len(sv.waiters) > 0 {
		results = s.pump(nil, sv, 1, now)
	}
	return results, isSuspected
}
