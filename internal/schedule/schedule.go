// Package schedule decides where the requests of callers go: at which upstream a request
// gets a place, whether it waits for one, in which order, and when it is refused and what
// its caller is told.
//
// A Scheduler is what one entry host knows of services, their groups of ranks and their
// upstreams: what control hosts say of them, the loads that agents tell, and the host's own
// experience. It is pure: it reads no clock and does no I/O, times are a monotonic clock
// of the caller's, and draws come from the source that it was given. It is not safe for
// concurrent use; whoever holds it calls it under one lock.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

// Config is what a Scheduler needs.
type Config struct {
	// DataCentre is that of the host.
	DataCentre string
	// Budget bounds the repeats of all hosts together.
	Budget retrybudget.Params
	// Random decides between equals.
	Random *rand.Rand
	// StartupUntil is until when the host has just started. What it does not know yet is on its
	// way, and groups that broke with it form anew: requests wait for them, since most of
	// their callers have one try left.
	StartupUntil time.Duration
}

// Scheduler is the table of one host.
type Scheduler struct {
	cfg   Config
	hosts int
	// upstreams holds those that serve, and those that attempts of this host have not left
	// yet, by id; byAddress those that serve.
	upstreams map[string]*upstream
	byAddress map[string]*upstream
	services  map[string]*service
	// trustedCandidates and suspect are used by place, so that a decision need not allocate them.
	trustedCandidates, suspectCandidates []candidate
}

// New returns an empty Scheduler of a host that is alone.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg, hosts: 1,
		upstreams: map[string]*upstream{}, byAddress: map[string]*upstream{}, services: map[string]*service{},
	}
}

// upstream is one incarnation of an upstream as this host sees it.
type upstream struct {
	registry.Upstream
	service *service
	group   *group
	// inflight counts this host's attempts there.
	inflight int
	// consecutiveFailures counts the attempts that failed in a row.
	consecutiveFailures int
	suspectUntil        time.Duration
	load                load
	isServing           bool
	// rounding is by how much the upstream rounds a number of places up, in [0, 1): it differs
	// between upstreams, so that parts of a place at each make whole ones together.
	rounding float64
}

// service is what this host knows of a service.
type service struct {
	name string
	// active are the upstreams that serve, in the order of their ids.
	active []*upstream
	groups map[string]*group
	budget retrybudget.Budget
	// inflight counts this host's attempts at all upstreams, late those of requests that
	// had no chance to be on time when they got their place.
	inflight, late int
	// lastReport is when the last load of one of them came; wasHeard tells that one ever did.
	lastReport  time.Duration
	hasReported bool
	// engineSpec are the figures of the engines, nil for plain services, gap the longest pause
	// between events; places is how many requests an engine should work on at once as far
	// as these tell, groups know better once their passes were seen.
	engineSpec  *routetable.Engine
	maxEventGap time.Duration
	limit       int
	// quota is how many of the free places are this host's to take; see dealPlaces. Until a
	// request has told the engines' figures, isDealt is not set and they can't be counted.
	quota    int
	hasQuota bool
	// downSince is since when no group was heard to serve, 0 while one does.
	downSince time.Duration
	// scarceUntil is until when its places count as scarce.
	scarceUntil time.Duration
	// quotaRate is how many free places a second are this host's part.
	quotaRate averageRate
	waiters   []*Waiter
	demand    demand
	// awaitingHeader are the attempts that have no head of an answer yet and may be taken back.
	awaitingHeader map[*Ticket]headerWait
}

// SetHosts tells how many hosts share the upstreams and the budgets.
func (s *Scheduler) SetHosts(n int) { s.hosts = max(n, 1) }

// Hosts returns how many hosts share the upstreams.
func (s *Scheduler) Hosts() int { return s.hosts }

// SetUpstreams replaces the upstreams that serve, by service in the order of their ids.
// The experience with those that stay is kept; one that has started again begins anew. It
// returns what becomes of requests that wait.
func (s *Scheduler) SetUpstreams(serving map[string][]registry.Upstream, now time.Duration) []Result {
	for _, u := range s.upstreams {
		u.isServing = false
	}
	for _, sv := range s.services {
		sv.active = sv.active[:0]
	}
	clear(s.byAddress)
	for name, list := range serving {
		sv := s.service(name)
		for _, announced := range list {
			u := s.record(announced)
			u.isServing, u.service = true, sv
			u.rounding = float64(len(sv.active)) / float64(len(list))
			sv.active = append(sv.active, u)
			s.byAddress[u.Address] = u
		}
	}
	for id, u := range s.upstreams {
		if !u.isServing && u.inflight == 0 {
			delete(s.upstreams, id)
		}
	}
	var out []Result
	for _, sv := range s.services {
		sv.updateGroups()
		if len(sv.waiters) > 0 && len(sv.active) > 0 {
			out = s.admitWaiters(out, sv, s.ownFreeShare(sv, now), now)
		}
	}
	return out
}

// record returns the record of an upstream.
func (s *Scheduler) record(announced registry.Upstream) *upstream {
	u := s.upstreams[announced.ID]
	switch {
	case u == nil:
		u = &upstream{}
		s.upstreams[announced.ID] = u
	case u.Born != announced.Born:
		u.consecutiveFailures, u.suspectUntil, u.load = 0, 0, load{}
	}
	u.Upstream = announced
	return u
}

func (s *Scheduler) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{name: name, groups: map[string]*group{}, awaitingHeader: map[*Ticket]headerWait{}}
		s.services[name] = sv
	}
	return sv
}

// CountRequest counts a caller's request to a service.
func (s *Scheduler) CountRequest(name string, now time.Duration) {
	s.service(name).budget.AddRequest(s.cfg.Budget, now)
}

// TakeRetry takes one repeat from the service's budget.
func (s *Scheduler) TakeRetry(name string, now time.Duration) bool {
	return s.service(name).budget.Take(s.cfg.Budget, s.hosts, now)
}
