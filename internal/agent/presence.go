package agent

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// probeTimeout bounds a look whether the upstream is still there. One whose process has ended
// refuses at once.
const probeTimeout = 250 * time.Millisecond

// upstreamMonitor tells whether the upstream has ended. Its zero value has not.
type upstreamMonitor struct {
	// mu guards lost, also while the upstream is looked for: all answers that break off by one
	// end share a look.
	mu sync.Mutex
	// endedAt is when the upstream was found to have ended, in Unix milliseconds; 0 while it is
	// there. starts counts how often it was back.
	endedAt  int64
	restarts int
}

// probe looks for the upstream after an answer broke off. It returns when the upstream ended,
// 0 if it has not.
func (p *upstreamMonitor) probe(address string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endedAt != 0 {
		return p.endedAt
	}
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		_ = conn.Close()
		return 0
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.endedAt = time.Now().UnixMilli()
	}
	return p.endedAt
}

// markConnected tells that the upstream took a connection.
func (p *upstreamMonitor) markConnected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endedAt != 0 {
		p.endedAt = 0
		p.restarts++
	}
}

// Restarts counts how often the upstream was back after it had been found to have ended.
func (a *Agent) Restarts() int {
	a.monitor.mu.Lock()
	defer a.monitor.mu.Unlock()
	return a.monitor.restarts
}

// probeEnd returns when the upstream ended under an attempt whose answer broke off, 0 if it
// did not, or ends since it leaves.
func (a *Agent) probeEnd() int64 {
	a.mu.Lock()
	isLeaving := a.state == wire.UpstreamLeaving
	a.mu.Unlock()
	if isLeaving {
		return 0
	}
	lost := a.monitor.probe(a.baseURL.Host)
	if lost != 0 {
		a.counters.upstreamEnds.Inc(1)
	}
	return lost
}

// upstreamEndedAt returns when the upstream ended under an attempt, 0 if it did not.
func upstreamEndedAt(e *verdict.Error) int64 {
	var ended *answer.UpstreamEndedError
	if errors.As(e, &ended) {
		return ended.At
	}
	return 0
}

// isClosed reports whether a channel is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
