package inbound

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/standstill"
)

// BenchmarkRequest measures what the bounds add to an ordinary request on a kept connection.
func BenchmarkRequest(b *testing.B) {
	const request = "POST /a HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: 0123456789abcdef\r\nX-Credential: abcdefgh\r\n" +
		"X-Deadline-Milliseconds: 8000\r\nContent-Length: 4\r\n\r\nbody"
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write([]byte("response"))
	})
	run := func(b *testing.B, l net.Listener, server *http.Server) {
		go func() { _ = server.Serve(l) }()
		b.Cleanup(func() { _ = server.Close() })
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(b, err)
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		b.ReportAllocs()
		for b.Loop() {
			_, _ = io.WriteString(c, request)
			resp, err := http.ReadResponse(in, nil)
			require.NoError(b, err)
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}
	b.Run("unbounded", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		run(b, standstill.NewListener(l), &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	})
	b.Run("bounded", func(b *testing.B) {
		began := time.Now()
		guard := NewGuard(Config{
			Memory: memory.NewBudget(memory.LimitsFor(136)), Now: func() time.Duration { return time.Since(began) },
			Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		})
		limits := Limits{Connections: 100, HeadBytes: 16 << 10, HeadTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute}
		l, err := guard.Listen("127.0.0.1:0", ListenerConfig{Name: "callers", Limits: func() Limits { return limits }})
		require.NoError(b, err)
		run(b, l, &http.Server{Handler: h, IdleTimeout: time.Minute, ConnState: l.ConnState})
	})
}
