package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/rawserver"
)

var testHeaderNames = HeaderNames{Attempt: "X-A", Instance: "X-I", Deadline: "X-D", NotRun: "X-N", FaultyUpstream: "X-F"}

// serveUpstream runs an upstream that calls respond for each request. n counts the requests of
// the connection from 0.
func serveUpstream(t *testing.T, respond func(c net.Conn, r *http.Request, n int)) string {
	t.Helper()
	return rawserver.Start(t, func(c net.Conn) { serveConn(c, respond) })
}

func serveConn(c net.Conn, respond func(c net.Conn, r *http.Request, n int)) {
	b := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		respond(c, r, n)
	}
}

// writeResponse writes a complete response with the attempt's id.
func writeResponse(c net.Conn, attempt, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-A: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

func send(t *testing.T, c *Client, address, attempt string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r := &Request{Method: "POST", URI: "/p?q", Host: "h", Header: http.Header{"X-A": {attempt}}, Body: []byte("body")}
	resp, err := c.Send(ctx, Target{ID: "i1", Address: address}, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := resp.ReadAll(1000)
	return string(body), err
}

func newTestClient() *Client {
	return New(Config{HeaderNames: testHeaderNames, DialTimeout: 5 * time.Second})
}

func TestConnectionIsReused(t *testing.T) {
	reused := false
	address := serveUpstream(t, func(c net.Conn, r *http.Request, n int) {
		reused = n > 0
		writeResponse(c, r.Header.Get("X-A"), r.RequestURI+" "+r.Header.Get("X-I"))
	})
	c := newTestClient()
	for _, id := range []string{"a", "b"} {
		body, err := send(t, c, address, id)
		require.NoError(t, err)
		require.Equal(t, "/p?q i1", body)
	}
	require.True(t, reused)
}

// Guards against an id that adds header fields, or a whole request, to the request that is sent to its upstream.
func TestIDWithControlCharactersSendsNothing(t *testing.T) {
	var received atomic.Pointer[http.Header]
	address := serveUpstream(t, func(c net.Conn, r *http.Request, n int) {
		received.Store(&r.Header)
		writeResponse(c, r.Header.Get("X-A"), "")
	})
	for _, id := range []string{"i1\r\nX-Other: 1", "i1\nX-Other: 1", "i1\x00", "i1\r\n\r\nGET / HTTP/1.1"} {
		r := &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{"X-A": {"a"}}}
		_, err := newTestClient().Send(t.Context(), Target{ID: id, Address: address}, r)
		require.Nil(t, received.Load(), "%q: the upstream received a request", id)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict, "%q", id)
	}
}

// Guards against a duplicate response that is taken for the response to the next request on the
// same connection, whether it is received right behind the first response or while the next
// request is in flight.
func TestDuplicateResponseIsNotTakenForAnotherRequest(t *testing.T) {
	address := serveUpstream(t, func(c net.Conn, r *http.Request, n int) {
		id := r.Header.Get("X-A")
		if n == 1 {
			writeResponse(c, "first", "late answer to the first")
		}
		writeResponse(c, id, "for "+id)
		if id == "early" {
			writeResponse(c, id, "surplus")
		}
	})
	c := newTestClient()
	for _, id := range []string{"first", "second", "early", "after"} {
		body, err := send(t, c, address, id)
		require.NoError(t, err)
		require.Equal(t, "for "+id, body)
	}
}

// Guards against an unsafe request that runs twice: it is sent again over the same connection, to the
// upstream that now has the address or once more to one that refused it, and a late copy of the refusal
// is taken for the response to that.
func TestCopyOfRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	for name, refusal := range map[string]string{
		"another upstream": "HTTP/1.1 421 Other\r\nX-A: %s\r\nContent-Length: 0\r\n\r\n",
		"full":             "HTTP/1.1 503 No\r\nX-A: %s\r\nX-N: 1\r\nContent-Length: 0\r\n\r\n",
		"failed":           "HTTP/1.1 500 No\r\nX-A: %s\r\nContent-Length: 0\r\n\r\n",
	} {
		var sent atomic.Int64
		address := serveUpstream(t, func(c net.Conn, r *http.Request, n int) {
			id := r.Header.Get("X-A")
			if sent.Add(1) == 1 {
				_, _ = fmt.Fprintf(c, refusal, id)
				return
			}
			if n > 0 {
				_, _ = fmt.Fprintf(c, refusal, id)
			}
			writeResponse(c, id, "for "+id)
		})
		c := newTestClient()
		r := &Request{Method: "POST", URI: "/p", Host: "h", Header: http.Header{"X-A": {"a"}}, Trail: &Trail{}}
		resp, err := c.Send(t.Context(), Target{ID: "i1", Address: address}, r)
		if err == nil {
			_, err = resp.ReadAll(1000)
			require.NoError(t, err)
			resp.Close()
		}
		resp, err = c.Send(t.Context(), Target{ID: "i2", Address: address}, r)
		require.NoError(t, err, name)
		require.Equal(t, http.StatusOK, resp.Status, name)
		resp.Close()
	}
}

func TestResponseToAnotherRequestIsAnError(t *testing.T) {
	address := serveUpstream(t, func(c net.Conn, _ *http.Request, _ int) { writeResponse(c, "stranger", "not yours") })
	_, err := send(t, newTestClient(), address, "mine")
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
}

func TestErrorVerdicts(t *testing.T) {
	refusing := serveUpstream(t, func(c net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 No\r\nX-A: %s\r\nX-N: 1\r\nX-F: i7\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-A"))
	})
	_, err := send(t, newTestClient(), refusing, "a")
	var refused *RefusedError
	require.True(t, errors.As(err, &refused))
	require.False(t, refused.Misdirected)
	require.Equal(t, "i7", refused.FaultyUpstream)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)

	misdirected := serveUpstream(t, func(c net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Other\r\nX-A: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-A"))
	})
	_, err = send(t, newTestClient(), misdirected, "a")
	require.True(t, errors.As(err, &refused))
	require.True(t, refused.Misdirected)

	closing := serveUpstream(t, func(c net.Conn, _ *http.Request, _ int) { _ = c.Close() })
	_, err = send(t, newTestClient(), closing, "a")
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict, "the request was sent")

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unused := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = send(t, newTestClient(), unused, "a")
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

// Guards against the reuse of a connection that its upstream closed while it was idle. A
// request that is lost on such a connection counts as possibly run.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 1)
	address := serveUpstream(t, func(c net.Conn, r *http.Request, n int) {
		writeResponse(c, r.Header.Get("X-A"), "ok")
		_ = c.Close()
		closed <- struct{}{}
	})
	c := newTestClient()
	for _, id := range []string{"a", "b", "c"} {
		_, err := send(t, c, address, id)
		require.NoError(t, err)
		<-closed
		require.Eventually(t, func() bool {
			conn := c.pool.popIdle(address)
			if conn == nil {
				return true
			}
			defer c.pool.put(conn)
			return !conn.isReusable()
		}, 20*time.Second, time.Millisecond)
	}
}

func TestConnectionLimit(t *testing.T) {
	release := make(chan struct{})
	address := serveUpstream(t, func(c net.Conn, r *http.Request, _ int) {
		<-release
		writeResponse(c, r.Header.Get("X-A"), "ok")
	})
	defer close(release)
	c := newTestClient()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	target := Target{ID: "i1", Address: address, MaxConnections: 1}
	go func() {
		_, _ = c.Send(ctx, target, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	}()
	require.Eventually(t, func() bool {
		c.pool.mu.Lock()
		defer c.pool.mu.Unlock()
		return c.pool.open[address] == 1
	}, 20*time.Second, time.Millisecond)
	_, err := c.Send(ctx, target, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

func TestCancellationClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address := serveUpstream(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err := newTestClient().Send(ctx, Target{Address: address}, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	require.Equal(t, verdict.CodeCancelled, verdict.FromError(err).Code)
	<-closed
}

func TestKeepAliveTimeout(t *testing.T) {
	d, ok := keepAliveTimeout("timeout=5, max=100")
	require.True(t, ok)
	require.Equal(t, 5*time.Second, d)
	_, ok = keepAliveTimeout("max=3")
	require.False(t, ok)
}
