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
	sim    *simulation
	name   string
	ranks  []*engine
	epoch  uint64
	isOpen bool
	// isPassRunning tells that a pass is under way. It ends with the epoch in which it began.
	isPassRunning bool
}

// engine is one rank.
type engine struct {
	group   *group
	address string
	rank    uint32
	// running are the requests that have a slot, in the order in which they came; queue are
	// those that wait for one.
	running, queue []*request
	// started counts the requests that got a slot.
	started int
}

// request is a request at an engine.
type request struct {
	call *call
	// promptDone is when its prompt is read; passes is how many events are to come.
	promptDone time.Duration
	passes     int
}

func newGroup(sim *simulation, n int) *group {
	g := &group{sim: sim, name: fmt.Sprintf("group-%d", n), epoch: 1, isOpen: true}
	for rank := range sim.cfg.Ranks {
		g.ranks = append(g.ranks, &engine{group: g, address: fmt.Sprintf("%s/%d", g.name, rank), rank: uint32(rank)})
	}
	return g
}

// accept takes in a request, which has come from its host. It returns false where the group does
// not serve; the request did not run then.
func (e *engine) accept(c *call) bool {
	if !e.group.isOpen {
		return false
	}
	e.queue = append(e.queue, &request{call: c})
	e.fillSlots()
	e.group.startPass()
	return true
}

// fillSlots gives slots to those that wait for one.
func (e *engine) fillSlots() {
	sim := e.group.sim
	for len(e.queue) > 0 && len(e.running) < sim.cfg.Engine.Slots {
		req := e.queue[0]
		e.queue = e.queue[1:]
		req.promptDone = sim.clock.now + sim.promptTime()
		req.passes = sim.passes()
		e.running = append(e.running, req)
		e.started++
	}
}

// promptTime is how long the prompt of a request takes to read.
func (s *simulation) promptTime() time.Duration {
	return time.Duration(s.cfg.Engine.Prompt / s.cfg.Engine.ReadRate * float64(time.Second))
}

// passes draws how many passes an answer takes: from half of the mean to half more.
func (s *simulation) passes() int {
	tokens := s.cfg.Engine.Answer * (0.5 + s.rng.Float64())
	return max(int(math.Ceil(tokens/float64(max(s.cfg.Engine.Stride, 1)))), 1)
}

// startPass begins a pass if there is work and none is under way.
func (g *group) startPass() {
	if g.isPassRunning || !g.isOpen || g.maxRunning() == 0 {
		return
	}
	g.isPassRunning = true
	began, epoch := g.sim.clock.now, g.epoch
	g.sim.clock.after(g.passTime(), func() { g.endPass(began, epoch) })
}

// maxRunning is how many requests the rank with the most of them has.
func (g *group) maxRunning() int {
	highest := 0
	for _, e := range g.ranks {
		highest = max(highest, len(e.running))
	}
	return highest
}

// passTime is how long the pass takes that begins now: all ranks wait for the one with the
// most work, and its experts for the skew.
func (g *group) passTime() time.Duration {
	e := g.sim.cfg.Engine
	step := float64(e.Step) + float64(g.maxRunning())*float64(e.PerRequest)
	skew := 1 - e.Experts.Share + e.Experts.Share*g.sim.cfg.Skew
	return time.Duration(float64(max(e.Stride, 1)) * skew * step)
}

// endPass ends a pass: each request whose prompt was read when it began has an event.
func (g *group) endPass(began time.Duration, epoch uint64) {
	if g.epoch != epoch {
		return
	}
	g.isPassRunning = false
	for _, e := range g.ranks {
		e.emitEvents(began)
		e.fillSlots()
	}
	g.startPass()
}

func (e *engine) emitEvents(began time.Duration) {
	clock := &e.group.sim.clock
	e.running = slices.DeleteFunc(e.running, func(req *request) bool {
		if req.promptDone > began {
			return false
		}
		req.passes--
		isLast := req.passes == 0
		clock.after(messageDelay, func() { req.call.onEvent(isLast) })
		return isLast
	})
}

// fail lets the group serve no more: what it has is lost.
func (g *group) fail() {
	g.isOpen, g.isPassRunning = false, false
	g.epoch++
	for _, e := range g.ranks {
		for _, req := range append(e.running, e.queue...) {
			g.sim.clock.after(messageDelay, req.call.onGroupFailure)
		}
		e.running, e.queue = nil, nil
	}
}

// reform lets it serve again.
func (g *group) reform() { g.isOpen = true }

// loads are those of all engines now.
func (s *simulation) loads() []wire.EngineLoad {
	var out []wire.EngineLoad
	for _, g := range s.groups {
		for _, e := range g.ranks {
			out = append(out, wire.EngineLoad{
				Address: e.address, IsOpen: g.isOpen, Running: len(e.running), Waiting: len(e.queue),
				Group: g.name, Epoch: g.epoch, Rank: e.rank,
			})
		}
	}
	return out
}
