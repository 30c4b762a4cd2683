package entry

import (
	"bufio"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/memory"
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

// A connection beyond the limit must take the place of an idle one, and be closed while requests are served on all
// others; one that is closed must make room for another.
func TestConnectionLimit(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	srv := NewHTTPServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/busy" {
			close(started)
			<-release
		}
	}), HTTPLimits{})
	began := time.Now()
	guard := inbound.NewGuard(inbound.Config{
		Memory: memory.NewBudget(memory.LimitsFor(0)), Now: func() time.Duration { return time.Since(began) },
		Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
	})
	l, err := guard.Listen("127.0.0.1:0", inbound.ListenerConfig{
		Name: "callers", Limits: func() inbound.Limits { return inbound.Limits{Connections: 1} },
	})
	require.NoError(t, err)
	srv.ConnState = l.ConnState
	go func() { _ = srv.Serve(l) }()
	defer func() { _ = srv.Close() }()
	send := func(c net.Conn, path string) { _, _ = c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n")) }
	response := func(c net.Conn) error {
		_, err := bufio.NewReader(c).ReadString('\n')
		return err
	}
	ask := func(c net.Conn) error { send(c, "/"); return response(c) }
	dial := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	first := dial()
	require.NoError(t, ask(first))
	var second net.Conn
	require.Eventually(t, func() bool { // the first one is idle some time after its response
		second = dial()
		return ask(second) == nil
	}, 10*time.Second, time.Millisecond)
	require.Error(t, ask(first))
	send(second, "/busy")
	<-started
	require.Error(t, ask(dial()))
	close(release)
	require.NoError(t, response(second))
	require.NoError(t, second.Close())
	require.Eventually(t, func() bool { return ask(dial()) == nil }, 10*time.Second, time.Millisecond)
}
