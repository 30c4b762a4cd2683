package entry

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

// call is the state of one request of a caller while the Server handles it.
type call struct {
	s    *Server
	w    http.ResponseWriter
	r    *http.Request
	req  *request
	plan Plan
	// isResolved is set once plan is valid. isClaimChecked is set once it is known whether an
	// earlier request has claimed the call's idempotency key.
	isResolved, isClaimChecked bool
	// hasBodyReadBegun is set once the server has started to read the request body.
	hasBodyReadBegun bool
	// account counts the memory that the call holds.
	account *memory.Connection
	out     *output
	// content identifies the request; a repetition of it has the same one.
	content quarantine.Content
}

func newCall(s *Server, w http.ResponseWriter, r *http.Request) *call {
	return &call{s: s, w: w, r: r, req: &request{id: requestID(r)}}
}

func (c *call) serve() {
	c.openAccount()
	defer c.account.Close()
	if err := c.prepare(); err != nil {
		c.fail(err)
		return
	}
	if err := c.checkQuarantineEarly(); err != nil {
		c.fail(err)
		return
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline())
	defer cancel()
	defer context.AfterFunc(c.s.drain.ending, cancel)()
	if c.s.cfg.Settle != nil {
		c.s.cfg.Settle(ctx)
	}
	release, err := c.s.cfg.Admission.Admit(ctx, c.admitRequest())
	if err != nil {
		c.fail(err)
		return
	}
	defer release()
	if c.plan.Idempotent {
		c.serveIdempotent(ctx)
		return
	}
	c.serveNonIdempotent(ctx)
}

// prepare reads the request and finds its plan. It refuses an unknown caller without reading the
// body.
func (c *call) prepare() error {
	id := c.req.id
	req, err := readHeader(c.r)
	c.req = req
	c.req.id = id
	if err != nil {
		return err
	}
	if err := c.resolveEarly(); err != nil {
		return err
	}
	if err := c.reserveBody(); err != nil {
		return err
	}
	if err := c.readBody(); err != nil {
		return err
	}
	if err := c.reserve(req.parsedBytes() - inbound.BodyAllowance); err != nil {
		return err
	}
	if err := req.parseBody(); err != nil {
		return err
	}
	if err := c.resolve(); err != nil {
		return err
	}
	if err := c.reserveResponse(); err != nil {
		return err
	}
	if !req.urgencySet || req.urgency < c.plan.Urgency {
		req.urgency = c.plan.Urgency
	}
	c.out = newOutput(c)
	c.content.Request = c.s.cfg.Fingerprints.Of(&quarantine.Request{
		Workspace: c.plan.Workspace, Method: req.method, Target: req.target(), Body: req.body,
	})
	return nil
}

// readBody reads the body. A call that is shed meanwhile is refused.
func (c *call) readBody() error {
	c.hasBodyReadBegun = true
	c.account.Progress(c.s.cfg.Now())
	err := c.req.readBody(c.w, pacedBody{c}, c.s.cfg.MaxBody, &c.s.drain)
	c.account.StopWaiting()
	if err != nil && c.s.drain.leaving.Err() != nil {
		c.w.Header().Set("Connection", "close")
		return c.s.drainingError()
	}
	if c.account.IsShed() {
		if c.r.ProtoMajor == 1 { // with HTTP/2 it would end other requests' connection
			c.w.Header().Set("Connection", "close")
		}
		return c.memoryError()
	}
	return err
}

// resolveEarly checks what it can before the body is read. For a plain service it finds the plan.
// The plan of a completion call depends on the model, which is named in the body, so here only
// the caller's token is checked.
func (c *call) resolveEarly() error {
	if !c.req.isCompletion() {
		return c.resolve()
	}
	_, err := c.s.cfg.Catalog.Resolve(c.lookup())
	if err != nil && verdict.FromError(err).Code == verdict.CodeUnauthorized {
		return err
	}
	return nil
}

// resolve finds the plan, unless it is known already.
func (c *call) resolve() error {
	if c.isResolved {
		return nil
	}
	plan, err := c.s.cfg.Catalog.Resolve(c.lookup())
	if err != nil {
		return err
	}
	c.plan = plan
	c.isResolved = true
	return nil
}

func (c *call) lookup() Lookup {
	return Lookup{TokenHash: c.req.token, Method: c.req.method, Path: c.req.path, Model: c.req.completion.Model}
}

func (c *call) deadline() time.Duration {
	if c.plan.Deadline <= 0 {
		return c.s.cfg.MaxDeadline
	}
	return min(c.plan.Deadline, c.s.cfg.MaxDeadline)
}

func (c *call) admitRequest() AdmitRequest {
	return AdmitRequest{
		Workspace: c.plan.Workspace,
		Service:   c.plan.Service,
		Pool:      c.plan.Pool,
		Urgency:   c.req.urgency,
		Cost:      uint64(len(c.req.body)) + c.req.completion.MaxTokens,
		Deadline:  c.deadline(),
	}
}

// problem is an RFC 9457 problem document.
type problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Verdict   string       `json:"verdict"`
	Code      verdict.Code `json:"code"`
	RequestID string       `json:"request_id"`
}

// ProblemType is the media type of error bodies.
const ProblemType = "application/problem+json"

// fail sends an error response. It must not be called once a response has begun.
func (c *call) fail(err error) {
	e := c.s.explainEnd(verdict.FromError(err))
	if e.RetryAfter == 0 && mayRetryLater(e) {
		e = e.WithRetryAfter(c.s.cfg.RetryAfter)
	}
	if e.Verdict == verdict.NotRun && mayRetryLater(e) && c.isClaimUnchecked() {
		e = withUncheckedClaim(e)
	}
	status := statusOf(e)
	body, _ := json.Marshal(problem{
		Type:      "about:blank",
		Title:     http.StatusText(status),
		Status:    status,
		Detail:    e.Text,
		Verdict:   e.Verdict.String(),
		Code:      e.Code,
		RequestID: c.req.id,
	})
	h := c.w.Header()
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(wholeSeconds(e.RetryAfter)))
	}
	if !c.hasBodyReadBegun && c.r.ContentLength != 0 && c.r.ProtoMajor == 1 {
		// Otherwise net/http reads the body before it sends the response, so that it can keep
		// the connection open, and the response would wait for a body that may never arrive. It still
		// reads some of it before it closes the connection.
		h.Set("Connection", "close")
		_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(inbound.UnreadBodyTimeout))
	}
	h.Set("Content-Type", ProblemType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	c.writeHead(status, e.Verdict)
	_, _ = c.w.Write(body)
}

// writeHead sends the response header and counts the verdict.
func (c *call) writeHead(status int, v verdict.Verdict) {
	c.s.counters.byVerdict[v].Inc(1)
	h := c.w.Header()
	h.Set(RequestIDHeader, c.req.id)
	h.Set(verdict.Header, v.String())
	c.w.WriteHeader(status)
}

// wholeSeconds rounds d up, so that callers do not retry too early.
func wholeSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

// mayRetryLater reports whether the same request may succeed later.
func mayRetryLater(e *verdict.Error) bool {
	switch e.Code {
	case verdict.CodeOverloaded, verdict.CodeLimited, verdict.CodeNoUpstream, verdict.CodeNoQuorum,
		verdict.CodeDraining, verdict.CodeInProgress:
		return true
	case verdict.CodeDeadline, verdict.CodeUpstreamFailed, verdict.CodeInternal:
		return e.Verdict != verdict.Ran
	}
	return false
}

var statusByCode = map[verdict.Code]int{
	verdict.CodeBadRequest:     http.StatusBadRequest,
	verdict.CodeUnauthorized:   http.StatusUnauthorized,
	verdict.CodeForbidden:      http.StatusForbidden,
	verdict.CodeNotFound:       http.StatusNotFound,
	verdict.CodeConflict:       http.StatusConflict,
	verdict.CodeInProgress:     http.StatusConflict,
	verdict.CodeKeyReused:      http.StatusUnprocessableEntity,
	verdict.CodeTooLarge:       http.StatusRequestEntityTooLarge,
	verdict.CodeLimited:        http.StatusTooManyRequests,
	verdict.CodeOverloaded:     http.StatusServiceUnavailable,
	verdict.CodeNoUpstream:     http.StatusServiceUnavailable,
	verdict.CodeNoQuorum:       http.StatusServiceUnavailable,
	verdict.CodeDraining:       http.StatusServiceUnavailable,
	verdict.CodeDeadline:       http.StatusGatewayTimeout,
	verdict.CodeUpstreamFailed: http.StatusBadGateway,
	verdict.CodeQuarantined:    http.StatusServiceUnavailable,
	verdict.CodeCancelled:      http.StatusServiceUnavailable,
}

// statusOf returns the HTTP status of an error. A failed upstream is 502 only if the request may
// have run there; otherwise it is 503.
func statusOf(e *verdict.Error) int {
	status, ok := statusByCode[e.Code]
	if !ok {
		return http.StatusInternalServerError
	}
	if status == http.StatusBadGateway && e.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return status
}

// serveIdempotent tries one upstream after another until one has sent a complete response. No
// other function dispatches a call more than once.
func (c *call) serveIdempotent(ctx context.Context) {
	var tried []string
	var last *verdict.Error
	for {
		name, err := c.tryUpstream(ctx, tried)
		if err == nil {
			return
		}
		last = errorToReport(last, verdict.FromError(err), name)
		tried = append(tried, name)
		if !c.shouldRetry(ctx, err, name, len(tried)) {
			c.giveUp(last)
			return
		}
		c.s.counters.retries.Inc(1)
	}
}

// errorToReport chooses between the error of the attempts so far and that of the next one. If no
// upstream was left to try (name is empty), the earlier error is more informative. If an earlier
// attempt may have run, the whole call may have run, so a later NotRun must not replace it.
func errorToReport(last, next *verdict.Error, name string) *verdict.Error {
	if last == nil {
		return next
	}
	if name == "" || next.Verdict == verdict.NotRun && last.Verdict != verdict.NotRun {
		return last
	}
	return next
}

// shouldRetry decides whether an idempotent call gets another attempt after one that failed with
// err. A request that may have run is not sent to a second upstream if the first one crashed or
// if crashes are suspected to be caused by it. An attempt that did not run takes nothing from the
// retry budget.
func (c *call) shouldRetry(ctx context.Context, err error, name string, attempts int) bool {
	if name == "" || ctx.Err() != nil || attempts >= c.s.cfg.MaxAttempts || !c.out.canContinue() {
		return false
	}
	if hasUpstreamCrashed(err) || c.s.cfg.Quarantine.Verdict(c.content) != quarantine.Free && verdict.FromError(err).Verdict != verdict.NotRun {
		return false
	}
	return verdict.FromError(err).Verdict == verdict.NotRun || c.s.mayRetry()
}

// tryUpstream makes one attempt and returns the name of the upstream, which is empty if none could
// be chosen.
func (c *call) tryUpstream(ctx context.Context, tried []string) (string, error) {
	pick, err := c.pick(tried)
	if err != nil {
		return "", err
	}
	name := pick.Upstream.Name
	a := newAttempt(c, pick.Upstream)
	a.maySend = pick.MaySend
	a.mayTurnAway = pick.HasAlternative && len(tried)+1 < c.s.cfg.MaxAttempts
	err = a.run(ctx, c.out)
	c.reportToQuarantine(a, err)
	if err == nil {
		err = c.out.finish()
	}
	pick.Done(a.outcome(err))
	return name, err
}

// pick chooses an upstream that is not among those tried, unless the request is in quarantine.
func (c *call) pick(tried []string) (Pick, error) {
	if err := c.checkQuarantine(); err != nil {
		return Pick{}, err
	}
	return c.s.cfg.Router.Pick(PickRequest{
		Pool:     c.plan.Pool,
		Version:  c.plan.Version,
		Prefixes: PrefixHashes(c.req.completion.text()),
		Tried:    tried,
	})
}

// giveUp ends the call with err. If the response has begun, the connection or HTTP/2 stream is
// aborted, so that the caller can tell that the response is incomplete.
func (c *call) giveUp(err error) {
	if errors.Is(c.r.Context().Err(), context.Canceled) {
		c.s.counters.cancelled.Inc(1)
	}
	if c.out.hasBegun {
		c.s.counters.aborted.Inc(1)
		panic(http.ErrAbortHandler)
	}
	c.fail(err)
}
