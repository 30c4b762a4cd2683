// Package schedule decides which upstream a request is sent to, whether and in which order
// requests are queued, when a request is refused, and when its caller should retry.
//
// For model engines it limits how many requests each engine runs at once. A slot is the
// capacity of an engine for one of these requests, and a request needs a free slot to be
// admitted.
//
// A Scheduler holds what one entry host knows of services, their groups of ranks and their
// upstreams: announcements from control hosts, load reports from agents, and measurements of
// its own. It reads no clock and does no I/O. The caller passes times of a monotonic clock and
// the source of random numbers. A Scheduler is not safe for concurrent use, so the caller must
// hold a lock during each call.
package schedule

import (
	"math/rand/v2"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

// Config holds the parameters of a Scheduler.
type Config struct {
	// DataCentre is the data centre of this host.
	DataCentre string
	// DataCentreRegions holds the region of each data centre.
	DataCentreRegions map[string]string
	// RetryBudget limits the retries of all hosts together.
	RetryBudget retrybudget.Params
	// Random is the source of all random choices.
	Random *rand.Rand
	// StartupUntil is when the start-up phase of this host ends. Until then its knowledge is
	// incomplete and groups that failed together with the host are forming again. Requests wait
	// for that instead of being refused, because most of their callers have one retry left.
	StartupUntil time.Duration
	// PlanReturns enables the rules for periodic load and returning callers: the Retry-After of
	// planReturn and the concurrency limit of withHeadroom.
	PlanReturns bool
}

// Scheduler holds the state of all services as seen by one host.
type Scheduler struct {
	cfg   Config
	hosts int
	// recentHosts is the highest number of hosts in the last hostMemory, and recentHostsAt when
	// that number was last valid.
	recentHosts   int
	recentHostsAt time.Duration
	// upstreams holds, by id, the upstreams that serve and those that still have attempts of
	// this host in flight. byAddress holds only the upstreams that serve.
	upstreams map[string]*upstream
	byAddress map[string]*upstream
	services  map[string]*service
	// restricted holds the upstreams that serve and have a rate limit or rest. The rest of some of
	// them may be over.
	restricted []*upstream
	// hasColdParams is set if a service has cold upstreams by its parameters, and hadCold if one was
	// cold at the last update. nextColdEnd is when the first of them stops being cold.
	hasColdParams, hadCold bool
	nextColdEnd            time.Duration
	// evacuatedUntil holds when the last evacuation of each data centre ended.
	evacuatedUntil map[string]time.Duration
	// coldPassedOver counts the requests since the last TakePassedOver that were sent elsewhere
	// because an upstream is cold.
	coldPassedOver int
	// trustedCandidates and suspectCandidates are buffers of pickEngine, kept to avoid an
	// allocation for each decision.
	trustedCandidates, suspectCandidates []candidate
	// lacksCache is set if the last call of pickEngine passed over an engine with a free slot because
	// of its KV cache.
	lacksCache bool
}

// New returns an empty Scheduler that assumes no other hosts.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg: cfg, hosts: 1, recentHosts: 1, nextColdEnd: never, evacuatedUntil: map[string]time.Duration{},
		upstreams: map[string]*upstream{}, byAddress: map[string]*upstream{}, services: map[string]*service{},
	}
}

// upstream is the state of one upstream as seen by this host.
type upstream struct {
	registry.Upstream
	service *service
	group   *group
	// region is the region of the upstream's data centre, empty if unknown.
	region string
	// inflight is the number of this host's attempts in flight at the upstream.
	inflight int
	// tokens is how many tokens these attempts need together.
	tokens int
	// consecutiveFailures is the number of attempts that failed since the last success.
	consecutiveFailures int
	suspectUntil        time.Duration
	load                load
	// heardAt is when this host last received something from the upstream.
	heardAt   time.Duration
	isServing bool
	// isReportMissing is set if TakeReportChanges has returned last that the load reports are missing.
	isReportMissing bool
	// rounding is added to a fractional concurrency limit before it is rounded down, in [0, 1).
	// It differs between upstreams, so that the rounded limits add up to the right total.
	rounding float64
	// avoidUntil is until when others are preferred because the upstream has asked another host for
	// rest, and avoidedAt when that was learnt.
	avoidUntil, avoidedAt time.Duration
	// restUntil is when the rest ends that the upstream has asked this host for.
	restUntil time.Duration
	// allowance says when this host may send to an upstream that has a rate limit; nil for
	// others.
	allowance *backpressure.Allowance
	// statedRate is the rate limit that the upstream states, 0 for none.
	statedRate float64
	// coldUntil is until when the upstream is cold by all that is known, and observedColdUntil until
	// when it is by its responses alone.
	coldUntil, observedColdUntil time.Duration
}

// service is the state of a service as seen by this host.
type service struct {
	name string
	// active lists the upstreams that serve, ordered by id.
	active []*upstream
	groups map[string]*group
	budget retrybudget.Budget
	// retries counts the decisions on retries since the last TakeRetryReports.
	retries retryCounts
	// inflight is the number of this host's attempts in flight at all upstreams. late is how
	// many of them could no longer be on time when they got their slot.
	inflight, late int
	// lastReport is when the last load report of any of the upstreams arrived. hasReported is
	// set once there has been one.
	lastReport  time.Duration
	hasReported bool
	// engineSpec holds the performance parameters of the engines, nil for plain services.
	// maxEventGap is the longest gap between events that counts as on time. limit is the
	// concurrency limit of an engine derived from these two; groups have limits of their own
	// once their pass times were observed.
	engineSpec  *routetable.Engine
	maxEventGap time.Duration
	limit       int
	// hasHeadroom is set if the limits of groups leave a slot free; see withHeadroom.
	hasHeadroom bool
	// quota is how many free slots this host may take; see updateQuotas. hasQuota is set while
	// quotas apply. They can't be computed before a request has supplied the engines'
	// performance parameters.
	quota    int
	hasQuota bool
	// downSince is when the outage of the service began, 0 while a group serves.
	downSince time.Duration
	// recoveringUntil is when the callers that were refused in the last outage have returned.
	recoveringUntil time.Duration
	// scarceUntil is when the slots of the service no longer count as scarce.
	scarceUntil time.Duration
	// totalDemand is the demand at all hosts together.
	totalDemand totalDemand
	// quotaRate is this host's share of free slots per second.
	quotaRate averageRate
	waiters   []*Waiter
	// classes are the priority classes of the requests that have arrived, the most urgent first.
	classes []*class
	demand  demand
	// returns plans when refused callers return.
	returns returnPlan
	// cold holds the limits of cold upstreams, and coldCount is how many are cold.
	cold      ColdParams
	coldCount int
	// plainWaiters are the requests to a plain service that wait for a token.
	plainWaiters []*PlainWaiter
	// overflowed is set if a request was sent to a full upstream while a cold one has free slots.
	overflowed bool
	// left counts the attempts that have left engines for free slots since the last load reports.
	left int
	// awaitingHeader holds the attempts that have not received a response header and may still
	// be ended.
	awaitingHeader map[*Ticket]headerWait
	// movable holds the attempts whose streams can be continued at another engine, and until
	// when.
	movable map[*Ticket]time.Duration
}

// SetHostCount sets the number of hosts that share the upstreams.
func (s *Scheduler) SetHostCount(n int, now time.Duration) {
	if s.hosts >= s.recentHosts {
		s.recentHosts, s.recentHostsAt = s.hosts, now
	}
	s.hosts = max(n, 1)
	if s.hosts >= s.recentHosts || now-s.recentHostsAt > hostMemory {
		s.recentHosts, s.recentHostsAt = s.hosts, now
	}
}

// HostCount returns the number of hosts that share the upstreams.
func (s *Scheduler) HostCount() int { return s.hosts }

// SetUpstreams replaces the upstreams that serve, given by service and ordered by id. The state
// of upstreams that stay is kept, and that of others until their attempts have ended and their
// rest and the cold time that they stated are over, since they may be back by then; an upstream that was restarted begins with a
// clean state. It returns the decisions on queued requests.
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
			u := s.updateUpstream(announced)
			u.isServing, u.service = true, sv
			u.rounding = float64(len(sv.active)) / float64(len(list))
			sv.active = append(sv.active, u)
			s.byAddress[u.Address] = u
		}
	}
	for id, u := range s.upstreams {
		if !u.isServing && u.inflight == 0 && now >= max(u.restUntil, u.observedColdUntil) {
			delete(s.upstreams, id)
		}
	}
	s.updateCold(now)
	var out []Result
	for _, sv := range s.services {
		sv.updateGroups()
		if len(sv.waiters) > 0 && len(sv.active) > 0 {
			out = s.admitWaiters(out, sv, s.ownFreeShare(sv, now), now)
		}
	}
	return out
}

// updateUpstream stores the announcement of an upstream and returns the upstream's state, which
// is created for a new upstream and cleared for a restarted one.
func (s *Scheduler) updateUpstream(announced registry.Upstream) *upstream {
	u := s.upstreams[announced.ID]
	switch {
	case u == nil:
		u = &upstream{}
		s.upstreams[announced.ID] = u
	case u.StartedAt != announced.StartedAt:
		u.consecutiveFailures, u.suspectUntil, u.load = 0, 0, load{}
		u.allowance, u.restUntil, u.avoidUntil = nil, 0, 0
		u.statedRate, u.observedColdUntil = 0, 0
	}
	u.Upstream, u.region = announced, s.cfg.DataCentreRegions[announced.DataCentre]
	return u
}

func (s *Scheduler) service(name string) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{
			name: name, hasHeadroom: s.cfg.PlanReturns, groups: map[string]*group{},
			awaitingHeader: map[*Ticket]headerWait{}, movable: map[*Ticket]time.Duration{},
		}
		s.services[name] = sv
	}
	return sv
}
