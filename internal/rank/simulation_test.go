package rank

import (
	"context"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// simGroup is a simulated group of engines that run in lockstep.
type simGroup struct {
	engines      []*simEngine
	step         uint64
	hasMixedMaps bool
}

// simEngine is the simulated engine of one rank. It implements Client.
type simEngine struct {
	group *simGroup
	state Report
	// lateOrders are orders that got no answer and may be executed at any time.
	lateOrders []Order
	// losesNext decides whether the next order is lost in transit.
	losesNext func() bool
	// countsNoOrders is set if the engine accepts orders without counting them in its Sequence.
	countsNoOrders bool
	// fence is the highest FencingCounter that the engine has seen.
	fence uint64
}

func newGroup(ranks int) *simGroup {
	g := &simGroup{}
	for i := range ranks {
		g.engines = append(g.engines, &simEngine{group: g, state: Report{
			Group: "g", Epoch: 1, Rank: i, Size: ranks, IsOpen: true,
		}, losesNext: func() bool { return false }})
	}
	return g
}

// startStep starts the next step unless some rank is paused before it.
func (g *simGroup) startStep() bool {
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
		g.hasMixedMaps = g.hasMixedMaps || e.state.Map != g.engines[0].state.Map
	}
	return true
}

func (e *simEngine) Report(context.Context) (Report, error) { return e.state, nil }

func (e *simEngine) Selections(context.Context) (uint64, []uint64, error) { return 1, nil, nil }

func (e *simEngine) Experts(context.Context) (uint64, [][]uint16, error) { return 0, nil, nil }

func (e *simEngine) Order(_ context.Context, o Order) error {
	if e.losesNext() {
		e.lateOrders = append(e.lateOrders, o)
		return errors.Wrap(ErrUnanswered, "lost")
	}
	return e.execute(o)
}

var errRefused = errors.New("refused")

// execute applies the engine's rules for each kind of order.
func (e *simEngine) execute(o Order) error {
	s := &e.state
	if o.Epoch != s.Epoch || o.ExpectedSequence != s.Sequence || o.FencingCounter != 0 && o.FencingCounter < e.fence {
		return errRefused
	}
	e.fence = max(e.fence, o.FencingCounter)
	switch {
	case o.Operation == Pause && s.PauseStep == o.Step:
		return nil
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
	if !e.countsNoOrders {
		s.Sequence++
	}
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

// simulation is a group with its agents and the messages in transit between them.
type simulation struct {
	group   *simGroup
	agents  []*simAgent
	network []packet
	lastID  uint64
	// initialMap is the map that agents know from the start without a message. It may have no
	// content.
	initialMap expertmap.Map
	// staleAgents are agents that were replaced but still run, like an agent that was frozen for
	// a while.
	staleAgents map[expertmap.Address]*simAgent
}

func newSimulation(ranks int) *simulation {
	sim := &simulation{group: newGroup(ranks), staleAgents: map[expertmap.Address]*simAgent{}}
	for i := range ranks {
		sim.agents = append(sim.agents, &simAgent{address: expertmap.Address(i)})
		sim.restart(i)
	}
	return sim
}

// restart replaces an agent by a new one, which remembers nothing.
func (sim *simulation) restart(i int) {
	sim.lastID++
	a := sim.agents[i]
	a.engine = New(sim.group.engines[i], 1, 1)
	a.participant = expertmap.NewParticipant(sim.lastID, 3, sim.initialMap)
	a.coordinator = nil
}

// startCoordinator starts a ballot at an agent, either with a proposal or only to complete or
// abort an unfinished change.
func (sim *simulation) startCoordinator(i int, propose bool) {
	sim.lastID++
	a := sim.agents[i]
	cfg := expertmap.Config{ID: sim.lastID, LastKnownBallot: a.participant.Promised(), ArmAhead: 2, DeadlineTicks: 6}
	for _, other := range sim.agents {
		cfg.Participants = append(cfg.Participants, other.address)
	}
	a.coordinator, _ = expertmap.NewCoordinator(cfg)
	var p *expertmap.Proposal
	if propose {
		p = &expertmap.Proposal{
			Base: Ballot(sim.group.engines[i].state.Map),
			Map:  expertmap.Map{SlotsPerRank: 1, Layers: [][]uint16{make([]uint16, len(sim.agents))}},
		}
	}
	sim.send(a.address, a.coordinator.Start(p))
}

func (sim *simulation) send(from expertmap.Address, all []expertmap.Envelope) {
	for _, e := range all {
		sim.network = append(sim.network, packet{from: from, to: e.To, message: e.Message})
	}
}

// deliver hands one message to its recipient.
func (sim *simulation) deliver(p packet) {
	a := sim.agents[p.to]
	if p.isReply {
		if a.coordinator != nil {
			sim.send(a.address, a.coordinator.Step(p.from, p.message))
		}
		return
	}
	sim.handleOutput(a, a.participant.Step(p.from, p.message))
}

// handleOutput does what a participant asks for until it asks for nothing more.
func (sim *simulation) handleOutput(a *simAgent, o expertmap.Output) {
	ctx := context.Background()
	for {
		if o.Reply != nil {
			sim.network = append(sim.network, packet{from: a.address, to: o.Reply.To, isReply: true, message: o.Reply.Message})
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

func (sim *simulation) tickCoordinators() {
	for _, a := range sim.agents {
		if a.coordinator != nil {
			sim.send(a.address, a.coordinator.Tick())
		}
	}
}

// runWithoutFaults delivers all messages, ticks all coordinators and runs steps, without losses,
// long enough for a ballot to end.
func (sim *simulation) runWithoutFaults() {
	for range 200 {
		for len(sim.network) > 0 {
			p := sim.network[0]
			sim.network = sim.network[1:]
			sim.deliver(p)
		}
		sim.tickCoordinators()
		sim.group.startStep()
	}
}

// finishRecovery runs ballots of agent 0 until no unfinished change is left. Its first ballots
// may be refused, because others have promised a higher one.
func (sim *simulation) finishRecovery() {
	sim.startCoordinator(0, false)
	c := sim.agents[0].coordinator
	for sim.runWithoutFaults(); c.Outcome() == expertmap.OutcomeSuperseded; sim.runWithoutFaults() {
		sim.send(0, c.Start(nil))
	}
}
