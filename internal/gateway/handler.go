package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/inbound"
	"github.com/sassafraspost/sassafraspost/internal/memory"
	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// defaultMaxBodyBytes limits a request's body if the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// responseMargin is how long before the caller's deadline the gateway gives up, so that the
	// final error response still reaches the caller.
	responseMargin = 20 * time.Millisecond
)

// call is the state of one caller's request while it is served.
type call struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	table *routetable.Table
	route *routetable.Route
	// workspace is the workspace of the caller, empty on public routes.
	workspace string
	// priority is the combined priority of workspace and route; 0 is the most urgent.
	priority int
	// regions are the regions in which the request may run.
	regions   routetable.Regions
	service   *routetable.Service
	attemptID string
	body      []byte
	// content identifies the request and the shared parts of its prompt; a retry by the caller has the
	// same.
	content quarantine.Content
	// quarantineVerdict is the verdict of the quarantine just before the last attempt.
	quarantineVerdict quarantine.Verdict
	began             time.Time
	// deadline is when the caller gets the final response at the latest.
	deadline time.Time
	// sentAt is when the last attempt was sent.
	sentAt time.Time
	// attempts counts the attempts, and tried holds the ids of their upstreams. misdirected
	// counts the attempts whose address belonged to another upstream. They don't count towards
	// the limit on attempts, because no upstream of the route received them. Each upstream
	// causes at most one, because it is then revoked.
	attempts, misdirected int
	tried                 []string
	// trail holds the connections on which the request was sent.
	trail dispatch.Trail
	// hasPossiblyRun is set once an attempt may have run, so that a later refusal can't claim
	// otherwise.
	hasPossiblyRun bool
	// retry was taken from the budget for the next attempt; nil if none was, or once it is sent.
	retry *retrybudget.Retry
	// isFinal is set if no further attempt is to be made, so that the caller gets its response
	// without delay: no upstream is left, the group of the last attempt does not serve, the
	// request is quarantined, the upstream has ended while it ran the request, or there is no
	// memory for the response.
	isFinal bool
	// last is the error of the last attempt.
	last error
	// control sets the deadlines of the caller's connection.
	control *http.ResponseController
	// memory counts the bytes held for the request.
	memory *memory.Connection
	// hasBody is set once the body was read, or can't be read to its end.
	hasBody atomic.Bool
	// isBodyWhole is set once the body was read to its end.
	isBodyWhole bool
	// stop cancels the request for the given reason.
	stop context.CancelCauseFunc
	// stage is how far the request has come, and isDrained is set once it is to end because the host shuts
	// down. Gateway.drain guards both.
	stage     stage
	isDrained bool
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	c, ctx := g.newCall(w, r)
	defer c.close()
	if err := c.prepare(ctx); err != nil {
		c.fail(err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	if g.cfg.Settle != nil {
		g.cfg.Settle(ctx)
	}
	c.serve(ctx)
}

// newCall returns the state of a request and the context that c.stop cancels. It must be closed.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request) (*call, context.Context) {
	c := &call{
		g: g, w: w, r: r, began: time.Now(), attemptID: r.Header.Get(g.cfg.Dialect.UpstreamHeaders.Attempt),
		control: http.NewResponseController(w),
	}
	ctx, stop := context.WithCancelCause(r.Context())
	c.stop, c.memory = stop, g.memory.Open(c.abort)
	g.drain.add(c)
	return c, ctx
}

// close releases what the request holds.
func (c *call) close() {
	c.g.drain.remove(c)
	c.returnRetry()
	c.memory.Close()
	c.stop(nil)
}

// prepare finds the route, workspace and service of the request and checks whether it is
// allowed. Errors are *verdict.Error.
func (c *call) prepare(ctx context.Context) error {
	g := c.g
	if c.table = c.awaitTable(); c.table == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "no configuration is known yet").WithRetryAfter(startupRetryAfter)
	}
	c.route = c.table.Match(c.r.Host, requestPath(c.r))
	if c.route == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route for this host and path")
	}
	if err := c.authorize(); err != nil {
		return err
	}
	c.deadline = c.began.Add(c.patience())
	if err := c.holdHead(ctx); err != nil {
		return err
	}
	if err := c.readBody(ctx); err != nil {
		return err
	}
	c.content = quarantine.Content{Request: c.computeFingerprint(), Parts: c.computeParts()}
	if g.cfg.Quarantine.Verdict(c.content) == quarantine.Quarantined {
		return c.refuseQuarantined()
	}
	name := c.route.PickService(randomFraction())
	c.service = c.table.Service(name)
	g.countRequest(name)
	return nil
}

// patience returns how long the caller waits for the final response, from when its head has arrived.
func (c *call) patience() time.Duration {
	wait := c.route.Timeout
	if stated, ok := c.g.cfg.Dialect.Deadline(c.r.Header); ok {
		wait = min(wait, stated-responseMargin)
	}
	return wait
}

// authorize finds the workspace of the caller, unless the route is public, and sets the priority and
// the regions that follow from route and workspace.
func (c *call) authorize() error {
	c.priority, c.regions = combinedPriority(c.route.Priority, c.route.Priority), c.route.PermittedRegions
	if !c.table.NeedsKey(c.route) {
		return nil
	}
	w := c.table.WorkspaceByKey(c.r.Header.Get(c.g.cfg.Dialect.KeyHeader))
	if w == nil {
		return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown key")
	}
	c.workspace, c.regions = w.Name, c.regions.Intersect(w.PermittedRegions)
	if w.HasPriority {
		c.priority = combinedPriority(w.Priority, c.route.Priority)
	}
	return nil
}

// computeFingerprint computes the fingerprint from the workspace and the contents of the
// request.
func (c *call) computeFingerprint() quarantine.Fingerprint {
	return c.g.cfg.Fingerprints.Of(&quarantine.Request{
		Workspace: c.workspace, Method: c.r.Method, Host: c.r.Host, Target: c.r.RequestURI, Body: c.body,
	})
}

// computeParts computes the fingerprints of the parts of the prompt that other requests may have too.
func (c *call) computeParts() []quarantine.Fingerprint {
	if c.g.cfg.Dialect.SharedParts == nil {
		return nil
	}
	var parts []quarantine.Fingerprint
	for _, id := range c.g.cfg.Dialect.SharedParts(c.r.Header) {
		parts = append(parts, c.g.cfg.Fingerprints.OfPart(id))
	}
	return parts
}

// startupWait is how long after its start a host lets requests wait for its first
// configuration, which is expected soon: control hosts that have just started too elect a
// leader within half a second. Most callers have only one retry left.
const startupWait = 1500 * time.Millisecond

// awaitTable returns the current configuration, or nil if there is none. If the host has just
// started, it waits for the first one.
func (c *call) awaitTable() *routetable.Table {
	g := c.g
	wait := startupWait - g.now()
	if t := g.table.Load(); t != nil || wait <= 0 {
		return t
	}
	pause.UntilClosed(c.r.Context(), g.tableKnown, wait)
	return g.table.Load()
}

// requestPath returns the path of the request exactly as the caller sent it.
func requestPath(r *http.Request) string {
	p, _, _ := strings.Cut(r.RequestURI, "?")
	return p
}

// readBody reads the body up to the configured limit and until the request's deadline. If the host has no memory
// left for it, the request is refused; if its length is known, nothing of it is read.
func (c *call) readBody(ctx context.Context) error {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength != 0 {
		_ = c.control.SetReadDeadline(c.deadline)
		if c.g.drain.enter(c, stageBody) != nil {
			return drainingError()
		}
	}
	c.memory.Progress(c.g.now())
	body, err := inbound.ReadWhole(http.MaxBytesReader(c.w, c.r.Body, limit), c.r.ContentLength, limit, useAccount{c, ctx, memory.Body})
	c.memory.StopWaiting()
	c.hasBody.Store(true)
	c.body = body
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		c.endBody()
		return nil
	case errors.Is(err, inbound.ErrTooLong), errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is too large")
	case memory.IsFull(err), c.memory.IsShed():
		return c.memoryError()
	case errors.Is(context.Cause(ctx), errDraining):
		return drainingError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.g.counts.increment("refused.slow-body")
		return verdict.New(verdict.NotRun, verdict.CodeDeadline, "the body did not come in time")
	default:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body did not come whole")
	}
}

// endBody records that the body was read to its end, so that reading what follows it is not bounded by the
// request's deadline.
func (c *call) endBody() {
	c.isBodyWhole = true
	if c.r.ContentLength != 0 {
		_ = c.control.SetReadDeadline(time.Time{})
	}
}

// hopByHopFields are the header fields that apply to a single connection and are not forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// stripHopByHop removes the header fields that apply to a single connection.
func stripHopByHop(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopFields {
		h.Del(name)
	}
}

// maxRoutePriority is the least urgent priority of a route that is told apart from others.
const maxRoutePriority = 999

// combinedPriority returns the priority of a request. That of its workspace decides, and among equal
// ones that of its route. Where the workspace has none, that of the route takes its place.
func combinedPriority(workspace, route int) int {
	return workspace*(maxRoutePriority+1) + min(max(route, 0), maxRoutePriority)
}

// maxUpstreamPriority is the least urgent priority that an engine knows.
const maxUpstreamPriority = 9

// upstreamHeader returns the header for the upstream of a reservation. If not empty, resume is the
// id of the last event that the caller has received.
func (c *call) upstreamHeader(reserved *reservation, resume string) http.Header {
	d := c.g.cfg.Dialect
	h := c.r.Header.Clone()
	stripHopByHop(h)
	h.Del(d.KeyHeader)
	h.Del(d.WorkspaceHeader)
	h.Del(d.UpstreamHeaders.Instance)
	if c.workspace != "" {
		h.Set(d.WorkspaceHeader, c.workspace)
	}
	if resume != "" {
		h.Set(d.ResumeHeader, resume)
	}
	if rank, ok := reserved.classRank(); ok && d.PriorityHeader != "" {
		h.Set(d.PriorityHeader, strconv.Itoa(min(rank, maxUpstreamPriority)))
	}
	h.Set(d.UpstreamHeaders.Deadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10))
	return h
}
