// Package standstill finds out that this process has stood still: it was frozen, or got no processor
// time.
//
// What others have sent meanwhile lies before the process in the order in which it was sent, so a
// request comes before the message, or the close of its connection, that takes it back. A process that
// begins with what it reads first begins with work that nobody waits for any more. It therefore waits
// until it has read the rest; see [Watch.Settle].
package standstill

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/pause"
)

const (
	// tickInterval is the time between two ticks of a running process.
	tickInterval = 100 * time.Millisecond
	// minStandstill is how long a tick must be overdue for the process to have stood still.
	minStandstill = 300 * time.Millisecond
	// settleTime is how long a process reads on after a standstill before it begins anything. It
	// covers many times what reading full buffers takes.
	settleTime = 50 * time.Millisecond
)

// Watch observes the ticks of one process. The zero value has not been started.
type Watch struct {
	began time.Time
	// onStandstill is called after each standstill with its duration; it may be nil.
	onStandstill func(time.Duration)
	// lastTick and resumedAt are times since began: of the last tick, and of the first one after the
	// last standstill, 0 if there was none.
	lastTick, resumedAt atomic.Int64
}

// NewWatch returns a Watch that calls onStandstill, which may be nil, after each standstill.
func NewWatch(onStandstill func(time.Duration)) *Watch {
	return &Watch{began: time.Now(), onStandstill: onStandstill}
}

// Run observes the process until ctx ends.
func (w *Watch) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			w.tick(time.Since(w.began))
		}
	}
}

// tick records a tick at the given time since began.
func (w *Watch) tick(now time.Duration) {
	overdue := now - time.Duration(w.lastTick.Load()) - tickInterval
	if overdue >= minStandstill {
		w.resumedAt.Store(int64(now))
	}
	w.lastTick.Store(int64(now))
	if overdue >= minStandstill && w.onStandstill != nil {
		w.onStandstill(overdue)
	}
}

// unsettledFor returns for how much longer the process has to read on, 0 if it may begin work. While
// the first tick after a standstill is still to come, that is settleTime.
func (w *Watch) unsettledFor(now time.Duration) time.Duration {
	if now-time.Duration(w.lastTick.Load())-tickInterval >= minStandstill {
		return settleTime
	}
	if resumedAt := time.Duration(w.resumedAt.Load()); resumedAt > 0 {
		return max(resumedAt+settleTime-now, 0)
	}
	return 0
}

// Settle blocks while the process has just stood still, until it has had the time to read what was sent
// to it meanwhile, or until ctx ends. Otherwise it returns at once.
func (w *Watch) Settle(ctx context.Context) {
	for ctx.Err() == nil {
		wait := w.unsettledFor(time.Since(w.began))
		if wait == 0 {
			return
		}
		pause.For(ctx, wait)
	}
}
