package entry

import (
	"context"
	"net/http"
	"strconv"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// serveNonIdempotent claims the idempotency key of a non-idempotent call and dispatches the call
// once.
//
// The outcome is recorded before the caller gets the response. Callers typically send a request
// again when its response breaks off, and the repeated request must find the recorded response.
// Recording adds the latency of one commit, at most Config.FinishTimeout. If it fails, the caller
// gets the response all the same, and a repeated request is told that the call may have run.
//
// Once it asks for the claim, the call goes on even if the caller disconnects: stopping it halfway
// helps nobody, and a repeated request finds the response.
func (c *call) serveNonIdempotent(ctx context.Context) {
	if c.req.key == "" {
		c.fail(notRun(verdict.CodeBadRequest, "this call may not repeat: "+IdempotencyKeyHeader+" is missing"))
		return
	}
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	defer context.AfterFunc(c.s.drain.ending, cancel)()

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

// claim claims the idempotency key for an attempt. If it returns an error, nothing of this request
// has run or will run.
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
		// The claim may have been committed, or may still be. This attempt will not use it, so it
		// is released.
		c.finishInBackground(a, verdict.NotRun, nil)
		e.Verdict = verdict.NotRun
		e.Code = verdict.CodeNoQuorum
	}
	e.Text = "claim was not committed, so this request was not dispatched: " + e.Text
	return nil, &e
}

// isClaimUnchecked reports whether the call has an idempotency key and it is not known whether an
// earlier request has claimed it. That earlier request may have run, even if this one did not. A
// key on an idempotent call has no effect, but as long as the plan is unknown, the call may be
// non-idempotent.
func (c *call) isClaimUnchecked() bool {
	if c.isClaimChecked || c.r.Header.Get(IdempotencyKeyHeader) == "" {
		return false
	}
	return !c.isResolved || !c.plan.Idempotent
}

// sameKeyAdvice is added to errors of calls whose claim is unchecked.
const sameKeyAdvice = "; this sending did not run, but an earlier one with this key may have: ask again with the SAME key"

// withUncheckedClaim changes the verdict of a temporary refusal to MayHaveRun. It is used for calls
// whose claim is unchecked. A caller that has sent the request before would take NotRun for the
// outcome of the earlier request too, and might repeat the call under a new key.
func withUncheckedClaim(e *verdict.Error) *verdict.Error {
	changed := *e
	changed.Verdict = verdict.MayHaveRun
	changed.Text += sameKeyAdvice
	return &changed
}

// respondToClaim sends the response to a call whose claim was not granted.
func (c *call) respondToClaim(reply *wire.ClaimReply) {
	switch reply.State {
	case wire.ClaimInProgress:
		c.fail(verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, "another request with this key is in progress"))
	case wire.ClaimFinished:
		c.replay(reply.Response)
	case wire.ClaimKeyReused:
		c.fail(notRun(verdict.CodeKeyReused, "this key belongs to another request"))
	case wire.ClaimRefused:
		c.fail(notRun(verdict.CodeOverloaded, "workspace holds too many claims"))
	default:
		c.fail(verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "the call of this key may have run and will not run again"))
	}
}

// replay sends the recorded response of an earlier request with the same key. The answer is nil
// if it was too large to be recorded.
func (c *call) replay(answer *wire.Response) {
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

// dispatchOnce runs a claimed call at one upstream and records the outcome.
func (c *call) dispatchOnce(ctx context.Context, a *attempt) {
	pick, err := c.pick(nil)
	if err != nil {
		c.failClaimed(a, err)
		return
	}
	a.upstream, a.maySend = pick.Upstream, pick.MaySend
	err = a.run(ctx, c.out)
	c.reportToQuarantine(a, err)
	pick.Done(a.outcome(err))
	if err != nil {
		c.failClaimed(a, err)
		return
	}
	c.finish(a, verdict.Ran, c.out.recordedResponse(c.s.cfg.MaxRecorded))
	if c.out.finish() != nil {
		c.s.counters.aborted.Inc(1)
		panic(http.ErrAbortHandler)
	}
}

// failClaimed records the outcome of a claimed call that failed and sends the error. The outcome
// NotRun releases the key, so that the caller can retry with it.
func (c *call) failClaimed(a *attempt, err error) {
	c.finish(a, verdict.FromError(err).Verdict, nil)
	c.fail(err)
}

// finish records the outcome of a claimed call before the caller gets the response. If that fails,
// recording is retried in the background; until it succeeds, the call counts as in progress.
func (c *call) finish(a *attempt, v verdict.Verdict, answer *wire.Response) {
	f := c.finishRequest(a, v, answer)
	ctx, cancel := context.WithTimeout(context.Background(), c.s.cfg.FinishTimeout)
	defer cancel()
	if c.s.cfg.Claims.Finish(ctx, f) != nil {
		c.s.finishInBackground(f)
	}
}

// finishInBackground records the outcome of a claimed call without delaying the response.
func (c *call) finishInBackground(a *attempt, v verdict.Verdict, answer *wire.Response) {
	c.s.finishInBackground(c.finishRequest(a, v, answer))
}

func (c *call) finishRequest(a *attempt, v verdict.Verdict, answer *wire.Response) *wire.FinishRequest {
	return &wire.FinishRequest{
		Workspace: c.plan.Workspace,
		Key:       c.req.key,
		Attempt:   a.id,
		Verdict:   uint8(v),
		Response:  answer,
	}
}
