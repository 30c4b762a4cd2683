package integration

import (
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// oddBytes are legal in a header value and no UTF-8.
const oddBytes = "a\xff\xfe\xc3\x28 \xed\xa0\x80b"

// addHeader sends requests with additional header fields.
type addHeader map[string]string

func (h addHeader) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	for name, value := range h {
		r.Header.Set(name, value)
	}
	r.Close = true
	return http.DefaultTransport.RoundTrip(r)
}

// Guards against one caller whose bytes end sessions between hosts, and with them the requests of others, the
// claims of idempotency keys or the quorum.
func TestAnyBytesOfOneCallerHarmNobody(t *testing.T) {
	t.Parallel()
	s := start(t, local.Layout{Control: 3, Entries: 2, Engines: 1, Services: 1, EngineArgs: []string{"--step", "20ms"}})
	// The stream lasts for 3 s, far longer than the other requests unless the machine is very busy.
	const tokens = 150
	stream := make(chan local.Response, 1)
	go func() { stream <- s.sendRequest(s.Entries[0], local.CompletionRequest("a long one", tokens, true)) }()
	send := func(q local.Request, header addHeader) local.Response {
		return local.DoWithClient(s.ctx, &http.Client{Transport: header}, s.Entries[0].ListenAddress, q)
	}
	booking := local.BookingRequest("key-1", "Elena")
	booking.Path += "?q=\xff\xfe&r=" + url.QueryEscape(oddBytes)
	first := send(booking, addHeader{"X-Odd": oddBytes, "User-Agent": oddBytes, "X-Request-Id": oddBytes, "Priority": oddBytes})
	require.Equal(t, http.StatusCreated, first.Status, first.Body)
	again := send(booking, addHeader{"X-Odd": "another"})
	require.Equal(t, http.StatusCreated, again.Status, again.Body)
	require.Equal(t, first.Body, again.Body)
	require.Equal(t, "true", again.Header.Get("Idempotency-Replayed"))
	for _, key := range []string{oddBytes, "größe", strings.Repeat("k", 256)} {
		r := send(local.BookingRequest(key, "Ivan"), nil)
		require.Equal(t, http.StatusBadRequest, r.Status, "%q", key)
		require.Equal(t, verdict.NotRun, r.Verdict)
	}
	for range 3 {
		r := send(local.CompletionRequest("x", 3, false), addHeader{"X-Odd": oddBytes})
		require.Equal(t, http.StatusOK, r.Status, r.Body)
		require.Contains(t, r.Body, standin.Text("x", 3))
		q := local.CompletionRequest("x", 1, false)
		q.Body = "{\"model\":\"" + oddBytes + "\",\"prompt\":\"x\"}"
		r = send(q, nil)
		require.Equal(t, http.StatusNotFound, r.Status, r.Body)
		require.Equal(t, verdict.NotRun, r.Verdict)
		require.True(t, utf8.ValidString(r.Body))
		r = send(local.Request{Method: http.MethodGet, Path: "/slots/%FF%C3%28?" + oddBytes[1:5]}, nil)
		require.Equal(t, 4, r.Status/100, r.Body)
	}
	r := <-stream
	require.NoError(t, r.Err)
	require.Equal(t, strings.Join(standin.Stream("a long one", tokens), ""), r.Body)
	out, err := s.Submit(s.ctx, local.Document("v2"))
	require.NoError(t, err, out)
	require.NoError(t, s.AwaitInForce(s.ctx))
	for _, h := range append(append(append([]*local.Host{}, s.Entries...), s.Agents...), s.Control...) {
		require.True(t, utf8.ValidString(h.Log()), h.Name)
		resp, err := http.Get("http://" + h.MetricsAddress + "/metrics")
		require.NoError(t, err)
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		require.NoError(t, err)
		require.Regexp(t, `(?m)^sassafraspost_peer_messages_unreadable 0$`, string(text), h.Name)
	}
}
