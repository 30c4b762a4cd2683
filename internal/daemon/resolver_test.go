package daemon

import (
	"crypto/sha256"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/catalog"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

func newTestResolver(t *testing.T) resolver {
	t.Helper()
	text := fmt.Sprintf(`[service]
name = entries
[objective]
deadline = 20s
[model "drafter"]
version = v1
resumable = true
[model "planner"]
version = v2
[plain-service "slots"]
path-prefix = /slots
[call "book"]
service = slots
method = POST
path = /slots/book
idempotent = false
[call "search"]
service = slots
method = POST
path = /slots/search
idempotent = true
[priority "pickup"]
rank = 1
deadline = 2s
[workspace "clubs"]
priority = pickup
models = drafter
token-sha256 = %x
`, sha256.Sum256([]byte("token")))
	store := catalog.NewStore(slog.New(slog.DiscardHandler), metrics.NewRegistry())
	require.True(t, store.Merge([]wire.Document{{Name: "entries", Revision: 3, Text: []byte(text)}}))
	return resolver{store}
}

// Guards against serving a request without a valid token, model or path, and against taking a call
// for idempotent that the workspace's document does not declare as such.
func TestPlanComesFromDocumentOfCallersWorkspace(t *testing.T) {
	r := newTestResolver(t)
	token := sha256.Sum256([]byte("token"))
	cases := map[string]struct {
		lookup entry.Lookup
		code   verdict.Code
		check  func(t *testing.T, p entry.Plan)
	}{
		"unknown token":       {entry.Lookup{TokenHash: sha256.Sum256([]byte("x")), Model: "drafter"}, verdict.CodeUnauthorized, nil},
		"unknown model":       {entry.Lookup{TokenHash: token, Model: "nobody"}, verdict.CodeNotFound, nil},
		"model not allowed":   {entry.Lookup{TokenHash: token, Model: "planner"}, verdict.CodeForbidden, nil},
		"path of no service":  {entry.Lookup{TokenHash: token, Method: "GET", Path: "/other"}, verdict.CodeNotFound, nil},
		"prefix of a segment": {entry.Lookup{TokenHash: token, Method: "GET", Path: "/slotsmith"}, verdict.CodeNotFound, nil},
		"completion": {entry.Lookup{TokenHash: token, Model: "drafter"}, "", func(t *testing.T, p entry.Plan) {
			require.Equal(t, entry.Plan{
				Workspace: "clubs", Service: "entries", Kind: entry.KindModel, Pool: "drafter", Model: "drafter",
				Version: "v1", Idempotent: true, Resumable: true, Deadline: 2 * time.Second, Urgency: 1,
			}, p)
		}},
		"call that may not repeat": {entry.Lookup{TokenHash: token, Method: "POST", Path: "/slots/book"}, "", func(t *testing.T, p entry.Plan) {
			require.False(t, p.Idempotent)
			require.Equal(t, "slots", p.Pool)
		}},
		"call that may":   {entry.Lookup{TokenHash: token, Method: "POST", Path: "/slots/search"}, "", func(t *testing.T, p entry.Plan) { require.True(t, p.Idempotent) }},
		"undescribed":     {entry.Lookup{TokenHash: token, Method: "POST", Path: "/slots/other"}, "", func(t *testing.T, p entry.Plan) { require.False(t, p.Idempotent) }},
		"undescribed get": {entry.Lookup{TokenHash: token, Method: "GET", Path: "/slots/other"}, "", func(t *testing.T, p entry.Plan) { require.True(t, p.Idempotent) }},
		// The path has been unescaped once. A remaining escape sequence must not be unescaped
		// again here, since that is up to the upstream.
		"escaped twice": {entry.Lookup{TokenHash: token, Method: "POST", Path: "/slots/se%61rch"}, "", func(t *testing.T, p entry.Plan) { require.False(t, p.Idempotent) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p, err := r.Resolve(c.lookup)
			if c.code != "" {
				require.Equal(t, c.code, verdict.FromError(err).Code)
				require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
				return
			}
			require.NoError(t, err)
			c.check(t, p)
		})
	}
}
