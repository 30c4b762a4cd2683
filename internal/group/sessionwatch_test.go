package group

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/faultproxy"
)

func newTestPool() *peer.Pool {
	return peer.NewPool(peer.Config{
		Hello: wire.Hello{Host: "h"}, Secret: "watch-test-secret", ProbeTimeout: 200 * time.Millisecond,
		PingInterval: time.Hour, Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}),
	})
}

// Guards against a silent connection to the planning host that isn't detected. Reports get no
// answer, and the ping interval is an hour here, so only the watch can detect it.
func TestSilentPlanningHostIsDetected(t *testing.T) {
	remote, local := newTestPool(), newTestPool()
	t.Cleanup(remote.Close)
	t.Cleanup(local.Close)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.NewServer(remote))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	proxy, err := faultproxy.NewTCP(strings.TrimPrefix(srv.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	s, err := local.Get(t.Context(), proxy.Address())
	require.NoError(t, err)
	var w sessionWatch
	w.set(s)
	w.set(s)
	proxy.Freeze()
	select {
	case <-s.Done():
	case <-time.After(20 * time.Second):
		t.Fatal("the silent session was not closed")
	}
	w.stop()
	w.set(s)
	require.Nil(t, w.session, "no session is watched once the host has left the group")
}
