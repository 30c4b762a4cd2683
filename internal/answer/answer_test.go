package answer

import (
	"bytes"
	"context"
	"io"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

var ownAttempt, otherAttempt = wire.AttemptID{1}, wire.AttemptID{2}

// responseMessages returns all messages of a complete response to attempt id.
func responseMessages(id wire.AttemptID, pieces [][]byte) []wire.Message {
	out := []wire.Message{&wire.Head{Attempt: id, Status: 200}}
	end := &wire.End{Attempt: id}
	digest := xxhash.New()
	for _, p := range pieces {
		end.Frames++
		end.Bytes += uint64(len(p))
		_, _ = digest.Write(p)
		out = append(out, &wire.Frame{Attempt: id, Seq: end.Frames, Data: p})
	}
	end.Digest = digest.Sum64()
	return append(out, end)
}

// readReceived reads what was received so far, as if the session had been lost after that.
func readReceived(r *Receiver) ([]byte, error) {
	lost := make(chan struct{})
	close(lost)
	if _, err := r.Head(context.Background(), lost); err != nil {
		return nil, err
	}
	var out []byte
	for {
		data, err := r.Next(context.Background(), lost)
		if err != nil {
			return out, err
		}
		out = append(out, data...)
	}
}

// Guards against a wrong response that looks complete: messages of two attempts are lost,
// duplicated, reordered or mixed up. A response that ends with io.EOF must be the original, and
// any other must be a prefix of it.
func TestCompleteResponseIsUnaltered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 4), 0, 6).Draw(t, "pieces")
		wrong := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 4), 0, 6).Draw(t, "wrong")
		candidates := append(responseMessages(ownAttempt, pieces), responseMessages(otherAttempt, wrong)...)
		var sent []wire.Message
		if rapid.Bool().Draw(t, "nearly right") {
			sent = dropAndInsert(t, responseMessages(ownAttempt, pieces), candidates)
		} else {
			sent = rapid.SliceOfN(rapid.SampledFrom(candidates), 0, 12).Draw(t, "sent")
		}
		r := New(ownAttempt, 1<<20)
		for _, m := range sent {
			_ = r.Add(m)
		}
		got, err := readReceived(r)
		want := bytes.Join(pieces, nil)
		if err == io.EOF {
			require.True(t, bytes.Equal(want, got), "complete response %x, want %x", got, want)
			return
		}
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		require.True(t, bytes.HasPrefix(want, got), "%x is not a prefix of %x", got, want)
	})
}

// dropAndInsert may drop one message of the original and inserts up to three of the candidates.
func dropAndInsert(t *rapid.T, original, candidates []wire.Message) []wire.Message {
	out := append([]wire.Message{}, original...)
	if rapid.Bool().Draw(t, "drop") {
		i := rapid.IntRange(0, len(out)-1).Draw(t, "dropped")
		out = append(out[:i], out[i+1:]...)
	}
	for range rapid.IntRange(0, 3).Draw(t, "more") {
		i := rapid.IntRange(0, len(out)).Draw(t, "at")
		m := rapid.SampledFrom(candidates).Draw(t, "message")
		out = append(out[:i:i], append([]wire.Message{m}, out[i:]...)...)
	}
	return out
}

func TestWrongEndFailsResponse(t *testing.T) {
	for _, change := range []func(*wire.End){
		func(e *wire.End) { e.Digest++ },
		func(e *wire.End) { e.Bytes++ },
		func(e *wire.End) { e.Frames++ },
		func(e *wire.End) { e.Incomplete = true },
	} {
		sent := responseMessages(ownAttempt, [][]byte{[]byte("a")})
		change(sent[2].(*wire.End))
		r := New(ownAttempt, 10)
		for _, m := range sent {
			_ = r.Add(m)
		}
		_, err := readReceived(r)
		require.Equal(t, verdict.CodeUpstreamFailed, verdict.FromError(err).Code)
	}
}

func TestMessagesOfOtherAttemptsAreDropped(t *testing.T) {
	r := New(ownAttempt, 10)
	for _, m := range responseMessages(otherAttempt, [][]byte{[]byte("a")}) {
		require.ErrorIs(t, r.Add(m), ErrOtherAttempt)
	}
	for _, m := range responseMessages(ownAttempt, [][]byte{[]byte("b")}) {
		require.NoError(t, r.Add(m))
	}
	got, err := readReceived(r)
	require.Equal(t, io.EOF, err)
	require.Equal(t, "b", string(got))
}

func TestBytesBeyondWindowFailResponse(t *testing.T) {
	r := New(ownAttempt, 3)
	for _, m := range responseMessages(ownAttempt, [][]byte{[]byte("ab"), []byte("cd")})[:3] {
		_ = r.Add(m)
	}
	_, err := readReceived(r)
	require.ErrorContains(t, err, "more bytes than allowed")
}

func TestRefusalAfterHeadMayHaveRun(t *testing.T) {
	refused := &wire.Refused{Attempt: ownAttempt, Verdict: uint8(verdict.NotRun), Code: string(verdict.CodeDraining)}
	r := New(ownAttempt, 3)
	require.Equal(t, verdict.NotRun, verdict.FromError(r.Add(refused)).Verdict)
	r = New(ownAttempt, 3)
	require.NoError(t, r.Add(&wire.Head{Attempt: ownAttempt}))
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(r.Add(refused)).Verdict)
}

// Guards against an outcome that is never recorded, since a header field of the response is not valid UTF-8.
func TestRecordedResponseCanBeEncoded(t *testing.T) {
	odd := wire.Field{Name: "X-Odd", Value: "a\xff\xfe"}
	plain := wire.Field{Name: "Content-Type", Value: "text/plain"}
	r := Recorded(200, []wire.Field{odd, plain}, []byte("\xff"))
	require.Equal(t, &wire.Response{Status: 200, Header: []wire.Field{plain}, Body: []byte("\xff")}, r)
	_, err := wire.Encode(1, false, &wire.FinishRequest{Response: r})
	require.NoError(t, err)
	require.Nil(t, Recorded(200, []wire.Field{{Name: "Content-Type", Value: "text/\xff"}}, nil))
}
