// Package pause sleeps for a duration that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For blocks for the given duration, or until ctx ends if that is earlier.
func For(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// UntilClosed blocks until the channel is closed, for the given duration, or until ctx ends. It reports whether the
// channel is closed.
func UntilClosed(ctx context.Context, closed <-chan struct{}, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
