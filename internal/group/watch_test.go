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

func quietPool() *peer.Pool {
	return peer.NewPool(peer.Config{
		Hello: wire.Hello{Host: "h"}, Secret: "watch-test-secret", ProbeTimeout: 200 * time.Millisecond,
		PingInterval: time.Hour, Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {}),
	})
}

// Reports go one way only: without the watch a connection that has fallen silent would be
// written to for hours here.
func TestSilentPlanningHostIsNoticed(t *testing.T) {
	far, own := quietPool(), quietPool()
	t.Cleanup(far.Close)
	t.Cleanup(own.Close)
	mux := http.NewServeMux()
	mux.Handle(peer.Path, peer.NewServer(far))
	srv := httptest.NewServer(mux)
	t.Cleanup(srv.Close)
	proxy, err := faultproxy.NewTCP(strings.TrimPrefix(srv.URL, "http://"))
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	s, err := own.Get(t.Context(), proxy.Address())
	require.NoError(t, err)
	var w watch
	w.set(s)
	w.set(s)
	proxy.Freeze()
	select {
	case <-s.Done():
	case <-time.After(20 * time.Second):
		t.Fatal("the silence was not noticed")
	}
	w.end()
	w.set(s)
	require.Nil(t, w.session, "nothing is held once the host has left the group")
}
