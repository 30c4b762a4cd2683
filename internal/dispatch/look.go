package dispatch

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ProbeResult is whether an upstream is there.
type ProbeResult uint8

const (
	// Unknown: it said nothing, or could not be asked.
	Unknown ProbeResult = iota
	// Present: a connection could be opened.
	Alive
	// Ended: nobody listens at the address.
	Ended
)

// String names the presence in counters.
func (p ProbeResult) String() string {
	switch p {
	case Alive:
		return "present"
	case Ended:
		return "ended"
	}
	return "unknown"
}

// probeTimeout bounds a look. An upstream whose process has ended refuses within a round
// trip; one that says nothing may be cut off.
const probeTimeout = 250 * time.Millisecond

// Probe finds out whether an upstream is there after an answer of its has broken off: the
// connection that this opens takes the place of one that is lost. All answers of an upstream
// that ends break off at once; they share one look.
func (c *Client) Probe(t Target) ProbeResult {
	p, _, _ := c.probes.Do(t.Address, func() (any, error) { return c.probe(t), nil })
	return p.(ProbeResult)
}

func (c *Client) probe(t Target) ProbeResult {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if !c.pool.reserve(t.Address, t.MaxConnections) {
		return Unknown
	}
	conn, err := dial(ctx, t.Address, c.pool.dialTimeout)
	if err != nil {
		c.pool.release(t.Address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Ended
		}
		return Unknown
	}
	conn.expires = c.now().Add(defaultIdleTimeout)
	c.pool.put(conn)
	return Alive
}
