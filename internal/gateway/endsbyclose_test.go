package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// writeUnframed writes a response with neither a length nor chunks, and ends it by closing the
// connection, or by resetting it.
func writeUnframed(w http.ResponseWriter, r *http.Request, contentType, body string, isReset bool) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-A: %s\r\nX-S: s\r\nContent-Type: %s\r\n\r\n%s", r.Header.Get("X-A"), contentType, body)
	if isReset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

// Guards against a response without a length that is taken for broken, and one that is taken for
// complete although its connection was reset.
func TestBodyThatEndsWithItsConnection(t *testing.T) {
	for _, isReset := range []bool{false, true} {
		env := newTestEnv(t)
		env.setTable(nil)
		env.addUpstream("u1", func(w http.ResponseWriter, r *http.Request) { writeUnframed(w, r, "text/plain", "whole", isReset) })
		resp, body := env.post("/unsafe/", nil)
		if isReset {
			require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			continue
		}
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.Equal(t, "whole", body)
	}
}

// Guards against a stream without a length or chunks that looks complete to the caller although it
// ended inside an event, was reset, or ended before its first event, and against one that ended between
// events being taken for broken.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	three := "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
	for name, c := range map[string]struct {
		body      string
		isReset   bool
		isResumed bool
	}{
		"between events":         {body: completeStream()},
		"inside an event":        {body: three + "id: 4\nda", isResumed: true},
		"after an event's line":  {body: three + "id: 4\ndata: x\n", isResumed: true},
		"before the first event": {isResumed: true},
		"inside the first event": {body: "id: 1\nda", isResumed: true},
		"by a reset":             {body: three, isReset: true, isResumed: true},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			env.setTable(nil)
			var sends atomic.Int64
			for _, id := range []string{"u1", "u2"} {
				env.addUpstream(id, func(w http.ResponseWriter, r *http.Request) {
					if sends.Add(1) == 1 {
						writeUnframed(w, r, "text/event-stream", c.body, c.isReset)
						return
					}
					writeEvents(0)(w, r)
				})
			}
			resp, body := env.post("/stream/", nil)
			require.Equal(t, http.StatusOK, resp.StatusCode)
			require.Equal(t, completeStream(), body)
			require.Equal(t, c.isResumed, sends.Load() == 2)
		})
	}
}

// Guards against a broken stream that can't be resumed and looks complete to the caller.
func TestBrokenUnframedStreamDoesNotLookComplete(t *testing.T) {
	env := newTestEnv(t)
	env.setTable(nil)
	env.addUpstream("u1", func(w http.ResponseWriter, r *http.Request) {
		writeUnframed(w, r, "text/event-stream", "id: 1\ndata: x\n\nid: 2\nda", false)
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, env.front.URL+"/stream/", nil)
	require.NoError(t, err)
	r.Header.Set("X-K", "key")
	resp, err := env.front.Client().Do(r)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Equal(t, "id: 1\ndata: x\n\n", string(body))
}
