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
	// boundedQueue is how many lines wait for a reader that is slow; what does not fit is
	// dropped and counted.
	boundedQueue = 512
	// linesPerSecond bounds the lines of one kind; the rest is counted in the next line
	// of that kind.
	linesPerSecond = 20
	// failuresPerSecond is the bound for warnings and errors.
	failuresPerSecond = 100
	// flushTimeout bounds the wait for the reader at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// NewNonBlockingLogger returns a logger of JSON lines that never waits for its reader: lines
// go through a queue to one goroutine, and each kind of line has a limit a second. Lines
// that were left out are counted: "suppressed" by the limit in the next line of the
// kind, "dropped" by the queue. Flush waits a little for what is queued.
func NewNonBlockingLogger(w io.Writer, level slog.Level) (log *slog.Logger, flush func()) {
	q := &queueWriter{lines: make(chan []byte, boundedQueue), done: make(chan struct{})}
	go q.run(w)
	h := slog.NewJSONHandler(q, &slog.HandlerOptions{Level: level})
	return slog.New(&boundedHandler{Handler: h, queue: q, limits: &limits{kinds: make(map[string]*kindLimit)}}), q.flush
}

// queueWriter passes lines on without waiting.
type queueWriter struct {
	lines   chan []byte
	done    chan struct{}
	closing sync.Once
	isEnded atomic.Bool
	dropped atomic.Int64
}

// Write implements io.Writer; a line is one call.
func (q *queueWriter) Write(line []byte) (int, error) {
	if q.isEnded.Load() {
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
		q.isEnded.Store(true)
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

// limits holds the limit of each kind of line. A kind is a message's text, of which the
// program has a fixed number.
type limits struct {
	// mu guards kinds.
	mu    sync.Mutex
	kinds map[string]*kindLimit
}

type kindLimit struct {
	second     int64
	lines      int
	suppressed int
}

// take reports whether a line may be written, and how many of its kind were not.
func (l *limits) take(kind string, most int, at time.Time) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[kind]
	if k == nil {
		k = &kindLimit{}
		l.kinds[kind] = k
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

// boundedHandler applies the limits.
type boundedHandler struct {
	slog.Handler
	queue  *queueWriter
	limits *limits
}

// Handle implements slog.Handler.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	most := linesPerSecond
	if r.Level >= slog.LevelWarn {
		most = failuresPerSecond
	}
	if r.Level < slog.LevelWarn && len(h.queue.lines) > boundedQueue/2 {
		// The second half of the queue is for failures.
		h.queue.dropped.Add(1)
		return nil
	}
	suppressed, ok := h.limits.take(r.Message, most, r.Time)
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
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundedHandler{Handler: h.Handler.WithAttrs(attrs), queue: h.queue, limits: h.limits}
}

// WithGroup implements slog.Handler.
func (h *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{Handler: h.Handler.WithGroup(name), queue: h.queue, limits: h.limits}
}
