package emulator

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// host is an entry host: the real scheduler, and a model of what the gateway does with its
// decisions.
type host struct {
	sim       *simulation
	scheduler *schedule.Scheduler
	// waiting maps each queued request of the scheduler to its call.
	waiting map[*schedule.Waiter]*call
}

// minReturnShare is the part of its timeout that a caller must have left for the scheduler to
// assume that it can retry later. As in package gateway, an outage then leads to a refusal at
// once instead of a wait at the host.
const minReturnShare = 0.8

// applyLoads gives the load reports of engines to the scheduler.
func (h *host) applyLoads(loads []wire.EngineLoad) {
	results, _ := h.scheduler.SetLoads(loads, h.sim.clock.now)
	h.deliver(results)
}

// deliver passes the scheduler's decisions on to the calls that have waited for them.
func (h *host) deliver(results []schedule.Result) {
	for _, result := range results {
		c := h.waiting[result.Waiter]
		delete(h.waiting, result.Waiter)
		c.onDecision(result.Decision)
	}
}

// admit asks the scheduler for an engine. If the scheduler queues the call, its wait is limited
// to schedule.MaxQueueWait.
func (h *host) admit(c *call) {
	now := h.sim.clock.now
	d := h.scheduler.Admit(&schedule.Request{
		Service: serviceName, Engine: &h.sim.cfg.Engine, MaxEventGap: h.sim.cfg.MaxEventGap, OnTimeUntil: c.onTimeUntil(), Tried: c.triedUpstreams,
		Priority: c.class.Priority, TimeLeft: c.deadline() - now, CanRetry: float64(c.deadline()-now) > minReturnShare*float64(h.sim.cfg.CallerTimeout),
	}, now)
	if d.Waiter == nil {
		c.onDecision(d)
		return
	}
	h.waiting[d.Waiter] = c
	h.sim.clock.after(schedule.MaxQueueWait, func() { h.giveUp(d.Waiter) })
}

// giveUp ends the wait of a call that has been queued for too long, unless it has been decided
// on already.
func (h *host) giveUp(w *schedule.Waiter) {
	c := h.waiting[w]
	if c == nil {
		return
	}
	delete(h.waiting, w)
	c.onDecision(h.scheduler.Abandon(w, h.sim.clock.now))
}

// endAttempt tells the scheduler that the call no longer occupies the engine, and with which
// outcome.
func (h *host) endAttempt(t *schedule.Ticket, o schedule.Outcome) {
	results, _ := h.scheduler.Release(t, o, h.sim.clock.now)
	h.deliver(results)
}

// call is the request of one caller. A caller tries at most twice, at a host each. Within one
// try, the host may attempt several engines.
type call struct {
	sim   *simulation
	class *Class
	host  *host
	// counts are the counters of the caller's class and phase.
	counts *Counts
	// firstTry and lastTry are the times of the caller's first and last try.
	firstTry, lastTry time.Duration
	tries             int
	triedUpstreams    []string
	ticket            *schedule.Ticket
	// lastEvent is the time of the latest event. eventCount counts the events, lateEvents those
	// of them that were late.
	lastEvent              time.Duration
	eventCount, lateEvents int
	// silenceChecks counts the events of this call that restart its silence timeout. A timeout
	// that was started before the last of them has no effect.
	silenceChecks int
	hasEnded      bool
}

// startCall starts the request of a new caller.
func (s *simulation) startCall(class *Class) {
	s.activeCallers++
	s.report.Callers++
	c := &call{sim: s, class: class, firstTry: s.clock.now, counts: s.report.countsOf(s.cfg.phase(s.clock.now), class.Priority)}
	c.counts.Callers++
	c.try()
}

func (c *call) deadline() time.Duration { return c.firstTry + c.sim.cfg.CallerTimeout }

// onTimeUntil returns the time by which the first event is on time. For a retry it has passed
// already, since the target is counted from the first try.
func (c *call) onTimeUntil() time.Duration {
	if c.tries > 1 {
		return c.firstTry
	}
	return c.firstTry + c.class.Target
}

// pickHost returns the host of the caller's present try.
func (c *call) pickHost() *host {
	s := c.sim
	for _, p := range s.cfg.Crowds {
		if c.tries == 1 && p.From <= s.clock.now && s.clock.now < p.To && s.rng.Float64() < p.Share {
			return s.hosts[p.Host]
		}
	}
	return s.hosts[s.rng.IntN(len(s.hosts))]
}

// try sends the request to a host.
func (c *call) try() {
	c.tries++
	c.lastTry, c.triedUpstreams = c.sim.clock.now, nil
	c.host = c.pickHost()
	c.host.scheduler.CountRequest(serviceName, c.lastTry)
	c.startSilenceTimeout()
	c.host.admit(c)
}

// startSilenceTimeout starts the caller's silence timeout again.
func (c *call) startSilenceTimeout() {
	c.silenceChecks++
	check := c.silenceChecks
	if c.sim.cfg.SilenceTimeout > 0 {
		c.sim.clock.after(c.sim.cfg.SilenceTimeout, func() {
			if !c.hasEnded && check == c.silenceChecks {
				c.abandon()
			}
		})
	}
}

// abandon ends a try in which nothing has reached the caller for too long. The caller tries
// again at once if it has a try left.
func (c *call) abandon() {
	now := c.sim.clock.now
	for w, waiting := range c.host.waiting {
		if waiting == c {
			delete(c.host.waiting, w)
			c.host.scheduler.Abandon(w, now)
		}
	}
	if c.ticket != nil {
		c.sim.engines[c.ticket.Address()].cancel(c)
		c.host.endAttempt(c.ticket, schedule.Neutral)
		c.ticket = nil
	}
	if c.tries > 1 || c.eventCount > 0 {
		c.end(&c.sim.report.Abandoned, &c.counts.Abandoned)
		return
	}
	c.try()
}

// onDecision handles the scheduler's decision: it sends the call to the chosen engine, or
// refuses it.
func (c *call) onDecision(d schedule.Decision) {
	if d.Ticket == nil {
		c.onRefusal(d.RetryAfter)
		return
	}
	c.ticket = d.Ticket
	c.triedUpstreams = append(c.triedUpstreams, d.Ticket.ID())
	e := c.sim.engines[d.Ticket.Address()]
	c.sim.clock.after(messageDelay, func() {
		if c.ticket == d.Ticket && !e.accept(c) {
			c.sim.clock.after(messageDelay, c.onNotRun)
		}
	})
}

// onNotRun handles an attempt that an engine didn't run. The host attempts another engine if
// the retry budget allows it.
func (c *call) onNotRun() {
	if c.ticket == nil {
		return
	}
	c.host.endAttempt(c.ticket, schedule.Failure)
	c.ticket = nil
	now := c.sim.clock.now
	if c.host.takeRetry(now) {
		c.host.admit(c)
		return
	}
	c.onRefusal(schedule.MaxRetryAfter(c.deadline() - now))
}

// onRefusal handles a refusal; the request hasn't run. After the first refusal the caller
// retries as late as Retry-After asks for, but after no more than a third of its remaining
// time, because callers don't wait longer than that. A second refusal is final.
func (c *call) onRefusal(retryAfter time.Duration) {
	now := c.sim.clock.now
	c.silenceChecks++
	c.sim.report.onRefusal(c.lastTry, now-c.lastTry)
	wait := min(retryAfter, schedule.MaxRetryAfter(c.deadline()-now))
	if c.tries > 1 {
		c.end(&c.sim.report.Refused, &c.counts.RefusedAgain)
		return
	}
	c.sim.report.Retried++
	c.counts.Refused++
	c.sim.clock.after(wait, c.try)
}

// onEvent handles an event of the answer that has reached the caller.
func (c *call) onEvent(isLast bool) {
	if c.ticket == nil {
		return
	}
	c.startSilenceTimeout()
	now := c.sim.clock.now
	isLate := now > c.firstTry+c.class.Target
	if c.eventCount > 0 {
		c.host.scheduler.RecordEventGap(c.ticket, now-c.lastEvent, now)
		isLate = c.sim.cfg.MaxEventGap > 0 && now-c.lastEvent > c.sim.cfg.MaxEventGap
	} else {
		c.host.scheduler.RecordFirstEvent(c.ticket, now)
	}
	if isLate {
		c.lateEvents++
	}
	c.eventCount++
	c.lastEvent = now
	if !isLast {
		return
	}
	c.host.endAttempt(c.ticket, schedule.Success)
	if c.lateEvents > 0 {
		c.end(&c.sim.report.Late, &c.counts.Late)
		return
	}
	c.end(&c.sim.report.OnTime, &c.counts.OnTime)
}

// onGroupFailure handles the failure of the group that runs the call. If no event has arrived
// yet, the host may attempt another engine. An answer that has begun is lost.
func (c *call) onGroupFailure() {
	if c.eventCount == 0 || c.ticket == nil {
		c.onNotRun()
		return
	}
	c.host.endAttempt(c.ticket, schedule.Failure)
	c.end(&c.sim.report.Interrupted, &c.counts.Interrupted)
}

// end ends the call and adds it to one of the report's counters and to the same counter of its
// class and phase.
func (c *call) end(total, ofPhase *int) {
	c.hasEnded = true
	*total++
	*ofPhase++
	c.sim.activeCallers--
}

// takeRetry takes a retry from the host's budget, and asks for more if there is none. The delay of the
// answer is not simulated.
func (h *host) takeRetry(now time.Duration) bool {
	if _, ok := h.scheduler.TakeRetry(serviceName, now); ok {
		return true
	}
	for _, r := range h.scheduler.TakeRetryRequests(now) {
		n := h.sim.grantRetries(r.Count, now)
		h.scheduler.AddRetries(serviceName, n, now, retryAskPause, now)
	}
	_, ok := h.scheduler.TakeRetry(serviceName, now)
	return ok
}

// retryAskPause is the time between two requests of a host for retries.
const retryAskPause = 10 * time.Millisecond

// grantRetries grants up to wanted retries of the extra that all hosts share.
func (s *simulation) grantRetries(wanted int, now time.Duration) int {
	s.retries.Observe(serviceName, s.reservedRetries, 0, now)
	n := s.retries.Propose(serviceName, wanted, now)
	s.reservedRetries += uint64(n)
	s.retries.Observe(serviceName, s.reservedRetries, 0, now)
	return s.retries.Confirm(serviceName, n, now)
}
