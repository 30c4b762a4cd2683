package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// writeChunkBytes is the largest part of a buffered response that is written at once. Each part that the caller
// takes counts as progress.
const writeChunkBytes = 256 << 10

// abort ends the I/O of a request whose connection is shed. If its body is still being read, the
// request is refused; otherwise it is cancelled and its response breaks off.
func (c *call) abort() {
	past := time.Unix(1, 0)
	deadline := c.control.SetReadDeadline
	if c.hasBody.Load() {
		c.stop(memory.ErrShed)
		deadline = c.control.SetWriteDeadline
	}
	if err := deadline(past); err != nil {
		c.g.cfg.Log.Warn("connection can't be aborted", "request", c.attemptID, "error", err.Error())
	}
	c.g.counts.increment("memory.shed")
	c.g.cfg.Log.Warn("connection shed: it holds memory and its caller makes no progress", "request", c.attemptID, "bytes", c.memory.Held())
}

// hold counts n more bytes for the connection and the given use; see [memory.Connection.Hold].
func (c *call) hold(ctx context.Context, use memory.Use, n int) error {
	return c.memory.Hold(ctx, use, int64(n), c.g.cfg.Now)
}

// useAccount counts data that are read for one use of a call.
type useAccount struct {
	c   *call
	ctx context.Context
	use memory.Use
}

// Hold implements inbound.Account.
func (a useAccount) Hold(n int64) error { return a.c.hold(a.ctx, a.use, int(n)) }

// Release implements inbound.Account.
func (a useAccount) Release(n int64) { a.c.memory.Release(a.use, n) }

// Advance implements inbound.Account. Only callers send bodies.
func (a useAccount) Advance(n int64) {
	if a.use == memory.Body {
		a.c.memory.Advance(n, a.c.g.now())
	}
}

// holdHead counts the head of the request and the copy of it for the upstream, beside what the share of the
// connection covers.
func (c *call) holdHead(ctx context.Context) error {
	const copies = 2
	n := copies*inbound.HeadBytes(c.r.Header) - inbound.HeadAllowance
	if n <= 0 {
		return nil
	}
	if c.hold(ctx, memory.Body, int(n)) != nil {
		return c.memoryError()
	}
	return nil
}

// ShedStalled ends the request whose caller has made the host wait for the longest. It returns false if there is
// none.
func (g *Gateway) ShedStalled() bool {
	victim := g.memory.ShedStalled(g.now())
	if victim == nil {
		return false
	}
	victim.Abort()
	return true
}

// memoryError returns the refusal of a request whose body does not fit.
func (c *call) memoryError() error {
	c.g.counts.increment("refused.memory")
	c.w.Header().Set("Connection", "close")
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no memory is left for the request").WithRetryAfter(RefusedRetryAfter)
}

// writeWhole writes a buffered response. The caller's progress is recorded for each part of it.
func (c *call) writeWhole(body []byte) error {
	c.memory.Progress(c.g.now())
	defer c.memory.StopWaiting()
	for {
		part := body[:min(len(body), writeChunkBytes)]
		if _, err := c.w.Write(part); err != nil {
			return err
		}
		if body = body[len(part):]; len(body) == 0 {
			return nil
		}
		c.memory.Progress(c.g.now())
	}
}
