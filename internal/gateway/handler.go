package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/quarantine"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
)

const (
	// defaultBodyBytes bounds a request's body where the configuration does not.
	defaultBodyBytes = 8 << 20
	// answerMargin is how long before the caller's deadline a request is given up, so
	// that the final answer still reaches it.
	answerMargin = 20 * time.Millisecond
)

// call is one request of a caller on its way.
type call struct {
	g     *Gateway
	w     http.ResponseWriter
	r     *http.Request
	table *routetable.Table
	route *routetable.Route
	// workspace is who asks, empty on public routes.
	workspace string
	// priority is the workspace's rank, else the route's; 0 is the most urgent.
	priority int
	service  *routetable.Service
	attempt  string
	body     []byte
	// fingerprint is the same for the same request asked again.
	fingerprint quarantine.Fingerprint
	// standing is what the quarantine said of it before the last attempt.
	standing quarantine.Verdict
	began    time.Time
	// deadline is when the caller is given its final answer at the latest.
	deadline time.Time
	// sent is when the last attempt went out.
	sent time.Time
	// sends counts the attempts, tried names the upstreams that had one. Misdirected are
	// those that found another upstream at the address: no upstream of the route had them,
	// and each is the last one there, since its upstream is revoked.
	sends, misdirected int
	tried              []string
	// isTainted is set once an attempt may have run: no later refusal says otherwise.
	isTainted bool
	// isGivenUp is set once there is no upstream for another attempt, or the group of the
	// last one does not serve: the caller is not held any longer.
	isGivenUp bool
	// last tells how the last attempt ended.
	last error
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	c := &call{g: g, w: w, r: r, began: time.Now(), attempt: r.Header.Get(g.cfg.Dialect.Dispatch.Attempt)}
	if err := c.prepare(); err != nil {
		c.fail(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	c.run(ctx)
}

// prepare finds out what the request asks for and whether it may. Errors are
// *verdict.Error.
func (c *call) prepare() error {
	g := c.g
	if c.table = c.awaitTable(); c.table == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoQuorum, "no configuration is known yet").WithRetryAfter(startRetryAfter)
	}
	c.route = c.table.Match(c.r.Host, path(c.r))
	if c.route == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route for this host and path")
	}
	c.priority = c.route.Priority
	if c.table.NeedsKey(c.route) {
		w := c.table.WorkspaceByKey(c.r.Header.Get(g.cfg.Dialect.Key))
		if w == nil {
			return verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "unknown key")
		}
		c.workspace = w.Name
		if w.HasPriority {
			c.priority = w.Priority
		}
	}
	if err := c.readBody(); err != nil {
		return err
	}
	c.fingerprint = c.takeFingerprint()
	if g.cfg.Quarantine.Verdict(c.fingerprint) == quarantine.Held {
		return c.refuseHeld()
	}
	wait := c.route.Timeout
	if stated, ok := g.cfg.Dialect.Deadline(c.r.Header); ok {
		wait = min(wait, stated-answerMargin)
	}
	c.deadline = c.began.Add(wait)
	name := c.route.PickService(draw())
	c.service = c.table.Service(name)
	g.request(name)
	return nil
}

// takeFingerprint names the request by what it asks and for whom.
func (c *call) takeFingerprint() quarantine.Fingerprint {
	return c.g.cfg.Fingerprints.Of(&quarantine.Request{
		Workspace: c.workspace, Method: c.r.Method, Host: c.r.Host, Target: c.r.RequestURI, Body: c.body,
	})
}

// startWait is for how long after its start a host lets requests wait for its first
// configuration. It is on its way then: control hosts that have started too elect a leader
// within half a second, and most callers have one try left.
const startWait = 1500 * time.Millisecond

// awaitTable returns the configuration in force, after waiting for the first one where
// the host has just started; nil if there is none.
func (c *call) awaitTable() *routetable.Table {
	g := c.g
	wait := startWait - g.now()
	if t := g.table.Load(); t != nil || wait <= 0 {
		return t
	}
	isClosedWithin(c.r.Context(), g.hasTable, wait)
	return g.table.Load()
}

// path returns the request's path as it came.
func path(r *http.Request) string {
	p, _, _ := strings.Cut(r.RequestURI, "?")
	return p
}

// readBody reads the body within the limits of the configuration.
func (c *call) readBody() error {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	c.body = body
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.CodeTooLarge, "the body is too large")
	default:
		return verdict.New(verdict.NotRun, verdict.CodeBadRequest, "the body did not come whole")
	}
}

// hopByHop are the fields that concern one connection.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// strip removes the fields that concern one connection.
func strip(h http.Header) {
	for _, v := range h["Connection"] {
		for _, name := range strings.Split(v, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// header returns what goes to an upstream. Resume, if not empty, is the last event that
// the caller has.
func (c *call) header(resume string) http.Header {
	d := c.g.cfg.Dialect
	h := c.r.Header.Clone()
	strip(h)
	h.Del(d.Key)
	h.Del(d.Workspace)
	h.Del(d.Dispatch.Instance)
	if c.workspace != "" {
		h.Set(d.Workspace, c.workspace)
	}
	if resume != "" {
		h.Set(d.Resume, resume)
	}
	h.Set(d.Dispatch.Deadline, strconv.FormatInt(max(time.Until(c.deadline).Milliseconds(), 1), 10))
	return h
}
