package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// Nobody reads the pipe. Lines must be dropped, and the code that logs must not block.
func TestBlockedReaderDoesNotBlockLogging(t *testing.T) {
	r, w, err := os.Pipe()
	require.NoError(t, err)
	defer func() { _ = r.Close() }()
	log, flush := NewNonBlockingLogger(w, slog.LevelInfo)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			log.Warn(fmt.Sprint("line ", i%500), "text", strings.Repeat("x", 200))
		}
	}()
	select {
	case <-done:
	case <-time.After(60 * time.Second):
		t.Fatal("logging waits for a reader")
	}
	flush()
	_ = w.Close()
}

func TestRateLimiterCountsSuppressedLines(t *testing.T) {
	l := &rateLimiter{counts: map[string]*messageCount{}}
	at := time.Unix(100, 0)
	written := 0
	for range 50 {
		if _, ok := l.allow("sent", maxLinesPerSecond, at); ok {
			written++
		}
	}
	require.Equal(t, maxLinesPerSecond, written)
	_, ok := l.allow("failed", maxLinesPerSecond, at)
	require.True(t, ok, "each kind has its own limit")
	suppressed, ok := l.allow("sent", maxLinesPerSecond, at.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 50-maxLinesPerSecond, suppressed)
}

// When the queue is half full, the rest of it is reserved for warnings and errors. Without
// that, a flood of successes would drop the failure.
func TestFailuresAreLoggedWhenQueueIsHalfFull(t *testing.T) {
	r, w := io.Pipe()
	log, flush := NewNonBlockingLogger(w, slog.LevelInfo)
	for i := range 4 * logQueueLength {
		log.Info(fmt.Sprint("success ", i))
	}
	log.Warn("failure")
	var out bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&out, r)
	}()
	flush()
	_ = w.Close()
	<-read
	require.True(t, strings.Contains(out.String(), `"msg":"failure"`))
	require.True(t, strings.Contains(out.String(), `"dropped":`))
}

func TestTextIncludesLatencyQuantiles(t *testing.T) {
	reg := metrics.NewRegistry()
	l := GetOrRegisterLatency("gateway.answer", reg)
	require.Same(t, l, GetOrRegisterLatency("gateway.answer", reg))
	for i := 1; i <= 100; i++ {
		l.Add(time.Duration(i) * time.Millisecond)
	}
	text := Text(reg)
	require.Contains(t, text, "sassafraspost_gateway_answer_seconds_count 100")
	require.Contains(t, text, `sassafraspost_gateway_answer_seconds{quantile="0.5"} 0.05`)
}

func BenchmarkNonBlockingLogger(b *testing.B) {
	log, flush := NewNonBlockingLogger(io.Discard, slog.LevelInfo)
	defer flush()
	for b.Loop() {
		log.Info("request sent", "request", "9c41d07be2a35f68", "upstream", "i-7f3a91c2", "send", 1, "left_ms", 8000)
	}
}
