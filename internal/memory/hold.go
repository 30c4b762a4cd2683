package memory

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/pause"
)

const (
	// maxBodyWait is how long a request waits for the memory of a connection that is shed for its body. A
	// connection that is aborted gives back its memory within about a millisecond.
	maxBodyWait = 40 * time.Millisecond
	// checkInterval is how often a connection that waits for memory looks for another one to shed.
	checkInterval = 50 * time.Millisecond
)

// Errors of Hold.
var (
	// ErrShed is the reason for aborting a request whose connection was shed.
	ErrShed = errors.New("the connection was shed because it held too much memory")
	// ErrConnectionFull reports that a connection would hold more memory than its limit.
	ErrConnectionFull = errors.New("the connection would hold too much memory")
	// ErrHostFull reports that the memory of the host was not sufficient in time.
	ErrHostFull = errors.New("the host holds too much memory")
)

// IsFull reports whether an error comes from Hold.
func IsFull(err error) bool {
	return errors.Is(err, ErrShed) || errors.Is(err, ErrConnectionFull) || errors.Is(err, ErrHostFull)
}

// Hold counts n more bytes for the connection and the given use. If the host has not enough memory left, it sheds
// the connections of clients that have stalled and waits for memory: for a body up to maxBodyWait, otherwise until
// ctx ends. now returns the current time. Errors are ErrShed, ErrConnectionFull and ErrHostFull.
func (c *Connection) Hold(ctx context.Context, use Use, n int64, now func() time.Duration) error {
	isHeld, err := c.tryHold(use, n, now())
	if isHeld || err != nil {
		return err
	}
	if use == Body {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxBodyWait)
		defer cancel()
	}
	for {
		// Memory that is released from here on is noticed.
		released := c.budget.Released()
		if isHeld, err := c.tryHold(use, n, now()); isHeld || err != nil {
			return err
		}
		if !pause.UntilClosed(ctx, released, checkInterval) && ctx.Err() != nil {
			return ErrHostFull
		}
	}
}

// tryHold is one try of Hold. It returns false without an error if the host has no memory left.
func (c *Connection) tryHold(use Use, n int64, now time.Duration) (bool, error) {
	outcome, victim := c.Take(use, n, now)
	if victim != nil {
		victim.Abort()
	}
	switch outcome {
	case ConnectionFull:
		return false, ErrConnectionFull
	case IsShed:
		return false, ErrShed
	}
	return outcome == Taken, nil
}

// AwaitRelease waits until bytes are released, or for checkInterval, or until ctx ends.
func (b *Budget) AwaitRelease(ctx context.Context) {
	pause.UntilClosed(ctx, b.Released(), checkInterval)
}
