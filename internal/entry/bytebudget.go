package entry

import (
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// byteBudget bounds the bytes that all requests of a Server hold.
type byteBudget struct {
	// mu guards left.
	mu        sync.Mutex
	available int64
}

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

// bodyCopies is how often a body is held: as it was read, in the parsed prompt, and
// encoded on its way to the agent.
const bodyCopies = 3

// byteReservation is the part of the budget that one call holds. It is used by one goroutine.
type byteReservation struct {
	budget *byteBudget
	bytes  int64
}

// grow takes n more bytes, or none.
func (h *byteReservation) grow(n int64) bool {
	if !h.budget.acquire(n) {
		return false
	}
	h.bytes += n
	return true
}

func (h *byteReservation) release() {
	h.budget.free(h.bytes)
	h.bytes = 0
}

// reserveMemory takes what the call can hold before its answer grows: its body, the window
// of its answer and, where the answer must be whole before it begins, all of that. A
// body of unknown length counts as the largest one.
func (c *call) reserveMemory() error {
	body := c.r.ContentLength
	if body < 0 || body > c.s.cfg.MaxBody {
		body = c.s.cfg.MaxBody
	}
	n := bodyCopies*body + int64(c.s.cfg.Window)
	if c.isResolved && !c.plan.Idempotent {
		n += int64(c.s.cfg.MaxResponse)
	}
	if c.reservation.grow(n) {
		return nil
	}
	return notRun(verdict.CodeOverloaded, "entry host holds too many bytes").WithRetryAfter(c.s.cfg.RetryAfter)
}
