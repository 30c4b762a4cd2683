package adminapi

import (
	"net/http"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/api/oas"
)

// Guards against calls that are accepted although no host could decode what they change, or that change
// something else than their author wrote: names, ids and texts with bytes that are not UTF-8.
func TestInvalidTextChangesNothing(t *testing.T) {
	valid := readExample(t, "entries")
	asJSON, err := (&oas.Text{Text: valid}).MarshalJSON()
	require.NoError(t, err)
	for name, c := range map[string]struct{ method, path, contentType, header, value, body string }{
		"bytes in the text":         {"PUT", "/v1/documents/entries", "text/plain", "", "", valid + "# \xff\xfe\n"},
		"bytes in the JSON text":    {"PUT", "/v1/documents/entries", "application/json", "", "", strings.Replace(string(asJSON), `{"text":"`, "{\"text\":\"# \xff\xfe\\n", 1)},
		"deep JSON":                 {"PUT", "/v1/documents/entries", "application/json", "", "", strings.Repeat(`{"a":`, 100000)},
		"bytes in the name":         {"PUT", "/v1/documents/entries%FF", "text/plain", "", "", valid},
		"bytes in the change id":    {"PUT", "/v1/documents/entries", "text/plain", "Change-Id", "change-\xff\xfe", valid},
		"text in the change id":     {"PUT", "/v1/documents/entries", "text/plain", "Change-Id", "change-größe", valid},
		"long change id":            {"PUT", "/v1/documents/entries", "text/plain", "Change-Id", strings.Repeat("c", 65), valid},
		"bytes in the revision":     {"PUT", "/v1/documents/entries", "text/plain", "If-Match", "1\xff", valid},
		"bytes in the data centre":  {"PUT", "/v1/evacuations/east%FF%FE", "", "", "", ""},
		"bytes at the end":          {"DELETE", "/v1/evacuations/east%C3%28", "", "", "", ""},
		"NUL in the data centre":    {"PUT", "/v1/evacuations/east%00", "", "", "", ""},
		"long text of 256 letters":  {"PUT", "/v1/evacuations/" + strings.Repeat("%E4%B8%96", 256), "", "", "", ""},
		"bytes in the fingerprint":  {"DELETE", "/v1/quarantine/%FF%FE", "", "", "", ""},
		"bytes in a document query": {"GET", "/v1/history?document=%FF%FE", "", "", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeBackend{}
			url := serve(t, f, nil)
			req, err := http.NewRequest(c.method, url+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			token := "admin"
			if strings.HasPrefix(c.path, "/v1/documents/") || c.method == "GET" {
				token = "team"
			}
			req.Header.Set("Authorization", "Bearer "+token)
			req.Header.Set("If-Match", "1")
			req.Header.Set("Change-Id", "change-01")
			if c.contentType != "" {
				req.Header.Set("Content-Type", c.contentType)
			}
			if c.header != "" {
				req.Header.Set(c.header, c.value)
			}
			r := do(t, req)
			require.Equal(t, 4, r.status/100, r.body)
			require.Equal(t, oas.ProblemVerdictNotRun, r.problem.Verdict)
			require.True(t, utf8.ValidString(r.body))
			require.Empty(t, f.submitted)
			require.Empty(t, f.orders)
			require.Empty(t, f.released)
		})
	}
}
