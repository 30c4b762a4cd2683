package rank

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// simGroup is a group of engines in lock-step.
type simGroup struct {
	engines []*simEngine
	step    uint64
	mixed   bool
}

// simEngine is one rank's engine. It implements Client.
type simEngine struct {
	g     *simGroup
	state Report
	// late are orders that were not answered and may be carried out at any time.
	late []Order
	// lose decides whether the next order gets lost on its way.
	lose func() bool
}

func newGroup(ranks int) *simGroup {
	g := &simGroup{}
	for i := range ranks {
		g.engines = append(g.engines, &simEngine{g: g, state: Report{
			Group: "g", Epoch: 1, Rank: i, Size: ranks, IsOpen: true,
		}, lose: func() bool { return false }})
	}
	return g
}

// pass begins the next pass if no rank holds before it.
func (g *simGroup) pass() bool {
	next := g.step + 1
	for _, e := range g.engines {
		if e.state.PauseStep == next {
			return false
		}
	}
	g.step = next
	for _, e := range g.engines {
		e.state.Step = next
		if e.state.ArmedVersion != 0 && e.state.ArmedStep == next {
			e.state.Map, e.state.ArmedVersion, e.state.ArmedStep, e.state.Prepared = e.state.ArmedVersion, 0, 0, 0
		}
		g.mixed = g.mixed || e.state.Map != g.engines[0].state.Map
	}
	return true
}

func (e *simEngine) Report(context.Context) (Report, error) { return e.state, nil }

func (e *simEngine) Picks(context.Context) (uint64, []uint64, error) { return 1, nil, nil }

func (e *simEngine) Experts(context.Context) (uint64, [][]uint16, error) { return 0, nil, nil }

func (e *simEngine) Order(_ context.Context, o Order) error {
	if e.lose() {
		e.late = append(e.late, o)
		return errors.Wrap(ErrUnanswered, "lost")
	}
	return e.carryOut(o)
}

var errRefused = errors.New("refused")

// carryOut is an engine's rule for each order.
func (e *simEngine) carryOut(o Order) error {
	s := &e.state
	if o.Epoch != s.Epoch || o.Expect != s.Sequence {
		return errRefused
	}
	switch {
	case o.Operation == Prepare && o.Version > s.Map && o.Version > s.Prepared && s.ArmedVersion == 0:
		s.Prepared = o.Version
	case o.Operation == Arm && s.Prepared == o.Version && o.Step > s.Step && s.ArmedVersion == 0:
		s.ArmedVersion, s.ArmedStep = o.Version, o.Step
	case o.Operation == Disarm && s.ArmedVersion == o.Version:
		s.ArmedVersion, s.ArmedStep = 0, 0
	case o.Operation == Pause && o.Step > s.Step && s.PauseStep == 0:
		s.PauseStep = o.Step
	case o.Operation == Resume && s.PauseStep == o.Step:
		s.PauseStep = 0
	default:
		return errRefused
	}
	s.Sequence++
	return nil
}

// simAgent is the agent beside an engine.
type simAgent struct {
	address     expertmap.Address
	engine      *Engine
	participant *expertmap.Participant
	coordinator *expertmap.Coordinator
}

type packet struct {
	from, to expertmap.Address
	isReply  bool
	message  expertmap.Message
}

// simWorld is a group with its agents and the messages between them.
type simWorld struct {
	group  *simGroup
	agents []*simAgent
	net    []packet
	unique uint64
	// first is the map that agents know without being told, if it has content.
	first expertmap.Map
	// ghosts are agents that were replaced although they go on, as one that was frozen.
	ghosts map[expertmap.Address]*simAgent
}

func newWorld(ranks int) *simWorld {
	w := &simWorld{group: newGroup(ranks), ghosts: map[expertmap.Address]*simAgent{}}
	for i := range ranks {
		w.agents = append(w.agents, &simAgent{address: expertmap.Address(i)})
		w.restart(i)
	}
	return w
}

// restart starts an agent without memory.
func (w *simWorld) restart(i int) {
	w.unique++
	a := w.agents[i]
	a.engine = New(w.group.engines[i], 1, 1)
	a.participant = expertmap.NewParticipant(w.unique, 3, w.first)
	a.coordinator = nil
}

// start lets an agent coordinate, with a proposal or to settle what is open.
func (w *simWorld) start(i int, propose bool) {
	w.unique++
	a := w.agents[i]
	cfg := expertmap.Config{ID: w.unique, LastKnownBallot: a.participant.Promised(), ArmAhead: 2, DeadlineTicks: 6}
	for _, other := range w.agents {
		cfg.Participants = append(cfg.Participants, other.address)
	}
	a.coordinator, _ = expertmap.NewCoordinator(cfg)
	var p *expertmap.Proposal
	if propose {
		p = &expertmap.Proposal{
			Base: Ballot(w.group.engines[i].state.Map),
			Map:  expertmap.Map{SlotsPerRank: 1, Layers: [][]uint16{make([]uint16, len(w.agents))}},
		}
	}
	w.post(a.address, a.coordinator.Start(p))
}

func (w *simWorld) post(from expertmap.Address, all []expertmap.Envelope) {
	for _, e := range all {
		w.net = append(w.net, packet{from: from, to: e.To, message: e.Message})
	}
}

// deliver hands over one message.
func (w *simWorld) deliver(p packet) {
	a := w.agents[p.to]
	if p.isReply {
		if a.coordinator != nil {
			w.post(a.address, a.coordinator.Step(p.from, p.message))
		}
		return
	}
	w.work(a, a.participant.Step(p.from, p.message))
}

// work does what a participant wants until it wants nothing more.
func (w *simWorld) work(a *simAgent, o expertmap.Output) {
	ctx := context.Background()
	for {
		if o.Reply != nil {
			w.net = append(w.net, packet{from: a.address, to: o.Reply.To, isReply: true, message: o.Reply.Message})
		}
		if !o.HasWork {
			return
		}
		for _, order := range o.Orders {
			_ = order.Execute(ctx, a.engine)
		}
		s, err := a.engine.Status(ctx)
		o = a.participant.Done([]expertmap.Status{s}, err)
	}
}

func (w *simWorld) tick() {
	for _, a := range w.agents {
		if a.coordinator != nil {
			w.post(a.address, a.coordinator.Tick())
		}
	}
}

// calm delivers everything, without losses, until nothing is left to do.
func (w *simWorld) calm() {
	for range 200 {
		for len(w.net) > 0 {
			p := w.net[0]
			w.net = w.net[1:]
			w.deliver(p)
		}
		w.tick()
		w.group.pass()
	}
}

// settle lets an agent coordinate until nothing is open. Ballots that others hold to a
// higher one are refused at first.
func (w *simWorld) settle() {
	w.start(0, false)
	c := w.agents[0].coordinator
	for w.calm(); c.Outcome() == expertmap.OutcomeSuperseded; w.calm() {
		w.post(0, c.Start(nil))
	}
}
