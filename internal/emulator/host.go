package emulator

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// host is an entry host: the product's scheduler, and what its gateway does around it.
type host struct {
	sim       *simulation
	scheduler *schedule.Scheduler
	// waiting are the calls that wait for a place.
	waiting map[*schedule.Waiter]*call
}

// minReturnShare is the part of its patience that a caller must have left to come back.
const minReturnShare = 0.8

// applyLoads takes in the loads of engines.
func (h *host) applyLoads(loads []wire.EngineLoad) {
	results, _ := h.scheduler.SetLoads(loads, h.sim.clock.now)
	h.deliver(results)
}

// deliver tells calls that have waited what becomes of them.
func (h *host) deliver(results []schedule.Result) {
	for _, result := range results {
		c := h.waiting[result.Waiter]
		delete(h.waiting, result.Waiter)
		c.onDecision(result.Decision)
	}
}

// admit asks for a place for a call.
func (h *host) admit(c *call) {
	now := h.sim.clock.now
	d := h.scheduler.Admit(&schedule.Request{
		Service: serviceName, Engine: &h.sim.cfg.Engine, Gap: h.sim.cfg.Gap, OnTimeUntil: c.onTimeUntil(), Tried: c.triedUpstreams,
		Left: c.deadline() - now, MayReturn: float64(c.deadline()-now) > minReturnShare*float64(h.sim.cfg.CallerTimeout),
	}, now)
	if d.Waiter == nil {
		c.onDecision(d)
		return
	}
	h.waiting[d.Waiter] = c
	h.sim.clock.after(schedule.LongestWait, func() { h.giveUp(d.Waiter) })
}

// giveUp ends the wait of a call that has waited too long.
func (h *host) giveUp(w *schedule.Waiter) {
	c := h.waiting[w]
	if c == nil {
		return
	}
	delete(h.waiting, w)
	c.onDecision(h.scheduler.GiveUp(w, h.sim.clock.now))
}

// endAttempt gives back the place of a call.
func (h *host) endAttempt(t *schedule.Ticket, o schedule.Outcome) {
	results, _ := h.scheduler.End(t, o, h.sim.clock.now)
	h.deliver(results)
}

// call is one caller's request, over both of its tries.
type call struct {
	sim  *simulation
	host *host
	// firstTry is when the caller first asked, asked when it did last.
	firstTry, lastTry time.Duration
	tries             int
	triedUpstreams    []string
	ticket            *schedule.Ticket
	// lastEvent is when its last event came; events counts them, late those that were not on time.
	lastEvent              time.Duration
	eventCount, lateEvents int
}

// startCall lets a caller come.
func (s *simulation) startCall() {
	s.activeCallers++
	s.report.Asked++
	c := &call{sim: s, firstTry: s.clock.now}
	c.try()
}

func (c *call) deadline() time.Duration { return c.firstTry + c.sim.cfg.CallerTimeout }

// onTimeUntil is when the first event has to be there. A caller that has been here before is
// late: its time began with its first try.
func (c *call) onTimeUntil() time.Duration {
	if c.tries > 1 {
		return c.firstTry
	}
	return c.firstTry + c.sim.cfg.Target
}

// try asks a host.
func (c *call) try() {
	c.tries++
	c.lastTry, c.triedUpstreams = c.sim.clock.now, nil
	c.host = c.sim.hosts[c.sim.rng.IntN(len(c.sim.hosts))]
	c.host.scheduler.Arrive(serviceName, c.lastTry)
	c.host.admit(c)
}

// onDecision goes on with what the host has decided.
func (c *call) onDecision(d schedule.Decision) {
	if d.Ticket == nil {
		c.onRefusal(d.RetryAfter)
		return
	}
	c.ticket = d.Ticket
	c.triedUpstreams = append(c.triedUpstreams, d.Ticket.ID())
	e := c.sim.engines[d.Ticket.Address()]
	c.sim.clock.after(messageDelay, func() {
		if !e.accept(c) {
			c.sim.clock.after(messageDelay, c.onNotRun)
		}
	})
}

// onNotRun goes on where an engine did not take the call: at another one, as far as the
// budget goes.
func (c *call) onNotRun() {
	c.host.endAttempt(c.ticket, schedule.Bad)
	now := c.sim.clock.now
	if c.host.scheduler.MayRepeat(serviceName, now) {
		c.host.admit(c)
		return
	}
	c.onRefusal(schedule.ReturnAfter(c.deadline() - now))
}

// onRefusal tells the caller that its request did not run. It comes back once, when it was told
// to, within the third of its time that callers wait at most.
func (c *call) onRefusal(retryAfter time.Duration) {
	now := c.sim.clock.now
	c.sim.report.onRefusal(c.lastTry, now-c.lastTry)
	wait := min(retryAfter, schedule.ReturnAfter(c.deadline()-now))
	if c.tries > 1 {
		c.end(&c.sim.report.Refused)
		return
	}
	c.sim.report.Returned++
	c.sim.clock.after(wait, c.try)
}

// onEvent is an event of the answer at the caller.
func (c *call) onEvent(isLast bool) {
	now := c.sim.clock.now
	isLate := now > c.firstTry+c.sim.cfg.Target
	if c.eventCount > 0 {
		c.host.scheduler.Pause(c.ticket, now-c.lastEvent, now)
		isLate = c.sim.cfg.Gap > 0 && now-c.lastEvent > c.sim.cfg.Gap
	} else {
		c.host.scheduler.First(c.ticket, now)
	}
	if isLate {
		c.lateEvents++
	}
	c.eventCount++
	c.lastEvent = now
	if !isLast {
		return
	}
	c.host.endAttempt(c.ticket, schedule.Good)
	if c.lateEvents > 0 {
		c.end(&c.sim.report.Late)
		return
	}
	c.end(&c.sim.report.InAim)
}

// onGroupFailure tells that the group broke under the call. Without an event it may go on elsewhere;
// an answer that has begun is lost.
func (c *call) onGroupFailure() {
	if c.eventCount == 0 {
		c.onNotRun()
		return
	}
	c.host.endAttempt(c.ticket, schedule.Bad)
	c.end(&c.sim.report.Cut)
}

// end counts the call's end.
func (c *call) end(counter *int) {
	*counter++
	c.sim.activeCallers--
}
