package dispatch

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An upstream that broke one answer off is told from one whose process has ended.
func TestProbeTellsEndedUpstreamFromBrokenResponse(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	c := New(Config{HeaderNames: testHeaderNames, DialTimeout: 5 * time.Second})
	target := Target{ID: "u", Address: up.Listener.Addr().String(), MaxConnections: 1}
	_, err := send(t, c, target.Address, "1")
	require.Error(t, err)
	require.Equal(t, Alive, c.Probe(target))
	require.Equal(t, Unknown, c.Probe(target), "the connection that the look opened is the only one allowed")
	up.Close()
	c.pool.sweep(time.Now().Add(time.Hour))
	require.Equal(t, Ended, c.Probe(target))
}

// An address at which nobody answers tells nothing: it may be cut off.
func TestProbeTimeoutIsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c := New(Config{HeaderNames: testHeaderNames, DialTimeout: time.Nanosecond})
	require.Equal(t, Unknown, c.Probe(Target{Address: l.Addr().String()}))
}
