package expertmap

import (
	"slices"

	"github.com/pkg/errors"
)

// packet is a message on its way.
type packet struct {
	from, to Address
	msg      Message
	// reply goes to the coordinator of the host, anything else to its participant.
	reply bool
}

// lateOrder is an order that a dead agent left on its way to the engine.
type lateOrder struct {
	engine *fakeEngine
	order  Order
}

// fakeHost is an agent with its engines.
type fakeHost struct {
	addr    Address
	part    *Participant
	coord   *Coordinator
	engines []*fakeEngine
	work    bool
	orders  []Order
}

// world is a group under a scheduler that the test drives.
type world struct {
	hosts   []*fakeHost
	engines []*fakeEngine
	net     []packet
	late    []lateOrder
	unique  uint64
	sent    int
	// first is the map that agents know without being told, if it has content.
	first Map
	// used is the map of each step that has begun on some rank and wasn't void.
	used map[uint64]Version
	err  error
}

func newWorld(hosts, ranksPerHost int) *world {
	w := &world{used: map[uint64]Version{}}
	for i := range hosts {
		h := &fakeHost{addr: Address(i)}
		for range ranksPerHost {
			h.engines = append(h.engines, &fakeEngine{})
		}
		w.engines = append(w.engines, h.engines...)
		w.hosts = append(w.hosts, h)
		w.restartAgent(h)
	}
	return w
}

func (w *world) nextUnique() uint64 {
	w.unique++
	return w.unique
}

func (w *world) restartAgent(h *fakeHost) {
	if len(h.orders) > 0 {
		w.late = append(w.late, lateOrder{h.engines[h.orders[0].EngineIndex], h.orders[0]})
	}
	// Patiences differ, so that recoveries don't start together.
	h.part = NewParticipant(w.nextUnique(), 5+5*int(h.addr), w.first)
	h.coord = nil
	h.work = false
	h.orders = nil
}

func (w *world) newCoordinator(h *fakeHost, ahead uint64) {
	cfg := Config{ID: w.nextUnique(), ArmAhead: ahead, LocalParticipant: h.addr, DeadlineTicks: 8, LastKnownBallot: h.part.Promised()}
	for _, o := range w.hosts {
		cfg.Participants = append(cfg.Participants, o.addr)
	}
	h.coord, _ = NewCoordinator(cfg)
}

// propose starts a ballot with a map planned on the base.
func (w *world) propose(h *fakeHost, base Version) {
	w.sendAll(h, h.coord.Start(&Proposal{Base: base, Map: Map{SlotsPerRank: 1}}))
}

func (w *world) sendAll(h *fakeHost, out []Envelope) {
	for _, e := range out {
		w.net = append(w.net, packet{from: h.addr, to: e.To, msg: e.Message})
	}
	w.sent += len(out)
}

// deliver takes packet i off the net.
func (w *world) deliver(i int) {
	p := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	h := w.hosts[p.to]
	switch {
	case !p.reply:
		w.output(h, h.part.Step(p.from, p.msg))
	case h.coord != nil:
		w.sendAll(h, h.coord.Step(p.from, p.msg))
	}
}

func (w *world) output(h *fakeHost, o Output) {
	if o.Reply != nil {
		w.net = append(w.net, packet{from: h.addr, to: o.Reply.To, msg: o.Reply.Message, reply: true})
		w.sent++
	}
	if o.HasWork {
		h.work = true
		h.orders = o.Orders
	}
}

// agentWork does one order, or reads the engines when all are done. Without work it
// looks at what waits.
func (w *world) agentWork(h *fakeHost) {
	if !h.work {
		w.output(h, h.part.Tick())
		return
	}
	if len(h.orders) > 0 {
		h.engines[h.orders[0].EngineIndex].do(h.orders[0])
		h.orders = h.orders[1:]
		return
	}
	h.work = false
	w.output(h, h.part.Done(h.statuses(), nil))
}

func (h *fakeHost) statuses() []Status {
	var out []Status
	for _, e := range h.engines {
		out = append(out, e.copied())
	}
	return out
}

// engineWork finishes or starts a step where the lock-step allows it.
func (w *world) engineWork(e *fakeEngine) {
	for _, o := range w.engines {
		waits := !e.running && o.finished < e.finished
		joins := e.running && o.finished < e.status.Step && !(o.running && o.status.Step == e.status.Step)
		if waits || joins {
			return
		}
	}
	if e.running {
		e.running = false
		e.finished = e.status.Step
		w.used[e.finished] = e.status.Active.Version
		return
	}
	if e.start() {
		w.checkStep(e)
	}
}

// restartEngine loses one engine. Once all have lost their maps there is no
// state left that a step could differ from: the group starts anew.
func (w *world) restartEngine(e *fakeEngine) {
	e.restart()
	if slices.ContainsFunc(w.engines, func(o *fakeEngine) bool { return o.status.HasMap() }) {
		return
	}
	clear(w.used)
	for _, o := range w.engines {
		o.finished, o.status.Step = 0, 0
	}
}

// checkStep compares the step that a rank begins with all others that have
// begun or ended it.
func (w *world) checkStep(e *fakeEngine) {
	v := e.status.Active.Version
	if done, ok := w.used[e.status.Step]; ok && done != v {
		w.fail(e, done)
	}
	for _, o := range w.engines {
		if o.running && o.status.Step == e.status.Step && o.status.Active.Version != v {
			w.fail(e, o.status.Active.Version)
		}
	}
}

func (w *world) fail(e *fakeEngine, other Version) {
	w.err = errors.Errorf("step %d runs on maps %v and %v", e.status.Step, e.status.Active.Version, other)
}

// round is one turn of everything without faults.
func (w *world) round() {
	for n := len(w.net); n > 0; n-- {
		w.deliver(0)
	}
	for _, h := range w.hosts {
		for h.work {
			w.agentWork(h)
		}
	}
	// A stage is answered once the weights are loaded, so it is asked twice.
	w.enginesWork(w.engines)
	w.enginesWork(w.engines)
}

func (w *world) enginesWork(engines []*fakeEngine) {
	for _, e := range engines {
		e.loadAll()
		w.engineWork(e)
	}
}
