package entry

import (
	"context"
	"crypto/rand"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/answer"
	"github.com/sassafraspost/sassafraspost/internal/peer"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// activeAttempt is an attempt whose response is still arriving. Its messages are accepted from
// one session only.
type activeAttempt struct {
	session  *peer.Session
	receiver *answer.Receiver
}

// activeAttempts maps attempt ids to the attempts whose responses are still arriving.
type activeAttempts struct {
	// mu guards byID.
	mu   sync.Mutex
	byID map[wire.AttemptID]*activeAttempt
}

func (a *activeAttempts) add(id wire.AttemptID, active *activeAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = active
}

func (a *activeAttempts) remove(id wire.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byID, id)
}

// find returns the receiver of an attempt, or nil if the attempt is unknown or was dispatched on
// another session.
func (a *activeAttempts) find(id wire.AttemptID, s *peer.Session) *answer.Receiver {
	a.mu.Lock()
	defer a.mu.Unlock()
	active := a.byID[id]
	if active == nil || active.session != s {
		return nil
	}
	return active.receiver
}

// HandlePeer handles the messages that carry responses from agents: Head, Frame, End and
// Refused. It reports whether m was one of them. It never blocks. It drops and counts a message
// for an unknown attempt, or from a session other than the one the attempt was dispatched on.
func (s *Server) HandlePeer(session *peer.Session, m wire.Message) bool {
	var id wire.AttemptID
	switch m := m.(type) {
	case *wire.Head:
		id = m.Attempt
	case *wire.Frame:
		id = m.Attempt
	case *wire.End:
		id = m.Attempt
	case *wire.Refused:
		id = m.Attempt
	default:
		return false
	}
	r := s.activeAttempts.find(id, session)
	if r == nil || errors.Is(r.Add(m), answer.ErrDuplicate) {
		s.counters.dropped.Inc(1)
	}
	return true
}

// attempt is one dispatch of a call to one upstream.
type attempt struct {
	c        *call
	id       wire.AttemptID
	upstream wire.Upstream
	// mayTurnAway is set if another upstream can be tried, so that waiting at a busy one is of no
	// use.
	mayTurnAway bool
	// maySend is Pick.MaySend.
	maySend func() bool
	// began is when the dispatch was sent, firstByte the time from then to the first body byte.
	began     time.Time
	firstByte time.Duration
	// bytes counts the body bytes received.
	bytes  uint64
	status int
	// uncredited counts the bytes that were consumed since the last Credit message.
	uncredited uint64
}

func newAttempt(c *call, u wire.Upstream) *attempt {
	a := &attempt{c: c, upstream: u}
	_, _ = rand.Read(a.id[:])
	return a
}

// outcome returns what the router is told about the attempt, which ended with err.
func (a *attempt) outcome(err error) Outcome {
	o := Outcome{Verdict: verdictOfStatus(a.status), FirstByte: a.firstByte, Bytes: a.bytes}
	o.OK = err == nil && o.Verdict == verdict.Ran
	if err != nil {
		o.Verdict = verdict.FromError(err).Verdict
		o.Code = verdict.FromError(err).Code
	}
	if err != nil && a.c.r.Context().Err() != nil {
		o.Code = verdict.CodeCancelled
	}
	return o
}

// run dispatches the call and writes the response to out. If it fails after the dispatch, it
// cancels the attempt at the upstream.
func (a *attempt) run(ctx context.Context, out *output) error {
	s := a.c.s
	session, err := a.session(ctx)
	if err != nil {
		return err
	}
	if a.maySend != nil && !a.maySend() {
		return notRun(verdict.CodeNoUpstream, "the data centre of the upstream is evacuated").WithRetryAfter(s.cfg.RetryAfter)
	}
	session.StartProbing()
	defer session.StopProbing()
	receiver := answer.New(a.id, s.cfg.FlowWindow)
	s.activeAttempts.add(a.id, &activeAttempt{session: session, receiver: receiver})
	defer s.activeAttempts.remove(a.id)
	if err := a.dispatch(ctx, session, out.offset()); err != nil {
		return err
	}
	err = a.receive(ctx, session, receiver, out)
	if err != nil {
		a.cancel(session)
	}
	return err
}

func (a *attempt) session(ctx context.Context) (*peer.Session, error) {
	session, err := a.c.s.cfg.Sessions.Get(ctx, a.upstream.Address)
	if err != nil {
		return nil, a.notSentError(err)
	}
	return session, nil
}

// notSentError is the error of an attempt whose dispatch did not leave this host.
func (a *attempt) notSentError(cause error) error {
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Code:       verdict.CodeNoUpstream,
		Text:       "upstream can't be reached",
		RetryAfter: a.c.s.cfg.RetryAfter,
		Cause:      cause,
	}
}

// dispatch sends the call to the agent. The response is to start at the given offset of the body.
func (a *attempt) dispatch(ctx context.Context, session *peer.Session, offset uint64) error {
	d := a.newDispatch(ctx, offset)
	ctx, cancel := context.WithTimeout(ctx, DefaultSendTimeout)
	defer cancel()
	a.began = time.Now()
	if err := session.Send(ctx, d); err != nil {
		return a.notSentError(err)
	}
	if offset > 0 {
		a.c.s.counters.resumed.Inc(1)
	}
	return nil
}

func (a *attempt) newDispatch(ctx context.Context, offset uint64) *wire.Dispatch {
	c := a.c
	d := &wire.Dispatch{
		Attempt:     a.id,
		RequestID:   c.req.id,
		Workspace:   c.plan.Workspace,
		Upstream:    a.upstream.Name,
		Incarnation: a.upstream.Incarnation,
		Method:      c.req.method,
		Path:        c.req.target(),
		Header:      c.req.header,
		Body:        c.req.body,
		TimeoutMS:   millisecondsLeft(ctx),
		Urgency:     c.req.urgency,
		FlowWindow:  c.s.cfg.FlowWindow,
		Offset:      offset,
		MayTurnAway: a.mayTurnAway,
	}
	if !c.plan.Idempotent {
		d.Claim = &wire.Claim{Workspace: c.plan.Workspace, Key: c.req.key}
	}
	return d
}

func millisecondsLeft(ctx context.Context) uint64 {
	deadline, _ := ctx.Deadline()
	return uint64(max(0, time.Until(deadline).Milliseconds()))
}

// receive writes the response to out as it arrives. It returns nil after the last byte.
func (a *attempt) receive(ctx context.Context, session *peer.Session, r *answer.Receiver, out *output) error {
	head, err := a.head(ctx, session, r)
	if err != nil {
		return err
	}
	a.status = head.Status
	if err := out.acceptHead(head); err != nil {
		return err
	}
	for {
		data, err := r.Next(ctx, session.Done())
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		a.countBytes(data)
		if err := out.write(data); err != nil {
			return err
		}
		a.sendCredit(ctx, session, len(data))
	}
}

// head waits for the response header.
func (a *attempt) head(ctx context.Context, session *peer.Session, r *answer.Receiver) (*wire.Head, error) {
	if limit := a.c.s.cfg.FirstByteTimeout; limit > 0 && a.c.plan.Idempotent {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	return r.Head(ctx, session.Done())
}

func (a *attempt) countBytes(data []byte) {
	if a.bytes == 0 {
		a.firstByte = time.Since(a.began)
		a.c.s.counters.firstByte.Update(a.firstByte.Microseconds())
	}
	a.bytes += uint64(len(data))
}

// sendCredit lets the agent send n more bytes. To save messages, it sends one Credit for each
// quarter of the window. It ignores an error: if the session is lost, the next read of the
// response fails.
func (a *attempt) sendCredit(ctx context.Context, session *peer.Session, n int) {
	a.uncredited += uint64(n)
	if a.uncredited < a.c.s.cfg.FlowWindow/4 {
		return
	}
	credit := &wire.Credit{Attempt: a.id, Bytes: a.uncredited}
	a.uncredited = 0
	_ = session.Send(ctx, credit)
}

// cancel tells the agent to stop the attempt. It does not wait; if the message is lost, the agent
// stops at the timeout of the dispatch.
func (a *attempt) cancel(session *peer.Session) {
	_ = session.Post(&wire.Cancel{Attempt: a.id})
}
