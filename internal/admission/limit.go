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
	// burstSpan is how much of a rate may be used at once.
	burstSpan = time.Second
	// floorShare is the share of a limit that the hosts have without asking, in
	// equal parts. The owner of the workspace hands out the rest.
	floorShare = 0.125
	// reportEvery is how often a host reports its demand where that is above its floor.
	reportEvery = time.Second
	// leaseSpan is how long a grant holds.
	leaseSpan = 3 * time.Second
	// maxDemands bounds the workspaces in the reports of one moment, and so what limits cost a
	// host, whatever the number of workspaces.
	maxDemands = 32
	// idleSpan is how long an unused workspace is remembered.
	idleSpan = time.Minute
)

// bucket is a token bucket that may go into debt for one request that is larger
// than it, so that its rate holds for requests of any cost.
type bucket struct {
	level float64
	at    time.Duration
}

// fill adds what came in at a rate since the last call.
func (b *bucket) fill(now time.Duration, rate float64) {
	b.level = min(b.level+rate*(now-b.at).Seconds(), burst(rate))
	b.at = now
}

// missing is what a request of that cost lacks.
func (b *bucket) missing(rate, cost float64) float64 {
	return min(cost, burst(rate)) - b.level
}

// burst is at least one, so that a host with a small part of a rate can use it.
func burst(rate float64) float64 { return max(1, rate*burstSpan.Seconds()) }

// Use is what one workspace uses, or wants to use, on one host.
type Use struct {
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
	// wanted counts what arrived since Asked was last called, refused or not; peak is
	// the most that ran at once, denied what was refused for that since then.
	wanted  Use
	peak    int
	denied  int
	askedAt time.Duration
	usedAt  time.Duration
	// extra is granted above the floor until extraUntil.
	extra      Use
	extraUntil time.Duration
}

// NewQuota returns a Quota with full buckets at one of that many hosts.
func NewQuota(now time.Duration, l Limits, hosts int) *Quota {
	q := &Quota{limits: l, hosts: max(hosts, 1), askedAt: now}
	q.requests = bucket{level: burst(q.part(now).Requests), at: now}
	q.tokens = bucket{level: burst(q.part(now).Tokens), at: now}
	return q
}

// SetLimits takes the limits of a newer document.
func (q *Quota) SetLimits(l Limits) { q.limits = l }

// floor is what the host has without asking. Each host may always run one request.
func (q *Quota) floor() Use {
	f := floorShare / float64(q.hosts)
	if q.hosts == 1 {
		f = 1
	}
	return Use{
		Requests:   q.limits.Requests * f,
		Tokens:     q.limits.Tokens * f,
		Concurrent: max(1, float64(q.limits.Concurrent)*f),
	}
}

// part is what the host has now.
func (q *Quota) part(now time.Duration) Use {
	u := q.floor()
	if now >= q.extraUntil {
		return u
	}
	u.Requests += q.extra.Requests
	u.Tokens += q.extra.Tokens
	u.Concurrent += q.extra.Concurrent
	return u
}

// Take lets a request through or returns why not, with the time after which the
// part of the limit allows it.
func (q *Quota) Take(now time.Duration, cost float64, service time.Duration, draw float64) *verdict.Error {
	q.usedAt = now
	q.wanted.Requests++
	q.wanted.Tokens += cost
	part := q.part(now)
	q.requests.fill(now, part.Requests)
	q.tokens.fill(now, part.Tokens)
	if q.limits.Concurrent > 0 && q.running+1 > int(part.Concurrent) {
		q.denied++
		return limited("too many requests at once", service, draw)
	}
	if lack := q.requests.missing(part.Requests, 1); q.limits.Requests > 0 && lack > 0 {
		return limited("too many requests a second", after(lack, part.Requests), draw)
	}
	if lack := q.tokens.missing(part.Tokens, cost); q.limits.Tokens > 0 && lack > 0 {
		return limited("too many tokens a second", after(lack, part.Tokens), draw)
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
func (q *Quota) Demand(now time.Duration) (Use, bool) {
	span := max(now-q.askedAt, time.Millisecond).Seconds()
	floor := q.floor()
	u := Use{
		Requests:   above(q.wanted.Requests/span, floor.Requests, q.limits.Requests),
		Tokens:     above(q.wanted.Tokens/span, floor.Tokens, q.limits.Tokens),
		Concurrent: above(float64(q.peak+q.denied), floor.Concurrent, float64(q.limits.Concurrent)),
	}
	return u, u != Use{}
}

// Asked begins to measure the demand anew.
func (q *Quota) Asked(now time.Duration) {
	q.wanted, q.peak, q.denied, q.askedAt = Use{}, q.running, 0, now
}

// above is the part of a demand above the floor, none without a limit, and no more
// than the limit.
func above(demand, floor, limit float64) float64 {
	if limit <= 0 {
		return 0
	}
	return max(0, min(demand, limit)-floor)
}

// RunningAbove is what runs at once above the floor.
func (q *Quota) RunningAbove() float64 {
	return max(0, float64(q.running)-q.floor().Concurrent)
}

// Grant holds extra above the floor until a lease ends that began when the host
// asked. A grant that was asked for earlier than the one in force is dropped.
func (q *Quota) Grant(asked time.Duration, extra Use) {
	if asked+leaseSpan < q.extraUntil {
		return
	}
	q.extra = extra
	q.extraUntil = asked + leaseSpan
}

// IsIdle reports whether the workspace can be forgotten.
func (q *Quota) IsIdle(now time.Duration) bool {
	return q.running == 0 && now-q.usedAt >= idleSpan
}

func after(lack, rate float64) time.Duration {
	if lack >= rate*maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(lack / rate * float64(time.Second))
}

func limited(text string, wait time.Duration, draw float64) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeLimited, text).WithRetryAfter(spread(max(wait, time.Millisecond), draw))
}
