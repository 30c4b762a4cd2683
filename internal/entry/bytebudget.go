package entry

import (
	"sync"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// byteBudget bounds the bytes that all requests of a Server hold.
type byteBudget struct {
	// mu guards left.
	mu   sync.Mutex
	left int64
}

func (b *byteBudget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.left {
		return false
	}
	b.left -= n
	return true
}

func (b *byteBudget) give(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left += n
}

// bodyCopies is how often a body is held: as it was read, in the parsed prompt, and
// encoded on its way to the agent.
const bodyCopies = 3

// share is the part of the budget that one call holds. It is used by one goroutine.
type share struct {
	budget *byteBudget
	bytes  int64
}

// grow takes n more bytes, or none.
func (h *share) grow(n int64) bool {
	if !h.budget.take(n) {
		return false
	}
	h.bytes += n
	return true
}

func (h *share) release() {
	h.budget.give(h.bytes)
	h.bytes = 0
}

// reserve takes what the call can hold before its answer grows: its body, the window
// of its answer and, where the answer must be whole before it begins, all of that. A
// body of unknown length counts as the largest one.
func (c *call) reserve() error {
	body := c.r.ContentLength
	if body < 0 || body > c.s.cfg.MaxBody {
		body = c.s.cfg.MaxBody
	}
	n := bodyCopies*body + int64(c.s.cfg.Window)
	if c.isResolved && !c.plan.Idempotent {
		n += int64(c.s.cfg.MaxResponse)
	}
	if c.held.grow(n) {
		return nil
	}
	return notRun(verdict.CodeOverloaded, "entry host holds too many bytes").WithRetryAfter(c.s.cfg.RetryAfter)
}
