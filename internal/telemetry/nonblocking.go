package telemetry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueueLength is how many lines may wait for a slow reader. Further lines are dropped
	// and counted.
	logQueueLength = 512
	// maxLinesPerSecond limits the lines with the same message. Suppressed lines are counted in
	// the next line with that message.
	maxLinesPerSecond = 20
	// maxFailuresPerSecond is the limit for warnings and errors.
	maxFailuresPerSecond = 100
	// flushTimeout limits how long flush waits for the reader at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// NewNonBlockingLogger returns a logger of JSON lines that never waits for its reader. Lines
// pass through a queue to one goroutine that writes them, and the rate of lines with the same
// message is limited. Lines that are not written are counted in the attributes of later lines:
// "suppressed" counts lines above the rate limit, in the next line with the same message, and
// "dropped" counts lines that found the queue full, in the next line of any message. flush
// waits up to flushTimeout for queued lines to be written. Long texts in lines are cut.
func NewNonBlockingLogger(w io.Writer, level slog.Level) (log *slog.Logger, flush func()) {
	q := &queueWriter{lines: make(chan []byte, logQueueLength), done: make(chan struct{})}
	go q.run(w)
	h := slog.NewJSONHandler(q, &slog.HandlerOptions{Level: level, ReplaceAttr: boundText})
	return slog.New(&rateLimitedHandler{Handler: h, queue: q, limiter: &rateLimiter{counts: make(map[string]*messageCount)}}), q.flush
}

// queueWriter queues lines for writing and never blocks.
type queueWriter struct {
	lines    chan []byte
	done     chan struct{}
	closing  sync.Once
	isClosed atomic.Bool
	dropped  atomic.Int64
}

// Write implements io.Writer. Each call must pass one complete line.
func (q *queueWriter) Write(line []byte) (int, error) {
	if q.isClosed.Load() {
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

func (q *queueWriter) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		if line == nil {
			return
		}
		_, _ = w.Write(line)
	}
}

func (q *queueWriter) flush() {
	q.closing.Do(func() {
		q.isClosed.Store(true)
		timer := time.NewTimer(flushTimeout)
		defer timer.Stop()
		select {
		case q.lines <- nil:
		case <-timer.C:
			return
		}
		select {
		case <-q.done:
		case <-timer.C:
		}
	})
}

// rateLimiter limits the lines per second of each message. It keeps a count for every message,
// which is safe because the program has a fixed number of message texts.
type rateLimiter struct {
	// mu guards counts.
	mu     sync.Mutex
	counts map[string]*messageCount
}

type messageCount struct {
	second     int64
	lines      int
	suppressed int
}

// allow reports whether a line with the message may be written, and how many lines with that
// message were suppressed since the last one.
func (l *rateLimiter) allow(message string, limit int, at time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[message]
	if c == nil {
		c = &messageCount{}
		l.counts[message] = c
	}
	if second := at.Unix(); second != c.second {
		c.second, c.lines = second, 0
	}
	if c.lines >= limit {
		c.suppressed++
		return 0, false
	}
	c.lines++
	suppressed, c.suppressed = c.suppressed, 0
	return suppressed, true
}

// rateLimitedHandler drops log records before they are formatted: those above the rate limit and,
// while the queue is more than half full, those below the level of warnings.
type rateLimitedHandler struct {
	slog.Handler
	queue   *queueWriter
	limiter *rateLimiter
}

// Handle implements slog.Handler.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	limit := maxLinesPerSecond
	if r.Level >= slog.LevelWarn {
		limit = maxFailuresPerSecond
	}
	if r.Level < slog.LevelWarn && len(h.queue.lines) > logQueueLength/2 {
		// The second half of the queue is reserved for warnings and errors.
		h.queue.dropped.Add(1)
		return nil
	}
	suppressed, ok := h.limiter.allow(r.Message, limit, r.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r.AddAttrs(slog.Int("suppressed", suppressed))
	}
	if dropped := h.queue.dropped.Swap(0); dropped > 0 {
		r.AddAttrs(slog.Int64("dropped", dropped))
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), queue: h.queue, limiter: h.limiter}
}

// WithGroup implements slog.Handler.
func (h *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: h.Handler.WithGroup(name), queue: h.queue, limiter: h.limiter}
}
