// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For returns after span, or when ctx ends.
func For(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
