package emulator

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/schedule"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// host is an entry host: the product's scheduler, and what its gateway does around it.
type host struct {
	run       *run
	scheduler *schedule.Scheduler
	// waiting are the calls that wait for a place.
	waiting map[*schedule.Waiter]*call
}

// mayReturnPart is the part of its patience that a caller must have left to come back.
const mayReturnPart = 0.8

// hear takes in the loads of engines.
func (h *host) hear(loads []wire.EngineLoad) {
	results, _ := h.scheduler.SetLoads(loads, h.run.clock.now)
	h.deliver(results)
}

// deliver tells calls that have waited what becomes of them.
func (h *host) deliver(results []schedule.Result) {
	for _, d := range results {
		c := h.waiting[d.Waiter]
		delete(h.waiting, d.Waiter)
		c.decided(d.Decision)
	}
}

// admit asks for a place for a call.
func (h *host) admit(c *call) {
	now := h.run.clock.now
	d := h.scheduler.Admit(&schedule.Request{
		Service: serviceName, Engine: &h.run.cfg.Engine, Gap: h.run.cfg.Gap, OnTimeUntil: c.onTimeUntil(), Tried: c.tried,
		Left: c.deadline() - now, MayReturn: float64(c.deadline()-now) > mayReturnPart*float64(h.run.cfg.CallerTimeout),
	}, now)
	if d.Waiter == nil {
		c.decided(d)
		return
	}
	h.waiting[d.Waiter] = c
	h.run.clock.after(schedule.LongestWait, func() { h.giveUp(d.Waiter) })
}

// giveUp ends the wait of a call that has waited too long.
func (h *host) giveUp(w *schedule.Waiter) {
	c := h.waiting[w]
	if c == nil {
		return
	}
	delete(h.waiting, w)
	c.decided(h.scheduler.GiveUp(w, h.run.clock.now))
}

// end gives back the place of a call.
func (h *host) end(t *schedule.Ticket, o schedule.Outcome) {
	results, _ := h.scheduler.End(t, o, h.run.clock.now)
	h.deliver(results)
}

// call is one caller's request, over both of its tries.
type call struct {
	run  *run
	host *host
	// began is when the caller first asked, asked when it did last.
	began, asked time.Duration
	tries        int
	tried        []string
	ticket       *schedule.Ticket
	// last is when its last event came; events counts them, late those that were not on time.
	last         time.Duration
	events, late int
}

// arrive lets a caller come.
func (r *run) arrive() {
	r.open++
	r.report.Asked++
	c := &call{run: r, began: r.clock.now}
	c.ask()
}

func (c *call) deadline() time.Duration { return c.began + c.run.cfg.CallerTimeout }

// onTimeUntil is when the first event has to be there. A caller that has been here before is
// late: its time began with its first try.
func (c *call) onTimeUntil() time.Duration {
	if c.tries > 1 {
		return c.began
	}
	return c.began + c.run.cfg.Target
}

// ask asks a host.
func (c *call) ask() {
	c.tries++
	c.asked, c.tried = c.run.clock.now, nil
	c.host = c.run.hosts[c.run.rng.IntN(len(c.run.hosts))]
	c.host.scheduler.Arrive(serviceName, c.asked)
	c.host.admit(c)
}

// decided goes on with what the host has decided.
func (c *call) decided(d schedule.Decision) {
	if d.Ticket == nil {
		c.refused(d.RetryAfter)
		return
	}
	c.ticket = d.Ticket
	c.tried = append(c.tried, d.Ticket.ID())
	e := c.run.engines[d.Ticket.Address()]
	c.run.clock.after(hop, func() {
		if !e.take(c) {
			c.run.clock.after(hop, c.turnedAway)
		}
	})
}

// turnedAway goes on where an engine did not take the call: at another one, as far as the
// budget goes.
func (c *call) turnedAway() {
	c.host.end(c.ticket, schedule.Bad)
	now := c.run.clock.now
	if c.host.scheduler.MayRepeat(serviceName, now) {
		c.host.admit(c)
		return
	}
	c.refused(schedule.ReturnAfter(c.deadline() - now))
}

// refused tells the caller that its request did not run. It comes back once, when it was told
// to, within the third of its time that callers wait at most.
func (c *call) refused(retryAfter time.Duration) {
	now := c.run.clock.now
	c.run.report.refused(c.asked, now-c.asked)
	wait := min(retryAfter, schedule.ReturnAfter(c.deadline()-now))
	if c.tries > 1 {
		c.leave(&c.run.report.Refused)
		return
	}
	c.run.report.Returned++
	c.run.clock.after(wait, c.ask)
}

// event is an event of the answer at the caller.
func (c *call) event(isLast bool) {
	now := c.run.clock.now
	isLate := now > c.began+c.run.cfg.Target
	if c.events > 0 {
		c.host.scheduler.Pause(c.ticket, now-c.last, now)
		isLate = c.run.cfg.Gap > 0 && now-c.last > c.run.cfg.Gap
	} else {
		c.host.scheduler.First(c.ticket, now)
	}
	if isLate {
		c.late++
	}
	c.events++
	c.last = now
	if !isLast {
		return
	}
	c.host.end(c.ticket, schedule.Good)
	if c.late > 0 {
		c.leave(&c.run.report.Late)
		return
	}
	c.leave(&c.run.report.InAim)
}

// broken tells that the group broke under the call. Without an event it may go on elsewhere;
// an answer that has begun is lost.
func (c *call) broken() {
	if c.events == 0 {
		c.turnedAway()
		return
	}
	c.host.end(c.ticket, schedule.Bad)
	c.leave(&c.run.report.Cut)
}

// leave counts the call's end.
func (c *call) leave(as *int) {
	*as++
	c.run.open--
}
