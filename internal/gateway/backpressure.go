package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/dispatch"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// tokenTimeout bounds a request for tokens. The leading control host answers from memory, within
// a round trip between data centres.
const tokenTimeout = 400 * time.Millisecond

// Backpressure connects a Gateway with the other hosts that send requests to the same upstreams.
type Backpressure struct {
	// Publish sends notices to the other hosts. It must not block.
	Publish func([]backpressure.Notice)
	// RequestTokens asks the leading control host for tokens.
	RequestTokens func(context.Context, *wire.TokenRequest) (*wire.Tokens, error)
}

// observe records what a response states about its upstream, and tells the other hosts if that
// has changed.
func (g *Gateway) observe(o *dispatch.Observation) {
	statement, err := g.cfg.Dialect.Statement(o.Status, o.Header)
	if err != nil {
		g.counts.increment("backpressure.unreadable")
		g.cfg.Log.Warn("statement of an upstream can't be read", "upstream", o.Target.ID, "request", o.Attempt, "error", err.Error())
	}
	statement.SentAt, statement.ReadAt = g.clockTime(o.SentAt), g.clockTime(o.ReadAt)
	i := backpressure.Incarnation{Upstream: o.Target.ID, StartedAt: o.Target.StartedAt}
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.statements.Rate(i)
	change := g.statements.Observe(i, statement, g.now())
	g.apply(i, change, before, 0, "request", o.Attempt, "status", o.Status)
	if statement.Cold > 0 {
		g.scheduler.SetObservedCold(i, statement.ReadAt+statement.Cold, g.now())
		g.updateColdState()
	}
	if statement.Rest > 0 {
		g.deliver(g.scheduler.SetRest(i, statement.ReadAt+statement.Rest, g.now()))
	}
	if change.IsAny() && g.cfg.Backpressure.Publish != nil {
		g.cfg.Backpressure.Publish([]backpressure.Notice{g.statements.Notice(i, g.now())})
	}
}

// MergeNotices applies what another host reports about upstreams. source names that host.
func (g *Gateway) MergeNotices(source string, all []backpressure.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, n := range all {
		before := g.statements.Rate(n.Incarnation)
		change := g.statements.Add(n, g.now())
		g.apply(n.Incarnation, change, before, time.Duration(n.ReadAgeMS)*time.Millisecond, "from", source)
		if change.Rest {
			g.scheduler.Avoid(n.Incarnation, g.statements.RestUntil(n.Incarnation), g.now())
		}
	}
}

// Notices returns notices of all upstreams that accept fewer requests than others.
func (g *Gateway) Notices() []backpressure.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.statements.Notices(g.now())
}

// apply puts what has changed about an upstream into force, and logs and counts it. before is the
// rate limit before the change, age is how long ago the statement was read, and source names who
// read it. The caller holds mu.
func (g *Gateway) apply(i backpressure.Incarnation, change backpressure.Change, before float64, age time.Duration, source ...any) {
	source = append([]any{"upstream", i.Upstream, "age_ms", age.Milliseconds()}, source...)
	if change.Rate {
		message, rate := "upstream states a rate limit", g.statements.Rate(i)
		if rate == 0 {
			message = "upstream states no rate limit any more"
		}
		g.counts.increment("rate-limits.changed")
		g.cfg.Log.Warn(message, append(source, "per_second", rate, "before", before)...)
		g.deliver(g.scheduler.SetRateLimit(i, rate, g.now()))
		g.upstreamsHaveChanged()
	}
	if change.Rest {
		g.counts.increment("rests.asked")
		g.cfg.Log.Warn("upstream asks for rest", append(source, "rest_ms", (g.statements.RestUntil(i)-g.now()).Milliseconds())...)
	}
	if change.Leaving {
		g.counts.increment("leaving.stated")
		g.cfg.Log.Warn("upstream says that it leaves", source...)
		if g.view.MarkLeaving(i.Upstream, i.StartedAt) {
			g.updateUpstreams()
		}
	}
}

// limitUpstreams passes the rate limits to the scheduler after it has got other upstreams, since a
// limit may be heard before its upstream is known. The caller holds mu.
func (g *Gateway) limitUpstreams() {
	now := g.now()
	for _, n := range g.statements.Notices(now) {
		if n.Rate > 0 {
			g.deliver(g.scheduler.SetRateLimit(n.Incarnation, n.Rate, now))
		}
	}
}

// upstreamsHaveChanged wakes the requests to plain services that wait for an upstream. The caller
// holds mu.
func (g *Gateway) upstreamsHaveChanged() {
	close(g.upstreamsChanged)
	g.upstreamsChanged = make(chan struct{})
}

// requestTokens asks for the tokens that requests have missed. The caller holds mu.
func (g *Gateway) requestTokens() {
	g.countPassedOver()
	for _, r := range g.scheduler.TakeTokenRequests(g.now()) {
		i := backpressure.Incarnation{Upstream: r.Upstream.ID, StartedAt: r.Upstream.StartedAt}
		if r.ColdRate > 0 {
			g.counts.add("cold.tokens.asked", r.Count)
		}
		go g.awaitTokens(i, &wire.TokenRequest{Notice: g.statements.Notice(i, g.now()), Count: r.Count, ColdRate: r.ColdRate})
	}
}

// awaitTokens sends a request for tokens and applies the answer.
func (g *Gateway) awaitTokens(i backpressure.Incarnation, m *wire.TokenRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
	defer cancel()
	tokens, err := g.cfg.Backpressure.RequestTokens(ctx, m)
	g.mu.Lock()
	defer g.mu.Unlock()
	var results []schedule.Result
	if err != nil {
		g.counts.increment("tokens.unanswered")
		g.cfg.Log.Info("no tokens: using this host's share of the rate", "upstream", i.Upstream, "per_second", max(m.Notice.Rate, m.ColdRate), "error", err.Error())
		results = g.scheduler.TokensUnanswered(i, g.now())
	} else {
		g.counts.add("tokens.granted", len(tokens.WaitsMS))
		g.counts.add("tokens.missed", m.Count-len(tokens.WaitsMS))
		results = g.scheduler.AddTokens(i, durations(tokens.WaitsMS), time.Duration(tokens.AgainMS)*time.Millisecond, g.now())
	}
	g.deliver(results)
	g.upstreamsHaveChanged()
	if m.ColdRate > 0 {
		g.useColdTokens(tokens)
	}
}

// durations converts milliseconds.
func durations(ms []int64) []time.Duration {
	out := make([]time.Duration, len(ms))
	for i := range ms {
		out[i] = time.Duration(ms[i]) * time.Millisecond
	}
	return out
}
