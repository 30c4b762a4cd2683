package gateway

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/sassafraspost/sassafraspost/internal/backpressure"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// setColdParams passes the limits of cold upstreams to the scheduler. The caller holds mu.
func (g *Gateway) setColdParams(t *routetable.Table) {
	params := map[string]schedule.ColdParams{}
	for _, s := range t.Services {
		if s.ColdDuration > 0 && s.ColdRate > 0 {
			params[s.Name] = schedule.ColdParams{Duration: s.ColdDuration, Tolerated: s.ColdRate, Bound: g.cfg.ColdBound.Max(s.ColdRate)}
		}
	}
	g.deliver(g.scheduler.SetColdParams(params, g.now()))
	g.updateColdState()
}

// updateColdState logs which upstreams have become cold or are no longer, and sets the timer for the next
// one that stops being cold. The caller holds mu.
func (g *Gateway) updateColdState() {
	now := g.now()
	all := g.scheduler.ColdUpstreams(now)
	if len(all) == 0 && len(g.cold) == 0 {
		return
	}
	next := make(map[backpressure.Incarnation]schedule.ColdUpstream, len(all))
	for _, u := range all {
		i := backpressure.Incarnation{Upstream: u.ID, StartedAt: u.StartedAt}
		next[i] = u
		// A cold time that now ends at a different time counts as another one.
		if before, wasCold := g.cold[i]; !wasCold || (u.Until-before.Until).Abs() > time.Second {
			g.counts.increment("cold.begun")
			g.cfg.Log.Info("upstream is cold", "upstream", u.ID, "service", u.Service, "cold_ms", (u.Until - now).Milliseconds())
		}
	}
	for i, u := range g.cold {
		if _, isCold := next[i]; !isCold {
			g.cfg.Log.Info("upstream is not cold any more", "upstream", i.Upstream, "service", u.Service)
		}
	}
	g.cold = next
	metrics.GetOrRegisterGauge("gateway.cold.upstreams", g.counts.registry).Update(int64(len(all)))
	g.setColdTimer(now)
}

// setColdTimer sets the timer for the first upstream that stops being cold. The caller holds mu.
func (g *Gateway) setColdTimer(now time.Duration) {
	if g.coldTimer != nil {
		g.coldTimer.Stop()
		g.coldTimer = nil
	}
	if end, ok := g.scheduler.NextColdEnd(); ok {
		g.coldTimer = time.AfterFunc(max(end-now, time.Millisecond), g.endColdTimes)
	}
}

// endColdTimes decides again on the requests that wait, after an upstream has stopped being cold.
func (g *Gateway) endColdTimes() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reconsiderCold()
	g.updateColdState()
}

// reconsiderCold decides again on the requests that wait. The caller holds mu.
func (g *Gateway) reconsiderCold() {
	g.deliver(g.scheduler.ReconsiderCold(g.now()))
	g.requestTokens()
	g.upstreamsHaveChanged()
}

// useColdTokens asks for tokens for the requests that still wait, and decides on them again when the
// tokens that were granted for later become usable. tokens is nil if there was no answer. The caller
// holds mu.
func (g *Gateway) useColdTokens(tokens *wire.Tokens) {
	g.requestTokens()
	if tokens == nil {
		return
	}
	g.counts.add("cold.tokens.granted", len(tokens.WaitsMS))
	for _, wait := range durations(tokens.WaitsMS) {
		if wait > 0 {
			time.AfterFunc(wait, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.reconsiderCold()
			})
		}
	}
}

// countPassedOver counts the requests that went elsewhere because an upstream is cold. The caller
// holds mu.
func (g *Gateway) countPassedOver() {
	if n := g.scheduler.TakePassedOver(); n > 0 {
		g.counts.add("cold.sent-elsewhere", n)
	}
}

// countColdRefusal counts a refused request to a service with cold upstreams. The caller holds mu.
func (g *Gateway) countColdRefusal(service string) {
	if g.scheduler.HasCold(service, g.now()) {
		g.counts.increment("cold.refused")
	}
}
