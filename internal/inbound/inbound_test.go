package inbound

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// testTimeout bounds the wait for any condition.
const testTimeout = 20 * time.Second

// testServer is a server whose listener has limits, with a clock that the test sets.
type testServer struct {
	t        *testing.T
	guard    *Guard
	listener *Listener
	memory   *memory.Budget
	now      atomic.Int64
	limits   Limits
	makeRoom func() bool
}

func startServer(t *testing.T, limits Limits, budget memory.Limits, h http.Handler) *testServer {
	s := &testServer{t: t, limits: limits, memory: memory.NewBudget(budget)}
	s.guard = NewGuard(Config{
		Memory: s.memory, Now: func() time.Duration { return time.Duration(s.now.Load()) }, RetryAfter: time.Second, Log: slog.New(slog.DiscardHandler),
		Metrics: metrics.NewRegistry(),
	})
	l, err := s.guard.Listen("127.0.0.1:0", ListenerConfig{
		Name: "test", Limits: func() Limits { return s.limits },
		MakeRoom: func() bool { return s.makeRoom != nil && s.makeRoom() },
	})
	require.NoError(t, err)
	s.listener = l
	server := &http.Server{Handler: h, ConnState: l.ConnState}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) dial() net.Conn {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	require.NoError(s.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c
}

// request sends a request and returns the response's status.
func (s *testServer) request(c net.Conn, text string) int {
	_, err := io.WriteString(c, text)
	require.NoError(s.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(s.t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (s *testServer) awaitConnections(n int) {
	require.Eventually(s.t, func() bool { return s.listener.Connections() == n }, testTimeout, time.Millisecond)
}

func (s *testServer) requireClosed(c net.Conn) {
	_, err := c.Read(make([]byte, 1))
	require.Error(s.t, err)
	require.NotErrorIs(s.t, err, os.ErrDeadlineExceeded)
}

// inPhase returns how many connections are in a phase.
func (s *testServer) inPhase(p phase) int {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	n := 0
	for c := range s.listener.open {
		if c.phase() == p {
			n++
		}
	}
	return n
}

// awaitPhase waits until all connections are in a phase.
func (s *testServer) awaitPhase(p phase) {
	require.Eventually(s.t, func() bool { return s.inPhase(p) == s.listener.Connections() }, testTimeout, time.Millisecond)
}

func (s *testServer) count(reason string) int64 {
	return metrics.GetOrRegisterCounter("inbound.test."+reason, s.guard.cfg.Metrics).Count()
}

var ok = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})

const simpleRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// Guards against clients that connect and send nothing keeping others out.
func TestNewConnectionDisplacesOneWithoutHead(t *testing.T) {
	s := startServer(t, Limits{Connections: 2}, memory.LimitsFor(0), ok)
	silent := s.dial()
	s.awaitConnections(1)
	s.now.Store(int64(2 * minAge))
	used := s.dial()
	require.Equal(t, 200, s.request(used, simpleRequest))
	require.Eventually(t, func() bool { return s.inPhase(phaseIdle) == 1 }, testTimeout, time.Millisecond)
	third := s.dial()
	require.Equal(t, 200, s.request(third, simpleRequest))
	s.requireClosed(silent)
	require.Equal(t, 200, s.request(used, simpleRequest), "a connection that was used is kept")
	require.Equal(t, int64(1), s.count("displaced"))
}

// Guards against closing a connection on which a request is served to make room for a new one.
func TestRequestInProgressIsNotDisplaced(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, Limits{Connections: 1}, memory.LimitsFor(0), http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	busy := s.dial()
	_, err := io.WriteString(busy, simpleRequest)
	require.NoError(t, err)
	s.awaitConnections(1)
	s.awaitPhase(phaseActive)
	s.now.Store(int64(time.Hour))
	s.requireClosed(s.dial())
	require.Equal(t, int64(1), s.count("refused"))
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(busy), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
}

// Guards against connections of refused clients, which the server keeps for a moment, keeping others out.
func TestConnectionOfRefusedClientIsDisplaced(t *testing.T) {
	s := startServer(t, Limits{Connections: 1}, memory.LimitsFor(0), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
	}))
	for range 20 {
		require.Equal(t, 200, s.request(s.dial(), "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n"))
		s.awaitPhase(phaseClosing)
	}
	require.Zero(t, s.count("refused"))
	require.Positive(t, s.count("displaced"))
}

// Guards against a crowd of slow bodies that fills the listener.
func TestRoomIsMadeByEndingASlowRequest(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, Limits{Connections: 1}, memory.LimitsFor(0), http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
	}))
	s.makeRoom = func() bool { close(release); return true }
	slow := s.dial()
	_, err := io.WriteString(slow, "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	s.awaitConnections(1)
	s.awaitPhase(phaseActive)
	require.Equal(t, 200, s.request(s.dial(), simpleRequest))
}

// Guards against heads and idle connections that stay for ever, and against closing one before its time.
func TestTimeoutsEndHeadsAndIdleConnections(t *testing.T) {
	const timeout = 3 * time.Second
	for name, begin := range map[string]func(s *testServer, c net.Conn) phase{
		"nothing sent": func(*testServer, net.Conn) phase { return phaseHead },
		"part of a head": func(s *testServer, c net.Conn) phase {
			_, err := io.WriteString(c, "GET / HTTP/1.1\r\n")
			require.NoError(s.t, err)
			return phaseHead
		},
		"idle": func(s *testServer, c net.Conn) phase {
			require.Equal(s.t, 200, s.request(c, simpleRequest))
			return phaseIdle
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, Limits{HeadTimeout: timeout, IdleTimeout: timeout}, memory.LimitsFor(0), ok)
			c := s.dial()
			phase := begin(s, c)
			s.awaitConnections(1)
			s.awaitPhase(phase)
			for range timeout / tick {
				s.guard.sweep()
			}
			require.Equal(t, 1, s.listener.Connections())
			for range 2 {
				s.guard.sweep()
			}
			s.requireClosed(c)
			s.awaitConnections(0)
		})
	}
}

// Guards against a client that accepts nothing of a response and so keeps its connection.
func TestUnreadResponseEndsItsConnection(t *testing.T) {
	var hasEnded atomic.Bool
	s := startServer(t, Limits{WriteTimeout: tick}, memory.LimitsFor(0), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64<<20))
		hasEnded.Store(true)
	}))
	_, err := io.WriteString(s.dial(), simpleRequest)
	require.NoError(t, err)
	require.Eventually(t, func() bool { s.guard.sweep(); return hasEnded.Load() }, testTimeout, 10*time.Millisecond)
}

// Guards against heads larger than the configuration allows, and against refusing one that it allows.
func TestHeadIsBounded(t *testing.T) {
	s := startServer(t, Limits{HeadBytes: 16 << 10}, memory.LimitsFor(0), ok)
	head := func(size int) string {
		const frame = len(simpleRequest) + len("X: \r\n")
		return strings.Replace(simpleRequest, "\r\n\r\n", "\r\nX: "+strings.Repeat("x", size-frame)+"\r\n\r\n", 1)
	}
	require.Equal(t, 200, s.request(s.dial(), head(16<<10)))
	c := s.dial()
	_, _ = io.WriteString(c, head(64<<10))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil { // the connection may be reset, since not all was read
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
		require.Equal(t, verdict.NotRun.String(), resp.Header.Get(verdict.Header))
	}
	require.Equal(t, int64(1), s.count("head-too-large"))
}

// Guards against heads of many short fields that take all memory, and against refusing ordinary heads then.
func TestHeadsOfManyFieldsAreCounted(t *testing.T) {
	const fields = 2000
	s := startServer(t, Limits{}, memory.Limits{Total: 2 * fields * fieldBytes, Connection: 2 * fields * fieldBytes}, ok)
	long := strings.TrimSuffix(simpleRequest, "\r\n") + strings.Repeat("a:\r\n", fields)
	first := s.dial()
	_, err := io.WriteString(first, long)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.memory.Held() > fields*fieldBytes-2*HeadAllowance }, testTimeout, time.Millisecond)
	second := s.dial()
	_, err = io.WriteString(second, long)
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(second), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, verdict.NotRun.String(), resp.Header.Get(verdict.Header))
	require.Equal(t, "1", resp.Header.Get("Retry-After"))
	require.Equal(t, 200, s.request(s.dial(), simpleRequest))
	s.now.Store(int64(time.Minute))
	require.Equal(t, http.StatusServiceUnavailable, s.request(s.dial(), long), "the first head is shed")
	s.requireClosed(first)
	require.Eventually(t, func() bool { return s.memory.Held() == 0 }, testTimeout, time.Millisecond)
	require.Equal(t, 200, s.request(s.dial(), long+"\r\n"))
}

// Guards against counting the body of a request, or the bytes of HTTP/2, as a head.
func TestOnlyHeadsAreCounted(t *testing.T) {
	s := startServer(t, Limits{HeadBytes: 1 << 10}, memory.LimitsFor(0), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n)
	}))
	c := s.dial()
	body := strings.Repeat("\n", 1<<20)
	for range 3 {
		require.Equal(t, 200, s.request(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
	}
}

// Guards against bodies that take all memory of a host that reads them as a whole, and against refusing a small one
// then.
func TestBodiesAreCounted(t *testing.T) {
	const size = 1 << 20
	var guard *Guard
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guard.Bodies(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, _ := Body(r)
			_, _ = fmt.Fprint(w, len(data))
		}), size).ServeHTTP(w, r)
	})
	s := startServer(t, Limits{}, memory.Limits{Total: size * 5 / 2, Connection: size + 1}, h)
	guard = s.guard
	post := func(length int) string {
		return fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
	}
	slow := s.dial()
	_, err := io.WriteString(slow, post(size)+"half")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.memory.Held() > 0 }, testTimeout, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, s.request(s.dial(), post(size)), "no memory, and nobody has stalled")
	require.Equal(t, 200, s.request(s.dial(), post(4)+"body"))
	require.Equal(t, http.StatusRequestEntityTooLarge, s.request(s.dial(), post(size+1)))
	s.now.Store(int64(time.Minute))
	require.Equal(t, 200, s.request(s.dial(), post(size)+strings.Repeat("x", size)), "the slow body is shed")
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, verdict.NotRun.String(), resp.Header.Get(verdict.Header))
	require.Eventually(t, func() bool { return s.memory.Held() == 0 }, testTimeout, time.Millisecond)
}

// Guards against heads of many fields that are counted only while they arrive, and then held by requests that wait.
func TestHeadsAreCountedWhileTheirRequestsAreServed(t *testing.T) {
	const fields = 2000
	release := make(chan struct{})
	var guard *Guard
	s := startServer(t, Limits{}, memory.Limits{Total: 2 * fields * fieldBytes, Connection: 2 * fields * fieldBytes}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		guard.Heads(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release })).ServeHTTP(w, r)
	}))
	guard = s.guard
	long := strings.TrimSuffix(simpleRequest, "\r\n") + shortFields(fields) + "\r\n"
	first := s.dial()
	_, err := io.WriteString(first, long)
	require.NoError(t, err)
	s.awaitConnections(1)
	s.awaitPhase(phaseActive)
	require.Eventually(t, func() bool { return s.memory.Held() > fields*fieldBytes-2*HeadAllowance }, testTimeout, time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, s.request(s.dial(), long))
	close(release)
	resp, err := http.ReadResponse(bufio.NewReader(first), nil)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Eventually(t, func() bool { return s.memory.Held() == 0 }, testTimeout, time.Millisecond)
}

// shortFields returns that many header fields with different names.
func shortFields(fields int) string {
	var b strings.Builder
	for i := range fields {
		fmt.Fprintf(&b, "x%d:\r\n", i)
	}
	return b.String()
}

// countingAccount checks what ReadWhole counts.
type countingAccount struct{ held, read int64 }

func (a *countingAccount) Hold(n int64) error { a.held += n; return nil }
func (a *countingAccount) Release(n int64)    { a.held -= n }
func (a *countingAccount) Advance(n int64)    { a.read += n }

// Guards against data that are cut, and buffers that are not counted, whatever sizes the reads have.
func TestReadWholeCountsWhatItHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		data := strings.Repeat("x", rapid.IntRange(0, 40_000).Draw(rt, "size"))
		limit := int64(rapid.IntRange(0, 40_000).Draw(rt, "limit"))
		length := int64(len(data))
		if rapid.Bool().Draw(rt, "unknown length") {
			length = -1
		}
		a := &countingAccount{}
		got, err := ReadWhole(&pieces{data, rapid.IntRange(1, 9000).Draw(rt, "piece")}, length, limit, a)
		if int64(len(data)) > limit {
			require.ErrorIs(rt, err, ErrTooLong)
			return
		}
		require.NoError(rt, err)
		require.Equal(rt, data, string(got))
		require.Equal(rt, int64(len(data)), a.read)
		held := int64(cap(got))
		if held <= BodyAllowance {
			held = 0
		}
		require.Equal(rt, held, a.held)
	})
}

// pieces reads a text in pieces.
type pieces struct {
	rest string
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if p.rest == "" {
		return 0, io.EOF
	}
	n := copy(b, p.rest[:min(len(p.rest), p.size)])
	p.rest = p.rest[n:]
	return n, nil
}

// Guards against shares that do not fit into the memory and descriptors of the smallest hosts.
func TestSharesFitTheHost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		memoryMB, descriptors := rapid.IntRange(32, 4096).Draw(rt, "memory"), rapid.IntRange(500, 100_000).Draw(rt, "descriptors")
		s := Machine{MemoryMB: memoryMB, Descriptors: descriptors}.Shares()
		require.Positive(rt, s.Main)
		require.Positive(rt, s.Peer)
		bytes := int64(s.Main+s.Peer) * connectionBytes
		require.LessOrEqual(rt, float64(bytes)/float64(memoryMB<<20), mainFraction+peerFraction)
		require.LessOrEqual(rt, s.Main+s.Peer, descriptors*9/10)
		bytes = int64(s.HTTP2)*http2ConnectionBytes + int64(s.Requests)*requestBytes
		require.LessOrEqual(rt, float64(bytes)/float64(memoryMB<<20), max(mainFraction, float64(http2ConnectionBytes+requestBytes)/float64(memoryMB<<20)))
	})
	require.Equal(t, Shares{}, Machine{}.Shares())
	require.Equal(t, Shares{Main: 45, Control: 45, HTTP2: 45, Peer: 45, Sessions: 33}, Machine{Descriptors: 100}.Shares())
}
