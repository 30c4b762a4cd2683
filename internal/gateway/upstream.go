package gateway

import (
	"context"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// reservation is an attempt's hold on an upstream; it ends once.
type reservation struct {
	*schedule.Ticket
	g *Gateway
	// cancel frees what the attempt's context holds; nil if it has none of its own.
	cancel context.CancelCauseFunc
}

// reservePlain picks an upstream of a plain service that was not tried, and counts the attempt
// there. Where the host has just started, it waits for one to be known. It returns false
// where there is none.
func (g *Gateway) reservePlain(ctx context.Context, name string, tried []string) (registry.Upstream, *reservation, bool) {
	for {
		g.mu.Lock()
		u, t, ok := g.scheduler.ReserveLeastLoaded(name, tried, g.now())
		published := g.upstreamsChanged
		g.mu.Unlock()
		if ok {
			return u, &reservation{Ticket: t, g: g}, true
		}
		wait := startupWait - g.now()
		if wait <= 0 || !waitClosed(ctx, published, wait) {
			return u, nil, false
		}
	}
}

// waitClosed waits for c to be closed, until ctx ends or the time is over.
func waitClosed(ctx context.Context, closed <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-closed:
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

// schedulerOutcomes are what outcomes say of an upstream's work.
var schedulerOutcomes = map[outcome]schedule.Outcome{outcomeGood: schedule.Success, outcomeBad: schedule.Failure}

// release gives the hold back.
func (r *reservation) release(o outcome) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.cancel != nil {
		r.cancel(nil)
	}
	delete(g.cancels, r.Ticket)
	results, isSuspected := g.scheduler.Release(r.Ticket, schedulerOutcomes[o], g.now())
	g.deliver(results)
	if isSuspected {
		g.cfg.Log.Info("upstream suspected", "upstream", r.ID())
	}
	if o == outcomeMisdirected && g.view.Revoke(r.ID(), r.Born()) {
		g.cfg.Log.Info("upstream revoked: another one has its address", "upstream", r.ID())
		g.updateUpstreams()
	}
}

// isDraining reports whether an upstream has said that it leaves.
func (g *Gateway) isDraining(r *reservation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.IsLeaving(r.ID(), r.Born())
}

// countRequest counts a caller's request to a service.
func (g *Gateway) countRequest(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.CountRequest(name, g.now())
}

// takeRetry takes one repeat from the service's budget.
func (g *Gateway) takeRetry(name string) bool {
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
		if cancel := g.cancels[s.Ticket]; cancel != nil {
			cancel(&stalledError{hasOtherGroup: s.HasOtherGroup, retryAfter: s.RetryAfter})
		}
	}
}

// deliver tells the requests that wait what becomes of them. The caller holds mu.
func (g *Gateway) deliver(results []schedule.Result) {
	for _, r := range results {
		g.waiters[r.Waiter] <- r.Decision
		delete(g.waiters, r.Waiter)
	}
}

// recordFirstEvent tells that the first event of an answer is there.
func (r *reservation) recordFirstEvent() {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.scheduler.RecordFirstEvent(r.Ticket, r.g.now())
}

// recordEventGap tells how long the answer paused between two events.
func (r *reservation) recordEventGap(gap time.Duration) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.scheduler.RecordEventGap(r.Ticket, gap, r.g.now())
}

// maxConnections returns this host's part of the bound on connections to an upstream.
func (g *Gateway) maxConnections(s *routetable.Service) int {
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(s.MaxConnections/g.scheduler.Hosts(), 1)
}

// awaitHeader lets an attempt be ended while its group does not serve. The caller calls stop
// once the head of the answer is there.
func (g *Gateway) awaitHeader(r *reservation, since time.Duration, cancel context.CancelCauseFunc) (stop func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancels[r.Ticket] = cancel
	g.scheduler.AwaitHeader(r.Ticket, since)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.cancels, r.Ticket)
		g.scheduler.HeaderReceived(r.Ticket)
	}
}
