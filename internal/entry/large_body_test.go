package entry_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against a request whose body fits the limit in the settings and no message: it must be refused as too large,
// and not be reported, after a try at each upstream, as upstreams that can't be reached.
func TestBodyThatFitsNoMessageIsRefusedAsTooLarge(t *testing.T) {
	p := startTestProxy(t, func(c *entry.Config) { c.MaxBody = 2 * wire.MaxMessageBytes })
	for _, name := range []string{"u1", "u2"} {
		p.addUpstream(name, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = w.Write(bytes.Repeat([]byte("x"), int(n>>20)))
		}), nil)
	}
	large := string(make([]byte, wire.MaxMessageBytes))
	r := p.do(p.newRequest(context.Background(), http.MethodPost, "/slow", large))
	require.Equal(t, http.StatusRequestEntityTooLarge, r.status, r.body)
	require.Equal(t, "not-run", r.verdict())
	fits := p.newRequest(context.Background(), http.MethodPost, "/slow", large[:wire.MaxMessageBytes-2<<20])
	fits.Header.Set("X-Long", strings.Repeat("x", http.DefaultMaxHeaderBytes/2))
	require.Equal(t, http.StatusOK, p.do(fits).status)
}
