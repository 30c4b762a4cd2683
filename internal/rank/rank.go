// Package rank connects the expert map protocol to an engine that takes numbered orders and knows
// a map by an integer version. The engine prepares a map (loads its experts), is armed to switch
// to it at a step, and pauses before that step until it is told to resume.
//
// Every order states how many orders the engine must have started before it. If an order gets no
// answer and is sent again, an engine that counts these orders executes only one of the two, and it
// refuses a delayed order once it has started another one. Not every engine counts them. So an order
// is sent again only while the state is still the one that it was based on, and the orders that end a
// change have a higher fencing token than those that armed it, which are refused from then on.
package rank

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// Report is the state that an engine reports about itself.
type Report struct {
	// Group is the name of the group that the engine belongs to, empty if none. Epoch changes
	// whenever the group forms again. Rank is the engine's index among the Size engines of the
	// group.
	Group string
	Epoch uint64
	Rank  int
	Size  int
	// StartedAt is the time at which the engine started, in Unix milliseconds; 0 if the engine
	// doesn't report it.
	StartedAt int64
	// IsOpen tells that the group accepts requests.
	IsOpen bool
	// Sequence counts the orders that the engine has started.
	Sequence uint64
	// Step is the last step, one forward pass of the group, that the engine has started.
	Step uint64
	// Map is the version of the map in use; 0 is the map that every group starts with.
	Map uint64
	// Prepared is the version whose experts are loaded besides those in use, 0 if none.
	Prepared uint64
	// ArmedVersion is the version to which the engine switches at ArmedStep; 0 if none.
	ArmedVersion, ArmedStep uint64
	// PauseStep is the step that the engine doesn't start until it is told to resume; 0 if none.
	PauseStep uint64
	// Running and Waiting count the requests that the engine runs and has queued.
	Running, Waiting int
	// Slowdown is the engine's time per step divided by its usual one; above 1 means slow.
	Slowdown float64
}

// Operation is the kind of an order.
type Operation uint8

// The kinds of orders.
const (
	// Prepare loads the experts of a map.
	Prepare Operation = iota + 1
	// Arm makes the engine switch to a prepared version at a step.
	Arm
	// Disarm cancels an Arm.
	Disarm
	// Pause makes the engine stop before a step; Resume lets it start that step.
	Pause
	Resume
)

// Order is an order to an engine.
type Order struct {
	Operation Operation
	// Epoch is the epoch of the group for which the order is valid.
	Epoch uint64
	// ExpectedSequence is the value that the engine's Sequence must have.
	ExpectedSequence uint64
	// FencingCounter is the counter of the ballot under which the order is sent. It serves as a
	// fencing token, so it never decreases from one order to the next.
	FencingCounter uint64
	// Version is set for Prepare, Arm and Disarm; Step for Arm, Pause and Resume.
	Version, Step uint64
	// Experts is set for Prepare: the experts by layer set and rank. A layer set is a set of
	// model layers that share one placement of experts.
	Experts [][][]uint16
}

// Client gives access to an engine. Each call returns soon.
type Client interface {
	Report(ctx context.Context) (Report, error)
	// Selections returns how often the rank's requests have chosen each expert since the engine
	// started, one layer set after the other.
	Selections(ctx context.Context) (epoch uint64, counts []uint64, err error)
	// Experts returns the version of the map in use and the rank's experts by layer set.
	Experts(ctx context.Context) (version uint64, experts [][]uint16, err error)
	// Order sends an order. If it returns an error, the order may have been executed or may still
	// be. The error is ErrUnanswered if no answer came before ctx ended.
	Order(ctx context.Context, o Order) error
}

// ErrUnanswered tells that an order got no answer. It may be lost, executed, or still in transit.
var ErrUnanswered = errors.New("rank: the engine did not answer the order")

const (
	// orderTimeout is how long to wait for the answer to an order. An engine on the same host
	// answers within a few milliseconds or not at all, and while a rank is paused, every request
	// of the group waits.
	orderTimeout = 15 * time.Millisecond
	// maxSends is how often one call sends an order that gets no answer. After that, the
	// coordinator asks again.
	maxSends = 5
)

// coordinatorBits is how many low bits of a version hold the coordinator; the others hold the
// counter.
const coordinatorBits = 16

// MaxCoordinator is the highest coordinator number that fits into a version.
const MaxCoordinator = 1<<coordinatorBits - 1

// initialBallot is the ballot of the map that every group starts with. It is lower than all other
// ballots.
var initialBallot = expertmap.Ballot{Counter: 1}

// InitialMap returns the map that a group starts with. Each expert is on one rank: the experts
// are assigned to the ranks round-robin. The remaining slots are empty.
func InitialMap(ranks, slots, layerSets, experts int) expertmap.Map {
	m := expertmap.Map{Version: initialBallot, SlotsPerRank: slots, Layers: make([][]uint16, layerSets)}
	for set := range m.Layers {
		m.Layers[set] = make([]uint16, ranks*slots)
		for slot := range m.Layers[set] {
			m.Layers[set][slot] = NoExpert
		}
		for expert := 0; expert < experts && expert/ranks < slots; expert++ {
			m.Layers[set][expert%ranks*slots+expert/ranks] = uint16(expert)
		}
	}
	return m
}

// Ballot returns the ballot that an integer version encodes.
func Ballot(version uint64) expertmap.Ballot {
	if version == 0 {
		return initialBallot
	}
	return expertmap.Ballot{Counter: version >> coordinatorBits, Coordinator: version & MaxCoordinator}
}

// Version encodes a ballot as an integer. Versions compare like their ballots.
func Version(b expertmap.Ballot) uint64 {
	if b == initialBallot {
		return 0
	}
	return b.Counter<<coordinatorBits | b.Coordinator&MaxCoordinator
}

// Engine is one rank in one epoch of its group. It implements expertmap.Engine and
// expertmap.Releaser, and reports the load of the rank's experts. It keeps in memory under which
// ballot the engine was armed last. A new Engine assumes the ballot that the armed version
// encodes; the next promise then arms the engine again.
type Engine struct {
	client    Client
	epoch     uint64
	layerSets int

	// mu serialises the orders and guards the fields below.
	mu sync.Mutex
	// armedBallot is the ballot under which the engine was armed last.
	armedBallot expertmap.Ballot
	// preparedMap is the map that the engine was told to prepare last, and hasAcceptedMap tells that
	// it has answered that order.
	preparedMap    expertmap.Map
	hasAcceptedMap bool
	// lastCounts are the counts that Load has read last.
	lastCounts []uint64
	// experts are the rank's experts by layer set under the map expertsVersion, as last read.
	// expertsKnown tells that the read was complete.
	experts        [][]uint16
	expertsVersion uint64
	expertsKnown   bool
}

// New returns the Engine that sends its orders to a client. It is valid for one epoch of its
// group. layerSets is the number of layer sets in the group's map; see [Order.Experts].
func New(c Client, epoch uint64, layerSets int) *Engine {
	return &Engine{client: c, epoch: epoch, layerSets: layerSets}
}

// ErrEpoch tells that the group is in another epoch than the Engine, or accepts no requests.
var ErrEpoch = errors.New("rank: the group is in another epoch or not open")

// withReport calls f with the engine's current report. It holds mu meanwhile, so no other order
// is sent.
func (e *Engine) withReport(ctx context.Context, f func(r Report) error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, err := e.checkedReport(ctx)
	if err != nil {
		return err
	}
	return f(r)
}

// checkedReport reads the engine's report. It returns ErrEpoch if the group has formed again or
// accepts no requests.
func (e *Engine) checkedReport(ctx context.Context) (Report, error) {
	r, err := e.client.Report(ctx)
	if err != nil {
		return r, err
	}
	if r.Epoch != e.epoch || !r.IsOpen {
		return r, ErrEpoch
	}
	return r, nil
}

// Status implements expertmap.Engine.
func (e *Engine) Status(ctx context.Context) (expertmap.Status, error) {
	var out expertmap.Status
	err := e.withReport(ctx, func(r Report) error {
		out = e.status(r)
		return nil
	})
	return out, err
}

// status translates a report into the state that the protocol uses. The caller holds mu.
func (e *Engine) status(r Report) expertmap.Status {
	s := expertmap.Status{Step: r.Step, Active: expertmap.Installed{Version: Ballot(r.Map)}}
	if r.ArmedVersion != 0 {
		version := Ballot(r.ArmedVersion)
		ballot := version
		if version.Less(e.armedBallot) {
			ballot = e.armedBallot
		}
		s.Armed = &expertmap.Change{
			Version: version, Ballot: ballot, Step: r.ArmedStep, Committed: r.PauseStep == 0,
		}
	}
	s.Paused = r.PauseStep != 0 && r.ArmedVersion == 0
	if r.Prepared != 0 {
		m := expertmap.Map{Version: Ballot(r.Prepared)}
		if e.preparedMap.Version == m.Version {
			m = e.preparedMap
		}
		s.Maps = append(s.Maps, m)
	}
	return s
}

// sendOrder sends an order that is based on the report r. While it gets no answer and the engine
// hasn't carried out any order since r, it sends the order again, up to maxSends times. The caller
// holds mu.
func (e *Engine) sendOrder(ctx context.Context, r Report, ballot expertmap.Ballot, o Order) error {
	o.Epoch = e.epoch
	o.ExpectedSequence = r.Sequence
	o.FencingCounter = max(o.FencingCounter, ballot.Counter)
	var err error
	for range maxSends {
		if err = e.sendOnce(ctx, o); !errors.Is(err, ErrUnanswered) {
			return err
		}
		current, reportErr := e.checkedReport(ctx)
		if reportErr != nil || !current.hasSameOrders(r) {
			return err
		}
	}
	return err
}

// hasSameOrders reports whether no order seems to have been carried out between two reports.
func (r Report) hasSameOrders(other Report) bool {
	return r.Sequence == other.Sequence && r.Prepared == other.Prepared && r.ArmedVersion == other.ArmedVersion &&
		r.ArmedStep == other.ArmedStep && r.PauseStep == other.PauseStep
}

// fence returns the fencing token of the orders that end a ballot's change. The engine then refuses
// the orders of the change that are still in transit. The next ballot has at least this counter.
func fence(b expertmap.Ballot) uint64 { return b.Counter + 1 }

// sendOnce sends an order once and waits for its answer for up to orderTimeout.
func (e *Engine) sendOnce(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return e.client.Order(ctx, o)
}

// Stage implements expertmap.Engine. The order holds the whole map and the engine accepts it once,
// so it isn't sent again after that.
func (e *Engine) Stage(ctx context.Context, m expertmap.Map) error {
	return e.withReport(ctx, func(r Report) error {
		if e.hasAcceptedMap && e.preparedMap.Version == m.Version {
			return nil
		}
		e.preparedMap = m
		err := e.sendOrder(ctx, r, m.Version, Order{Operation: Prepare, Version: Version(m.Version), Experts: expertsByLayerSet(m)})
		e.hasAcceptedMap = err == nil
		return err
	})
}

// expertsByLayerSet returns the experts of a map by layer set and rank.
func expertsByLayerSet(m expertmap.Map) [][][]uint16 {
	out := make([][][]uint16, len(m.Layers))
	for set, slots := range m.Layers {
		for first := 0; first < len(slots); first += m.SlotsPerRank {
			// A rank without experts gets an empty experts, not nil.
			experts := make([]uint16, 0, m.SlotsPerRank)
			for _, expert := range slots[first : first+m.SlotsPerRank] {
				if expert != NoExpert {
					experts = append(experts, expert)
				}
			}
			out[set] = append(out[set], experts)
		}
	}
	return out
}

// NoExpert marks an empty slot of a map.
const NoExpert uint16 = 1<<16 - 1

// Arm implements expertmap.Engine. It pauses the engine before the step first and then arms it at
// that step.
func (e *Engine) Arm(ctx context.Context, c expertmap.Change) error {
	return e.withReport(ctx, func(r Report) error {
		version := Version(c.Version)
		if r.ArmedVersion == version && r.ArmedStep == c.Step && r.PauseStep == c.Step {
			e.armedBallot = c.Ballot
			return nil
		}
		if r.ArmedVersion != 0 {
			return errors.New("rank: engine is armed with another change")
		}
		r, err := e.pauseBefore(ctx, r, c)
		if err != nil {
			return err
		}
		e.armedBallot = c.Ballot
		return e.sendOrder(ctx, r, c.Ballot, Order{Operation: Arm, Version: version, Step: c.Step})
	})
}

// pauseBefore pauses the engine before a change's step and returns the report after that. The
// caller holds mu.
func (e *Engine) pauseBefore(ctx context.Context, r Report, c expertmap.Change) (Report, error) {
	if r.PauseStep == c.Step {
		return r, nil
	}
	// If the order got no answer, it may still have been executed: the report shows it.
	orderErr := e.sendOrder(ctx, r, c.Ballot, Order{Operation: Pause, Step: c.Step})
	r, err := e.checkedReport(ctx)
	if err == nil && r.PauseStep != c.Step {
		err = errors.Wrap(orNotInForce(orderErr), "rank: pause")
	}
	return r, err
}

// orNotInForce returns err, or, if err is nil, an error that tells that the engine isn't in the
// expected state.
func orNotInForce(err error) error {
	if err != nil {
		return err
	}
	return errors.New("not in force")
}

// Commit implements expertmap.Engine.
func (e *Engine) Commit(ctx context.Context, b expertmap.Ballot) error {
	return e.withReport(ctx, func(r Report) error {
		s := e.status(r)
		if s.Armed == nil || s.Armed.Ballot != b || r.PauseStep != r.ArmedStep {
			return errors.New("rank: not armed under this ballot")
		}
		return e.sendOrder(ctx, r, b, Order{Operation: Resume, Step: r.PauseStep})
	})
}

// Abort implements expertmap.Engine. The engine stays paused until Release.
func (e *Engine) Abort(ctx context.Context, b expertmap.Ballot) error {
	return e.withReport(ctx, func(r Report) error {
		if r.ArmedVersion == 0 {
			return nil
		}
		return e.sendOrder(ctx, r, b, Order{Operation: Disarm, Version: r.ArmedVersion, FencingCounter: fence(b)})
	})
}

// Release implements expertmap.Releaser. The engine was perhaps never armed, and an order to arm it
// may still be in transit. So it is first told again to pause, which changes nothing but the token,
// and it is resumed only if it isn't armed after that. An engine may refuse to pause where it does
// already; it has seen the token then.
func (e *Engine) Release(ctx context.Context, b expertmap.Ballot) error {
	return e.withReport(ctx, func(r Report) error {
		if r.PauseStep == 0 || r.ArmedVersion != 0 {
			return nil
		}
		step := r.PauseStep
		err := e.sendOrder(ctx, r, b, Order{Operation: Pause, Step: step, FencingCounter: fence(b)})
		if errors.Is(err, ErrUnanswered) {
			return err
		}
		r, err = e.checkedReport(ctx)
		if err != nil || r.PauseStep != step || r.ArmedVersion != 0 {
			return err
		}
		return e.sendOrder(ctx, r, b, Order{Operation: Resume, Step: step, FencingCounter: fence(b)})
	})
}
