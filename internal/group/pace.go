package group

import "time"

// paceSpan is over how long steps are counted: some ten at the usual pace.
const paceSpan = 400 * time.Millisecond

// pace measures how long a step takes.
type pace struct {
	since time.Time
	first uint64
	last  time.Duration
}

// observe takes the number of the last step begun.
func (p *pace) observe(step uint64, now time.Time) {
	if p.since.IsZero() || step < p.first {
		p.since, p.first = now, step
		return
	}
	if span := now.Sub(p.since); span >= paceSpan {
		p.last = 0
		if n := step - p.first; n > 0 {
			p.last = span / time.Duration(n)
		}
		p.since, p.first = now, step
	}
}

// step returns the time of a step, 0 while it is not known or none is made.
func (p *pace) step() time.Duration { return p.last }
