package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/test/cutanswer"
)

// eventsAfter returns the events of a whole stream that follow one with a number.
func eventsAfter(first int) string {
	var b strings.Builder
	for id := first + 1; id <= 6; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", id)
	}
	return b.String()
}

// respondAs returns the answer of an upstream to a plain request, a stream, or the rest of one.
func respondAs(r *http.Request) (lines, body string) {
	lines = "X-A: " + r.Header.Get("X-A") + "\r\nX-S: s\r\n"
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		return lines, "the whole answer"
	}
	first, _ := strconv.Atoi(r.Header.Get("X-R"))
	return lines, eventsAfter(first)
}

// receive sends a request with a body of its own, and returns what the caller got. The error is that of an
// answer which does not look whole.
func (env *testEnv) receive(path, requestBody string) (status int, body string, err error) {
	r, err := http.NewRequestWithContext(env.t.Context(), http.MethodPost, env.front.URL+path, strings.NewReader(requestBody))
	require.NoError(env.t, err)
	r.Header.Set("X-A", requestBody)
	r.Header.Set("X-K", "key")
	resp, err := env.front.Client().Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Guards against an answer that its upstream cut, in its head or later, by a close or a reset, and that looks
// whole to the caller: plain answers, streams, and streams that are resumed by a cut answer. The next request
// on the caller's connection gets its own answer.
func TestAnswerCutAtAnyByteNeverLooksWhole(t *testing.T) {
	step := 1
	if testing.Short() {
		step = 7
	}
	whole := map[string]string{"/unsafe/": "the whole answer", "/safe/": "the whole answer", "/stream/": completeStream()}
	for _, form := range cutanswer.Forms() {
		for path, want := range whole {
			t.Run(form.Name+path, func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.setTable(nil)
				contentType := "text/plain"
				if path == "/stream/" {
					contentType = "text/event-stream"
				}
				s := cutanswer.Start(t, form, contentType, respondAs)
				_ = env.gateway.Merge("c", []registry.Upstream{{ID: "u1", Service: "s", Address: s.Address, Slots: 4, Sequence: 1}})
				status, body, err := env.receive(path, "first")
				require.NoError(t, err)
				require.Equal(t, []any{http.StatusOK, want}, []any{status, body})
				cuts := 0
				for length, cut := int(s.Length.Load()), 0; cut < length; cut += step {
					for _, isReset := range []bool{false, true} {
						s.CutAt(cut, isReset)
						status, body, err := env.receive(path, fmt.Sprint("cut-", cut, isReset))
						if err == nil && status/100 == 2 {
							require.Equal(t, want, body, "cut at %d, reset %v", cut, isReset)
							require.Equal(t, "/stream/", path, "cut at %d, reset %v: only a resumed stream can be whole", cut, isReset)
							continue
						}
						cuts++
					}
					s.CutAt(-1, false)
					status, body, err := env.receive(path, fmt.Sprint("whole-", cut))
					require.NoError(t, err)
					require.Equal(t, []any{http.StatusOK, want}, []any{status, body}, "after a cut at %d", cut)
				}
				require.Positive(t, cuts)
			})
		}
	}
}
