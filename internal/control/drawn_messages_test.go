package control

import (
	"context"
	"fmt"
	"reflect"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/wire"
	"github.com/sassafraspost/sassafraspost/test/arbitrary"
)

// handledTypes are the messages that a control host handles, without those that change who votes or which
// messages of the consensus a replica gets: these can end a quorum by what they say.
var handledTypes = []wire.Message{
	&wire.Hosts{}, &wire.Attach{}, &wire.Suspicions{}, &wire.Upstreams{}, &wire.Notices{}, &wire.TokenRequest{}, &wire.RetryRequest{},
	&wire.EngineLoad{}, &wire.EngineLoads{}, &wire.GroupQuery{}, &wire.ConfigurationQuery{}, &wire.Watch{}, &wire.InForce{}, &wire.StatusQuery{},
	&wire.ReadQuery{}, &wire.Propose{}, &wire.ClaimRequest{}, &wire.FinishRequest{}, &wire.OrderQuery{}, &wire.Evacuations{},
	&wire.ConfigurationNotice{}, &wire.ConsensusPart{}, &wire.Ack{}, &wire.Failure{}, &wire.Dispatch{}, &wire.Announce{}, &wire.Delta{},
}

// Guards against a message of another host whose values no build sends, and that makes a handler panic, which
// ends the session and all later ones with that host, or ends the quorum.
func TestControlHostsOutlastDrawnMessages(t *testing.T) {
	const messages = 1500
	drawn := rapid.Custom(func(t *rapid.T) wire.Message {
		m := reflect.New(reflect.TypeOf(rapid.SampledFrom(handledTypes).Draw(t, "type")).Elem())
		arbitrary.Value(t, m.Elem(), false)
		return m.Interface().(wire.Message)
	})
	c := newTestCluster(t, 3, 0, nil)
	for _, replica := range []string{"", "c9/1"} {
		pool := peer.NewPool(peer.Config{
			Hello: wire.Hello{Host: "x" + replica, Address: "127.0.0.1:1", Replica: replica}, Secret: "s",
			Handler: peer.HandlerFunc(func(s *peer.Session, call uint64, _ wire.Message) {
				if call != 0 {
					_ = s.Reply(call, &wire.Ack{})
				}
			}),
		})
		t.Cleanup(pool.Close)
		for i := range messages {
			h := c.hosts[i%len(c.hosts)]
			s, err := pool.Get(context.Background(), h.address)
			require.NoError(t, err, "after message %d", i)
			m := drawn.Example(i)
			if i%3 == 0 {
				ctx, cancel := context.WithCancel(context.Background())
				await, err := s.BeginCall(m)
				if err == nil {
					go func() { defer cancel(); _, _, _ = await(ctx) }()
				}
				t.Cleanup(cancel)
				continue
			}
			require.NoError(t, s.Send(context.Background(), m), fmt.Sprintf("message %d", i))
		}
	}
	for _, h := range c.hosts {
		require.Zero(t, h.counter("peer.messages.harmful"))
		require.Zero(t, h.counter("peer.messages.unreadable"))
	}
	c.requireKeepsQuorum()
}
