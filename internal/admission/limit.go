package admission

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Limits are those of one workspace over all entry hosts. Zero is unlimited.
type Limits struct {
	// Requests and Tokens are rates a second.
	Requests, Tokens float64
	// Concurrent is how many requests run or wait at once.
	Concurrent int
}

// IsSet reports whether anything is limited.
func (l Limits) IsSet() bool { return l != Limits{} }

const (
	// burstWindow is how much of a rate may be used at once.
	burstWindow = time.Second
	// floorFraction is the share of a limit that the hosts have without asking, in
	// equal parts. The owner of the workspace hands out the rest.
	floorFraction = 0.125
	// demandInterval is how often a host reports its demand where that is above its floor.
	demandInterval = time.Second
	// leaseDuration is how long a grant holds.
	leaseDuration = 3 * time.Second
	// maxDemandsPerReport bounds the workspaces in the reports of one moment, and so what limits cost a
	// host, whatever the number of workspaces.
	maxDemandsPerReport = 32
	// idleTimeout is how long an unused workspace is remembered.
	idleTimeout = time.Minute
)

// bucket is a token bucket that may go into debt for one request that is larger
// than it, so that its rate holds for requests of any cost.
type bucket struct {
	level    float64
	filledAt time.Duration
}

// fill adds what came in at a rate since the last call.
func (b *bucket) fill(now time.Duration, rate float64) {
	b.level = min(b.level+rate*(now-b.filledAt).Seconds(), burst(rate))
	b.filledAt = now
}

// shortfall is what a request of that cost lacks.
func (b *bucket) shortfall(rate, cost float64) float64 {
	return min(cost, burst(rate)) - b.level
}

// burst is at least one, so that a host with a small part of a rate can use it.
func burst(rate float64) float64 { return max(1, rate*burstWindow.Seconds()) }

// Amounts is what one workspace uses, or wants to use, on one host.
type Amounts struct {
	Requests, Tokens float64
	Concurrent       float64
}

// Quota is one host's part of the limits of one workspace. It is pure and not safe
// for concurrent use.
//
// Over any span the host lets through no more than its part of the rate times the
// span, one burst, and the part of one request that is larger than the burst.
type Quota struct {
	limits   Limits
	hosts    int
	requests bucket
	tokens   bucket
	running  int
	// demand counts what arrived since Asked was last called, refused or not; peak is
	// the most that ran at once, denied what was refused for that since then.
	demand           Amounts
	peak             int
	deniedConcurrent int
	demandSince      time.Duration
	lastUsedAt       time.Duration
	// granted is granted above the floor until extraUntil.
	granted      Amounts
	grantedUntil time.Duration
}

// NewQuota returns a Quota with full buckets at one of that many hosts.
func NewQuota(now time.Duration, l Limits, hosts int) *Quota {
	q := &Quota{limits: l, hosts: max(hosts, 1), demandSince: now}
	q.requests = bucket{level: burst(q.allowance(now).Requests), filledAt: now}
	q.tokens = bucket{level: burst(q.allowance(now).Tokens), filledAt: now}
	return q
}

// SetLimits takes the limits of a newer document.
func (q *Quota) SetLimits(l Limits) { q.limits = l }

// floor is what the host has without asking. Each host may always run one request.
func (q *Quota) floor() Amounts {
	f := floorFraction / float64(q.hosts)
	if q.hosts == 1 {
		f = 1
	}
	return Amounts{
		Requests:   q.limits.Requests * f,
		Tokens:     q.limits.Tokens * f,
		Concurrent: max(1, float64(q.limits.Concurrent)*f),
	}
}

// allowance is what the host has now.
func (q *Quota) allowance(now time.Duration) Amounts {
	u := q.floor()
	if now >= q.grantedUntil {
		return u
	}
	u.Requests += q.granted.Requests
	u.Tokens += q.granted.Tokens
	u.Concurrent += q.granted.Concurrent
	return u
}

// Take lets a request through or returns why not, with the time after which the
// part of the limit allows it.
func (q *Quota) Take(now time.Duration, cost float64, service time.Duration, draw float64) *verdict.Error {
	q.lastUsedAt = now
	q.demand.Requests++
	q.demand.Tokens += cost
	part := q.allowance(now)
	q.requests.fill(now, part.Requests)
	q.tokens.fill(now, part.Tokens)
	if q.limits.Concurrent > 0 && q.running+1 > int(part.Concurrent) {
		q.deniedConcurrent++
		return limitError("too many requests at once", service, draw)
	}
	if lack := q.requests.shortfall(part.Requests, 1); q.limits.Requests > 0 && lack > 0 {
		return limitError("too many requests a second", refillTime(lack, part.Requests), draw)
	}
	if lack := q.tokens.shortfall(part.Tokens, cost); q.limits.Tokens > 0 && lack > 0 {
		return limitError("too many tokens a second", refillTime(lack, part.Tokens), draw)
	}
	q.requests.level--
	q.tokens.level -= cost
	q.running++
	q.peak = max(q.peak, q.running)
	return nil
}

// Refund gives back what a request took that was refused later on.
func (q *Quota) Refund(cost float64) {
	q.requests.level++
	q.tokens.level += cost
	q.running--
}

// Done ends a request that was let through.
func (q *Quota) Done() { q.running-- }

// Demand returns what the host uses or wants beyond its floor, a second, since Asked
// was last called. It is false where the floor is enough.
func (q *Quota) Demand(now time.Duration) (Amounts, bool) {
	span := max(now-q.demandSince, time.Millisecond).Seconds()
	floor := q.floor()
	u := Amounts{
		Requests:   demandAboveFloor(q.demand.Requests/span, floor.Requests, q.limits.Requests),
		Tokens:     demandAboveFloor(q.demand.Tokens/span, floor.Tokens, q.limits.Tokens),
		Concurrent: demandAboveFloor(float64(q.peak+q.deniedConcurrent), floor.Concurrent, float64(q.limits.Concurrent)),
	}
	return u, u != Amounts{}
}

// ResetDemand begins to measure the demand anew.
func (q *Quota) ResetDemand(now time.Duration) {
	q.demand, q.peak, q.deniedConcurrent, q.demandSince = Amounts{}, q.running, 0, now
}

// demandAboveFloor is the part of a demand above the floor, none without a limit, and no more
// than the limit.
func demandAboveFloor(demand, floor, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return max(0, min(demand, limit)-floor)
}

// RunningAboveFloor is what runs at once above the floor.
func (q *Quota) RunningAboveFloor() float64 {
	return max(0, float64(q.running)-q.floor().Concurrent)
}

// Grant holds extra above the floor until a lease ends that began when the host
// asked. A grant that was asked for earlier than the one in force is dropped.
func (q *Quota) Grant(asked time.Duration, extra Amounts) {
	if asked+leaseDuration < q.grantedUntil {
		return
	}
	q.granted = extra
	q.grantedUntil = asked + leaseDuration
}

// IsIdle reports whether the workspace can be forgotten.
func (q *Quota) IsIdle(now time.Duration) bool {
	return q.running == 0 && now-q.lastUsedAt >= idleTimeout
}

func refillTime(lack, rate float64) time.Duration {
	if lack >= rate*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(lack / rate * float64(time.Second))
}

func limitError(text string, wait time.Duration, draw float64) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeLimited, text).After(addJitter(max(wait, time.Millisecond), draw))
}
