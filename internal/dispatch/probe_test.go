package dispatch

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an upstream that only broke off a response being taken for one whose process
// has ended, and the other way round.
func TestProbeTellsEndedUpstreamFromBrokenResponse(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	c := New(Config{HeaderNames: testHeaderNames, DialTimeout: 5 * time.Second})
	target := Target{ID: "u", Address: up.Listener.Addr().String(), MaxConnections: 1}
	_, err := send(t, c, target.Address, "1")
	require.Error(t, err)
	require.Equal(t, Alive, c.Probe(target))
	require.Equal(t, Unknown, c.Probe(target), "the probe's connection is the only one allowed")
	up.Close()
	c.pool.sweep(time.Now().Add(time.Hour))
	require.Equal(t, UpstreamCrashed, c.Probe(target))
}

// Guards against a timeout being taken for the end of an upstream: the network may be cut.
func TestProbeTimeoutIsUnknown(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c := New(Config{HeaderNames: testHeaderNames, DialTimeout: time.Nanosecond})
	require.Equal(t, Unknown, c.Probe(Target{Address: l.Addr().String()}))
}
