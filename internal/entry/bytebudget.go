package entry

import (
	"net/http"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// bodyCopies is how many copies of a request body are in memory at once: as read, in the parsed
// prompt, and encoded for the agent.
const bodyCopies = 3

// headCopies is the same for its head: as read, and the fields for the agent.
const headCopies = 2

// openAccount opens the account of the memory that a call holds. If the call is shed, its body is not read any
// further.
func (c *call) openAccount() {
	control := http.NewResponseController(c.w)
	c.account = c.s.memory.Open(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
}

// reserveBody reserves memory for the head of the request and the copies of its body before the body is read, beside
// what the share of the connection covers. A body of unknown length counts as the largest one. While there is none,
// the calls whose callers are slowest are shed.
func (c *call) reserveBody() error {
	body := c.r.ContentLength
	if body < 0 || body > c.s.cfg.MaxBody {
		body = c.s.cfg.MaxBody
	}
	return c.reserve(headCopies*inbound.HeadBytes(c.r.Header) + bodyCopies*body - inbound.HeadAllowance - bodyCopies*inbound.BodyAllowance)
}

// reserve reserves n bytes for the request. Nothing is reserved if n is not positive.
func (c *call) reserve(n int64) error {
	if n <= 0 || c.account.Hold(c.r.Context(), memory.Body, n, c.s.cfg.Now) == nil {
		return nil
	}
	return c.memoryError()
}

// reserveResponse reserves the flow control window of the response. A non-idempotent call also reserves the
// largest response, which is buffered until it is complete.
func (c *call) reserveResponse() error {
	n := int64(c.s.cfg.FlowWindow)
	if !c.plan.Idempotent {
		n += int64(c.s.cfg.MaxResponse)
	}
	if c.takeResponse(n) {
		return nil
	}
	return c.memoryError()
}

// takeResponse reserves n more bytes for the response. If they are not available, it reserves nothing and returns
// false.
func (c *call) takeResponse(n int64) bool { return c.s.takeResponse(c.account, n) }

func (s *Server) takeResponse(account *memory.Connection, n int64) bool {
	outcome, victim := account.Take(memory.Response, n, s.cfg.Now())
	if victim != nil {
		victim.Abort()
	}
	return outcome == memory.Taken
}

func (c *call) memoryError() error {
	return notRun(verdict.CodeOverloaded, "entry host holds too many bytes").WithRetryAfter(c.s.cfg.RetryAfter)
}

// pacedBody tells the account of a call how many bytes of its body have come.
type pacedBody struct{ c *call }

// Read reads the request's body.
func (b pacedBody) Read(p []byte) (int, error) {
	n, err := b.c.r.Body.Read(p)
	if n > 0 {
		b.c.account.Advance(int64(n), b.c.s.cfg.Now())
	}
	return n, err
}

// Close closes the request's body.
func (b pacedBody) Close() error { return b.c.r.Body.Close() }
