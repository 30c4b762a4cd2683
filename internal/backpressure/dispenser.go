package backpressure

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/sassafraspost/sassafraspost/internal/contention"
)

const (
	// maxAhead is how long in advance a token is reserved for a host. It is several round trips
	// between data centres, so that the tokens of hosts far away are not lost on the way.
	maxAhead = 500 * time.Millisecond
	// askInterval is the time between two requests of any hosts for tokens of one upstream, at
	// which tokens are claimed early enough. It bounds the messages to the control host, however
	// many hosts ask.
	askInterval = 20 * time.Millisecond
)

// Dispenser hands out the tokens of all upstreams with a rate limit. The leading control host has
// one.
type Dispenser struct {
	buckets map[Incarnation]*bucket
	// cold holds the buckets of the tokens for cold upstreams. term is the term in which this
	// control host has last handed out such tokens, and coldFrom when it may do so.
	cold     map[Incarnation]*bucket
	term     uint64
	coldFrom time.Duration
}

// bucket is the token bucket of one upstream.
type bucket struct {
	limiter *rate.Limiter
	askers  *contention.Askers
}

// NewDispenser returns a Dispenser that has handed out no tokens.
func NewDispenser() *Dispenser {
	return &Dispenser{buckets: make(map[Incarnation]*bucket), cold: make(map[Incarnation]*bucket)}
}

// Hand hands out up to count tokens of an upstream with the given rate in requests per second to
// a host. It returns the waits until the tokens are usable, and the time after which the host
// may ask again. The random number, in [0, 1), spreads the hosts that ask again.
func (d *Dispenser) Hand(i Incarnation, host string, perSecond float64, count int, random float64, now time.Duration) (waits []time.Duration, again time.Duration) {
	b := bucketOf(d.buckets, i, perSecond, now)
	waits, blocked := b.reserve(host, count, maxAhead, now)
	return waits, max(blocked, b.askers.Pause(random))
}

// BeginTerm tells the term in which this control host leads. The leader of an earlier term may have
// handed out tokens of cold upstreams just before, so none is handed out until all of them are used
// or have ended. Calls with the same term have no effect.
func (d *Dispenser) BeginTerm(term uint64, now time.Duration) {
	if term != d.term {
		d.term, d.coldFrom = term, now+coldMaxAhead+coldTokenLifetime
		clear(d.cold)
	}
}

// HandCold hands out up to count tokens of a cold upstream, as Hand does, where term is the term in
// which this control host leads.
func (d *Dispenser) HandCold(
	i Incarnation, host string, perSecond float64, count int, random float64, term uint64, now time.Duration,
) (waits []time.Duration, again time.Duration) {
	d.BeginTerm(term, now)
	b := bucketOf(d.cold, i, perSecond, now)
	if now < d.coldFrom {
		b.askers.Record(host, now)
		return nil, d.coldFrom - now + b.askers.Pause(random)
	}
	waits, blocked := b.reserve(host, count, coldMaxAhead, now)
	return waits, max(blocked, b.askers.Pause(random))
}

// reserve takes up to count tokens for a host that are usable at most ahead from now. It returns
// the waits until they are, and after which time there may be another one.
func (b *bucket) reserve(host string, count int, ahead, now time.Duration) (waits []time.Duration, blocked time.Duration) {
	b.askers.Record(host, now)
	at := wallTime(now)
	for range min(count, maxTokens) {
		r := b.limiter.ReserveN(at, 1)
		delay := r.DelayFrom(at)
		if delay > ahead {
			r.CancelAt(at)
			return waits, delay - ahead
		}
		waits = append(waits, delay)
	}
	return waits, 0
}

// bucketOf returns the bucket of an upstream, with its present rate. A new one is empty, because
// another control host may have handed out tokens before.
func bucketOf(buckets map[Incarnation]*bucket, i Incarnation, perSecond float64, now time.Duration) *bucket {
	at := wallTime(now)
	b := buckets[i]
	if b == nil {
		b = &bucket{limiter: rate.NewLimiter(rate.Limit(perSecond), 1), askers: contention.NewAskers(askInterval)}
		b.limiter.AllowN(at, 1)
		buckets[i] = b
	}
	if b.limiter.Limit() != rate.Limit(perSecond) {
		b.limiter.SetLimitAt(at, rate.Limit(perSecond))
	}
	return b
}

// Sweep removes the buckets of the upstreams for which no host has asked lately.
func (d *Dispenser) Sweep(now time.Duration) {
	for _, buckets := range []map[Incarnation]*bucket{d.buckets, d.cold} {
		for i, b := range buckets {
			if b.askers.Sweep(now); b.askers.IsEmpty() {
				delete(buckets, i)
			}
		}
	}
}
