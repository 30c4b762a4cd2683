package dispatch

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// ProbeResult says whether an upstream still listens at its address.
type ProbeResult uint8

const (
	// Unknown means that the upstream did not reply in time, or that the limit on connections
	// did not allow a probe.
	Unknown ProbeResult = iota
	// Alive means that a connection could be opened.
	Alive
	// UpstreamCrashed means that nothing listens at the address, so the process has ended.
	UpstreamCrashed
)

// String returns the name used in counters.
func (p ProbeResult) String() string {
	switch p {
	case Alive:
		return "present"
	case UpstreamCrashed:
		return "ended"
	}
	return "unknown"
}

// probeTimeout limits the time of a probe. The host of an upstream whose process has ended
// refuses the connection within one round trip. No reply at all may mean that the network is
// cut.
const probeTimeout = 250 * time.Millisecond

// Probe finds out whether an upstream is still alive after its response broke off. It opens a
// connection, which replaces the broken one in the pool. If the upstream has ended, all its
// responses break off at once, so concurrent calls for one address share a probe.
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
			return UpstreamCrashed
		}
		return Unknown
	}
	conn.expires = c.now().Add(defaultIdleTimeout)
	c.pool.put(conn)
	return Alive
}
