package agent_test

import (
	"context"
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

// leader answers with its order; before it answers, delay is called.
type leader struct {
	fence uint64
	order *wire.Order
	delay func()
}

func (l *leader) Ask(_ context.Context, q *wire.OrderQuery) (*wire.OrderAnswer, error) {
	a := &wire.OrderAnswer{Nonce: q.Nonce, Fence: l.fence, Order: l.order}
	if l.delay != nil {
		l.delay()
	}
	return a, nil
}

func TestFrozenLeadersOrderIsNotPassedOnThoughTheEngineIgnoresFences(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{})
	srv := httptest.NewServer(engine)
	defer srv.Close()
	var now time.Duration
	l := &leader{fence: 4, order: &wire.Order{Model: "m", Version: "v1"}}
	o := agent.NewOrders(agent.OrdersConfig{Upstream: "u", Pool: "p", URL: srv.URL, Asker: l, Clock: func() time.Duration { return now }})
	ctx := context.Background()

	require.NoError(t, o.Pull(ctx))
	require.NoError(t, o.Pull(ctx))
	require.Equal(t, 1, engine.Executions().Orders, "the same order is passed on once")

	l.order = &wire.Order{Model: "m", Version: "v0"}
	l.delay = func() { now += agent.DefaultOrderSpan }
	require.ErrorIs(t, o.Pull(ctx), agent.ErrLate)
	l.delay = nil
	l.fence = 3
	require.ErrorIs(t, o.Pull(ctx), agent.ErrOldFence)
	require.Equal(t, "v1", engine.Executions().Order.Version)

	l.fence, l.order = 5, &wire.Order{Model: "m", Version: "v2"}
	require.NoError(t, o.Pull(ctx))
	require.Equal(t, agent.OrderReport{Fence: 5, Model: "m", Version: "v2"}, engine.Executions().Order)
}

func TestEngineThatChecksFencesIsToldThem(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{ChecksFencing: true})
	srv := httptest.NewServer(engine)
	defer srv.Close()
	pull := func(fence uint64) error {
		l := &leader{fence: fence, order: &wire.Order{Version: "v"}}
		return agent.NewOrders(agent.OrdersConfig{URL: srv.URL, Asker: l}).Pull(context.Background())
	}
	require.NoError(t, pull(4))
	require.ErrorContains(t, pull(3), "409", "a restarted agent that was told an old fence")
	require.Equal(t, uint64(4), engine.Executions().Order.Fence)
}

func TestRecordTellsWhatTheEngineReports(t *testing.T) {
	engine := standin.NewEngine(standin.EngineConfig{Version: "v3", Step: 5 * time.Millisecond, EventGap: 2})
	srv := httptest.NewServer(engine)
	defer srv.Close()
	a, err := agent.New(agent.Config{Identity: wire.Upstream{Name: "u", Incarnation: 1}, URL: srv.URL, Engine: true, Capacity: 3})
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
	require.Equal(t, want, events, "each event once, and a gap where the engine has one")
	_, events = a.Record()
	require.Empty(t, events)

	a.Ready()
	a.Leave()
	a.Ready()
	next, _ := a.Record()
	require.Equal(t, wire.UpstreamDraining, next.State, "leaving is for good")
	require.Greater(t, next.Seq, u.Seq)
}

// An engine that has started anew holds nothing of before: it gets its order again, although
// the order is the same.
func TestEngineThatStartsAnewGetsItsOrderAgain(t *testing.T) {
	first, second := standin.NewEngine(standin.EngineConfig{}), standin.NewEngine(standin.EngineConfig{})
	srv := httptest.NewServer(first)
	address := srv.Listener.Addr().String()
	a, err := agent.New(agent.Config{Identity: wire.Upstream{Name: "u"}, URL: srv.URL, Engine: true})
	require.NoError(t, err)
	l := &leader{fence: 4, order: &wire.Order{Model: "m", Version: "v1"}}
	o := agent.NewOrders(agent.OrdersConfig{URL: srv.URL, Asker: l, Starts: a.Starts})
	require.NoError(t, a.PollOnce(t.Context()))
	require.NoError(t, o.Pull(t.Context()))
	require.NoError(t, o.Pull(t.Context()))
	require.Equal(t, 1, first.Executions().Orders)

	srv.Close()
	require.Error(t, a.PollOnce(t.Context()))
	again, err := net.Listen("tcp", address)
	require.NoError(t, err)
	srv = httptest.NewUnstartedServer(second)
	_ = srv.Listener.Close()
	srv.Listener = again
	srv.Start()
	defer srv.Close()
	require.NoError(t, a.PollOnce(t.Context()))
	require.NoError(t, o.Pull(t.Context()))
	require.NoError(t, o.Pull(t.Context()))
	require.Equal(t, 1, second.Executions().Orders)
	require.Equal(t, "v1", second.Executions().Order.Version)
}
