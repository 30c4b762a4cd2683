package emulator

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// group is a set of ranks that run each pass together.
type group struct {
	sim    *simulation
	name   string
	ranks  []*engine
	epoch  uint64
	isOpen bool
	// isPassRunning tells that a pass is in progress. A pass is lost if the epoch changes
	// before it ends.
	isPassRunning bool
}

// engine is the engine of one rank.
type engine struct {
	group   *group
	address string
	rank    uint32
	// running lists the requests that occupy a slot, and queue those that wait for one, both in
	// order of arrival.
	running, queue []*request
	// started counts the requests that have been given a slot.
	started int
}

// request is a call that an engine has accepted.
type request struct {
	call *call
	// promptDone is the time at which the engine has processed the prompt. passes is the number
	// of passes, and so of events, that the answer still needs.
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

// accept queues a call that has arrived from a host. It returns false if the group is down; the
// call hasn't run then.
func (e *engine) accept(c *call) bool {
	if !e.group.isOpen {
		return false
	}
	e.queue = append(e.queue, &request{call: c})
	e.fillSlots()
	e.group.startPass()
	return true
}

// fillSlots moves queued requests into free slots.
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

// promptTime is how long an engine takes to process a prompt.
func (s *simulation) promptTime() time.Duration {
	return time.Duration(s.cfg.Engine.MeanPromptTokens / s.cfg.Engine.PrefillRate * float64(time.Second))
}

// passes draws the number of passes that an answer takes, uniformly between half and one and a
// half times the mean.
func (s *simulation) passes() int {
	tokens := s.cfg.Engine.MeanAnswerTokens * (0.5 + s.rng.Float64())
	return max(int(math.Ceil(tokens/float64(max(s.cfg.Engine.StepsPerPass, 1)))), 1)
}

// startPass starts a pass if some rank has a running request and no pass is in progress.
func (g *group) startPass() {
	if g.isPassRunning || !g.isOpen || g.maxRunning() == 0 {
		return
	}
	g.isPassRunning = true
	began, epoch := g.sim.clock.now, g.epoch
	g.sim.clock.after(g.passTime(), func() { g.endPass(began, epoch) })
}

// maxRunning returns the number of running requests of the rank that has most of them.
func (g *group) maxRunning() int {
	highest := 0
	for _, e := range g.ranks {
		highest = max(highest, len(e.running))
	}
	return highest
}

// meanRunning returns the mean number of running requests of the ranks.
func (g *group) meanRunning() float64 {
	sum := 0
	for _, e := range g.ranks {
		sum += len(e.running)
	}
	return float64(sum) / float64(len(g.ranks))
}

// passTime returns how long a pass takes that starts now. In the part of the work that each rank
// does for its own requests, all ranks wait for the one with the most running requests. The part
// that experts do (Experts.WorkShare) comes from the requests of all ranks, and all ranks wait
// for the one with the most loaded experts.
func (g *group) passTime() time.Duration {
	e := g.sim.cfg.Engine
	step := func(requests float64) float64 { return float64(e.StepTime) + requests*float64(e.StepTimePerRequest) }
	own := (1 - e.Experts.WorkShare) * step(float64(g.maxRunning()))
	experts := e.Experts.WorkShare * g.sim.skew() * step(g.meanRunning())
	return time.Duration(float64(max(e.StepsPerPass, 1)) * (own + experts))
}

// endPass ends a pass. Each request whose prompt had been processed before the pass started
// gets one event.
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

// cancel drops the request of a call that no longer waits for it.
func (e *engine) cancel(c *call) {
	isCancelled := func(req *request) bool { return req.call == c }
	e.running = slices.DeleteFunc(e.running, isCancelled)
	e.queue = slices.DeleteFunc(e.queue, isCancelled)
	e.fillSlots()
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

// fail starts an outage: the group accepts no more requests and loses those that it has.
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

// reform ends an outage: the group accepts requests again.
func (g *group) reform() { g.isOpen = true }

// loads returns the current load of every engine.
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
