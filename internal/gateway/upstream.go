package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// ticket is an attempt's hold on an upstream; it ends once.
type ticket struct {
	*schedule.Ticket
	g *Gateway
	// cancel frees what the attempt's context holds; nil if it has none of its own.
	cancel context.CancelCauseFunc
}

// choose picks an upstream of a plain service that was not tried, and counts the attempt
// there. Where the host has just started, it waits for one to be known. It returns false
// where there is none.
func (g *Gateway) choose(ctx context.Context, name string, tried []string) (registry.Upstream, *ticket, bool) {
	for {
		g.mu.Lock()
		u, t, ok := g.scheduler.ReserveLeastLoaded(name, tried, g.now())
		published := g.published
		g.mu.Unlock()
		if ok {
			return u, &ticket{Ticket: t, g: g}, true
		}
		wait := startWait - g.now()
		if wait <= 0 || !isClosedWithin(ctx, published, wait) {
			return u, nil, false
		}
	}
}

// isClosedWithin waits for c to be closed, until ctx ends or the time is over.
func isClosedWithin(ctx context.Context, c <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// outcome is how an attempt went, as far as it says something of the upstream.
type outcome uint8

const (
	// outcomeNeutral: the attempt was ended for a reason of the caller's.
	outcomeNeutral outcome = iota
	outcomeGood
	// outcomeBad: the upstream broke off, refused or failed.
	outcomeBad
	// outcomeMisdirected: another incarnation has the address.
	outcomeMisdirected
)

// judgements are what outcomes say of an upstream's work.
var judgements = map[outcome]schedule.Outcome{outcomeGood: schedule.Success, outcomeBad: schedule.Failure}

// end gives the hold back.
func (t *ticket) end(o outcome) {
	g := t.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.cancel != nil {
		t.cancel(nil)
	}
	delete(g.taken, t.Ticket)
	results, isSuspected := g.scheduler.Release(t.Ticket, judgements[o], g.now())
	g.deliver(results)
	if isSuspected {
		g.cfg.Log.Info("upstream suspected", "upstream", t.ID())
	}
	if o == outcomeMisdirected && g.view.Revoke(t.ID(), t.Born()) {
		g.cfg.Log.Info("upstream revoked: another one has its address", "upstream", t.ID())
		g.publish()
	}
}

// isLeaving reports whether an upstream has said that it leaves.
func (g *Gateway) isLeaving(t *ticket) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.IsLeaving(t.ID(), t.Born())
}

// request counts a caller's request to a service.
func (g *Gateway) request(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.CountRequest(name, g.now())
}

// mayRepeat takes one repeat from the service's budget.
func (g *Gateway) mayRepeat(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.TakeRetry(name, g.now())
}

// SetHosts tells how many hosts share the budgets.
func (g *Gateway) SetHosts(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetHosts(n)
}

// SetLoads takes in the loads of engines.
func (g *Gateway) SetLoads(all []wire.EngineLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	results, stalled := g.scheduler.SetLoads(all, g.now())
	g.deliver(results)
	for _, s := range stalled {
		if end := g.taken[s.Ticket]; end != nil {
			end(&stalledError{hasOther: s.HasOtherGroup, retryAfter: s.RetryAfter})
		}
	}
}

// deliver tells the requests that wait what becomes of them. The caller holds mu.
func (g *Gateway) deliver(results []schedule.Result) {
	for _, r := range results {
		g.waiting[r.Waiter] <- r.Decision
		delete(g.waiting, r.Waiter)
	}
}

// begun tells that the first event of an answer is there.
func (t *ticket) begun() {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.scheduler.RecordFirstEvent(t.Ticket, t.g.now())
}

// paused tells how long the answer paused between two events.
func (t *ticket) paused(took time.Duration) {
	t.g.mu.Lock()
	defer t.g.mu.Unlock()
	t.g.scheduler.RecordEventGap(t.Ticket, took, t.g.now())
}

// connections returns this host's part of the bound on connections to an upstream.
func (g *Gateway) connections(s *routetable.Service) int {
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(s.MaxConnections/g.scheduler.Hosts(), 1)
}

// listen lets an attempt be ended while its group does not serve. The caller calls stop
// once the head of the answer is there.
func (g *Gateway) listen(t *ticket, since time.Duration, end context.CancelCauseFunc) (stop func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.taken[t.Ticket] = end
	g.scheduler.AwaitHeader(t.Ticket, since)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.taken, t.Ticket)
		g.scheduler.HeaderReceived(t.Ticket)
	}
}
