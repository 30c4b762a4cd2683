package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// processTime returns the processor time that the process has used.
func processTime(t testing.TB) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkStreamEvent measures the cost of one event on its way from an upstream to a caller that
// keeps up; both ends run in this process too. The next event is sent once the caller has read the
// last one.
func BenchmarkStreamEvent(b *testing.B) {
	env := newTestEnv(b)
	env.setTable(nil)
	next := make(chan struct{})
	env.addUpstream("u1", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		flusher := http.NewResponseController(w)
		var event []byte
		for id := 1; ; id++ {
			event = fmt.Appendf(event[:0], "id: %d\ndata: %0100d\n\n", id, id)
			_, _ = w.Write(event)
			_ = flusher.Flush()
			if _, ok := <-next; !ok {
				return
			}
		}
	})
	conn, err := net.Dial("tcp", env.front.Listener.Addr().String())
	require.NoError(b, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "POST /stream/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-A: a\r\nX-K: key\r\nContent-Length: 0\r\n\r\n")
	require.NoError(b, err)
	reader := bufio.NewReader(conn)
	readEvent := func() {
		for {
			line, err := reader.ReadSlice('\n')
			require.NoError(b, err)
			if bytes.HasPrefix(line, []byte("data:")) {
				return
			}
		}
	}
	readEvent()
	b.ReportAllocs()
	cpu := processTime(b)
	for b.Loop() {
		next <- struct{}{}
		readEvent()
	}
	b.ReportMetric(float64(processTime(b)-cpu)/float64(b.N), "cpu-ns/op")
	close(next)
}

// BenchmarkRequest measures the cost of a request with a short body and a short response.
func BenchmarkRequest(b *testing.B) {
	env := newTestEnv(b)
	env.setTable(nil)
	env.addUpstream("u1", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 1000)) })
	b.ReportAllocs()
	cpu := processTime(b)
	for b.Loop() {
		resp, _ := env.post("/safe/", nil)
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
	}
	b.ReportMetric(float64(processTime(b)-cpu)/float64(b.N), "cpu-ns/op")
}
