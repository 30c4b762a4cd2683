package node

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/pause"
)

// minStandstill is how much longer than asked a pause must take for the host to have stood still: its
// processes were frozen, or got no processor time.
const minStandstill = 400 * time.Millisecond

// pauseFor blocks for the given duration, or until ctx ends if that is earlier. If it takes much longer,
// the host has stood still, which is logged and counted.
func (n *Node) pauseFor(ctx context.Context, span time.Duration) {
	began := time.Now()
	pause.For(ctx, span)
	if late := time.Since(began) - span; late >= minStandstill {
		n.log.Warn("host stood still", "for_ms", late.Milliseconds())
		metrics.GetOrRegisterCounter("host.standstills", n.metrics).Inc(1)
	}
}
