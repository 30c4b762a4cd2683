package entry

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// In any order of requests and retries, the retries must not exceed the ratio plus one full bucket.
func TestRetriesStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewRetryBudget(0.2)
		requests, retries := 0, 0
		for _, isRequest := range rapid.SliceOfN(rapid.Bool(), 0, 300).Draw(t, "events") {
			if isRequest {
				requests++
				b.Deposit()
			} else if b.Withdraw() {
				retries++
			}
		}
		require.LessOrEqual(t, float64(retries), maxRetryTokens+0.2*float64(requests)+1e-6)
	})
}

func TestPrefixHashesCoverAllEarlierBlocks(t *testing.T) {
	a := make([]byte, 3*PrefixBlockBytes+10)
	b := append([]byte{}, a...)
	b[PrefixBlockBytes] = 1
	ha, hb := PrefixHashes(a), PrefixHashes(b)
	require.Len(t, ha, 3)
	require.Equal(t, ha[0], hb[0])
	require.NotEqual(t, ha[1], hb[1])
	require.NotEqual(t, ha[2], hb[2], "the third blocks are equal, but not the blocks before them")
	require.Len(t, PrefixHashes(make([]byte, 100*PrefixBlockBytes)), MaxPrefixes)
}

func TestParseUrgency(t *testing.T) {
	for header, want := range map[string]uint8{"u=1": 1, "i, u=7": 7, "u=8": defaultUrgency, "u=": defaultUrgency, "": defaultUrgency} {
		got, _ := parseUrgency(header)
		require.Equal(t, want, got, header)
	}
}

// A connection beyond the limit must be closed, and a closed connection must make room for another.
func TestConnectionLimit(t *testing.T) {
	srv := NewHTTPServer(http.NotFoundHandler(), HTTPLimits{MaxConns: 1})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	ask := func(c net.Conn) error {
		_, _ = c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		_, err := bufio.NewReader(c).ReadString('\n')
		return err
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		return c
	}
	first, second := dial(), dial()
	require.NoError(t, ask(first))
	require.Error(t, ask(second))
	require.NoError(t, first.Close())
	require.Eventually(t, func() bool { return ask(dial()) == nil }, 10*time.Second, time.Millisecond)
}
