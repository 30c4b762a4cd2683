// Package rank lets the expert-map protocol speak to an engine that takes numbered
// orders: it prepares maps by an integer version, arms one at a step, and holds before a
// step until it is told to go on.
//
// Every order expects the number of orders that the engine has begun, so of an order
// that got no answer and the one that is sent in its place only one is carried out, and
// one that is carried out late refuses itself once the engine has begun another.
package rank

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

// Report is an engine's state.
type Report struct {
	// Group is the group that the engine belongs to, empty if none; Rank its place among
	// Size. A group that has formed anew has a new Epoch.
	Group string
	Epoch uint64
	Rank  int
	Size  int
	// Born is when the engine started, in Unix milliseconds; 0 where it does not say.
	Born int64
	// IsOpen tells that the group serves.
	IsOpen bool
	// Sequence counts the orders that the engine has begun.
	Sequence uint64
	// Step is the last pass begun.
	Step uint64
	// Map is the version in use, 0 the one that every group starts with.
	Map uint64
	// Prepared is the version whose experts are loaded, 0 if none.
	Prepared uint64
	// ArmedVersion is the version that the engine changes to at ArmedStep; 0 if none.
	ArmedVersion, ArmedStep uint64
	// PauseStep is the pass that the engine won't begin before it is told; 0 if none.
	PauseStep uint64
	// Running and Waiting are the requests at the engine.
	Running, Waiting int
	// Pace is over 1 where the engine is slow.
	Pace float64
}

// Operation names an order.
type Operation uint8

// The orders.
const (
	// Prepare loads a map's experts.
	Prepare Operation = iota + 1
	// Arm changes to a prepared version at a step.
	Arm
	// Disarm takes an Arm back.
	Disarm
	// Pause stops the engine before a step, Go lets it begin that step.
	Pause
	Resume
)

// Order is one order to an engine.
type Order struct {
	Operation Operation
	// Epoch is that of the group in which the order holds.
	Epoch uint64
	// Expect is the Sequence that the engine must have.
	Expect uint64
	// Fence is never below that of an earlier order.
	Fence uint64
	// Version is for Prepare, Arm and Disarm, Step for Arm, Hold and Go.
	Version, Step uint64
	// Experts are for Prepare, by set and rank.
	Experts [][][]uint16
}

// Client reaches an engine. Each call returns soon.
type Client interface {
	Report(ctx context.Context) (Report, error)
	// Picks returns how often the rank's requests chose each expert since the engine
	// started, set after set.
	Picks(ctx context.Context) (epoch uint64, counts []uint64, err error)
	// Experts returns the version in use and the rank's experts by set.
	Experts(ctx context.Context) (version uint64, experts [][]uint16, err error)
	// Order gives an order. After an error it may have been taken, or may be later; of an
	// order that got no answer before ctx ended the error is ErrUnanswered.
	Order(ctx context.Context, o Order) error
}

// ErrUnanswered tells that an order got no answer: it was lost, or is carried out later.
var ErrUnanswered = errors.New("rank: the engine did not answer the order")

const (
	// answerTime is how long an answer to an order is waited for. An engine on the own
	// host gives it within a few milliseconds or not at all, and while a rank holds,
	// every request of the group waits.
	answerTime = 15 * time.Millisecond
	// mostSends is how often an order is sent at once; after that the coordinator asks
	// again.
	mostSends = 5
)

// idBits is how many bits of a version name its coordinator; the counter has the rest.
const idBits = 16

// MaxCoordinator is the highest coordinator that a version can name.
const MaxCoordinator = 1<<idBits - 1

// firstMap is the ballot of the map that every group starts with: below all others.
var firstMap = expertmap.Ballot{Counter: 1}

// InitialMap returns the map that a group begins with: each expert is on one rank, dealt to
// the ranks in turn, and the slots that are left are empty.
func InitialMap(ranks, slots, sets, experts int) expertmap.Map {
	m := expertmap.Map{Version: firstMap, SlotsPerRank: slots, Layers: make([][]uint16, sets)}
	for set := range m.Layers {
		m.Layers[set] = make([]uint16, ranks*slots)
		for s := range m.Layers[set] {
			m.Layers[set][s] = NoExpert
		}
		for e := 0; e < experts && e/ranks < slots; e++ {
			m.Layers[set][e%ranks*slots+e/ranks] = uint16(e)
		}
	}
	return m
}

// Ballot returns the ballot that a version stands for.
func Ballot(version uint64) expertmap.Ballot {
	if version == 0 {
		return firstMap
	}
	return expertmap.Ballot{Counter: version >> idBits, Coordinator: version & MaxCoordinator}
}

// Version returns the integer that stands for a ballot, in the same order.
func Version(b expertmap.Ballot) uint64 {
	if b == firstMap {
		return 0
	}
	return b.Counter<<idBits | b.Coordinator&MaxCoordinator
}

// Engine is one rank in one epoch of its group. It implements expertmap.Engine,
// expertmap.Holder and the reports of load. It remembers under which ballot the engine
// was armed last; a new Engine takes the version's own, and is armed again by the next
// promise.
type Engine struct {
	client Client
	epoch  uint64
	sets   int

	// mu serialises the orders and guards the fields below.
	mu       sync.Mutex
	armed    expertmap.Ballot
	prepared expertmap.Map
	picks    []uint64
	held     [][]uint16
	heldMap  uint64
	known    bool
}

// New returns the engine behind a client, for one epoch of its group, with that many
// sets of layers.
func New(c Client, epoch uint64, sets int) *Engine {
	return &Engine{client: c, epoch: epoch, sets: sets}
}

// ErrEpoch tells that the group has formed anew.
var ErrEpoch = errors.New("rank: the group has formed anew")

// inState calls f with the engine's state, alone.
func (e *Engine) inState(ctx context.Context, f func(r Report) error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, err := e.report(ctx)
	if err != nil {
		return err
	}
	return f(r)
}

// report reads the state, in the epoch of this Engine only.
func (e *Engine) report(ctx context.Context) (Report, error) {
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
	err := e.inState(ctx, func(r Report) error {
		out = e.status(r)
		return nil
	})
	return out, err
}

// status translates a report. The caller holds mu.
func (e *Engine) status(r Report) expertmap.Status {
	s := expertmap.Status{Step: r.Step, Active: expertmap.Installed{Version: Ballot(r.Map)}}
	if r.ArmedVersion != 0 {
		version := Ballot(r.ArmedVersion)
		ballot := version
		if version.Less(e.armed) {
			ballot = e.armed
		}
		s.Armed = &expertmap.Change{
			Version: version, Ballot: ballot, Step: r.ArmedStep, Committed: r.PauseStep == 0,
		}
	}
	s.Paused = r.PauseStep != 0 && r.ArmedVersion == 0
	if r.Prepared != 0 {
		m := expertmap.Map{Version: Ballot(r.Prepared)}
		if e.prepared.Version == m.Version {
			m = e.prepared
		}
		s.Maps = append(s.Maps, m)
	}
	return s
}

// order gives an order that fits the state r, and repeats it while it gets no answer and
// the engine has begun no order since r. The caller holds mu.
func (e *Engine) order(ctx context.Context, r Report, fence expertmap.Ballot, o Order) error {
	o.Epoch = e.epoch
	o.Expect = r.Sequence
	o.Fence = fence.Counter
	var err error
	for range mostSends {
		if err = e.send(ctx, o); !errors.Is(err, ErrUnanswered) {
			return err
		}
		now, unread := e.report(ctx)
		if unread != nil || now.Sequence != o.Expect {
			return err
		}
	}
	return err
}

// send gives an order once.
func (e *Engine) send(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	return e.client.Order(ctx, o)
}

// Stage implements expertmap.Engine.
func (e *Engine) Stage(ctx context.Context, m expertmap.Map) error {
	return e.inState(ctx, func(r Report) error {
		e.prepared = m
		return e.order(ctx, r, m.Version, Order{Operation: Prepare, Version: Version(m.Version), Experts: expertsOf(m)})
	})
}

// expertsOf returns a map's experts by set and rank.
func expertsOf(m expertmap.Map) [][][]uint16 {
	out := make([][][]uint16, len(m.Layers))
	for set, slots := range m.Layers {
		for first := 0; first < len(slots); first += m.SlotsPerRank {
			// A rank without experts has an empty list, not none.
			list := make([]uint16, 0, m.SlotsPerRank)
			for _, x := range slots[first : first+m.SlotsPerRank] {
				if x != NoExpert {
					list = append(list, x)
				}
			}
			out[set] = append(out[set], list)
		}
	}
	return out
}

// NoExpert stands in a slot of a map that is empty.
const NoExpert uint16 = 1<<16 - 1

// Arm implements expertmap.Engine: the engine holds before the step first, and is armed
// at it then.
func (e *Engine) Arm(ctx context.Context, c expertmap.Change) error {
	return e.inState(ctx, func(r Report) error {
		version := Version(c.Version)
		if r.ArmedVersion == version && r.ArmedStep == c.Step && r.PauseStep == c.Step {
			e.armed = c.Ballot
			return nil
		}
		if r.ArmedVersion != 0 {
			return errors.New("rank: armed otherwise")
		}
		r, err := e.hold(ctx, r, c)
		if err != nil {
			return err
		}
		e.armed = c.Ballot
		return e.order(ctx, r, c.Ballot, Order{Operation: Arm, Version: version, Step: c.Step})
	})
}

// hold lets the engine hold before a change's step, and returns its state then. The caller
// holds mu.
func (e *Engine) hold(ctx context.Context, r Report, c expertmap.Change) (Report, error) {
	if r.PauseStep == c.Step {
		return r, nil
	}
	// An order without an answer may have been taken: the state tells.
	orderErr := e.order(ctx, r, c.Ballot, Order{Operation: Pause, Step: c.Step})
	r, err := e.report(ctx)
	if err == nil && r.PauseStep != c.Step {
		err = errors.Wrap(orElse(orderErr), "rank: hold")
	}
	return r, err
}

// orElse returns err, or an error that says that the state is another one.
func orElse(err error) error {
	if err != nil {
		return err
	}
	return errors.New("not in force")
}

// Commit implements expertmap.Engine.
func (e *Engine) Commit(ctx context.Context, b expertmap.Ballot) error {
	return e.inState(ctx, func(r Report) error {
		s := e.status(r)
		if s.Armed == nil || s.Armed.Ballot != b || r.PauseStep != r.ArmedStep {
			return errors.New("rank: not armed under this ballot")
		}
		return e.order(ctx, r, b, Order{Operation: Resume, Step: r.PauseStep})
	})
}

// Abort implements expertmap.Engine. The engine goes on holding.
func (e *Engine) Abort(ctx context.Context, b expertmap.Ballot) error {
	return e.inState(ctx, func(r Report) error {
		if r.ArmedVersion == 0 {
			return nil
		}
		return e.order(ctx, r, b, Order{Operation: Disarm, Version: r.ArmedVersion})
	})
}

// Release implements expertmap.Holder.
func (e *Engine) Release(ctx context.Context, b expertmap.Ballot) error {
	return e.inState(ctx, func(r Report) error {
		if r.PauseStep == 0 || r.ArmedVersion != 0 {
			return nil
		}
		return e.order(ctx, r, b, Order{Operation: Resume, Step: r.PauseStep})
	})
}
