package admission

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// Limits are the limits of one workspace over all entry hosts. A zero field is unlimited.
type Limits struct {
	// Requests and Tokens are rates per second.
	Requests, Tokens float64
	// Concurrent is the maximum number of requests that run or wait at the same time.
	Concurrent int
}

// IsSet reports whether any limit is set.
func (l Limits) IsSet() bool { return l != Limits{} }

const (
	// burstWindow times a rate is the burst that the rate allows.
	burstWindow = time.Second
	// floorFraction is the fraction of a limit that all hosts together may use without a
	// grant, each an equal part of it (its floor). The owner of the workspace grants the rest.
	floorFraction = 0.125
	// demandInterval is how often a host reports demand that exceeds its floor.
	demandInterval = time.Second
	// leaseDuration is how long a grant is valid.
	leaseDuration = 3 * time.Second
	// maxDemandsPerReport bounds the workspaces that a host reports in one demandInterval.
	// So the traffic for limits does not grow with the number of workspaces.
	maxDemandsPerReport = 32
	// idleTimeout is how long the quota of an unused workspace is kept.
	idleTimeout = time.Minute
)

// bucket is a token bucket. Its level may become negative for one request that costs more
// than the bucket can hold, so the rate is kept for requests of any cost.
type bucket struct {
	level    float64
	filledAt time.Duration
}

// fill adds what has accrued at the given rate since the last call.
func (b *bucket) fill(now time.Duration, rate float64) {
	b.level = min(b.level+rate*(now-b.filledAt).Seconds(), burst(rate))
	b.filledAt = now
}

// shortfall returns how much the level must rise before a request of that cost is allowed.
// Zero or less means that it is allowed now.
func (b *bucket) shortfall(rate, cost float64) float64 {
	return min(cost, burst(rate)) - b.level
}

// burst returns the capacity of a bucket. It is at least one, so a host with a small share
// of a rate can still send single requests.
func burst(rate float64) float64 { return max(1, rate*burstWindow.Seconds()) }

// Amounts holds one amount for each of the three limits of a workspace on one host: a
// demand, a grant or an allowance. Requests and Tokens are rates per second.
type Amounts struct {
	Requests, Tokens float64
	Concurrent       float64
}

// Quota applies one host's share of the limits of one workspace. It is pure and not safe
// for concurrent use.
//
// Over any period the host admits no more than its share of the rate times the period, plus
// one burst, plus the amount by which one request exceeds the burst.
type Quota struct {
	limits   Limits
	hosts    int
	requests bucket
	tokens   bucket
	running  int
	// The following three cover the time since ResetDemand was last called, which is
	// demandSince. demand counts all arrivals, including refused ones. peak is the highest
	// number of concurrent requests. deniedConcurrent counts the requests refused because
	// of the concurrency limit.
	demand           Amounts
	peak             int
	deniedConcurrent int
	demandSince      time.Duration
	lastUsedAt       time.Duration
	// granted is what the host may use above its floor until grantedUntil.
	granted      Amounts
	grantedUntil time.Duration
}

// NewQuota returns a Quota with full buckets, for limits divided among that many hosts.
func NewQuota(now time.Duration, l Limits, hosts int) *Quota {
	q := &Quota{limits: l, hosts: max(hosts, 1), demandSince: now}
	q.requests = bucket{level: burst(q.allowance(now).Requests), filledAt: now}
	q.tokens = bucket{level: burst(q.allowance(now).Tokens), filledAt: now}
	return q
}

// SetLimits replaces the limits, for example after the service's document has changed.
func (q *Quota) SetLimits(l Limits) { q.limits = l }

// floor returns what the host may use without a grant. Each host may always run one request.
func (q *Quota) floor() Amounts {
	fraction := floorFraction / float64(q.hosts)
	if q.hosts == 1 {
		fraction = 1
	}
	return Amounts{
		Requests:   q.limits.Requests * fraction,
		Tokens:     q.limits.Tokens * fraction,
		Concurrent: max(1, float64(q.limits.Concurrent)*fraction),
	}
}

// allowance returns what the host may use now: its floor and its unexpired grant.
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

// Take charges a request to the quota or returns why it is refused, with the time after
// which this host's share of the limit would allow it. service is the expected service time,
// and jitter in [0, 1) spreads the times at which refused callers retry.
func (q *Quota) Take(now time.Duration, cost float64, service time.Duration, jitter float64) *verdict.Error {
	q.lastUsedAt = now
	q.demand.Requests++
	q.demand.Tokens += cost
	allowance := q.allowance(now)
	q.requests.fill(now, allowance.Requests)
	q.tokens.fill(now, allowance.Tokens)
	if q.limits.Concurrent > 0 && q.running+1 > int(allowance.Concurrent) {
		q.deniedConcurrent++
		return limitError("too many requests at once", service, jitter)
	}
	if shortfall := q.requests.shortfall(allowance.Requests, 1); q.limits.Requests > 0 && shortfall > 0 {
		return limitError("too many requests a second", refillTime(shortfall, allowance.Requests), jitter)
	}
	if shortfall := q.tokens.shortfall(allowance.Tokens, cost); q.limits.Tokens > 0 && shortfall > 0 {
		return limitError("too many tokens a second", refillTime(shortfall, allowance.Tokens), jitter)
	}
	q.requests.level--
	q.tokens.level -= cost
	q.running++
	q.peak = max(q.peak, q.running)
	return nil
}

// Refund undoes Take for a request that was refused afterwards.
func (q *Quota) Refund(cost float64) {
	q.requests.level++
	q.tokens.level += cost
	q.running--
}

// Done records the end of a request that Take allowed.
func (q *Quota) Done() { q.running-- }

// Demand returns how much the host's demand since the last ResetDemand exceeds its floor,
// with rates per second. It returns false if the floor is sufficient.
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

// ResetDemand starts a new measurement of the demand.
func (q *Quota) ResetDemand(now time.Duration) {
	q.demand, q.peak, q.deniedConcurrent, q.demandSince = Amounts{}, q.running, 0, now
}

// demandAboveFloor returns the part of a demand that lies between the floor and the limit.
// It is zero if there is no limit.
func demandAboveFloor(demand, floor, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return max(0, min(demand, limit)-floor)
}

// RunningAboveFloor returns how many requests run in excess of the floor.
func (q *Quota) RunningAboveFloor() float64 {
	return max(0, float64(q.running)-q.floor().Concurrent)
}

// Grant allows the given amounts above the floor until one leaseDuration after the demand
// was sent. A grant for an earlier demand than that of the current grant is ignored.
func (q *Quota) Grant(sentAt time.Duration, amounts Amounts) {
	if sentAt+leaseDuration < q.grantedUntil {
		return
	}
	q.granted = amounts
	q.grantedUntil = sentAt + leaseDuration
}

// IsIdle reports whether the quota is unused and can be dropped.
func (q *Quota) IsIdle(now time.Duration) bool {
	return q.running == 0 && now-q.lastUsedAt >= idleTimeout
}

// refillTime returns how long a bucket needs to refill the shortfall, at most maxRetryAfter.
func refillTime(shortfall, rate float64) time.Duration {
	if shortfall >= rate*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(shortfall / rate * float64(time.Second))
}

// limitError returns a refusal that asks the caller to retry after wait, plus jitter.
func limitError(text string, wait time.Duration, jitter float64) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeLimited, text).WithRetryAfter(addJitter(max(wait, time.Millisecond), jitter))
}
