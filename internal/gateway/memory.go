package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// maxBodyMemoryWait is how long a request waits for the memory of a connection that is shed for
	// its body. A connection that is aborted gives back its memory within about a millisecond.
	maxBodyMemoryWait = 40 * time.Millisecond
	// memoryCheckInterval is how often a connection that waits for memory looks for another one to
	// shed.
	memoryCheckInterval = 50 * time.Millisecond
	// minReadBytes is the first size of the buffer for data of unknown length.
	minReadBytes = 4 << 10
	// writeChunkBytes is the largest part of a buffered response that is written at once. Each part
	// that the caller takes counts as progress.
	writeChunkBytes = 256 << 10
)

var (
	// errShed is the reason for aborting a request whose connection was shed.
	errShed = errors.New("the connection was shed because it held too much memory")
	// errConnectionMemory reports that a connection would hold more memory than its limit.
	errConnectionMemory = errors.New("the connection would hold too much memory")
	// errHostMemory reports that the memory of the host was not sufficient in time.
	errHostMemory = errors.New("the host holds too much memory")
	// errTooLong reports that data are longer than allowed.
	errTooLong = errors.New("the data are too long")
)

// abort ends the I/O of a request whose connection is shed. If its body is still being read, the
// request is refused; otherwise it is cancelled and its response breaks off.
func (c *call) abort() {
	past := time.Unix(1, 0)
	deadline := c.control.SetReadDeadline
	if c.hasBody.Load() {
		c.stop(errShed)
		deadline = c.control.SetWriteDeadline
	}
	if err := deadline(past); err != nil {
		c.g.cfg.Log.Warn("connection can't be aborted", "request", c.attemptID, "error", err.Error())
	}
	c.g.counts.increment("memory.shed")
	c.g.cfg.Log.Warn("connection shed: it holds memory and its caller makes no progress", "request", c.attemptID, "bytes", c.memory.Held())
}

// hold counts n more bytes for the connection and the given use. If the host has not enough memory
// left, it sheds the connections of callers that have stalled and waits for memory: for a body up
// to maxBodyMemoryWait, otherwise until ctx ends. Errors are errShed, errConnectionMemory and
// errHostMemory.
func (c *call) hold(ctx context.Context, use memory.Use, n int) error {
	isHeld, err := c.tryHold(use, n)
	if isHeld || err != nil {
		return err
	}
	if use == memory.Body {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, maxBodyMemoryWait)
		defer cancel()
	}
	for {
		// Memory that is released from here on is noticed.
		released := c.g.memory.Released()
		if isHeld, err := c.tryHold(use, n); isHeld || err != nil {
			return err
		}
		if !waitClosed(ctx, released, memoryCheckInterval) && ctx.Err() != nil {
			return errHostMemory
		}
	}
}

// tryHold is one try of hold. It returns false without an error if the host has no memory left.
func (c *call) tryHold(use memory.Use, n int) (bool, error) {
	outcome, victim := c.memory.Take(use, int64(n), c.g.now())
	if victim != nil {
		victim.Abort()
	}
	switch outcome {
	case memory.ConnectionFull:
		return false, errConnectionMemory
	case memory.IsShed:
		return false, errShed
	}
	return outcome == memory.Taken, nil
}

// readWhole reads data to their end, and counts the memory for them before it is used. length is
// the length of the data, or -1 if it is unknown. A read that has data is reported to onRead. Errors
// are those of hold and of the reader, and errTooLong if there are more than limit bytes.
func (c *call) readWhole(ctx context.Context, use memory.Use, from io.Reader, length, limit int64, onRead func()) ([]byte, error) {
	size := length + 1 // one more, so that the end is read without growing
	switch {
	case length > limit:
		return nil, errTooLong
	case length < 0:
		size = min(minReadBytes, limit+1)
	}
	if err := c.hold(ctx, use, int(size)); err != nil {
		return nil, err
	}
	data := make([]byte, 0, size)
	for {
		if len(data) == cap(data) {
			if int64(len(data)) > limit {
				return nil, errTooLong
			}
			larger := min(2*int64(cap(data)), limit+1)
			if err := c.hold(ctx, use, int(larger)); err != nil {
				return nil, err
			}
			former := cap(data)
			data = append(make([]byte, 0, larger), data...)
			c.memory.Release(int64(former))
		}
		n, err := from.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if n > 0 && onRead != nil {
			onRead()
		}
		switch {
		case err == io.EOF && int64(len(data)) > limit:
			return nil, errTooLong
		case err == io.EOF:
			return data, nil
		case err != nil:
			return nil, err
		}
	}
}

// memoryError returns the refusal of a request whose body does not fit.
func (c *call) memoryError() error {
	c.g.counts.increment("refused.memory")
	c.w.Header().Set("Connection", "close")
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "no memory is left for the body").WithRetryAfter(refusedRetryAfter)
}

// isMemoryError reports whether an error comes from hold.
func isMemoryError(err error) bool {
	return errors.Is(err, errShed) || errors.Is(err, errConnectionMemory) || errors.Is(err, errHostMemory)
}

// writeWhole writes a buffered response. The caller's progress is recorded for each part of it.
func (c *call) writeWhole(body []byte) error {
	c.memory.Progress(c.g.now())
	defer c.memory.StopWaiting()
	for {
		part := body[:min(len(body), writeChunkBytes)]
		if _, err := c.w.Write(part); err != nil {
			return err
		}
		if body = body[len(part):]; len(body) == 0 {
			return nil
		}
		c.memory.Progress(c.g.now())
	}
}
