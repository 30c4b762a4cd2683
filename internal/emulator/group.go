package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// group is a set of ranks that execute each pass together.
type group struct {
	run    *run
	name   string
	ranks  []*engine
	epoch  uint64
	isOpen bool
	// isPassing tells that a pass is under way. It ends with the epoch in which it began.
	isPassing bool
}

// engine is one rank.
type engine struct {
	group   *group
	address string
	rank    uint32
	// writing are the requests that have a slot, in the order in which they came; queue are
	// those that wait for one.
	writing, queue []*stream
	// starts counts the requests that got a slot.
	starts int
}

// stream is a request at an engine.
type stream struct {
	call *call
	// readAt is when its prompt is read; passes is how many events are to come.
	readAt time.Duration
	passes int
}

func newGroup(r *run, n int) *group {
	g := &group{run: r, name: fmt.Sprintf("group-%d", n), epoch: 1, isOpen: true}
	for rank := range r.cfg.Ranks {
		g.ranks = append(g.ranks, &engine{group: g, address: fmt.Sprintf("%s/%d", g.name, rank), rank: uint32(rank)})
	}
	return g
}

// take takes in a request, which has come from its host. It returns false where the group does
// not serve; the request did not run then.
func (e *engine) take(c *call) bool {
	if !e.group.isOpen {
		return false
	}
	e.queue = append(e.queue, &stream{call: c})
	e.fill()
	e.group.start()
	return true
}

// fill gives slots to those that wait for one.
func (e *engine) fill() {
	r := e.group.run
	for len(e.queue) > 0 && len(e.writing) < r.cfg.Engine.Slots {
		s := e.queue[0]
		e.queue = e.queue[1:]
		s.readAt = r.clock.now + r.readTime()
		s.passes = r.passes()
		e.writing = append(e.writing, s)
		e.starts++
	}
}

// readTime is how long the prompt of a request takes to read.
func (r *run) readTime() time.Duration {
	return time.Duration(r.cfg.Engine.Prompt / r.cfg.Engine.PrefillRate * float64(time.Second))
}

// passes draws how many passes an answer takes: from half of the mean to half more.
func (r *run) passes() int {
	tokens := r.cfg.Engine.Answer * (0.5 + r.rng.Float64())
	return max(int(math.Ceil(tokens/float64(max(r.cfg.Engine.Stride, 1)))), 1)
}

// start begins a pass if there is work and none is under way.
func (g *group) start() {
	if g.isPassing || !g.isOpen || g.most() == 0 {
		return
	}
	g.isPassing = true
	began, epoch := g.run.clock.now, g.epoch
	g.run.clock.after(g.passTime(), func() { g.end(began, epoch) })
}

// most is how many requests the rank with the most of them has.
func (g *group) most() int {
	most := 0
	for _, e := range g.ranks {
		most = max(most, len(e.writing))
	}
	return most
}

// passTime is how long the pass takes that begins now: all ranks wait for the one with the
// most work, and its experts for the skew.
func (g *group) passTime() time.Duration {
	e := g.run.cfg.Engine
	step := float64(e.StepTime) + float64(g.most())*float64(e.StepTimePerRequest)
	skew := 1 - e.Experts.WorkShare + e.Experts.WorkShare*g.run.cfg.Skew
	return time.Duration(float64(max(e.Stride, 1)) * skew * step)
}

// end ends a pass: each request whose prompt was read when it began has an event.
func (g *group) end(began time.Duration, epoch uint64) {
	if g.epoch != epoch {
		return
	}
	g.isPassing = false
	for _, e := range g.ranks {
		e.write(began)
		e.fill()
	}
	g.start()
}

func (e *engine) write(began time.Duration) {
	clock := &e.group.run.clock
	e.writing = slices.DeleteFunc(e.writing, func(s *stream) bool {
		if s.readAt > began {
			return false
		}
		s.passes--
		isLast := s.passes == 0
		clock.after(hop, func() { s.call.event(isLast) })
		return isLast
	})
}

// breakUp lets the group serve no more: what it has is lost.
func (g *group) breakUp() {
	g.isOpen, g.isPassing = false, false
	g.epoch++
	for _, e := range g.ranks {
		for _, s := range append(e.writing, e.queue...) {
			g.run.clock.after(hop, s.call.broken)
		}
		e.writing, e.queue = nil, nil
	}
}

// form lets it serve again.
func (g *group) form() { g.isOpen = true }

// loads are those of all engines now.
func (r *run) loads() []wire.EngineLoad {
	var out []wire.EngineLoad
	for _, g := range r.groups {
		for _, e := range g.ranks {
			out = append(out, wire.EngineLoad{
				Address: e.address, IsOpen: g.isOpen, Running: len(e.writing), Waiting: len(e.queue),
				Group: g.name, Epoch: g.epoch, Rank: e.rank,
			})
		}
	}
	return out
}
