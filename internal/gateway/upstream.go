package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/pause"
	"github.com/sassafraspost/sassafraspost/internal/registry"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// reservation reserves an upstream for an attempt. It is released once.
type reservation struct {
	*schedule.Ticket
	g *Gateway
	// cancel cancels the attempt's context, and cause returns the reason given for that; nil if
	// the attempt has no context of its own.
	cancel context.CancelCauseFunc
	cause  func() error
}

// maxTokenWait is how long a request to a plain service waits for an upstream that has a rate
// limit or rests, if there is no other. It is longer than tokens take to come.
const maxTokenWait = 450 * time.Millisecond

// reservePlain reserves an upstream of a plain service, which is one without engines, that the
// request may be sent to. If the host has just started, it waits until the upstreams are known. If all
// upstreams have rate limits or rest, it waits up to maxTokenWait for one. If all are in evacuated
// data centres or outside the allowed regions, it does not wait. Errors are *verdict.Error and always NotRun.
func (g *Gateway) reservePlain(ctx context.Context, name string, allowed *schedule.Constraints) (registry.Upstream, *reservation, error) {
	waitsUntil := g.now() + maxTokenWait
	var waiter *schedule.PlainWaiter
	defer func() { g.stopWaiting(waiter) }()
	for {
		g.mu.Lock()
		now := g.now()
		u, t, ok := g.scheduler.ReserveLeastLoaded(name, allowed, now)
		waiter = g.waitForToken(waiter, name, allowed, !ok)
		next, isRestricted := g.scheduler.AcceptsAt(name, allowed, now)
		hasNoRegion := g.scheduler.HasNoRegion(name, allowed, now)
		changed, isClosed := g.upstreamsChanged, g.evacuations.closedServices[name]
		g.requestTokens()
		g.mu.Unlock()
		if ok {
			return u, &reservation{Ticket: t, g: g}, nil
		}
		if isClosed {
			return u, nil, g.refuseEvacuated(ctx)
		}
		if hasNoRegion {
			g.counts.increment("refused." + schedule.NoRegion.Name())
			return u, nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, schedule.NoRegion.String())
		}
		if isRestricted && (next > waitsUntil || now >= waitsUntil) {
			return u, nil, g.refuseRestricted(name, next)
		}
		wait := startupWait - now
		if isRestricted {
			wait = waitsUntil - now
			if next > now {
				wait = next - now
			}
		}
		hasChanged := wait > 0 && pause.UntilClosed(ctx, changed, wait)
		if ctx.Err() != nil || !hasChanged && !isRestricted {
			return u, nil, verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "no upstream is left")
		}
	}
}

// waitForToken tells the scheduler whether a request to a plain service waits for a token of a cold
// upstream. It returns the request's entry there, nil if it does not wait. The caller holds mu.
func (g *Gateway) waitForToken(w *schedule.PlainWaiter, name string, allowed *schedule.Constraints, waits bool) *schedule.PlainWaiter {
	switch {
	case waits && w == nil && g.scheduler.HasCold(name, g.now()):
		return g.scheduler.AddPlainWaiter(name, allowed)
	case !waits && w != nil:
		g.scheduler.RemovePlainWaiter(w)
		return nil
	}
	return w
}

// stopWaiting tells the scheduler that a request waits no longer; w may be nil.
func (g *Gateway) stopWaiting(w *schedule.PlainWaiter) {
	if w != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.scheduler.RemovePlainWaiter(w)
	}
}

// refuseRestricted returns the error of a request that no upstream accepts before the given time.
func (g *Gateway) refuseRestricted(name string, next time.Duration) error {
	g.counts.increment("refused." + schedule.Restricted.Name())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.countColdRefusal(name)
	retryAfter := g.scheduler.RestrictedRetryAfter(name, next, g.now())
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded, schedule.Restricted.String()).WithRetryAfter(retryAfter)
}

// outcome is what the end of an attempt says about its upstream.
type outcome uint8

const (
	// outcomeNeutral means that the attempt ended for a reason of the caller, not of the
	// upstream.
	outcomeNeutral outcome = iota
	outcomeGood
	// outcomeBad means that the upstream broke off the response, refused the request or failed.
	outcomeBad
	// outcomeMisdirected means that the address now belongs to another upstream, or to a later
	// start of the same one.
	outcomeMisdirected
)

// schedulerOutcomes maps outcomes to those of the scheduler. The others are neutral there.
var schedulerOutcomes = map[outcome]schedule.Outcome{outcomeGood: schedule.Success, outcomeBad: schedule.Failure}

// release releases the reservation and records the outcome of the attempt.
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
	g.requestTokens()
	if isSuspected {
		g.cfg.Log.Info("upstream suspected", "upstream", r.ID())
	}
	if o == outcomeMisdirected && g.view.Revoke(r.ID(), r.StartedAt()) {
		g.cfg.Log.Info("upstream revoked: another upstream has its address", "upstream", r.ID())
		g.updateUpstreams()
	}
}

// errWithheld is the reason for not sending an attempt to the upstream that it has reserved.
var errWithheld = errors.New("the upstream accepts no request any more")

// maySend returns errWithheld if the upstream has stated since the reservation that it accepts no
// request.
func (r *reservation) maySend() error {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	if r.g.scheduler.MaySend(r.Ticket, r.g.now()) {
		return nil
	}
	return errWithheld
}

// classRank returns the rank of the request's priority class; see [schedule.Ticket.ClassRank].
func (r *reservation) classRank() (int, bool) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.ClassRank()
}

// lastReport returns what the host was last told of the upstream of an attempt, and how long ago the
// control host that told it was heard, or NoSession.
func (g *Gateway) lastReport(r *reservation) (registry.Report, time.Duration) {
	g.mu.Lock()
	report := g.view.LastReport(r.ID(), r.StartedAt(), g.now())
	g.mu.Unlock()
	return report, g.cfg.SilenceOf(report.ToldBy)
}

// NoSession stands for the silence of a control host with which there is no session.
const NoSession = -time.Millisecond

// isDraining reports whether an upstream has announced that it is draining.
func (g *Gateway) isDraining(r *reservation) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.IsDraining(r.ID(), r.StartedAt())
}

// SetHostCount sets how many hosts share the limits.
func (g *Gateway) SetHostCount(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetHostCount(n, g.now())
}

// ReportDemands returns the demand at this host for each service with engines, to be included in the
// next totals.
func (g *Gateway) ReportDemands() []wire.ServiceDemand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.scheduler.ReportDemands(g.now())
}

// SetTotalDemands applies the demand at all entry hosts together.
func (g *Gateway) SetTotalDemands(all []wire.ServiceDemand) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.scheduler.SetTotalDemands(all, g.now())
}

// SetLoads applies load reports of engines.
func (g *Gateway) SetLoads(all []wire.EngineLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	results, stalled := g.scheduler.SetLoads(all, g.now())
	g.deliver(results)
	g.requestTokens()
	g.logReportChanges()
	for _, s := range stalled {
		if cancel := g.cancels[s.Ticket]; cancel != nil && !g.runsInEvacuated(s.Ticket) {
			cancel(&stalledError{s})
		}
	}
	g.moveStreams()
	g.requestRetries()
}

// logReportChanges logs whose load reports are missing and whose arrive again. The caller holds mu.
func (g *Gateway) logReportChanges() {
	for _, c := range g.scheduler.TakeReportChanges(g.now()) {
		message := "reports of the engine arrive again"
		if c.IsMissing {
			message = "reports of the engine are missing"
			g.counts.increment("engines.reports-missing")
		}
		g.cfg.Log.Warn(message, "upstream", c.Upstream, "load_age_ms", c.Age.Milliseconds(), "attempts", c.Attempts,
			"awaiting_header", c.AwaitingHeader)
	}
}

// moveError is the reason for cancelling an attempt whose stream is to be continued at another engine.
type moveError struct{ reason schedule.LeaveReason }

// Error implements error.
func (e *moveError) Error() string { return e.reason.String() }

// moveStreams cancels the attempts whose streams are to be continued at other engines. The
// caller holds mu.
func (g *Gateway) moveStreams() {
	for _, m := range g.scheduler.TakeMoves(g.now()) {
		if cancel := g.cancels[m.Ticket]; cancel != nil {
			cancel(&moveError{m.Reason})
		}
	}
}

// allowMove lets the stream of an attempt be continued at another engine, until the given time.
func (g *Gateway) allowMove(r *reservation, until time.Time) {
	if r.cancel == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancels[r.Ticket] = r.cancel
	g.scheduler.AllowMove(r.Ticket, g.clockTime(until))
}

// leaves reports whether the attempt was cancelled before its response began, because it is to leave an
// engine that is unresponsive or whose group is stalled.
func (r *reservation) leaves() bool {
	var stalled *stalledError
	return r.cause != nil && errors.As(r.cause(), &stalled) && stalled.Reason != schedule.GroupClosed
}

// isMoved reports whether the attempt was cancelled so that its stream is continued elsewhere.
func (r *reservation) isMoved() bool {
	var moved *moveError
	return r.cause != nil && errors.As(r.cause(), &moved)
}

// deliver sends queued requests the decisions about them. The caller holds mu.
func (g *Gateway) deliver(results []schedule.Result) {
	for _, r := range results {
		g.waiters[r.Waiter] <- r.Decision
		delete(g.waiters, r.Waiter)
	}
}

// recordFirstEvent records that the first event of a response has arrived.
func (r *reservation) recordFirstEvent() {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.scheduler.RecordFirstEvent(r.Ticket, r.g.now())
}

// recordEventGap records the time between two events of a response.
func (r *reservation) recordEventGap(gap time.Duration) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	r.g.scheduler.RecordEventGap(r.Ticket, gap, r.g.now())
}

// maxConnections returns this host's share of the limit on connections to an upstream; 0 means
// no limit.
func (g *Gateway) maxConnections(s *routetable.Service) int {
	if s == nil || s.MaxConnections == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return max(s.MaxConnections/g.scheduler.HostCount(), 1)
}

// awaitHeader registers an attempt to be cancelled if its group does not serve or its engine is
// unresponsive. mayResend tells that the request may be sent to another upstream. The caller calls
// stop when the response header has arrived.
func (g *Gateway) awaitHeader(r *reservation, since time.Duration, mayResend bool, cancel context.CancelCauseFunc) (stop func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cancels[r.Ticket] = cancel
	g.scheduler.AwaitHeader(r.Ticket, since, mayResend)
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.cancels, r.Ticket)
		g.scheduler.EndHeaderWait(r.Ticket)
	}
}
