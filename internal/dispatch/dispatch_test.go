package dispatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

var names = Names{Attempt: "X-A", Instance: "X-I", Deadline: "X-D", NotRun: "X-N", Fault: "X-F"}

// serve runs an upstream that answers each request by what answer writes.
func serve(t *testing.T, answer func(c net.Conn, r *http.Request, n int)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, answer)
		}
	}()
	return l.Addr().String()
}

func serveConn(c net.Conn, answer func(c net.Conn, r *http.Request, n int)) {
	defer func() { _ = c.Close() }()
	b := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		answer(c, r, n)
	}
}

// whole writes an answer with the attempt's id.
func whole(c net.Conn, attempt, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-A: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

func send(t *testing.T, c *Client, address, attempt string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	r := &Request{Method: "POST", URI: "/p?q", Host: "h", Header: http.Header{"X-A": {attempt}}, Body: []byte("body")}
	a, err := c.Send(ctx, Target{ID: "i1", Address: address}, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := a.ReadAll(1000)
	return string(body), err
}

func client() *Client { return New(Config{Names: names, DialTimeout: 5 * time.Second}) }

func TestConnectionIsReused(t *testing.T) {
	reused := false
	address := serve(t, func(c net.Conn, r *http.Request, n int) {
		reused = n > 0
		whole(c, r.Header.Get("X-A"), r.RequestURI+" "+r.Header.Get("X-I"))
	})
	c := client()
	for _, id := range []string{"a", "b"} {
		body, err := send(t, c, address, id)
		require.NoError(t, err)
		require.Equal(t, "/p?q i1", body)
	}
	require.True(t, reused)
}

// A second answer to one request reaches no other request: neither where it comes with
// the first, nor where it comes when the next request is under way.
func TestSurplusAnswerReachesNobody(t *testing.T) {
	address := serve(t, func(c net.Conn, r *http.Request, n int) {
		id := r.Header.Get("X-A")
		if n == 1 {
			whole(c, "first", "late answer to the first")
		}
		whole(c, id, "for "+id)
		if id == "early" {
			whole(c, id, "surplus")
		}
	})
	c := client()
	for _, id := range []string{"first", "second", "early", "after"} {
		body, err := send(t, c, address, id)
		require.NoError(t, err)
		require.Equal(t, "for "+id, body)
	}
}

func TestAnswerToAnotherRequestIsAnError(t *testing.T) {
	address := serve(t, func(c net.Conn, _ *http.Request, _ int) { whole(c, "stranger", "not yours") })
	_, err := send(t, client(), address, "mine")
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
}

func TestVerdicts(t *testing.T) {
	refusing := serve(t, func(c net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 No\r\nX-A: %s\r\nX-N: 1\r\nX-F: i7\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-A"))
	})
	_, err := send(t, client(), refusing, "a")
	var refused *RefusedError
	require.True(t, errors.As(err, &refused))
	require.False(t, refused.Misdirected)
	require.Equal(t, "i7", refused.Fault)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)

	other := serve(t, func(c net.Conn, r *http.Request, _ int) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 421 Other\r\nX-A: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-A"))
	})
	_, err = send(t, client(), other, "a")
	require.True(t, errors.As(err, &refused))
	require.True(t, refused.Misdirected)

	silent := serve(t, func(c net.Conn, _ *http.Request, _ int) { _ = c.Close() })
	_, err = send(t, client(), silent, "a")
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict, "it was sent")

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	nobody := l.Addr().String()
	require.NoError(t, l.Close())
	_, err = send(t, client(), nobody, "a")
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

// A connection that its upstream has closed while it was idle is not used again: a
// request that is lost on it might have run.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	address := serve(t, func(c net.Conn, r *http.Request, n int) {
		whole(c, r.Header.Get("X-A"), "ok")
		_ = c.Close()
		closed <- struct{}{}
	})
	c := client()
	for _, id := range []string{"a", "b", "c"} {
		_, err := send(t, c, address, id)
		require.NoError(t, err)
		<-closed
		require.Eventually(t, func() bool {
			conn := c.pool.take(address)
			if conn == nil {
				return true
			}
			defer c.pool.put(conn)
			return !conn.isSound()
		}, 20*time.Second, time.Millisecond)
	}
}

func TestBoundOnConnections(t *testing.T) {
	release := make(chan struct{})
	address := serve(t, func(c net.Conn, r *http.Request, _ int) {
		<-release
		whole(c, r.Header.Get("X-A"), "ok")
	})
	defer close(release)
	c := client()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	target := Target{ID: "i1", Address: address, Connections: 1}
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

func TestEndOfTheCallerEndsTheAttempt(t *testing.T) {
	gone := make(chan struct{})
	address := serve(t, func(c net.Conn, _ *http.Request, _ int) {
		_, _ = c.Read(make([]byte, 1))
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(10*time.Millisecond, cancel)
	_, err := client().Send(ctx, Target{Address: address}, &Request{Method: "GET", URI: "/", Host: "h", Header: http.Header{}})
	require.Equal(t, verdict.CodeCancelled, verdict.FromError(err).Code)
	<-gone
}

func TestKeepAliveTimeout(t *testing.T) {
	d, ok := keepAliveTimeout("timeout=5, max=100")
	require.True(t, ok)
	require.Equal(t, 5*time.Second, d)
	_, ok = keepAliveTimeout("max=3")
	require.False(t, ok)
}
