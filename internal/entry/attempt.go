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

// activeAttempt is an attempt that waits for messages from one session.
type activeAttempt struct {
	session  *peer.Session
	receiver *answer.Receiver
}

// activeAttempts finds live attempts by their id.
type activeAttempts struct {
	// mu guards byID.
	mu   sync.Mutex
	byID map[wire.AttemptID]*activeAttempt
}

func (a *activeAttempts) add(id wire.AttemptID, l *activeAttempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byID[id] = l
}

func (a *activeAttempts) remove(id wire.AttemptID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byID, id)
}

func (a *activeAttempts) find(id wire.AttemptID, s *peer.Session) *answer.Receiver {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.byID[id]
	if l == nil || l.session != s {
		return nil
	}
	return l.receiver
}

// HandlePeer takes Head, Frame, End and Refused from agents; it reports whether m
// was one of them. It never blocks. A message of an attempt that this host does not
// wait for, or from another session than the attempt's, is dropped and counted.
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
	if r == nil || errors.Is(r.Take(m), answer.ErrRepeated) {
		s.counters.dropped.Inc(1)
	}
	return true
}

// attempt is one try to run a call at one upstream.
type attempt struct {
	c          *call
	id         wire.AttemptID
	upstream   wire.Upstream
	began      time.Time
	firstByte  time.Duration
	bytes      uint64
	status     int
	uncredited uint64
}

func newAttempt(c *call, u wire.Upstream) *attempt {
	a := &attempt{c: c, upstream: u}
	_, _ = rand.Read(a.id[:])
	return a
}

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

// run dispatches the call and writes the answer to out. Where it returns an error,
// the upstream is told that nobody waits any more.
func (a *attempt) run(ctx context.Context, out *output) error {
	s := a.c.s
	session, err := a.session(ctx)
	if err != nil {
		return err
	}
	session.Hold()
	defer session.Release()
	receiver := answer.New(a.id, s.cfg.Window)
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

func (a *attempt) notSentError(cause error) error {
	return &verdict.Error{
		Verdict:    verdict.NotRun,
		Code:       verdict.CodeNoUpstream,
		Text:       "upstream can't be reached",
		RetryAfter: a.c.s.cfg.RetryAfter,
		Cause:      cause,
	}
}

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
		Window:      c.s.cfg.Window,
		Offset:      offset,
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

// sendCredit lets the agent send on. It says so once for a quarter of the window.
// Where the session is lost, the next read of the answer tells.
func (a *attempt) sendCredit(ctx context.Context, session *peer.Session, n int) {
	a.uncredited += uint64(n)
	if a.uncredited < a.c.s.cfg.Window/4 {
		return
	}
	credit := &wire.Credit{Attempt: a.id, Bytes: a.uncredited}
	a.uncredited = 0
	_ = session.Send(ctx, credit)
}

// cancel does not wait; where it does not arrive, the agent's own time limit ends
// the work.
func (a *attempt) cancel(session *peer.Session) {
	_ = session.Post(&wire.Cancel{Attempt: a.id})
}
