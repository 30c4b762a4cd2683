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

var own, other = wire.AttemptID{1}, wire.AttemptID{2}

// messages returns a whole answer of attempt id.
func messages(id wire.AttemptID, pieces [][]byte) []wire.Message {
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

// read reads all that came, as after the loss of the session.
func read(r *Receiver) ([]byte, error) {
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

// However the messages of several attempts are lost, repeated, reordered or changed,
// an answer that ends as whole is the right one.
func TestWhatEndsWholeIsRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pieces := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 4), 0, 6).Draw(t, "pieces")
		wrong := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 4), 0, 6).Draw(t, "wrong")
		pool := append(messages(own, pieces), messages(other, wrong)...)
		var sent []wire.Message
		if rapid.Bool().Draw(t, "nearly right") {
			sent = mangle(t, messages(own, pieces), pool)
		} else {
			sent = rapid.SliceOfN(rapid.SampledFrom(pool), 0, 12).Draw(t, "sent")
		}
		r := New(own, 1<<20)
		for _, m := range sent {
			_ = r.Take(m)
		}
		got, err := read(r)
		want := bytes.Join(pieces, nil)
		if err == io.EOF {
			require.True(t, bytes.Equal(want, got), "whole answer %x, want %x", got, want)
			return
		}
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		require.True(t, bytes.HasPrefix(want, got), "part %x of %x", got, want)
	})
}

// mangle drops one message and puts others in.
func mangle(t *rapid.T, right, pool []wire.Message) []wire.Message {
	out := append([]wire.Message{}, right...)
	if rapid.Bool().Draw(t, "drop") {
		i := rapid.IntRange(0, len(out)-1).Draw(t, "dropped")
		out = append(out[:i], out[i+1:]...)
	}
	for range rapid.IntRange(0, 3).Draw(t, "more") {
		i := rapid.IntRange(0, len(out)).Draw(t, "at")
		m := rapid.SampledFrom(pool).Draw(t, "message")
		out = append(out[:i:i], append([]wire.Message{m}, out[i:]...)...)
	}
	return out
}

func TestChangedDigestAndBrokenEndFail(t *testing.T) {
	for _, change := range []func(*wire.End){
		func(e *wire.End) { e.Digest++ },
		func(e *wire.End) { e.Bytes++ },
		func(e *wire.End) { e.Frames++ },
		func(e *wire.End) { e.Broken = true },
	} {
		sent := messages(own, [][]byte{[]byte("a")})
		change(sent[2].(*wire.End))
		r := New(own, 10)
		for _, m := range sent {
			_ = r.Take(m)
		}
		_, err := read(r)
		require.Equal(t, verdict.CodeUpstreamFailed, verdict.FromError(err).Code)
	}
}

func TestOtherAttemptsAreDropped(t *testing.T) {
	r := New(own, 10)
	for _, m := range messages(other, [][]byte{[]byte("a")}) {
		require.ErrorIs(t, r.Take(m), ErrOtherAttempt)
	}
	for _, m := range messages(own, [][]byte{[]byte("b")}) {
		require.NoError(t, r.Take(m))
	}
	got, err := read(r)
	require.Equal(t, io.EOF, err)
	require.Equal(t, "b", string(got))
}

func TestMoreThanTheWindowFails(t *testing.T) {
	r := New(own, 3)
	for _, m := range messages(own, [][]byte{[]byte("ab"), []byte("cd")})[:3] {
		_ = r.Take(m)
	}
	_, err := read(r)
	require.ErrorContains(t, err, "more bytes than allowed")
}

func TestRefusalAfterAHeadMayHaveRun(t *testing.T) {
	refused := &wire.Refused{Attempt: own, Verdict: uint8(verdict.NotRun), Code: string(verdict.CodeLeaving)}
	r := New(own, 3)
	require.Equal(t, verdict.NotRun, verdict.FromError(r.Take(refused)).Verdict)
	r = New(own, 3)
	require.NoError(t, r.Take(&wire.Head{Attempt: own}))
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(r.Take(refused)).Verdict)
}
