package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/memory"
)

// Guards against callers whose large bodies come slowly or never and keep all others out: small requests are served,
// and for another large one the slowest is refused as not run.
func TestSlowBodiesKeepNobodyOut(t *testing.T) {
	const size = 100_000
	p := startTestProxy(t, func(c *entry.Config) {
		c.Memory = memory.NewBudget(memory.Limits{Total: 6 * size, Connection: 6 * size}) // for one such body
	})
	p.addUpstream("u1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }), nil)
	slow, err := net.Dial("tcp", strings.TrimPrefix(p.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = slow.Close() }()
	_, err = fmt.Fprintf(slow, "POST /any HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer token\r\nContent-Length: %d\r\n\r\nhalf", size)
	require.NoError(t, err)
	small := p.sendRaw(rawRequest("/any", "X-Case: small", "small"))
	require.Equal(t, "small", small.body)
	require.Eventually(t, func() bool {
		return p.sendRaw(rawRequest("/any", "X-Case: large", strings.Repeat("x", size))).status == http.StatusOK
	}, testTimeout, 10*time.Millisecond)
	require.NoError(t, slow.SetReadDeadline(time.Now().Add(testTimeout)))
	resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "not-run", read(resp).verdict())
}
