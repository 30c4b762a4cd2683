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

// probeTimeout bounds the connection attempt that checks whether the upstream is running. A
// host refuses the connection at once if the upstream's process has ended.
const probeTimeout = 250 * time.Millisecond

const (
	// watchTime is how long the upstream is watched after an attempt that it may still be executing was
	// abandoned. Suspicions are remembered for as long, see package quarantine.
	watchTime = time.Second
	// watchInterval is the time between two probes of a watched upstream. Without them the end would be
	// found by the next poll, which can come after the attempt has been forgotten.
	watchInterval = 100 * time.Millisecond
)

// upstreamMonitor tracks whether the upstream's process has ended. In its zero value the
// upstream is running.
type upstreamMonitor struct {
	// mu guards the fields below. It stays locked during a probe, so that all responses that
	// are broken off by the same end of the upstream share one probe.
	mu sync.Mutex
	// endedAt is when a probe found that the upstream had ended, in Unix milliseconds; 0 while
	// it is running. restarts counts how often it accepted connections again afterwards.
	endedAt  int64
	restarts int
	// watchedUntil is when the watch of the upstream ends; zero if it is not watched.
	watchedUntil time.Time
}

// probe checks whether the upstream still accepts connections after a response was broken off
// or a request to it failed. It returns when the upstream ended, 0 if it has not. isNew is set if
// this probe found it.
func (p *upstreamMonitor) probe(address string) (endedAt int64, isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endedAt != 0 {
		return p.endedAt, false
	}
	conn, err := net.DialTimeout("tcp", address, probeTimeout)
	if err == nil {
		_ = conn.Close()
		return 0, false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.endedAt = time.Now().UnixMilli()
	}
	return p.endedAt, p.endedAt != 0
}

// lastEnd returns when the upstream ended, 0 if it is running as far as is known.
func (p *upstreamMonitor) lastEnd() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endedAt
}

// watch extends the watch of the upstream by watchTime from now. It reports whether a new watch begins.
func (p *upstreamMonitor) watch(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew := p.watchedUntil.IsZero()
	p.watchedUntil = now.Add(watchTime)
	return isNew
}

// endWatch ends the watch if its time is over or the upstream has ended. It reports whether it did.
func (p *upstreamMonitor) endWatch(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endedAt == 0 && now.Before(p.watchedUntil) {
		return false
	}
	p.watchedUntil = time.Time{}
	return true
}

// markConnected records that the upstream accepted a connection.
func (p *upstreamMonitor) markConnected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.endedAt != 0 {
		p.endedAt = 0
		p.restarts++
	}
}

// Restarts returns how often the upstream accepted connections again after it had ended.
func (a *Agent) Restarts() int {
	a.monitor.mu.Lock()
	defer a.monitor.mu.Unlock()
	return a.monitor.restarts
}

// probeEnd is called after an attempt's response was broken off. It returns when the upstream
// ended, or 0 if it is still running. It also returns 0 while the agent is draining, because
// the upstream is then shut down on purpose.
func (a *Agent) probeEnd() int64 {
	if a.isDraining() {
		return 0
	}
	endedAt := a.probe()
	if endedAt != 0 {
		a.counters.upstreamEnds.Inc(1)
	}
	return endedAt
}

func (a *Agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state == wire.UpstreamDraining
}

// probe checks whether the upstream still accepts connections, and reports an end that it finds.
// It returns when the upstream ended, 0 if it is still running.
func (a *Agent) probe() int64 {
	endedAt, isNew := a.monitor.probe(a.baseURL.Host)
	if isNew {
		a.reportEnd(endedAt)
	}
	return endedAt
}

// reportEnd calls Config.OnUpstreamEnded, unless the upstream is being shut down on purpose.
func (a *Agent) reportEnd(at int64) {
	if a.cfg.OnUpstreamEnded != nil && !a.isDraining() {
		a.cfg.OnUpstreamEnded(at)
	}
}

// noteIfAbandoned is called after an attempt failed that the upstream may have executed. If the
// entry host can't be told, it reports the attempt to Config.OnAbandoned, and then the upstream's
// end if that came during the attempt or soon after it.
func (a *Agent) noteIfAbandoned(at *attempt) {
	isReported := at.ctx.Err() == nil && !isClosed(at.session.Done())
	if isReported || a.cfg.OnAbandoned == nil || a.isDraining() {
		return
	}
	a.cfg.OnAbandoned(at.dispatch, time.Since(at.began))
	if endedAt := a.monitor.lastEnd(); endedAt >= at.began.UnixMilli() {
		a.reportEnd(endedAt)
		return
	}
	if a.monitor.watch(time.Now()) {
		go a.watchUpstream()
	}
}

// confirmCrashReport is called after the entry host was sent the report that the upstream ended during an
// attempt; endedAt is 0 if it did not. If the session ends soon after, the report may be lost, so the
// attempt counts as abandoned. A crash that the entry host reports too counts once.
func (a *Agent) confirmCrashReport(at *attempt, endedAt int64) {
	if endedAt == 0 || a.cfg.OnAbandoned == nil {
		return
	}
	ran := time.Since(at.began)
	go func() {
		select {
		case <-at.session.Done():
			a.cfg.OnAbandoned(at.dispatch, ran)
			a.reportEnd(endedAt)
		case <-time.After(watchTime):
		}
	}()
}

// watchUpstream probes the upstream until the watch ends.
func (a *Agent) watchUpstream() {
	for !a.monitor.endWatch(time.Now()) {
		time.Sleep(watchInterval)
		a.probe()
	}
}

// upstreamEndedAt returns when the upstream ended during the attempt that failed with e, 0 if it
// did not end.
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
