package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// smallSocketBytes is the size of the socket buffers towards slow callers, so that little of a
// response is kept by the kernel.
const smallSocketBytes = 128 << 10

// limitMemory sets the limits of what the gateway may hold, in megabytes.
func (env *testEnv) limitMemory(total, connection int64) {
	env.gateway.memory = memory.NewBudget(memory.Limits{Total: total << 20, Connection: connection << 20})
}

// slowListener accepts connections with small socket buffers.
type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(smallSocketBytes)
	}
	return c, err
}

// listenForSlowCallers serves the gateway at another address, with small socket buffers.
func (env *testEnv) listenForSlowCallers() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(env.t, err)
	server := &http.Server{Handler: env.gateway, ReadHeaderTimeout: testTimeout}
	go func() { _ = server.Serve(slowListener{l}) }()
	env.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// ask sends a request without waiting for its response.
func (env *testEnv) ask(address, path, header string) *net.TCPConn {
	conn, err := net.Dial("tcp", address)
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(env.t, conn.(*net.TCPConn).SetReadBuffer(smallSocketBytes))
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-A: a\r\nX-K: key\r\n%s\r\n\r\n", path, header)
	require.NoError(env.t, err)
	return conn.(*net.TCPConn)
}

// readResponse reads a response to its end, or until it breaks off.
func readResponse(t testing.TB, conn net.Conn) (*http.Response, []byte, error) {
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

const noBody = "Content-Length: 0"

// eventText is the data of each event of a long stream.
var eventText = strings.Repeat("x", 1000)

// appendEvents appends the events of a long stream from first to last.
func appendEvents(b []byte, first, last int) []byte {
	for id := first; id <= last; id++ {
		b = fmt.Appendf(b, "id: %d\ndata: %s\n\n", id, eventText)
	}
	return b
}

// requireEvents checks that body is the stream with the given number of events, without comparing
// megabytes in a failure message.
func requireEvents(t *testing.T, count int, body []byte) {
	require.True(t, bytes.Equal(appendEvents(nil, 1, count), body), "got %d bytes", len(body))
}

// impatientStream returns a handler that streams events up to the given one and breaks the
// response off if it is left unread for a second. It breaks off after event breakAt, if not 0, in
// the first response, and resumes after the caller's last event. Each broken response counts in
// broken.
func impatientStream(count, breakAt int, broken *atomic.Int64) http.HandlerFunc {
	var responses atomic.Int64
	return func(w http.ResponseWriter, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("X-R"))
		control := http.NewResponseController(w)
		isFirst := responses.Add(1) == 1
		for id := last + 1; id <= count; id++ {
			if isFirst && id == breakAt {
				_, _ = fmt.Fprintf(w, "id: %d\nda", id)
				_ = control.Flush()
				panic(http.ErrAbortHandler)
			}
			_ = control.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := w.Write(appendEvents(nil, id, id)); err != nil {
				broken.Add(1)
				panic(http.ErrAbortHandler)
			}
			if id == 1 {
				_ = control.Flush()
			}
		}
	}
}

// Guards against a slow caller losing its stream because the upstream, whose response is left
// unread meanwhile, cuts it off. The stream must also stay whole and in order if it is resumed at
// another upstream while its beginning still waits for the caller.
func TestSlowCallerGetsWholeStream(t *testing.T) {
	const events = 12_000
	for _, breakAt := range []int{0, 7000} {
		env := newTestEnv(t)
		env.limitMemory(40, 20)
		env.setTable(nil)
		var broken atomic.Int64
		env.addUpstream("u1", impatientStream(events, breakAt, &broken))
		env.addUpstream("u2", impatientStream(events, 0, &broken))
		conn := env.ask(env.listenForSlowCallers(), "/stream/", noBody)
		require.Eventually(t, func() bool {
			return env.gateway.memory.Held() > (events-1000)*int64(len(eventText))
		}, testTimeout, 10*time.Millisecond, "the host reads on while the caller does not")
		time.Sleep(2 * time.Second) // the caller reads nothing for several seconds
		_, body, err := readResponse(t, conn)
		require.NoError(t, err)
		requireEvents(t, events, body)
		require.Zero(t, broken.Load())
		require.Eventually(t, func() bool { return env.gateway.memory.Held() == 0 }, testTimeout, 10*time.Millisecond)
	}
}

// Guards against a caller that is slow only once, or again and again, getting a broken stream when
// the backlog starts, empties and fills.
func TestUnsteadyCallerGetsWholeStream(t *testing.T) {
	const events = 4000
	env := newTestEnv(t)
	env.limitMemory(40, 1)
	env.setTable(nil)
	var broken atomic.Int64
	env.addUpstream("u1", impatientStream(events, 0, &broken))
	conn := env.ask(env.listenForSlowCallers(), "/stream/", noBody)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	var body []byte
	for part := make([]byte, 400<<10); err == nil; {
		time.Sleep(2 * maxWriteTicks * watchInterval)
		var n int
		n, err = io.ReadFull(resp.Body, part)
		body = append(body, part[:n]...)
	}
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "the last part is shorter")
	requireEvents(t, events, body)
	require.Zero(t, broken.Load())
}

// Guards against a host that runs out of memory because many callers don't read their responses,
// against refusing other callers because of them, and against a response that is cut off but looks
// complete.
func TestStalledCallersAreShed(t *testing.T) {
	const (
		callers, events = 12, 4000
		totalMB         = 8
	)
	env := newTestEnv(t)
	env.limitMemory(totalMB, 6)
	env.setTable(nil)
	large := make([]byte, 4<<20)
	env.addUpstream("u1", func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasPrefix(r.URL.Path, "/stream/"):
			_, _ = w.Write(appendEvents(nil, 1, events))
		case r.URL.Path == "/safe/large":
			w.Header().Set("Content-Length", strconv.Itoa(len(large)))
			_, _ = w.Write(large)
		default:
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, n)
		}
	})
	address := env.listenForSlowCallers()
	var stalled []net.Conn
	for i := range callers {
		stalled = append(stalled, env.ask(address, []string{"/stream/", "/safe/large"}[i%2], noBody))
	}
	var highest int64
	shed := func() int { return callers - env.gateway.memory.Connections() }
	served := 0
	require.Eventually(t, func() bool {
		resp, body := env.post("/safe/small", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, 100_000))), 100_000
		})
		require.Equal(t, http.StatusOK, resp.StatusCode, body)
		require.Equal(t, "100000", body)
		served++
		highest = max(highest, env.gateway.memory.Held())
		return served >= 20 && shed() >= callers/2
	}, 2*testTimeout, 20*time.Millisecond)
	require.LessOrEqual(t, highest, int64(totalMB<<20))
	whole, broken := 0, 0
	for i, conn := range stalled {
		resp, body, err := readResponse(t, conn)
		switch {
		case err != nil:
			broken++
		case resp.StatusCode == http.StatusBadGateway:
			require.Equal(t, "may-have-run", resp.Header.Get(verdict.Header))
			broken++
		case i%2 == 0:
			requireEvents(t, events, body)
			whole++
		default:
			require.Len(t, body, len(large))
			whole++
		}
	}
	t.Logf("%d responses whole, %d broken off, at most %d bytes held", whole, broken, highest)
	require.Positive(t, broken)
}

// Guards against reading a body for which the host has no memory: the request must be refused
// before, as not run. The caller here never sends the body.
func TestBodyThatDoesNotFitIsRefusedUnread(t *testing.T) {
	env := newTestEnv(t)
	env.limitMemory(4, 2)
	env.setTable(nil)
	env.addUpstream("u1", func(http.ResponseWriter, *http.Request) { t.Error("the request must not run") })
	busy := env.gateway.memory.Open(nil)
	defer busy.Close()
	_, _ = busy.Take(memory.Body, 2<<20, 0)
	for _, size := range []int{3 << 20, 2<<20 + 1} {
		began := time.Now()
		resp, _, err := readResponse(t, env.ask(env.front.Listener.Addr().String(), "/unsafe/", fmt.Sprint("Content-Length: ", size)))
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
		require.NotEmpty(t, resp.Header.Get("Retry-After"))
		require.Less(t, time.Since(began), 2*time.Second)
	}
	require.EqualValues(t, 2<<20, env.gateway.memory.Held())
}

// Guards against callers that announce large bodies and send them slowly taking all memory.
func TestStalledBodyIsShedForAnother(t *testing.T) {
	env := newTestEnv(t)
	env.limitMemory(6, 4) // of it 4.5 for bodies
	env.setTable(nil)
	env.addUpstream("u1", func(http.ResponseWriter, *http.Request) {})
	stalled := env.ask(env.front.Listener.Addr().String(), "/unsafe/", "Content-Length: 4000000")
	require.Eventually(t, func() bool { return env.gateway.memory.Held() > 3e6 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		resp, _ := env.post("/safe/", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(make([]byte, 1_000_000))), 1_000_000
		})
		return resp.StatusCode == http.StatusOK
	}, testTimeout, 10*time.Millisecond)
	resp, _, err := readResponse(t, stalled)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Guards against an upstream that goes on working for a caller that has left while its backlog
// was not empty.
func TestCallerThatLeavesCancelsBackloggedStream(t *testing.T) {
	env := newTestEnv(t)
	env.limitMemory(40, 20)
	env.setTable(nil)
	cancelled := make(chan struct{})
	var once sync.Once
	env.addUpstream("u1", func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(appendEvents(nil, 1, 2000))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
		once.Do(func() { close(cancelled) })
	})
	conn := env.ask(env.listenForSlowCallers(), "/stream/", noBody)
	require.Eventually(t, func() bool { return env.gateway.memory.Held() > 1e6 }, testTimeout, time.Millisecond)
	left := time.Now()
	require.NoError(t, conn.Close())
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Fatal("the upstream still works")
	}
	require.Less(t, time.Since(left), 2*time.Second)
	require.Eventually(t, func() bool { return env.gateway.memory.Held() == 0 }, testTimeout, time.Millisecond)
}

// Guards against a body without a time limit: its request must be refused at its deadline, as not run.
func TestBodyThatTricklesIsRefusedAtDeadline(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	env.addUpstream("u1", func(http.ResponseWriter, *http.Request) { t.Error("the request must not run") })
	for _, length := range []string{"Content-Length: 1000000", "Transfer-Encoding: chunked"} {
		conn := env.ask(env.front.Listener.Addr().String(), "/unsafe/", length+"\r\nX-D: 300")
		stop := make(chan struct{})
		go func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
					_, _ = io.WriteString(conn, "1\r\nx\r\n")
				}
			}
		}()
		resp, _, err := readResponse(t, conn)
		close(stop)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
		require.True(t, resp.Close)
	}
	require.Eventually(t, func() bool { return env.gateway.memory.Connections() == 0 }, testTimeout, time.Millisecond)
}

// Guards against requests with large bodies, or with heads of many fields, that keep out small ones.
func TestSmallRequestsAreServedWhileNoMemoryIsLeft(t *testing.T) {
	env := newTestEnv(t)
	env.limitMemory(1, 1)
	env.setTable(nil)
	env.addUpstream("u1", func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) })
	busy := env.gateway.memory.Open(nil)
	defer busy.Close()
	for _, use := range []memory.Use{memory.Body, memory.Response} {
		for outcome := memory.Taken; outcome == memory.Taken; {
			outcome, _ = busy.Take(use, 1<<10, 0)
		}
	}
	resp, body := env.post("/safe/", func(r *http.Request) { r.Body, r.ContentLength = io.NopCloser(strings.NewReader("small")), 5 })
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Equal(t, "small", body)
	resp, _ = env.post("/safe/", func(r *http.Request) {
		for i := range 200 {
			r.Header.Set(fmt.Sprint("x", i), "")
		}
	})
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "not-run", resp.Header.Get(verdict.Header))
}

// Guards against a refused request whose body never comes and that keeps its connection for ever.
func TestRefusedRequestWithUnfinishedBodyEnds(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	conn := env.ask(env.front.Listener.Addr().String(), "/none/", "Content-Length: 100000")
	_, err := io.WriteString(conn, "part")
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	rest, err := io.ReadAll(conn)
	require.NoError(t, err, "the connection ends")
	require.Contains(t, string(rest), "not-run")
}
