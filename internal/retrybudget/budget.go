// Package retrybudget limits how many requests are retried, so that retries cannot multiply an
// overload.
//
// All hosts share one budget for each service: a ratio of the requests in a sliding window plus a fixed
// extra number of retries in each window. In any window, all hosts together must send no more retries
// than that, whatever hosts start, end, are cut off or stand still. No part of the budget belongs to a
// host or follows from how many hosts there are:
//
//   - Each request gives its host credit for a fraction of a retry, which lasts for [Lifetime]. It can be
//     used once and only there, so that neither a host that starts anew nor callers that go to another
//     host change the sum.
//   - The leading control host grants parts of the extra to hosts that ask, for retries that are sent
//     within [Lifetime]. A [Ledger] counts what was granted.
//
// A Budget and a Ledger read no clock and are not safe for concurrent use.
package retrybudget

import "time"

const (
	// Lifetime is how long a retry may be sent after the request that pays for it has arrived, or after
	// the host has asked for it.
	Lifetime = time.Second
	// ArrivalTime is how long the bytes of a retry may be under way to the upstream.
	ArrivalTime = 500 * time.Millisecond
	// MaxAsked is the maximum number of retries that a host asks for at once.
	MaxAsked = 32
	// maxAskPause bounds the pause that an answer may ask for.
	maxAskPause = 10 * time.Second
	// unansweredPause is how long a host asks for no retries after its request was not answered. It is
	// the duration of an election.
	unansweredPause = time.Second
)

// Params are the limits of the shared budget.
type Params struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed per window in addition, for all hosts together.
	Extra float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// Hold returns how long a permission to retry counts from the time at which it came into being. No window
// that begins later contains the arrival of that retry.
func (p Params) Hold() time.Duration { return p.Window + Lifetime + ArrivalTime }

// credit returns the credit for one request. The requests that pay for the retries of one window are
// those of Hold, so the credit is less than Ratio.
func (p Params) credit() float64 { return p.Ratio * float64(p.Window) / float64(p.Hold()) }

// Budget is what one host may retry of one service. The zero value is ready to use.
type Budget struct {
	credits credits
	// granted holds the retries that were granted, or given back, and not taken.
	granted []Retry
	// missed is how many retries were wanted and not allowed since the host last asked.
	missed int
	// isAsking is set while the host waits for an answer, and askAt is when it may ask next.
	isAsking bool
	askAt    time.Duration
	// suspensions counts the suspensions of the host, and askedIn is their number when it last asked.
	suspensions, askedIn int
}

// Retry is the permission to send one retry. It may be used once.
type Retry struct {
	isGranted bool
	until     time.Duration
	// suspensions is how many there were when the retry came into being.
	suspensions int
}

// IsGranted reports whether a control host has granted the retry.
func (r Retry) IsGranted() bool { return r.isGranted }

// AddRequest adds the credit for a caller's request.
func (b *Budget) AddRequest(p Params, now time.Duration) { b.credits.add(p.credit(), now) }

// Take takes one retry if one is allowed.
func (b *Budget) Take(now time.Duration) (Retry, bool) {
	if until, ok := b.credits.takeOne(now); ok {
		return Retry{until: until, suspensions: b.suspensions}, true
	}
	for len(b.granted) > 0 {
		r := b.granted[0]
		b.granted = b.granted[1:]
		if b.MaySend(r, now) {
			return r, true
		}
	}
	b.missed++
	return Retry{}, false
}

// MaySend reports whether the first byte of a retry that was taken may be sent now.
func (b *Budget) MaySend(r Retry, now time.Duration) bool {
	return now < r.until && r.suspensions == b.suspensions
}

// Return gives back a retry of which nothing was sent.
func (b *Budget) Return(r Retry, now time.Duration) {
	if b.MaySend(r, now) {
		b.granted = append([]Retry{r}, b.granted...)
	}
}

// DropAll drops all credits and retries, also those that were taken, because the host was suspended: they
// are older than they look by its monotonic clock.
func (b *Budget) DropAll() {
	b.suspensions++
	b.credits, b.granted = credits{}, nil
}

// Ask returns how many retries the host should ask for now, 0 if it should not ask. The caller then calls
// Granted or Unanswered.
func (b *Budget) Ask(p Params, now time.Duration) int {
	if b.missed == 0 || !b.mayAsk(p, now) {
		return 0
	}
	n := min(b.missed, MaxAsked)
	b.missed, b.isAsking, b.askedIn = 0, true, b.suspensions
	return n
}

func (b *Budget) mayAsk(p Params, now time.Duration) bool {
	return p.Extra >= 1 && !b.isAsking && now >= b.askAt
}

// MayBeGranted reports whether an answer is awaited or the host may ask, so that it is worth waiting for a
// retry.
func (b *Budget) MayBeGranted(p Params, now time.Duration) bool {
	return b.isAsking || b.mayAsk(p, now)
}

// Granted adds n retries that were granted to the request of the given time, and sets after which time the
// host may ask again.
func (b *Budget) Granted(n int, askedAt, again, now time.Duration) {
	b.isAsking, b.missed, b.askAt = false, 0, now+min(again, maxAskPause)
	for range min(n, MaxAsked) {
		b.granted = append(b.granted, Retry{isGranted: true, until: askedAt + Lifetime, suspensions: b.askedIn})
	}
}

// Unanswered records that no control host has answered.
func (b *Budget) Unanswered(now time.Duration) {
	b.isAsking, b.missed, b.askAt = false, 0, now+unansweredPause
}

// Left returns how many retries the host's own requests pay for now, and how many granted ones it has.
func (b *Budget) Left(now time.Duration) (own float64, granted int) {
	return b.credits.sum(now), len(b.granted)
}
