package emulator

import (
	"container/heap"
	"time"
)

// clock is a virtual clock with a queue of events. Events run in the order of their time, and
// those with the same time in the order in which they were scheduled.
type clock struct {
	now       time.Duration
	events    events
	scheduled int
}

type event struct {
	at       time.Duration
	sequence int
	action   func()
}

// at schedules an action for time t, or for now if t has passed.
func (c *clock) at(t time.Duration, action func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: max(t, c.now), sequence: c.scheduled, action: action})
}

// after schedules an action for the time d from now.
func (c *clock) after(d time.Duration, action func()) { c.at(c.now+d, action) }

// runNext advances the clock to the next event and runs it. It reports whether there was one.
func (c *clock) runNext() bool {
	if len(c.events) == 0 {
		return false
	}
	e := heap.Pop(&c.events).(event)
	c.now = e.at
	e.action()
	return true
}

// events is a priority queue for package heap; the earliest event comes first.
type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
