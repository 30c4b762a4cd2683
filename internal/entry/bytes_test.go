package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/rawserver"
)

// anyBytes are the bytes that a header value may have (RFC 9110, 5.5) and that are no UTF-8 together.
const anyBytes = "a\xff\xfe\xc3\x28 \xed\xa0\x80b"

// sendRaw sends a request as it stands and reads the response to its end.
func (p *testProxy) sendRaw(text string) response {
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	require.NoError(p.t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, text)
	require.NoError(p.t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(p.t, err)
	return read(resp)
}

// rawRequest returns a request with a field, a query and a body that may have any bytes.
func rawRequest(target, field, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token\r\n%s\r\nContent-Length: %d\r\n\r\n%s", target, field, len(body), body)
}

// Guards against a caller whose bytes end the session with an agent, and with it the requests of all others that
// are in progress there. The bytes of header values, queries, paths and bodies reach the upstream unchanged.
func TestBytesOfCallerReachUpstreamUnchanged(t *testing.T) {
	p := startTestProxy(t, nil)
	var received sync.Map
	started, release := make(chan struct{}), make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	defer unblock()
	p.addUpstream("u1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			close(started)
			<-release
			_, _ = io.WriteString(w, "whole")
			return
		}
		body, _ := io.ReadAll(r.Body)
		received.Store(r.Header.Get("X-Case"), [3]string{r.RequestURI, r.Header.Get("X-Odd"), string(body)})
	}), nil)
	slow := make(chan response, 1)
	go func() { slow <- p.do(p.newRequest(context.Background(), http.MethodGet, "/slow", "")) }()
	<-started
	for name, want := range map[string][3]string{
		"header": {"/any", anyBytes, ""}, "query": {"/any?q=%ff%00&r=\xff\xfe", "", ""}, "path": {"/a%FF%C3%28b", "", ""}, "body": {"/any", "", anyBytes + "\x00\r\n"},
	} {
		r := p.sendRaw(rawRequest(want[0], "X-Case: "+name+"\r\nX-Odd: "+want[1], want[2]))
		require.Equal(t, http.StatusOK, r.status, "%s: %s", name, r.body)
		got, _ := received.Load(name)
		require.Equal(t, want, got, name)
	}
	unblock()
	r := <-slow
	require.Equal(t, "whole", r.body, "the request on the same session")
	require.EqualValues(t, 0, p.counter("peer.messages.unreadable"))
}

// Guards against an upstream whose bytes end the session of its agent. The bytes of header values reach the
// caller unchanged, and a response that can't be read is reported as one attempt that failed.
func TestBytesOfUpstreamReachCallerUnchanged(t *testing.T) {
	p := startTestProxy(t, nil)
	started, release := make(chan struct{}), make(chan struct{})
	unblock := sync.OnceFunc(func() { close(release) })
	defer unblock()
	answers := map[string]string{
		"/header":  "HTTP/1.1 200 OK\r\nX-Odd: " + anyBytes + "\r\nContent-Length: 2\r\n\r\nok",
		"/status":  "HTTP/1.1 200 " + anyBytes + "\r\nContent-Length: 2\r\n\r\nok",
		"/line":    "HTTP/1.1 200 OK\r\n" + anyBytes + "\r\n\r\n",
		"/trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nok\r\n0\r\n" + anyBytes + "\r\n\r\n",
		"/chunk":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n" + anyBytes + "\r\n",
	}
	address := rawserver.Start(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if r.URL.Path == "/slow" {
			close(started)
			<-release
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			return
		}
		_, _ = io.WriteString(c, answers[r.URL.Path])
	})
	p.addUpstreamAt("u1", "http://"+address, nil)
	slow := make(chan response, 1)
	go func() { slow <- p.do(p.newRequest(context.Background(), http.MethodGet, "/slow", "")) }()
	<-started
	for path := range answers {
		r := p.sendRaw(rawRequest(path, "X-Odd: 1", ""))
		switch path {
		case "/header", "/status":
			require.Equal(t, "ok", r.body, path)
		default:
			require.Equal(t, http.StatusBadGateway, r.status, path)
		}
		if path == "/header" {
			require.Equal(t, anyBytes, r.header.Get("X-Odd"))
		}
	}
	unblock()
	r := <-slow
	require.Equal(t, "whole", r.body, "the request on the same session")
	require.EqualValues(t, 0, p.counter("peer.messages.unreadable"))
}

// Guards against an idempotency key that control hosts can't decode or keep: it is refused before anything runs.
func TestInvalidKeyIsRefused(t *testing.T) {
	p := startTestProxy(t, nil)
	runs := 0
	p.addUpstream("u1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs++ }), nil)
	for _, key := range []string{anyBytes, "a\xff", "größe", strings.Repeat("k", 256), "a b", `a"b`, "\"\xff\""} {
		r := p.sendRaw(rawRequest("/slots/book", entry.IdempotencyKeyHeader+": "+key, "{}"))
		require.Equal(t, http.StatusBadRequest, r.status, "%q", key)
		require.Equal(t, "not-run", r.verdict(), "%q", key)
	}
	require.Zero(t, runs)
	require.Empty(t, p.claims.byKey)
}

// requireReadable requires that the control hosts decode an outcome to the same value.
func requireReadable(t *testing.T, answer *wire.Response) {
	f := &wire.FinishRequest{Workspace: "w", Key: "k", Response: answer}
	data, err := wire.Encode(1, false, f)
	require.NoError(t, err)
	_, m, err := wire.Decode(data)
	require.NoError(t, err)
	require.Equal(t, f, m)
}

// Guards against an outcome that control hosts can't decode: the header of the response has bytes that are not
// UTF-8. The caller gets the response, and a repetition what was recorded of it.
func TestOutcomeOfResponseWithAnyBytesIsRecorded(t *testing.T) {
	p := startTestProxy(t, nil)
	p.addUpstream("u1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Odd", anyBytes)
		w.Header().Set("Content-Type", "text/plain")
		if r.Header.Get("X-Case") == "type" {
			w.Header().Set("Content-Type", anyBytes)
		}
		_, _ = io.WriteString(w, "booked")
	}), nil)
	for name, wantStatus := range map[string]int{"field": http.StatusOK, "type": http.StatusConflict} {
		text := rawRequest("/slots/book", entry.IdempotencyKeyHeader+": "+name+"\r\nX-Case: "+name, "{}")
		r := p.sendRaw(text)
		require.Equal(t, "booked", r.body, name)
		require.Equal(t, anyBytes, r.header.Get("X-Odd"), name)
		claim := p.claims.byKey[name]
		require.Equal(t, wire.ClaimFinished, claim.state)
		requireReadable(t, claim.answer)
		r = p.sendRaw(text)
		require.Equal(t, wantStatus, r.status, name)
		require.Equal(t, "ran", r.verdict(), name)
	}
}
