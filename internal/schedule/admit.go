package schedule

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// MaxQueueWait is how long a request waits for a place at most. Callers leave a stream
	// that is silent for two seconds.
	MaxQueueWait = 1400 * time.Millisecond
	// maxRetryAfterFraction is the part of the time that a caller has left within which it comes back,
	// whatever it is told.
	maxRetryAfterFraction = 1.0 / 3
	// defaultTimeLeft is what a caller is thought to have left where that is not told.
	defaultTimeLeft = 7500 * time.Millisecond
	// minRetryAfterFraction is the part of the longest time to return that callers are told at least who
	// find no place: they are spread over the rest, since places become free one after the
	// other.
	minRetryAfterFraction = 0.5
	// delayPerPriority is by how much a request goes before those of the next lower priority.
	// It is a part of a usual wait, so that none waits for ever behind more urgent ones.
	delayPerPriority = 100 * time.Millisecond
)

// Request is a request that needs a place at an engine.
type Request struct {
	Service string
	// Engine are the figures of the service's engines.
	Engine *routetable.Engine
	// Gap is the longest pause between events that is on time, 0 if none is declared.
	Gap time.Duration
	// OnTimeUntil is when the first event has to be there to be on time.
	OnTimeUntil time.Duration
	// Priority is the rank of the request, 0 the most urgent.
	Priority int
	// Tried are the upstreams that had an attempt of it.
	Tried []string
	// TimeLeft is the time that its caller has left, 0 if that is not known.
	TimeLeft time.Duration
	// CanRetry tells that its caller has time to come back.
	CanRetry bool
	// IsResumed tells that its caller has a part of the answer.
	IsResumed bool
}

// Waiter is a request that waits for a place.
type Waiter struct {
	service *service
	tried   []string
	// latestStart is until when it can begin to be on time.
	latestStart time.Duration
	// effectiveArrival orders those that wait: it is when the request began to wait, later by
	// priorityStep for each rank of its priority.
	effectiveArrival time.Duration
	// giveUpAt is when it is given up.
	giveUpAt time.Duration
	// deadline is when its caller's time ends, 0 if that is not known; mayReturn tells that it
	// can come back before.
	deadline time.Duration
	canRetry bool
}

// Result is what becomes of a request that has waited.
type Result struct {
	Waiter *Waiter
	Decision
}

// Reason is why a request is refused.
type Reason uint8

// The reasons.
const (
	// Outage: no group of the service serves.
	Outage Reason = iota + 1
	// Full: no place becomes free in time.
	NoCapacity
)

// String is the text for callers and logs.
func (r Reason) String() string {
	if r == Outage {
		return "the group does not serve"
	}
	return "no place became free in time"
}

// Name names the reason in counters and logs.
func (r Reason) Name() string {
	if r == Outage {
		return "outage"
	}
	return "full"
}

// Decision is what becomes of a request: it has a Ticket for Upstream, or waits as Waiter,
// or is refused for a Reason and may come back after RetryAfter.
type Decision struct {
	Upstream   registry.Upstream
	Ticket     *Ticket
	Waiter     *Waiter
	Reason     Reason
	RetryAfter time.Duration
}

// Admit decides on a request that has come.
func (s *Scheduler) Admit(r *Request, now time.Duration) Decision {
	sv := s.service(r.Service)
	sv.setEngine(r.Engine, r.Gap, now)
	w := sv.newWaiter(r, now)
	if w.canBeOnTime(now) && !r.IsResumed {
		sv.demand.onTimeArrivals.add(now)
	}
	if sv.isDown(now) || s.awaitsFirstReports(sv, now) {
		if (r.CanRetry || len(sv.active) == 0 || sv.isDownForLong(now)) && now >= s.cfg.StartupUntil && !sv.isBrieflyStalled(now) {
			return s.refuse(Outage, w, now)
		}
	} else if t, ok := s.admitNow(sv, w, now); ok {
		return Decision{Upstream: t.upstream.Upstream, Ticket: t}
	} else if s.cannotBeServedInTime(sv, w, now) {
		return s.refuse(NoCapacity, w, now)
	}
	sv.waiters = append(sv.waiters, w)
	return Decision{Waiter: w}
}

// newWaiter returns a request as one that could wait. One whose caller has a part of the
// answer is as good as on time while it waits: the engines have done that part, and it
// needs its place for less than a whole answer.
func (sv *service) newWaiter(r *Request, now time.Duration) *Waiter {
	w := &Waiter{
		service: sv, tried: r.Tried, effectiveArrival: now + delayPerPriority*time.Duration(r.Priority),
		latestStart: r.OnTimeUntil - sv.timeToFirstEvent(), giveUpAt: now + MaxQueueWait, canRetry: r.CanRetry,
	}
	if r.TimeLeft > 0 {
		w.deadline = now + r.TimeLeft
	}
	if r.IsResumed {
		w.latestStart = w.giveUpAt
	}
	return w
}

// timeToFirstEvent is about how long it takes from a place to the first event: what was seen of
// late, and the figures of the engines before there is any.
func (sv *service) timeToFirstEvent() time.Duration {
	if sv.demand.firstEvent == 0 {
		return TimeToFirstEvent(sv.engineSpec, sv.limit)
	}
	return sv.demand.firstEvent + sv.demand.firstEventDeviation
}

// awaitsFirstReports reports whether the host has just started and nothing is heard yet of groups
// that may have broken with it: what was known of their ranks before says nothing then.
func (s *Scheduler) awaitsFirstReports(sv *service, now time.Duration) bool {
	return now < s.cfg.StartupUntil && sv.hasGroups() && !sv.hasRecentReports(now)
}

// admitNow gives a place to a request that has just come, unless others wait that go
// first.
func (s *Scheduler) admitNow(sv *service, w *Waiter, now time.Duration) (*Ticket, bool) {
	if len(sv.waiters) > 0 && !w.precedes(sv.waiters[sv.nextWaiter(now)], now) {
		return nil, false
	}
	if !w.canBeOnTime(now) && s.lateCapacity(sv, now) <= 0 {
		return nil, false
	}
	u, ok := s.pickEngine(sv, w.tried, now)
	if !ok {
		return nil, false
	}
	return s.reserveFor(sv, u, w, now), true
}

// refuse tells a caller when to come back. It has one try left, as a rule: in an outage the
// later it uses it, the likelier the group is back, as long as the answer still has its
// time. Where places are short callers are spread over the second half of that.
func (s *Scheduler) refuse(reason Reason, w *Waiter, now time.Duration) Decision {
	latest := maxRetryAfterFor(w, now)
	if reason == Outage {
		return Decision{Reason: reason, RetryAfter: latest}
	}
	fraction := minRetryAfterFraction + (1-minRetryAfterFraction)*s.cfg.Random.Float64()
	return Decision{Reason: reason, RetryAfter: time.Duration(fraction * float64(latest))}
}

// maxRetryAfterFor is the longest time after which a caller comes back.
func maxRetryAfterFor(w *Waiter, now time.Duration) time.Duration {
	timeLeft := defaultTimeLeft
	if w != nil && w.deadline > 0 {
		timeLeft = max(w.deadline-now, 0)
	}
	return MaxRetryAfter(timeLeft)
}

// MaxRetryAfter is what a caller with that much time left is told where its group has just
// broken: the longest time after which it comes back.
func MaxRetryAfter(timeLeft time.Duration) time.Duration {
	return time.Duration(maxRetryAfterFraction * float64(timeLeft))
}

// reserveFor holds a place for a request.
func (s *Scheduler) reserveFor(sv *service, u *upstream, w *Waiter, now time.Duration) *Ticket {
	t := s.reserve(u, now)
	sv.demand.admissions.add(now)
	if t.isLate = !w.canBeOnTime(now); t.isLate {
		sv.late++
	}
	return t
}
