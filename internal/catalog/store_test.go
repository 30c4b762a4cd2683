package catalog

import (
	"crypto/sha256"
	"fmt"
	"log/slog"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// text returns a document with one model, and one workspace that has the given token.
func text(name, version, token string) []byte {
	hash := sha256.Sum256([]byte(token))
	return []byte(fmt.Sprintf(`[service]
name = %s
[model "%s-m"]
version = %s
[workspace "%s-w"]
token-sha256 = %x
`, name, name, version, name, hash))
}

func newStore() *Store { return NewStore(slog.New(slog.DiscardHandler), metrics.NewRegistry()) }

// Without the revision check in apply, a late message would bring back an old document.
func TestDocumentNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		highest := map[string]uint64{}
		for range rapid.IntRange(1, 30).Draw(t, "offers") {
			name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
			revision := rapid.Uint64Range(1, 20).Draw(t, "revision")
			s.Merge([]wire.Document{{Name: name, Revision: revision, Text: text(name, fmt.Sprint("v", revision), name)}})
			highest[name] = max(highest[name], revision)
			require.Equal(t, fmt.Sprint("v", highest[name]), s.Index().Document(name).Models[0].Version)
		}
		require.Equal(t, max(highest["a"], highest["b"]), s.Revision())
	})
}

// If two documents with the same token were accepted at the same time, later revisions must not
// move the token to the other document.
func TestSharedTokenStaysWithFirstDocumentInLaterRevisions(t *testing.T) {
	s := newStore()
	s.Merge([]wire.Document{
		{Name: "late", Revision: 9, Text: text("late", "v1", "shared token")},
		{Name: "early", Revision: 3, Text: text("early", "v1", "shared token")},
	})
	for revision := uint64(20); revision < 23; revision++ {
		b, ok := s.Index().ByToken(sha256.Sum256([]byte("shared token")))
		require.True(t, ok)
		require.Equal(t, "early-w", b.Workspace.Name)
		name := []string{"early", "late"}[revision%2]
		s.Merge([]wire.Document{{Name: name, Revision: revision, Text: text(name, "v2", "shared token")}})
	}
}

// A document that this build can't parse must leave its last readable revision in force. The
// reported revision must stay below it, so that operators see that the host is behind.
func TestUnreadableDocumentLimitsRevisionInForce(t *testing.T) {
	s := newStore()
	s.Merge([]wire.Document{{Name: "a", Revision: 2, Text: text("a", "v1", "x")}})
	s.Merge([]wire.Document{
		{Name: "a", Revision: 5, Text: []byte("[service]\nname = a\nfrom-the-future = 1\n")},
		{Name: "b", Revision: 7, Text: text("b", "v1", "y")},
	})
	require.Equal(t, "v1", s.Index().Document("a").Models[0].Version)
	require.Equal(t, uint64(7), s.Revision())
	require.Equal(t, uint64(4), s.InForce())
	c, isAll := s.Since(2)
	require.True(t, isAll)
	require.Len(t, c.Documents, 1)
}
