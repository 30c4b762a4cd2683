package expertmap

import (
	"context"

	"github.com/pkg/errors"
)

// Map assigns experts to the ranks of a group, layer by layer.
type Map struct {
	// Version identifies the map; see [Version].
	Version Version `cbor:"1,keyasint"`
	// SlotsPerRank is the number of expert slots that each rank has in a layer.
	SlotsPerRank int `cbor:"2,keyasint"`
	// Layers gives the expert in each slot of each layer. Slot s belongs to rank s/SlotsPerRank.
	// Some engines leave slots empty.
	Layers [][]uint16 `cbor:"3,keyasint"`
}

// Installed tells which map is in use, and from which step on.
type Installed struct {
	// Version is the version of the map in use, or zero while the engine has none.
	Version Version `cbor:"1,keyasint"`
	// FromStep is the first step in which the group uses the map.
	FromStep uint64 `cbor:"2,keyasint"`
}

// Change is a change of map that an engine is armed with: the engine uses the new map from a
// given step on, and pauses before that step until the change is committed.
type Change struct {
	// Version is the version of the new map.
	Version Version `cbor:"1,keyasint"`
	// Ballot is the ballot under which the engine is armed now. It is higher than Version once
	// another coordinator has taken over the change.
	Ballot Ballot `cbor:"2,keyasint"`
	// Step is the first step that uses the new map.
	Step uint64 `cbor:"3,keyasint"`
	// Base is set only for an engine without a map: it uses the map Base before Step. Zero means
	// that the engine uses the new map at once.
	Base Version `cbor:"4,keyasint"`
	// Committed tells that the engine no longer pauses before Step.
	Committed bool `cbor:"5,keyasint"`
}

// Status is an engine's state. It survives a restart of the agent, but not one of the engine.
type Status struct {
	// Step is the last step that the engine has started.
	Step uint64 `cbor:"1,keyasint"`
	// Active is the map of the current step.
	Active Installed `cbor:"2,keyasint"`
	// Armed is the change that the engine is armed with, or nil. The new map becomes Active at
	// Armed.Step.
	Armed *Change `cbor:"3,keyasint,omitempty"`
	// Maps are the maps whose weights are loaded, the active one among them.
	Maps []Map `cbor:"4,keyasint,omitempty"`
	// Paused tells that the engine isn't armed and yet won't start some step before Release.
	// Engines of type Releaser are in this state after an abort.
	Paused bool `cbor:"5,keyasint,omitempty"`
}

// HasMap reports whether the engine has a map and may start steps.
func (s Status) HasMap() bool { return !s.Active.Version.IsZero() }

// HasUncommittedChange reports whether the engine is armed and will pause before the armed step.
func (s Status) HasUncommittedChange() bool { return s.Armed != nil && !s.Armed.Committed }

// Committed returns the newest map that the engine will use without a further order, and the
// first step that uses it.
func (s Status) Committed() Installed {
	if s.Armed != nil && s.Armed.Committed {
		return Installed{Version: s.Armed.Version, FromStep: s.Armed.Step}
	}
	return s.Active
}

// mustDropChange reports whether an abort has to remove the change that the engine is armed with,
// given the version of the newest committed map.
func (s Status) mustDropChange(current Version) bool {
	return s.Armed != nil && (!s.Armed.Committed || current.Less(s.Armed.Version))
}

// highestBallot returns the highest ballot that appears in the engine's state.
func (s Status) highestBallot() Ballot {
	if s.Armed == nil {
		return s.Active.Version
	}
	return maxBallot(s.Active.Version, s.Armed.Ballot)
}

// mapsInUse returns the versions of the maps that the engine uses, or will use unless an order
// changes that.
func (s Status) mapsInUse() []Version {
	if s.Armed == nil {
		return []Version{s.Active.Version}
	}
	return []Version{s.Armed.Version, s.Armed.Base, s.Active.Version}
}

// hasLoaded reports whether the weights of a map are loaded.
func (s Status) hasLoaded(v Version) bool {
	for i := range s.Maps {
		if s.Maps[i].Version == v {
			return true
		}
	}
	return false
}

// Engine is the model engine of one rank, as the agent sees it. All orders are idempotent and
// return soon. After an error the order may or may not have been executed; the next Status shows
// which.
type Engine interface {
	// Status reads the engine's state.
	Status(ctx context.Context) (Status, error)
	// Stage starts to load the weights of a map beside those of the active one, and returns
	// without waiting for them; Status lists the map once it is loaded. If the engine needs
	// memory, it may drop a loaded map that is neither active nor armed.
	Stage(ctx context.Context, m Map) error
	// Arm makes the engine pause before the change's step, until Commit or Abort. The engine
	// refuses a map that isn't loaded or isn't newer than the committed one, a ballot below the
	// armed one, a step that has already started, and any change while a committed one has yet to
	// take effect. An engine that is armed with the same map and step takes over the higher
	// ballot, also while it is paused. An engine without a map accepts any step, needs the
	// weights of Base loaded too, and still starts no step before Commit.
	Arm(ctx context.Context, c Change) error
	// Commit lets the engine use the armed map from the armed step on. The engine refuses any
	// ballot but the armed one. An engine without a map then starts with the change's Base, or
	// with the armed map if there is no Base.
	Commit(ctx context.Context, b Ballot) error
	// Abort removes an uncommitted change that was armed at or below the ballot, and drops its
	// map.
	Abort(ctx context.Context, b Ballot) error
}

// Releaser is an Engine that is paused by one order and armed by another, so it can be paused
// without being armed. Such an engine stays paused after Abort. It may start the step only once
// no rank of the group is armed any more, and Release tells it so. Until then, an order that
// timed out and is executed late finds the engine paused.
type Releaser interface {
	// Release resumes an engine that is paused without being armed.
	Release(ctx context.Context, b Ballot) error
}

// OrderKind names a method of [Engine] or [Releaser].
type OrderKind uint8

// The orders that a participant gives to its engines.
const (
	OrderStage OrderKind = iota + 1
	OrderArm
	OrderCommit
	OrderAbort
	OrderRelease
)

// Order is one call to one engine.
type Order struct {
	// EngineIndex is the index of the engine among those of this participant.
	EngineIndex int
	Kind        OrderKind
	// Ballot is the ballot of the request that led to the order.
	Ballot Ballot
	// Change is set for OrderArm.
	Change Change
	// Map is set for OrderStage.
	Map *Map
}

// Execute makes the call to the engine.
func (o Order) Execute(ctx context.Context, e Engine) error {
	switch o.Kind {
	case OrderStage:
		return e.Stage(ctx, *o.Map)
	case OrderArm:
		return e.Arm(ctx, o.Change)
	case OrderCommit:
		return e.Commit(ctx, o.Ballot)
	case OrderAbort:
		return e.Abort(ctx, o.Ballot)
	case OrderRelease:
		if h, ok := e.(Releaser); ok {
			return h.Release(ctx, o.Ballot)
		}
		return nil
	}
	return errors.Errorf("unknown order %d", o.Kind)
}
