package node

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// decodeLength reads a configuration that says its number by its length.
func decodeLength(packed []byte) (*routetable.Table, error) {
	return &routetable.Table{Number: uint64(len(packed))}, nil
}

// In a storm of configurations an agent fetches a few, and has the newest at the end.
func TestAgentFetchRateIsLimitedDuringManyChanges(t *testing.T) {
	const changes, rest = 40, 200 * time.Millisecond
	var newest, asked atomic.Uint64
	mux := http.NewServeMux()
	srv := httptest.NewServer(mux)
	defer srv.Close()
	serve := peer.NewPool(peer.Config{
		Hello:  wire.Hello{Host: "control", Replica: "r", Address: strings.TrimPrefix(srv.URL, "http://")},
		Secret: "secret",
		Handler: peer.HandlerFunc(func(s *peer.Session, call uint64, m wire.Message) {
			if _, ok := m.(*wire.ConfigurationQuery); ok {
				asked.Add(1)
				n := newest.Load()
				_ = s.Reply(call, &wire.ConfigurationAnswer{Number: n, Data: make([]byte, n)})
			}
		}),
	})
	defer serve.Close()
	mux.Handle(peer.Path, peer.NewServer(serve))
	pool := peer.NewPool(peer.Config{Secret: "secret", Handler: peer.HandlerFunc(func(*peer.Session, uint64, wire.Message) {})})
	defer pool.Close()
	s, err := pool.Get(t.Context(), strings.TrimPrefix(srv.URL, "http://"))
	require.NoError(t, err)

	f := &follower{
		n: &Node{pool: pool, log: slog.New(slog.DiscardHandler), platform: Platform{DecodeTable: decodeLength}}, isCurrent: true, minFetchInterval: rest,
		applyTable: func(*routetable.Table) bool { return true }, started: time.Now(),
	}
	began := time.Now()
	for n := range uint64(changes) {
		newest.Store(n + 1)
		f.handleNotice(s, n+1)
		require.Eventually(t, func() bool { return time.Since(began) > time.Duration(n+1)*10*time.Millisecond }, time.Minute, time.Millisecond)
	}
	require.Eventually(t, func() bool { return f.appliedNumber() == changes }, time.Minute, time.Millisecond)
	require.LessOrEqual(t, asked.Load(), uint64(2+time.Since(began)/rest))
}
