package control

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against a call that ran and whose outcome is never recorded, so that it counts as unknown, because a
// header field of its response is no text, as HTTP allows, or because its body is too large for a message.
func TestOutcomeIsRecordedWhateverTheResponse(t *testing.T) {
	contentType := func(value string) wire.Field { return wire.Field{Name: "Content-Type", Value: value} }
	recorded := func(f wire.Field) *wire.Response {
		return &wire.Response{Status: 200, Header: []wire.Field{f}, Body: []byte("x")}
	}
	for name, c := range map[string]struct{ sent, want *wire.Response }{
		"none":              {nil, nil},
		"another field":     {&wire.Response{Status: 200, Header: []wire.Field{{Name: "X-Name", Value: "M\xfcller"}, contentType("text/plain")}, Body: []byte("x")}, recorded(contentType("text/plain"))},
		"content type":      {recorded(contentType("text/\xff")), nil},
		"long content type": {recorded(contentType(string(bytes.Repeat([]byte("x"), 1<<20)))), nil},
		"body":              {&wire.Response{Status: 200, Body: make([]byte, wire.MaxMessageBytes)}, nil},
		"no field":          {&wire.Response{Status: 204}, &wire.Response{Status: 204}},
	} {
		t.Run(name, func(t *testing.T) {
			requests := make(chan *wire.FinishRequest, 1)
			leader := startPeer(t, func(s *peer.Session, call uint64, m wire.Message) {
				requests <- m.(*wire.FinishRequest)
				_ = s.Reply(call, &wire.FinishReply{})
			})
			sent := &wire.FinishRequest{Workspace: "w", Key: "k", Attempt: wire.AttemptID{7}, Verdict: uint8(verdict.Ran), Response: c.sent}
			require.NoError(t, clientOf(t, leader).Finish(claimContext(t), sent))
			require.Equal(t, &wire.FinishRequest{Workspace: "w", Key: "k", Attempt: wire.AttemptID{7}, Verdict: uint8(verdict.Ran), Response: c.want}, <-requests)
			require.Equal(t, c.sent, sent.Response, "the response of the caller is unchanged")
		})
	}
}

// Guards against a message that no host could decode and that is tried at each control host until its caller's time
// is over, with an answer that there is no leader.
func TestMessageThatCanNotBeEncodedIsRefusedAtOnce(t *testing.T) {
	received := make(chan wire.Message, 10)
	leader := startPeer(t, func(s *peer.Session, call uint64, m wire.Message) {
		received <- m
		_ = s.Reply(call, &wire.ClaimReply{State: wire.ClaimGranted})
	})
	client := clientOf(t, leader)
	started := time.Now()
	_, err := client.Claim(claimContext(t), &wire.ClaimRequest{Key: invalidText})
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict, err)
	require.Equal(t, verdict.CodeBadRequest, verdict.FromError(err).Code, err)
	require.Less(t, time.Since(started), leaderSearchTime)
	require.Empty(t, received)
	_, err = client.Claim(claimContext(t), &wire.ClaimRequest{Key: "k"})
	require.NoError(t, err, "the session goes on")
}
