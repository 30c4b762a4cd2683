package control

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// counter returns the value of a counter of the running process.
func (h *clusterHost) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.metrics).Count()
}

// requireKeepsQuorum requires that no host loses the leader for the time of two elections, and that each of them
// gets a change committed then.
func (c *testCluster) requireKeepsQuorum() {
	c.t.Helper()
	term, _ := c.leader().host.replica.LeaderTerm()
	require.Never(c.t, func() bool {
		for _, h := range c.hosts {
			if h.host.replica.Status().Term != term {
				return true
			}
		}
		return false
	}, 2*clusterElectionTicks*clusterTick, clusterTick, "another term")
	for i, h := range c.hosts {
		number, err := h.host.PutConfiguration(c.t.Context(), uint64(1+i), []byte("c"), "operator")
		require.NoError(c.t, err, h.name)
		got, err := h.host.Configuration(c.t.Context())
		require.NoError(c.t, err, h.name)
		require.Equal(c.t, number, got.Number)
	}
}

// Guards against control hosts that lose each other for good for an announcement that they can't tell each other
// of, if it was not refused where it came in.
func TestAnnouncementThatCanNotBeEncodedIsRefused(t *testing.T) {
	c := newTestCluster(t, 3, 0, nil)
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return h.host.fleet.now() >= attachPeriod }, conditionTimeout, time.Millisecond)
		for _, state := range []registry.State{registry.Ready, registry.Draining, registry.Gone} {
			err := h.host.Announce(t.Context(), registry.Upstream{ID: invalidText, Address: "10.0.0.1:80", State: state, Sequence: 1})
			require.Equal(t, verdict.CodeBadRequest, verdict.FromError(err).Code)
			require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		}
	}
	c.requireKeepsQuorum()
	for _, h := range c.hosts {
		require.Empty(t, upstreamIDs(h))
		require.Zero(t, h.counter("peer.messages.unreadable"))
	}
}

// uncheckedPeer is a control host of a build that does not check what it sends.
type uncheckedPeer struct {
	t    *testing.T
	conn *websocket.Conn
}

// dialUnchecked begins a session with a control host.
func dialUnchecked(t *testing.T, h *clusterHost) *uncheckedPeer {
	t.Helper()
	conn, _, err := websocket.Dial(t.Context(), "ws://"+h.address+peer.Path, &websocket.DialOptions{HTTPHeader: http.Header{"Authorization": {"Bearer s"}}})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.CloseNow() })
	p := &uncheckedPeer{t: t, conn: conn}
	p.send(0, &wire.Hello{Host: "old", Address: "127.0.0.1:1", Incarnation: 1, Replica: "old/1", PingMS: 1000})
	return p
}

func (p *uncheckedPeer) send(call uint64, m wire.Message) {
	p.t.Helper()
	body, err := wire.Marshal(m)
	require.NoError(p.t, err)
	data, err := wire.Marshal(wire.Envelope{Version: wire.Version, Kind: m.Kind(), Call: call, Body: body})
	require.NoError(p.t, err)
	require.NoError(p.t, p.conn.Write(p.t.Context(), websocket.MessageBinary, data))
}

// awaitReply reads messages until the reply to a call arrives, and answers probes.
func (p *uncheckedPeer) awaitReply(call uint64) wire.Message {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), conditionTimeout)
	defer cancel()
	for {
		_, data, err := p.conn.Read(ctx)
		require.NoError(p.t, err)
		env, m, err := wire.Decode(data)
		require.NoError(p.t, err)
		if ping, ok := m.(*wire.Ping); ok && ping.WantsEcho {
			p.send(0, &wire.Ping{})
		}
		if env.IsReply && env.Call == call {
			return m
		}
	}
}

// Guards against a control host of an older build that ends its sessions, and keeps departures from being saved, by
// a record with invalid text in all that it sends: the session must go on, and the other records must count.
func TestPeerOfAnOlderBuildCostsOnlyTheRecordsThatCanNotBeDecoded(t *testing.T) {
	c := newTestCluster(t, 3, 0, nil)
	for _, h := range c.hosts {
		p := dialUnchecked(t, h)
		for call := uint64(1); call <= 3; call++ {
			p.send(0, &wire.Upstreams{Departures: badAmongGood()})
			p.send(call, &wire.Upstreams{Departures: badAmongGood()})
			require.IsType(t, &wire.Ack{}, p.awaitReply(call), "saved")
		}
		f := h.host.fleet
		f.mu.Lock()
		departures := f.registry.Departures(f.now())
		f.mu.Unlock()
		require.Len(t, departures, 2, h.name)
		require.Equal(t, int64(6), h.counter("peer.messages.unreadable"))
	}
	c.requireKeepsQuorum()
}
