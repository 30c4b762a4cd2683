package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/test/cutanswer"
)

// Guards against an answer that its upstream cut, in its head or later, by a close or a reset, and that looks
// whole to the caller, behind an agent: plain answers and event streams. The next request gets its own answer.
func TestAnswerCutAtAnyByteNeverLooksWhole(t *testing.T) {
	step := 1
	if testing.Short() {
		step = 7
	}
	bodies := map[string]string{"text/plain": "the whole answer", "text/event-stream": "data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"}
	for _, form := range cutanswer.Forms() {
		for contentType, want := range bodies {
			t.Run(form.Name+" "+contentType, func(t *testing.T) {
				t.Parallel()
				p := startTestProxy(t, nil)
				s := cutanswer.Start(t, form, contentType, func(*http.Request) (lines, body string) { return "X-S: s\r\n", want })
				p.addUpstream("u1", http.NotFoundHandler(), func(c *agent.Config) { c.URL = "http://" + s.Address })
				send := func(name string) (response, error) {
					r := p.newRequest(context.Background(), http.MethodPost, "/v1/completions", string(p.completionBody(name, 1, contentType != "text/plain")))
					resp, err := http.DefaultTransport.RoundTrip(r)
					if err != nil {
						return response{}, err
					}
					return read(resp), nil
				}
				got, err := send("first")
				require.NoError(t, err)
				require.NoError(t, got.err)
				require.Equal(t, want, got.body)
				for length, cut := int(s.Length.Load()), 0; cut < length; cut += step {
					for _, isReset := range []bool{false, true} {
						s.CutAt(cut, isReset)
						got, err := send(fmt.Sprint("cut-", cut, isReset))
						if err == nil && got.err == nil && got.status/100 == 2 {
							require.Fail(t, "a cut answer looks whole", "cut at %d, reset %v: %q", cut, isReset, got.body)
						}
						require.True(t, got.status/100 != 2 || strings.HasPrefix(want, got.body))
					}
					s.CutAt(-1, false)
					got, err := send(fmt.Sprint("whole-", cut))
					require.NoError(t, err)
					require.NoError(t, got.err)
					require.Equal(t, []any{http.StatusOK, want}, []any{got.status, got.body}, "after a cut at %d", cut)
				}
			})
		}
	}
}
