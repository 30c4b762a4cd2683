package peer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against callers that wait until their deadline, and then call again, since the reply can't be encoded.
func TestReplyThatCanNotBeEncodedEndsTheCall(t *testing.T) {
	for name, reply := range map[string]wire.Message{
		"invalid text": &wire.GroupAnswer{Members: []wire.GroupMember{{Address: invalidText}}},
		"too large":    &wire.ConfigurationAnswer{Data: make([]byte, wire.MaxMessageBytes)},
	} {
		t.Run(name, func(t *testing.T) {
			b := startHost(t, "b", HandlerFunc(func(s *Session, call uint64, _ wire.Message) { _ = s.Reply(call, reply) }))
			a := startHost(t, "a", nil)
			s, err := a.pool.Get(context.Background(), b.address)
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			_, sent, err := s.Call(ctx, &wire.GroupQuery{})
			require.NoError(t, ctx.Err(), "no reply")
			require.True(t, sent)
			require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
			require.True(t, s.Alive())
		})
	}
}
