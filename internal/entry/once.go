package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// serveNonIdempotent claims a non-idempotent call and dispatches it once.
//
// The outcome is recorded before the caller gets the answer: callers resend just
// when an answer breaks off on its way, and then find it. That costs one commit of
// latency, at most Config.FinishTimeout. Where recording fails the caller gets the
// answer all the same; a resend finds that the call may have run.
//
// From the claim on, the call does not depend on the caller's connection: a call
// that is cut in the middle helps nobody, and a resend finds the answer.
func (c *call) serveNonIdempotent(ctx context.Context) {
	if c.req.key == "" {
		c.fail(notRun(verdict.CodeBadRequest, "this call may not repeat: "+IdempotencyKeyHeader+" is missing"))
		return
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()

	a := newAttempt(c, wire.Upstream{})
	reply, err := c.claim(ctx, a)
	if err != nil {
		c.fail(err)
		return
	}
	c.isClaimChecked = true
	if reply.State != wire.ClaimGranted {
		c.respondToClaim(reply)
		return
	}
	c.s.counters.granted.Inc(1)
	c.dispatchOnce(ctx, a)
}

// claim asks for the right to dispatch. Without it nothing of this request runs.
func (c *call) claim(ctx context.Context, a *attempt) (*wire.ClaimReply, error) {
	reply, err := c.s.cfg.Claims.Claim(ctx, &wire.ClaimRequest{
		Workspace: c.plan.Workspace,
		Key:       c.req.key,
		Digest:    c.req.digest(),
		Attempt:   a.id,
		TimeoutMS: millisecondsLeft(ctx),
	})
	if err == nil {
		return reply, nil
	}
	e := *verdict.FromError(err)
	if e.Verdict != verdict.NotRun {
		// The claim may be held, now or once it arrives; this attempt will never use it.
		c.finishInBackground(a, verdict.NotRun, nil)
		e.Verdict = verdict.NotRun
		e.Code = verdict.CodeNoQuorum
	}
	e.Text = "claim was not committed, so this request was not dispatched: " + e.Text
	return nil, &e
}

// isClaimUnchecked tells that this call has a key that counts, whose claim was not looked
// at. What is known of this sending then says nothing of the call: an earlier
// sending may have run.
func (c *call) isClaimUnchecked() bool {
	if c.isClaimChecked || c.r.Header.Get(IdempotencyKeyHeader) == "" {
		return false
	}
	return !c.isResolved || !c.plan.Idempotent
}

// sameKeyAdvice is told to a caller whose key could not be checked.
const sameKeyAdvice = "; this sending did not run, but an earlier one with this key may have: ask again with the SAME key"

// withUncheckedClaim turns a passing refusal of a call whose key is open into one that may
// have run: a caller that takes "not run" for the end of an earlier sending would
// make the call again under a new key.
func withUncheckedClaim(e *verdict.Error) *verdict.Error {
	open := *e
	open.Verdict = verdict.MayHaveRun
	open.Text += sameKeyAdvice
	return &open
}

// respondToClaim answers a call that another attempt has claimed.
func (c *call) respondToClaim(reply *wire.ClaimReply) {
	switch reply.State {
	case wire.ClaimInProgress:
		c.fail(verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, "another request with this key is in progress"))
	case wire.ClaimFinished:
		c.replay(reply.Answer)
	case wire.ClaimKeyReused:
		c.fail(notRun(verdict.CodeKeyReused, "this key belongs to another request"))
	case wire.ClaimRefused:
		c.fail(notRun(verdict.CodeOverloaded, "workspace holds too many claims"))
	default:
		c.fail(verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "the call of this key may have run and will not run again"))
	}
}

func (c *call) replay(answer *wire.Answer) {
	if answer == nil {
		c.fail(verdict.New(verdict.Ran, verdict.CodeConflict, "the call of this key has run; its answer was not kept"))
		return
	}
	c.s.counters.replayed.Inc(1)
	h := c.w.Header()
	addFields(h, answer.Header)
	h.Set(ReplayedHeader, "true")
	if bodyAllowed(c.req.method, answer.Status) {
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	c.writeHead(answer.Status, verdictOfStatus(answer.Status))
	if bodyAllowed(c.req.method, answer.Status) {
		_, _ = c.w.Write(answer.Body)
	}
}

func (c *call) dispatchOnce(ctx context.Context, a *attempt) {
	pick, err := c.pick(nil)
	if err != nil {
		c.failClaimed(a, err)
		return
	}
	a.upstream = pick.Upstream
	err = a.run(ctx, c.out)
	c.reportToQuarantine(a, err)
	pick.Done(a.outcome(err))
	if err != nil {
		c.failClaimed(a, err)
		return
	}
	c.finish(a, verdict.Ran, c.out.recordedAnswer(c.s.cfg.MaxRecorded))
	if c.out.finish() != nil {
		c.s.counters.aborted.Inc(1)
		panic(http.ErrAbortHandler)
	}
}

// failClaimed records that a claimed call has failed and tells the caller. NotRun frees
// the key; the caller asks again.
func (c *call) failClaimed(a *attempt, err error) {
	c.finish(a, verdict.FromError(err).Verdict, nil)
	c.fail(err)
}

// finish records the outcome before the caller gets the answer. Where that fails it
// is tried again beside the answer; until then the call counts as in progress.
func (c *call) finish(a *attempt, v verdict.Verdict, answer *wire.Answer) {
	f := c.finishRequest(a, v, answer)
	ctx, cancel := context.WithTimeout(context.Background(), c.s.cfg.FinishTimeout)
	defer cancel()
	if c.s.cfg.Claims.Finish(ctx, f) != nil {
		c.s.finishInBackground(f)
	}
}

// finishInBackground records the outcome beside the answer.
func (c *call) finishInBackground(a *attempt, v verdict.Verdict, answer *wire.Answer) {
	c.s.finishInBackground(c.finishRequest(a, v, answer))
}

func (c *call) finishRequest(a *attempt, v verdict.Verdict, answer *wire.Answer) *wire.FinishRequest {
	return &wire.FinishRequest{
		Workspace: c.plan.Workspace,
		Key:       c.req.key,
		Attempt:   a.id,
		Verdict:   uint8(v),
		Answer:    answer,
	}
}
