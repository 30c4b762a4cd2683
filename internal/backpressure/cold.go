package backpressure

import (
	"math"
	"time"
)

const (
	// coldTokenLifetime is how long a token of a cold upstream may be used. It covers the wait for
	// the load report after which a queued request is considered again.
	coldTokenLifetime = 200 * time.Millisecond
	// coldMaxAhead is how long in advance a token of a cold upstream is reserved for a host.
	coldMaxAhead = 300 * time.Millisecond
	// coldTokenFraction is the largest part of the bound that is handed out as tokens. The rest is
	// for the shares of hosts that get no answer.
	coldTokenFraction = 0.75
	// shareDeviations is by how many standard deviations the requests of all shares in a second
	// may exceed their mean before the bound is reached. The hosts use their shares at random
	// times, so that only their distribution is known.
	shareDeviations = 4
)

// ColdBound limits the requests that a cold upstream gets from all hosts together in any second: at
// most the tolerated rate times Factor, plus Extra. A zero Factor counts as 1.
type ColdBound struct{ Factor, Extra float64 }

// Max returns the most requests in any second at an upstream that tolerates the given rate in
// requests per second.
func (b ColdBound) Max(tolerated float64) float64 {
	factor := b.Factor
	if factor == 0 {
		factor = 1
	}
	return tolerated*factor + b.Extra
}

// ColdLimit returns the limit for a cold upstream that tolerates the given rate, in requests per
// second, and must get no more than bound requests in any second.
//
// Tokens are handed out at intervals of 1/Rate, and each is used within coldTokenLifetime. So the
// requests of one second have tokens of 1 s + coldTokenLifetime, at most one more than the rate
// allows in that time. What is left of the bound is for the shares of hosts that get no answer.
// These may be all hosts while others still use tokens, so the sum of both stays within the bound,
// whoever is cut off.
func ColdLimit(tolerated, bound float64) Limit {
	window := (time.Second + coldTokenLifetime).Seconds()
	tokenRate := min(tolerated, (coldTokenFraction*bound-1)/window)
	tokenRate = max(tokenRate, MinRate)
	rest := max(math.Floor(bound)-math.Floor(tokenRate*window)-1, 0)
	// The largest mean for which mean + shareDeviations * sqrt(mean) is no more than the rest.
	root := math.Sqrt(shareDeviations*shareDeviations/4+rest) - shareDeviations/2
	return Limit{Rate: tokenRate, ShareRate: root * root / window, IsCold: true}
}

// Limit is how many requests all hosts together may send to an upstream.
type Limit struct {
	// Rate is the rate at which tokens are handed out, in requests per second.
	Rate float64
	// ShareRate is the rate that hosts which get no answer to requests for tokens share among all
	// hosts, in requests per second.
	ShareRate float64
	// IsCold tells that the upstream is cold, so that the number of requests in any second is
	// bounded. Tokens and shares are then used within coldTokenLifetime or not at all.
	IsCold bool
}

// Lower returns the limit that holds if the upstream also states a rate limit, 0 for none.
func (l Limit) Lower(stated float64) Limit {
	if stated > 0 {
		l.Rate, l.ShareRate = min(l.Rate, stated), min(l.ShareRate, stated)
	}
	return l
}

// ColdTime is what is known of the time for which an incarnation is cold. Times are those of the
// host's clock, 0 for none.
type ColdTime struct {
	// StatedUntil is the end of the cold time that the upstream announced last, received at
	// StatedAt. If IsUnknown is set, none of its announcements tells whether it is cold.
	StatedUntil, StatedAt time.Duration
	IsUnknown             bool
	// ObservedUntil is the end of the cold time that the upstream stated in a response.
	ObservedUntil time.Duration
	// EvacuatedUntil is when an evacuation of its data centre ended.
	EvacuatedUntil time.Duration
}

// Until returns until when the incarnation is cold, where upstreams are cold for the given time
// after their start. The margin is how much later than announced a stated cold time may end.
func (c ColdTime) Until(duration, margin time.Duration) time.Duration {
	until := c.ObservedUntil
	if c.StatedUntil > 0 {
		until = max(until, c.StatedUntil+margin)
	}
	if c.IsUnknown {
		until = max(until, c.StatedAt+duration)
	}
	if c.EvacuatedUntil > 0 && (c.IsUnknown || c.StatedAt <= c.EvacuatedUntil) {
		until = max(until, c.EvacuatedUntil+duration)
	}
	return until
}
