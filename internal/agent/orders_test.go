package agent_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/agent"
	"github.com/sassafraspost/sassafraspost/internal/entry"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

// fakeLeader is an OrderQuerier that returns its order and fencing token. It calls beforeAnswer, if
// set, before it answers.
type fakeLeader struct {
	fencingToken uint64
	order        *wire.Order
	beforeAnswer func()
}

func (l *fakeLeader) QueryOrder(_ context.Context, q *wire.OrderQuery) (*wire.OrderAnswer, error) {
	a := &wire.OrderAnswer{Nonce: q.Nonce, FencingToken: l.fencingToken, Order: l.order}
	if l.beforeAnswer != nil {
		l.beforeAnswer()
	}
	return a, nil
}

func TestStaleOrderIsNotDeliveredToEngineThatIgnoresFencing(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{})
	srv := httptest.NewServer(engine)
	defer srv.Close()
	var now time.Duration
	leader := &fakeLeader{fencingToken: 4, order: &wire.Order{Model: "m", Version: "v1"}}
	puller := agent.NewOrderPuller(agent.OrderPullerConfig{Upstream: "u", Pool: "p", URL: srv.URL, OrderQuerier: leader, Clock: func() time.Duration { return now }})
	ctx := context.Background()

	require.NoError(t, puller.Pull(ctx))
	require.NoError(t, puller.Pull(ctx))
	require.Equal(t, 1, engine.Executions().Orders, "an unchanged order must be sent once")

	leader.order = &wire.Order{Model: "m", Version: "v0"}
	leader.beforeAnswer = func() { now += agent.DefaultMaxOrderAge }
	require.ErrorIs(t, puller.Pull(ctx), agent.ErrOrderExpired)
	leader.beforeAnswer = nil
	leader.fencingToken = 3
	require.ErrorIs(t, puller.Pull(ctx), agent.ErrStaleFencingToken)
	require.Equal(t, "v1", engine.Executions().Order.Version)

	leader.fencingToken, leader.order = 5, &wire.Order{Model: "m", Version: "v2"}
	require.NoError(t, puller.Pull(ctx))
	require.Equal(t, agent.EngineOrder{FencingToken: 5, Model: "m", Version: "v2"}, engine.Executions().Order)
}

func TestFencingTokenReachesEngineThatChecksIt(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{ChecksFencing: true})
	srv := httptest.NewServer(engine)
	defer srv.Close()
	pull := func(fencingToken uint64) error {
		leader := &fakeLeader{fencingToken: fencingToken, order: &wire.Order{Version: "v"}}
		return agent.NewOrderPuller(agent.OrderPullerConfig{URL: srv.URL, OrderQuerier: leader}).Pull(context.Background())
	}
	require.NoError(t, pull(4))
	require.ErrorContains(t, pull(3), "409", "the engine must refuse an older fencing token from a restarted agent")
	require.Equal(t, uint64(4), engine.Executions().Order.FencingToken)
}

func TestRecordContainsEngineReport(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{Version: "v3", Step: 5 * time.Millisecond, DropEvery: 2})
	srv := httptest.NewServer(engine)
	defer srv.Close()
	a, err := agent.New(agent.Config{Identity: wire.Upstream{Name: "u", Incarnation: 1}, URL: srv.URL, IsEngine: true, Capacity: 3})
	require.NoError(t, err)
	require.NoError(t, a.PollOnce(context.Background()))
	u, _ := a.Record()
	require.Equal(t, wire.UpstreamStarting, u.State)
	require.Equal(t, "v3", u.Version)
	require.Equal(t, uint64(5000), u.Load.StepUS)
	require.Equal(t, uint32(3), u.Load.Capacity)

	prompt := strings.Repeat("x", 3*entry.PrefixBlockBytes)
	body := strings.NewReader(`{"prompt":"` + prompt + `"}`)
	resp, err := http.Post(srv.URL+"/v1/completions", "application/json", body)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.NoError(t, a.PollOnce(context.Background()))
	require.NoError(t, a.PollOnce(context.Background()))
	_, events := a.Record()
	hashes := entry.PrefixHashes([]byte(prompt))
	want := []wire.CacheEvent{{Seq: 1, Prefix: hashes[0], Stored: true}, {Seq: 3, Prefix: hashes[2], Stored: true}}
	require.Equal(t, want, events, "each event must appear once, with the same gap in Seq as at the engine")
	_, events = a.Record()
	require.Empty(t, events)

	a.MarkReady()
	a.StartDraining()
	a.MarkReady()
	draining, _ := a.Record()
	require.Equal(t, wire.UpstreamDraining, draining.State, "MarkReady must not end draining")
	require.Greater(t, draining.Seq, u.Seq)
}

// Guards against an engine whose report makes the records of all upstreams too large for one message, or names a
// version that no document can have.
func TestReportWithInvalidVersionIsAnError(t *testing.T) {
	var version string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			_, _ = io.WriteString(w, `{"running":1,"version":"`+version+`"}`)
			return
		}
		_, _ = io.WriteString(w, `{}`)
	}))
	defer srv.Close()
	a, err := agent.New(agent.Config{Identity: wire.Upstream{Name: "u"}, URL: srv.URL, IsEngine: true})
	require.NoError(t, err)
	for _, version = range []string{"", "v1", "größe"} {
		require.NoError(t, a.PollOnce(t.Context()), "%q", version)
	}
	for _, version = range []string{strings.Repeat("v", 900<<10), "v\xff", `v\ud800`, `v\u0000`, `v\r\n`} {
		err := a.PollOnce(t.Context())
		require.Error(t, err, "%.20q", version)
		require.Less(t, len(err.Error()), 200)
	}
	u, _ := a.Record()
	require.Equal(t, "größe", u.Version)
}

// Guards against leaving a restarted engine without an order. The engine has lost the order, so it
// must be sent again although it has not changed.
func TestRestartedEngineReceivesOrderAgain(t *testing.T) {
	first, second := standin.NewEngine(standin.EngineConfig{}), standin.NewEngine(standin.EngineConfig{})
	srv := httptest.NewServer(first)
	address := srv.Listener.Addr().String()
	a, err := agent.New(agent.Config{Identity: wire.Upstream{Name: "u"}, URL: srv.URL, IsEngine: true})
	require.NoError(t, err)
	leader := &fakeLeader{fencingToken: 4, order: &wire.Order{Model: "m", Version: "v1"}}
	puller := agent.NewOrderPuller(agent.OrderPullerConfig{URL: srv.URL, OrderQuerier: leader, Restarts: a.Restarts})
	require.NoError(t, a.PollOnce(t.Context()))
	require.NoError(t, puller.Pull(t.Context()))
	require.NoError(t, puller.Pull(t.Context()))
	require.Equal(t, 1, first.Executions().Orders)

	srv.Close()
	require.Error(t, a.PollOnce(t.Context()))
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	srv = httptest.NewUnstartedServer(second)
	_ = srv.Listener.Close()
	srv.Listener = listener
	srv.Start()
	defer srv.Close()
	require.NoError(t, a.PollOnce(t.Context()))
	require.NoError(t, puller.Pull(t.Context()))
	require.NoError(t, puller.Pull(t.Context()))
	require.Equal(t, 1, second.Executions().Orders)
	require.Equal(t, "v1", second.Executions().Order.Version)
}
