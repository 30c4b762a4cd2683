package backpressure

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// tokenLifetime is how long a token may be used after it has become usable. A longer one
	// wastes fewer tokens at hosts with few requests, but the upstream may get that many seconds'
	// worth of requests more in a burst.
	tokenLifetime = 500 * time.Millisecond
	// maxTokens is how many tokens a host holds for one upstream.
	maxTokens = 32
	// shareTime is how long a host uses its share of a rate after its request for tokens was not
	// answered, before it asks again. It is the duration of an election.
	shareTime = time.Second
	// maxSharePeriod limits the time between two requests of one host's share of a cold upstream.
	// No upstream is cold for that long.
	maxSharePeriod = time.Hour
)

// Allowance says when one host may send requests to an upstream that has a rate limit. Each
// request takes a token. The host asks the leading control host for tokens, and while it gets no
// answer, it uses its equal share of the rate.
//
// A token of a cold upstream ends coldTokenLifetime after its time by the clock of the control
// host. The receiver does not know that clock, but the answer was made after the request was sent,
// so it counts the lifetime from then on. The share of a cold upstream is one request in each
// period, at a random time that differs between hosts, and is not kept for later.
type Allowance struct {
	limit Limit
	// tokens holds the tokens in the order in which they may be used.
	tokens [maxTokens]token
	count  int
	// passedOver is how many requests found no token since the host last asked.
	passedOver int
	// isAsking is set while the host waits for an answer to a request for asked tokens, which was
	// sent at askedAt. askAt is when it may ask next.
	isAsking       bool
	asked          int
	askedAt, askAt time.Duration
	// share limits this host to its share of the rate; nil while a control host hands out tokens,
	// and for cold upstreams.
	share *rate.Limiter
	// sharePeriod is the time between two requests of the share of a cold upstream, 0 while a
	// control host hands out tokens. shareAt is when the next one may be sent.
	sharePeriod, shareAt time.Duration
}

// token is the permission to send one request from a time until another.
type token struct{ from, until time.Duration }

// NewAllowance returns an Allowance without tokens, for a rate in requests per second.
func NewAllowance(perSecond float64) *Allowance {
	return NewLimitedAllowance(Limit{Rate: perSecond, ShareRate: perSecond})
}

// NewLimitedAllowance returns an Allowance without tokens.
func NewLimitedAllowance(l Limit) *Allowance { return &Allowance{limit: l} }

// SetRate changes the rate limit. Tokens that the host holds stay valid.
func (a *Allowance) SetRate(perSecond float64) {
	a.SetLimit(Limit{Rate: perSecond, ShareRate: perSecond})
}

// SetLimit changes the limit. Tokens that the host holds stay valid. Whether the upstream is cold
// must not change, since the tokens of a warm upstream last longer.
func (a *Allowance) SetLimit(l Limit) { a.limit = l }

// Limit returns the limit.
func (a *Allowance) Limit() Limit { return a.limit }

// Rate returns the rate limit in requests per second.
func (a *Allowance) Rate() float64 { return a.limit.Rate }

// Outstanding returns how many tokens the host holds or has asked for.
func (a *Allowance) Outstanding(now time.Duration) int {
	a.expire(now)
	return a.count + a.asked
}

// CanSend reports whether a request may be sent now.
func (a *Allowance) CanSend(now time.Duration) bool {
	a.expire(now)
	return a.count > 0 && a.tokens[0].from <= now || a.share != nil && a.share.TokensAt(wallTime(now)) >= 1 ||
		a.sharePeriod > 0 && now >= a.shareAt
}

// Take takes the token for a request that is sent now. It returns until when the request must have
// been sent, and false if there was no token.
func (a *Allowance) Take(now time.Duration) (until time.Duration, ok bool) {
	a.expire(now)
	switch {
	case a.count > 0 && a.tokens[0].from <= now:
		until = a.tokens[0].until
		a.dropFirst()
	case a.share != nil && a.share.AllowN(wallTime(now), 1):
		until = now + tokenLifetime
	case a.sharePeriod > 0 && now >= a.shareAt:
		until = a.shareAt + coldTokenLifetime
		a.shareAt += a.sharePeriod
	default:
		return 0, false
	}
	return until, true
}

// PassOver records that a request would have been sent to the upstream if there had been a token.
func (a *Allowance) PassOver() { a.passedOver++ }

// MayAsk reports whether the host may ask for tokens now.
func (a *Allowance) MayAsk(now time.Duration) bool { return !a.isAsking && now >= a.askAt }

// AskFor records that the host asks for n tokens now, which MayAsk must have allowed.
func (a *Allowance) AskFor(n int, now time.Duration) {
	a.passedOver, a.isAsking, a.asked, a.askedAt = 0, true, n, now
}

// Ask returns how many tokens the host should ask for now, 0 if it should not ask. The caller
// then calls Granted or Unanswered.
func (a *Allowance) Ask(now time.Duration) int {
	a.expire(now)
	if a.passedOver == 0 || !a.MayAsk(now) || a.count > 0 {
		return 0
	}
	n := min(a.passedOver, maxTokens)
	a.AskFor(n, now)
	return n
}

// Granted adds tokens, given by the waits until they are usable, and sets after which time the
// host may ask again.
func (a *Allowance) Granted(waits []time.Duration, again, now time.Duration) {
	if a.limit.IsCold && !a.isAsking {
		// The answer is to a request that was sent before the upstream became cold.
		return
	}
	a.isAsking, a.asked, a.share, a.sharePeriod, a.askAt = false, 0, nil, 0, now+again
	for _, wait := range waits {
		if a.count < maxTokens {
			a.tokens[a.count] = a.newToken(wait, now)
			a.count++
		}
	}
}

// newToken returns the token that is usable after the given wait.
func (a *Allowance) newToken(wait, now time.Duration) token {
	if a.limit.IsCold {
		return token{from: now + wait, until: a.askedAt + wait + coldTokenLifetime}
	}
	return token{from: now + wait, until: now + wait + tokenLifetime}
}

// Unanswered records that no control host answered. For shareTime the host uses its share of the
// rate, given the number of hosts that may do the same. The random number, in [0, 1), spreads the
// shares of a cold upstream.
func (a *Allowance) Unanswered(hosts int, random float64, now time.Duration) {
	a.isAsking, a.asked, a.askAt = false, 0, now+shareTime
	if a.limit.IsCold {
		a.startSharing(hosts, random, now)
		return
	}
	if a.share == nil {
		// The bucket begins empty: full buckets at all hosts would be a burst.
		a.share = rate.NewLimiter(0, 1)
		a.share.AllowN(wallTime(now), 1)
	}
	a.share.SetLimitAt(wallTime(now), rate.Limit(a.limit.ShareRate/float64(max(hosts, 1))))
}

// startSharing lets the host send one request in each period. The first one is at a random time in
// a period, as the hosts that are cut off at the same time must not send at the same time.
func (a *Allowance) startSharing(hosts int, random float64, now time.Duration) {
	isSharing := a.sharePeriod > 0
	a.sharePeriod = time.Duration(min(float64(max(hosts, 1))/a.limit.ShareRate, maxSharePeriod.Seconds()) * float64(time.Second))
	if !isSharing {
		a.shareAt = max(a.shareAt, now+time.Duration(random*float64(a.sharePeriod)))
	}
}

// NextAt returns when a request may be sent at the earliest, as far as it is known. It is now if
// the host is asking for tokens, or may ask.
func (a *Allowance) NextAt(now time.Duration) time.Duration {
	a.expire(now)
	if a.count > 0 {
		return max(a.tokens[0].from, now)
	}
	next := max(a.askAt, now)
	if a.isAsking {
		next = now
	}
	if a.share != nil {
		missing := max(1-a.share.TokensAt(wallTime(now)), 0)
		next = min(next, now+time.Duration(missing/float64(a.share.Limit())*float64(time.Second)))
	}
	if a.sharePeriod > 0 {
		next = min(next, max(a.shareAt, now))
	}
	return next
}

// expire removes the tokens that may not be used any more, and moves the share of a cold upstream
// to its next time if it was not used.
func (a *Allowance) expire(now time.Duration) {
	for a.count > 0 && now > a.tokens[0].until {
		a.dropFirst()
	}
	if late := now - a.shareAt - coldTokenLifetime; a.sharePeriod > 0 && late > 0 {
		a.shareAt += (late/a.sharePeriod + 1) * a.sharePeriod
	}
}

func (a *Allowance) dropFirst() {
	copy(a.tokens[:], a.tokens[1:a.count])
	a.count--
}

// wallTime converts a time of a monotonic clock for package rate, which only uses differences.
func wallTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
