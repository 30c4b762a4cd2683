// Package answer reassembles the response to one attempt from the messages of its session, and
// hands it on only as far as it is certain to be that response, in order and complete.
//
// Messages of other attempts and duplicate frames are dropped. A gap, a wrong count or digest,
// or a missing end fails the response, so a truncated response never looks complete.
package answer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// ErrOtherAttempt reports that a message was dropped because it belongs to another attempt.
var ErrOtherAttempt = errors.New("answer: message of another attempt")

// ErrDuplicate reports that a message was dropped because it was received before, or because
// the response has already ended or failed.
var ErrDuplicate = errors.New("answer: duplicate message")

// Receiver buffers the part of one attempt's response that was received but not read yet.
type Receiver struct {
	attempt wire.AttemptID
	window  uint64
	changed chan struct{}

	// mu guards the fields below.
	mu          sync.Mutex
	head        *wire.Head
	frames      [][]byte
	unreadBytes uint64
	lastSeq     uint64
	totalBytes  uint64
	digest      *xxhash.Digest
	ended       bool
	err         error
}

// New returns a Receiver that buffers at most window unread body bytes.
func New(attempt wire.AttemptID, window uint64) *Receiver {
	return &Receiver{
		attempt: attempt,
		window:  window,
		changed: make(chan struct{}, 1),
		digest:  xxhash.New(),
	}
}

// Add adds a message and never blocks. The error says why m was dropped or why it failed the
// response.
func (r *Receiver) Add(m wire.Message) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attemptOf(m) != r.attempt {
		return ErrOtherAttempt
	}
	if r.ended || r.err != nil {
		return ErrDuplicate
	}
	err := r.addToOwnAttempt(m)
	if err != nil && !errors.Is(err, ErrDuplicate) {
		r.err = err
	}
	r.signal()
	return err
}

func attemptOf(m wire.Message) wire.AttemptID {
	switch m := m.(type) {
	case *wire.Head:
		return m.Attempt
	case *wire.Frame:
		return m.Attempt
	case *wire.End:
		return m.Attempt
	case *wire.Refused:
		return m.Attempt
	}
	return wire.AttemptID{}
}

// addToOwnAttempt adds a message of this attempt. The caller holds mu.
func (r *Receiver) addToOwnAttempt(m wire.Message) error {
	switch m := m.(type) {
	case *wire.Head:
		return r.addHead(m)
	case *wire.Frame:
		return r.addFrame(m)
	case *wire.End:
		return r.addEnd(m)
	case *wire.Refused:
		return r.addRefused(m)
	}
	return upstreamFailure("message of an unexpected type")
}

func (r *Receiver) addHead(h *wire.Head) error {
	if r.head != nil {
		return ErrDuplicate
	}
	r.head = h
	return nil
}

func (r *Receiver) addFrame(f *wire.Frame) error {
	if r.head == nil {
		return upstreamFailure("frame before head")
	}
	if f.Seq <= r.lastSeq {
		return ErrDuplicate
	}
	if f.Seq != r.lastSeq+1 {
		return upstreamFailure("gap between frames")
	}
	if r.unreadBytes+uint64(len(f.Data)) > r.window {
		return upstreamFailure("more bytes than allowed")
	}
	r.lastSeq = f.Seq
	r.unreadBytes += uint64(len(f.Data))
	r.totalBytes += uint64(len(f.Data))
	_, _ = r.digest.Write(f.Data)
	r.frames = append(r.frames, f.Data)
	return nil
}

func (r *Receiver) addEnd(e *wire.End) error {
	if e.Incomplete {
		err := upstreamFailure("upstream ended early: " + e.Text)
		err.Cause = upstreamEndedCause(e.UpstreamCrashedAt)
		return err
	}
	if r.head == nil {
		return upstreamFailure("end before head")
	}
	if e.Frames != r.lastSeq || e.Bytes != r.totalBytes || e.Digest != r.digest.Sum64() {
		return upstreamFailure("count or digest differs")
	}
	r.ended = true
	return nil
}

func (r *Receiver) addRefused(m *wire.Refused) error {
	v := verdict.Verdict(m.Verdict)
	if v > verdict.Ran || r.head != nil {
		v = verdict.MayHaveRun
	}
	return &verdict.Error{
		Verdict:    v,
		Code:       verdict.Code(m.Code),
		Text:       m.Text,
		RetryAfter: time.Duration(m.RetryAfterMS) * time.Millisecond,
		Cause:      upstreamEndedCause(m.UpstreamCrashedAt),
	}
}

// UpstreamEndedError is the cause of an error if the upstream's process ended while it ran the
// attempt.
type UpstreamEndedError struct {
	// At identifies this end of the upstream among others, in Unix milliseconds by the clock of
	// its agent.
	At int64
}

// Error implements error.
func (*UpstreamEndedError) Error() string { return "the upstream ended" }

// upstreamEndedCause returns the cause for the end time in a message, or nil if it has none.
func upstreamEndedCause(at int64) error {
	if at == 0 {
		return nil
	}
	return &UpstreamEndedError{At: at}
}

func upstreamFailure(text string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUpstreamFailed, text)
}

// signal wakes the reader. The caller holds mu.
func (r *Receiver) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Head waits for the response header. lost is closed when the session that carries the response
// ends. Errors are *verdict.Error.
func (r *Receiver) Head(ctx context.Context, lost <-chan struct{}) (*wire.Head, error) {
	err := r.wait(ctx, lost, func() bool { return r.head != nil })
	if err != nil {
		return nil, err
	}
	return r.head, nil
}

// Next waits for the next piece of the body. After the last piece of a complete response it
// returns io.EOF; other errors are *verdict.Error. It is called by one goroutine, after Head.
func (r *Receiver) Next(ctx context.Context, lost <-chan struct{}) ([]byte, error) {
	err := r.wait(ctx, lost, func() bool { return len(r.frames) > 0 || r.ended })
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.frames) == 0 {
		return nil, io.EOF
	}
	data := r.frames[0]
	r.frames = r.frames[1:]
	r.unreadBytes -= uint64(len(data))
	return data, nil
}

// wait returns nil as soon as isReady returns true. isReady is called with mu held.
func (r *Receiver) wait(ctx context.Context, lost <-chan struct{}, isReady func() bool) error {
	for {
		if done, err := r.pollReady(isReady); done || err != nil {
			return err
		}
		select {
		case <-r.changed:
		case <-ctx.Done():
			return contextError(ctx)
		case <-lost:
			return r.checkAfterLoss(isReady)
		}
	}
}

func (r *Receiver) pollReady(isReady func() bool) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isReady() {
		return true, nil
	}
	return false, r.err
}

// checkAfterLoss checks once more after the session was lost, because messages received before
// the loss still count.
func (r *Receiver) checkAfterLoss(isReady func() bool) error {
	done, err := r.pollReady(isReady)
	if done || err != nil {
		return err
	}
	return upstreamFailure("session lost")
}

func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeDeadline, Text: "no whole answer in time", Cause: ctx.Err()}
	}
	return &verdict.Error{Verdict: verdict.MayHaveRun, Code: verdict.CodeCancelled, Text: "caller has gone", Cause: ctx.Err()}
}
