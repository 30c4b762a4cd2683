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
	// logQueueLength is how many lines wait for a reader that is slow; what does not fit is
	// dropped and counted.
	logQueueLength = 512
	// maxLinesPerSecond bounds the lines of one kind; the rest is counted in the next line
	// of that kind.
	maxLinesPerSecond = 20
	// maxFailuresPerSecond is the bound for warnings and errors.
	maxFailuresPerSecond = 100
	// flushTimeout bounds the wait for the reader at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// NewNonBlockingLogger returns a logger of JSON lines that never waits for its reader: lines
// go through a queue to one goroutine, and each kind of line has a limit a second. Lines
// that were left out are counted: "suppressed" by the limit in the next line of the
// kind, "dropped" by the queue. Flush waits a little for what is queued.
func NewNonBlockingLogger(w io.Writer, level slog.Level) (log *slog.Logger, flush func()) {
	q := &queueWriter{lines: make(chan []byte, logQueueLength), done: make(chan struct{})}
	go q.run(w)
	h := slog.NewJSONHandler(q, &slog.HandlerOptions{Level: level})
	return slog.New(&rateLimitedHandler{Handler: h, queue: q, limiter: &rateLimiter{counts: make(map[string]*messageCount)}}), q.flush
}

// queueWriter passes lines on without waiting.
type queueWriter struct {
	lines    chan []byte
	done     chan struct{}
	closing  sync.Once
	isClosed atomic.Bool
	dropped  atomic.Int64
}

// Write implements io.Writer; a line is one call.
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

// rateLimiter holds the limit of each kind of line. A kind is a message's text, of which the
// program has a fixed number.
type rateLimiter struct {
	// mu guards kinds.
	mu     sync.Mutex
	counts map[string]*messageCount
}

type messageCount struct {
	second     int64
	lines      int
	suppressed int
}

// allow reports whether a line may be written, and how many of its kind were not.
func (l *rateLimiter) allow(kind string, most int, at time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.counts[kind]
	if k == nil {
		k = &messageCount{}
		l.counts[kind] = k
	}
	if s := at.Unix(); s != k.second {
		k.second, k.lines = s, 0
	}
	if k.lines >= most {
		k.suppressed++
		return 0, false
	}
	k.lines++
	suppressed, k.suppressed = k.suppressed, 0
	return suppressed, true
}

// rateLimitedHandler applies the limits.
type rateLimitedHandler struct {
	slog.Handler
	queue   *queueWriter
	limiter *rateLimiter
}

// Handle implements slog.Handler.
func (h *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	most := maxLinesPerSecond
	if r.Level >= slog.LevelWarn {
		most = maxFailuresPerSecond
	}
	if r.Level < slog.LevelWarn && len(h.queue.lines) > logQueueLength/2 {
		// The second half of the queue is for failures.
		h.queue.dropped.Add(1)
		return nil
	}
	suppressed, ok := h.limiter.allow(r.Message, most, r.Time)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r.AddAttrs(slog.Int("suppressed", suppressed))
	}
	if n := h.queue.dropped.Swap(0); n > 0 {
		r.AddAttrs(slog.Int64("dropped", n))
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
