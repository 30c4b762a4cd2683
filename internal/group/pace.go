package group

import "time"

// idleSpan is how long no step has to begin for the pace to be unknown.
const idleSpan = time.Second

// pace measures how long a step takes, from looks at the number of the last one begun:
// the mean over the last two looks that found a new one.
type pace struct {
	step    uint64
	changed time.Time
	// took are the times of a step at the last two changes, 0 if unknown.
	took [2]time.Duration
}

// observe takes the number of the last step begun.
func (p *pace) observe(step uint64, now time.Time) {
	idle := now.Sub(p.changed)
	switch {
	case p.changed.IsZero() || step < p.step:
		*p = pace{step: step, changed: now}
	case step > p.step:
		*p = pace{step: step, changed: now, took: [2]time.Duration{p.took[1], idle / time.Duration(step-p.step)}}
	case idle >= idleSpan:
		p.took = [2]time.Duration{}
	}
}

// mean returns the time of a step, 0 while it is not known or none is made.
func (p *pace) mean() time.Duration {
	if p.took[0] == 0 {
		return p.took[1]
	}
	return (p.took[0] + p.took[1]) / 2
}

// toNext returns about how long it is until the next step begins, at the mean pace.
func (p *pace) toNext(now time.Time) time.Duration {
	return max(p.mean()-now.Sub(p.changed), 0)
}

// late returns by how much a step that has just been seen to begin came later than the
// mean pace lets expect, 0 where the pace is not known.
func (p *pace) late(step uint64, now time.Time) time.Duration {
	mean := p.mean()
	if mean == 0 || step <= p.step {
		return 0
	}
	return max(now.Sub(p.changed)-time.Duration(step-p.step)*mean, 0)
}

// firstOrders is what the orders of a change are taken to need before one was measured: a
// round of messages and of four calls at the engine, on hosts with a quarter of a core.
const firstOrders = 100 * time.Millisecond

// orderTime estimates how long it takes from the first order to arm until all ranks are
// let go, as the retransmission timer of TCP (RFC 6298) estimates a round trip: it differs
// by ten times between small groups and large ones on slow links.
type orderTime struct {
	mean, deviation time.Duration
}

// observe takes the time that one change needed.
func (o *orderTime) observe(took time.Duration) {
	if o.mean == 0 {
		o.mean, o.deviation = took, took/2
		return
	}
	o.deviation += ((took - o.mean).Abs() - o.deviation) / 4
	o.mean += (took - o.mean) / 8
}

// usual returns the time that a change needs on the mean, 0 if none was measured.
func (o *orderTime) usual() time.Duration { return o.mean }

// expect returns a time within which nearly all changes are through.
func (o *orderTime) expect() time.Duration {
	if o.mean == 0 {
		return firstOrders
	}
	return o.mean + 4*o.deviation
}
