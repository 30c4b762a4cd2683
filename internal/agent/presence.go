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

// lookTimeout bounds a look whether the upstream is still there. One whose process has ended
// refuses at once.
const lookTimeout = 250 * time.Millisecond

// presence tells whether the upstream has ended. Its zero value has not.
type presence struct {
	// mu guards lost, also while the upstream is looked for: all answers that break off by one
	// end share a look.
	mu sync.Mutex
	// lost is when the upstream was found to have ended, in Unix milliseconds; 0 while it is
	// there. starts counts how often it was back.
	lost   int64
	starts int
}

// find looks for the upstream after an answer broke off. It returns when the upstream ended,
// 0 if it has not.
func (p *presence) find(address string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost != 0 {
		return p.lost
	}
	conn, err := net.DialTimeout("tcp", address, lookTimeout)
	if err == nil {
		_ = conn.Close()
		return 0
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.lost = time.Now().UnixMilli()
	}
	return p.lost
}

// isBack tells that the upstream took a connection.
func (p *presence) isBack() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost != 0 {
		p.lost = 0
		p.starts++
	}
}

// Starts counts how often the upstream was back after it had been found to have ended.
func (a *Agent) Starts() int {
	a.presence.mu.Lock()
	defer a.presence.mu.Unlock()
	return a.presence.starts
}

// findEnd returns when the upstream ended under an attempt whose answer broke off, 0 if it
// did not, or ends since it leaves.
func (a *Agent) findEnd() int64 {
	a.mu.Lock()
	isLeaving := a.state == wire.UpstreamDraining
	a.mu.Unlock()
	if isLeaving {
		return 0
	}
	lost := a.presence.find(a.base.Host)
	if lost != 0 {
		a.counters.ended.Inc(1)
	}
	return lost
}

// endedAt returns when the upstream ended under an attempt, 0 if it did not.
func endedAt(e *verdict.Error) int64 {
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
