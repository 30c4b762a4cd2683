package schedule

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// MaxQueueWait is the longest time that a request waits in the queue for a slot. Callers
	// abandon a stream that is silent for two seconds.
	MaxQueueWait = 1400 * time.Millisecond
	// maxRetryAfterFraction is the fraction of its remaining time within which a caller
	// retries, however long a Retry-After it is given.
	maxRetryAfterFraction = 1.0 / 3
	// defaultTimeLeft is the remaining time assumed for a caller whose deadline is unknown.
	defaultTimeLeft = 7500 * time.Millisecond
	// minRetryAfterFraction is the shortest Retry-After for lack of capacity, as a fraction of
	// the longest. Callers are spread randomly between the two, because slots become free one
	// after another.
	minRetryAfterFraction = 0.5
)

// Request is a request that needs a slot at an engine.
type Request struct {
	Service string
	// Engine holds the performance parameters of the service's engines.
	Engine *routetable.Engine
	// MaxEventGap is the longest interval between two events of a stream that still counts as on
	// time, 0 if none is declared.
	MaxEventGap time.Duration
	// OnTimeUntil is the latest time for the first event to count as on time.
	OnTimeUntil time.Duration
	// Priority is the priority level of the request; 0 is the most urgent.
	Priority int
	// Workspace is the workspace of the caller, empty if unknown.
	Workspace string
	// Tried lists the ids of the upstreams that earlier attempts of the request were sent to.
	Tried []string
	// Regions are the regions in which the request may run.
	Regions routetable.Regions
	// Tokens is the number of prompt tokens and the maximum number of output tokens together, 0 if
	// unknown.
	Tokens int
	// TimeLeft is the time until the caller's deadline, 0 if unknown.
	TimeLeft time.Duration
	// CanRetry reports whether the caller has enough time left to try again later.
	CanRetry bool
	// IsResumed reports whether the caller has received part of the answer already.
	IsResumed bool
}

// Waiter is a request in the queue for a slot.
type Waiter struct {
	service *service
	// constraints state where the request may be sent.
	constraints Constraints
	class       *class
	// workspace is the workspace of the caller.
	workspace string
	// latestStart is the latest time at which the request can start and still send its first
	// event on time.
	latestStart time.Duration
	// arrival is when the request was queued.
	arrival time.Duration
	// isResumed is set if the caller has received part of the answer already.
	isResumed bool
	// giveUpAt is when the request stops waiting for a slot.
	giveUpAt time.Duration
	// deadline is when the caller's time ends, 0 if unknown. canRetry reports whether the
	// caller has time to try again before that.
	deadline time.Duration
	canRetry bool
}

// Result is the decision on a request that was queued.
type Result struct {
	Waiter *Waiter
	Decision
}

// Reason is why a request is refused.
type Reason uint8

const (
	// Outage means that no group of the service is serving.
	Outage Reason = iota + 1
	// NoCapacity means that no slot becomes free in time.
	NoCapacity
	// Restricted means that all upstreams have rate limits or rest, and none accepts a request in
	// time.
	Restricted
	// Evacuated means that all upstreams are in data centres that are evacuated.
	Evacuated
	// NoRegion means that no upstream is in a region in which the request may run.
	NoRegion
	// ExceedsCache means that the request needs more tokens than the KV cache of an engine has.
	ExceedsCache
)

// String returns the reason as a sentence for callers and logs.
func (r Reason) String() string {
	switch r {
	case Outage:
		return "the group does not serve"
	case Restricted:
		return "all upstreams limit the rate of requests or rest"
	case Evacuated:
		return "all upstreams are in evacuated data centres"
	case NoRegion:
		return "no upstream is in an allowed region"
	case ExceedsCache:
		return "the prompt and the maximum output exceed the engine's KV cache"
	}
	return "no place became free in time"
}

// Name returns the short name of the reason for counters and logs.
func (r Reason) Name() string {
	switch r {
	case Outage:
		return "outage"
	case Restricted:
		return "restricted"
	case Evacuated:
		return "evacuated"
	case NoRegion:
		return "region"
	case ExceedsCache:
		return "kv-cache"
	}
	return "full"
}

// Decision is the outcome for a request. Either it holds Ticket for a slot at Upstream, or it
// is queued as Waiter, or it is refused for Reason and the caller is told to retry after
// RetryAfter, which is 0 if that does not help.
type Decision struct {
	Upstream   registry.Upstream
	Ticket     *Ticket
	Waiter     *Waiter
	Reason     Reason
	RetryAfter time.Duration
}

// Admit decides on a new request: it reserves a slot, queues the request or refuses it.
func (s *Scheduler) Admit(r *Request, now time.Duration) Decision {
	s.expireCold(now)
	sv := s.service(r.Service)
	sv.setEngine(r.Engine, r.MaxEventGap, s.shareOf(sv, now), now)
	w := sv.newWaiter(r, now)
	if w.canBeOnTime(now) && !r.IsResumed {
		sv.demand.onTimeArrivals.add(now)
		w.class.onTimeArrivals.add(now)
		sv.returns.arrivals.add(now)
	}
	w.class.arrivals.add(now)
	w.class.lastArrival = now
	if sv.exceedsCache(&w.constraints) {
		return Decision{Reason: ExceedsCache}
	}
	if s.hasNoRegion(sv, &w.constraints, now) {
		return s.refuse(NoRegion, w, now)
	}
	if sv.isDownFor(&w.constraints, now) || s.awaitsFirstReports(sv, now) {
		if (r.CanRetry || len(sv.active) == 0 || sv.isDownForLong(now)) && now >= s.cfg.StartupUntil && !sv.isBrieflyStalled(now) {
			return s.refuse(Outage, w, now)
		}
	} else if t, ok := s.admitNow(sv, w, now); ok {
		return Decision{Upstream: t.upstream.Upstream, Ticket: t}
	} else if s.isWhollyRestricted(sv, w, now) {
		if s.isRefusedByRestriction(sv, w, now) {
			return s.refuse(Restricted, w, now)
		}
	} else if s.cannotBeServedInTime(sv, w, now) {
		return s.refuse(NoCapacity, w, now)
	}
	sv.waiters = append(sv.waiters, w)
	return Decision{Waiter: w}
}

// newWaiter returns the queue entry for a request. Two kinds of requests count as on time for as
// long as they may wait: resumed ones, because the engines have already done part of the answer and
// the rest holds a slot for less time than a whole one; and, just after an outage, those of callers
// without another try, which were refused in the outage and don't return if they are refused again.
func (sv *service) newWaiter(r *Request, now time.Duration) *Waiter {
	w := &Waiter{
		service: sv, constraints: Constraints{Tried: r.Tried, Regions: r.Regions, Tokens: r.Tokens},
		class: sv.class(r.Priority), workspace: r.Workspace, arrival: now, isResumed: r.IsResumed,
		latestStart: r.OnTimeUntil - sv.timeToFirstEvent(), giveUpAt: now + MaxQueueWait, canRetry: r.CanRetry,
	}
	if r.TimeLeft > 0 {
		w.deadline = now + r.TimeLeft
	}
	if r.IsResumed || !r.CanRetry && sv.isRecovering(now) {
		w.latestStart = w.giveUpAt
	}
	return w
}

// timeToFirstEvent estimates the time from reserving a slot to the first event. It uses recent
// measurements, and the engine's performance parameters until there are any.
func (sv *service) timeToFirstEvent() time.Duration {
	if sv.demand.firstEvent == 0 {
		return TimeToFirstEvent(sv.engineSpec, sv.limit)
	}
	return sv.demand.firstEvent + sv.demand.firstEventDeviation
}

// awaitsFirstReports reports whether this host has just started and has no recent load report
// for a service with groups. The groups may have failed together with this host, so the state
// of their ranks from before the start can't be relied on.
func (s *Scheduler) awaitsFirstReports(sv *service, now time.Duration) bool {
	return now < s.cfg.StartupUntil && sv.hasGroups() && !sv.hasRecentReports(now)
}

// admitNow reserves a slot for a new request, unless a queued request goes first.
func (s *Scheduler) admitNow(sv *service, w *Waiter, now time.Duration) (*Ticket, bool) {
	s.updateClasses(sv, now)
	if s.hasRequestAhead(w, now) {
		return nil, false
	}
	if !s.mayAdmit(sv, w, now) {
		return nil, false
	}
	u, ok := s.pickEngine(sv, &w.constraints, w.class.isPreferred, now)
	if !ok {
		return nil, false
	}
	return s.reserveFor(sv, u, w, now), true
}

// refuse returns the refusal of a request, with the time after which its caller is to retry. A
// caller usually has one retry left. In an outage a later retry is more likely to find the
// group serving again, as long as enough time remains for the answer, so the caller is told the
// longest time that it accepts. Without free capacity callers are spread over the second half
// of that time; if Config.PlanReturns is set, they return as planReturn says. If all upstreams have
// rate limits or rest, the caller is told when the first accepts a request.
func (s *Scheduler) refuse(reason Reason, w *Waiter, now time.Duration) Decision {
	latest := maxRetryAfterFor(w, now)
	switch reason {
	case Outage, Evacuated, NoRegion:
		return Decision{Reason: reason, RetryAfter: latest}
	case Restricted:
		next, _ := s.acceptsAt(w.service, &w.constraints, now)
		return Decision{Reason: reason, RetryAfter: s.restrictedRetryAfter(w.service, next, now)}
	}
	if s.cfg.PlanReturns {
		return Decision{Reason: reason, RetryAfter: s.planReturn(w, latest, now)}
	}
	fraction := minRetryAfterFraction + (1-minRetryAfterFraction)*s.cfg.Random.Float64()
	return Decision{Reason: reason, RetryAfter: time.Duration(fraction * float64(latest))}
}

// maxRetryAfterFor returns the longest Retry-After that the caller of a request accepts. w
// is nil if its deadline is not known.
func maxRetryAfterFor(w *Waiter, now time.Duration) time.Duration {
	timeLeft := defaultTimeLeft
	if w != nil && w.deadline > 0 {
		timeLeft = max(w.deadline-now, 0)
	}
	return MaxRetryAfter(timeLeft)
}

// MaxRetryAfter returns the longest Retry-After that a caller with the given remaining time
// accepts.
func MaxRetryAfter(timeLeft time.Duration) time.Duration {
	return time.Duration(maxRetryAfterFraction * float64(timeLeft))
}

// reserveFor reserves a slot for a request and records the admission.
func (s *Scheduler) reserveFor(sv *service, u *upstream, w *Waiter, now time.Duration) *Ticket {
	t := s.reserve(u, now)
	t.class = w.class
	t.workspace = w.workspace
	w.class.begin(w.workspace)
	w.class.admissions.add(now)
	t.constraints = &w.constraints
	t.countTokens()
	sv.demand.admissions.add(now)
	if t.isLate = !w.canBeOnTime(now); t.isLate {
		sv.late++
	}
	return t
}
