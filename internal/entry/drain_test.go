package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// Guards against calls whose connections end without a response because their engine does not respond until the end
// of a shutdown, and against one that must not be repeated and is told that it has not run.
func TestDrainAnswersCallsThatAreLeftAtItsEnd(t *testing.T) {
	p := startTestProxy(t, nil)
	started, release := make(chan struct{}, 2), make(chan struct{})
	defer close(release)
	p.addUpstream("u1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}), nil)
	responses := make(chan response, 2)
	go func() { responses <- p.complete("a", tokens, false) }()
	go func() { responses <- p.book("key", "rider") }()
	for range 2 {
		<-started
	}
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	require.NoError(t, p.server.Drain(ctx), "Drain waits in vain")
	for range 2 {
		r := <-responses
		require.Equal(t, verdict.MayHaveRun.String(), r.verdict(), "%v", r)
	}
}

// Guards against a call whose body ends during a shutdown and that is passed on, or whose connection ends without a
// response.
func TestDrainRefusesCallsWhoseBodiesAreLate(t *testing.T) {
	p := startTestProxy(t, nil)
	e := standin.NewEngine(standin.EngineConfig{})
	p.addUpstream("u1", e, nil)
	conn, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return p.counter("entry.requests") == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, p.server.Drain(t.Context()))
	_ = conn.SetReadDeadline(time.Now().Add(testTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "no response")
	r := read(resp)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	requireNotRun(t, r, verdict.CodeDraining, e)
}
