package entry

import (
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// byteBudget bounds the memory that all requests of a Server use for request and response bodies.
type byteBudget struct {
	// mu guards available.
	mu        sync.Mutex
	available int64
}

// acquire takes n bytes from the budget, or returns false if fewer are available.
func (b *byteBudget) acquire(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.available {
		return false
	}
	b.available -= n
	return true
}

func (b *byteBudget) free(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
}

// bodyCopies is how many copies of a request body are in memory at once: as read, in the parsed
// prompt, and encoded for the agent.
const bodyCopies = 3

// byteReservation is the part of a byteBudget that one call has acquired. It is not safe for
// concurrent use.
type byteReservation struct {
	budget *byteBudget
	bytes  int64
}

// grow reserves n more bytes. If they are not available, it reserves nothing and returns false.
func (r *byteReservation) grow(n int64) bool {
	if !r.budget.acquire(n) {
		return false
	}
	r.bytes += n
	return true
}

// release returns all reserved bytes to the budget.
func (r *byteReservation) release() {
	r.budget.free(r.bytes)
	r.bytes = 0
}

// reserveMemory reserves what the call needs before its body is read: the copies of its body and
// the flow control window of its response. A non-idempotent call also reserves the largest
// response, which is buffered until it is complete. A body of unknown length counts as the
// largest one.
func (c *call) reserveMemory() error {
	body := c.r.ContentLength
	if body < 0 || body > c.s.cfg.MaxBody {
		body = c.s.cfg.MaxBody
	}
	n := bodyCopies*body + int64(c.s.cfg.FlowWindow)
	if c.isResolved && !c.plan.Idempotent {
		n += int64(c.s.cfg.MaxResponse)
	}
	if c.reservation.grow(n) {
		return nil
	}
	return notRun(verdict.CodeOverloaded, "entry host holds too many bytes").WithRetryAfter(c.s.cfg.RetryAfter)
}
