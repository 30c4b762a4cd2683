package expertmap

import (
	"context"

	"github.com/pkg/errors"
)

// Map places experts on the ranks of a group.
type Map struct {
	// Version names the map; see [Version].
	Version Version `cbor:"1,keyasint"`
	// SlotsPerRank is the number of expert slots that each rank has in a layer.
	SlotsPerRank int `cbor:"2,keyasint"`
	// Layers gives the expert in each slot of each layer. Slot s belongs to
	// rank s/SlotsPerRank. Some engines leave slots empty.
	Layers [][]uint16 `cbor:"3,keyasint"`
}

// Installed is a map in use.
type Installed struct {
	// Version is the map in use, or zero while the engine has none.
	Version Version `cbor:"1,keyasint"`
	// FromStep is the step from which the group uses it.
	FromStep uint64 `cbor:"2,keyasint"`
}

// Change is a map that an engine is armed with.
type Change struct {
	// Version is the map to change to.
	Version Version `cbor:"1,keyasint"`
	// Ballot is the one under which the engine is armed now. It is higher than
	// Version once another coordinator has taken over.
	Ballot Ballot `cbor:"2,keyasint"`
	// Step is the first step of the new map.
	Step uint64 `cbor:"3,keyasint"`
	// Base is only for an engine without a map: the map that it uses before
	// Step. Zero means that the engine uses the new map at once.
	Base Version `cbor:"4,keyasint"`
	// Committed says that the engine doesn't hold at Step.
	Committed bool `cbor:"5,keyasint"`
}

// Status is what an engine knows. It outlives the agent, not the engine.
type Status struct {
	// Step is the last step that the engine has started.
	Step uint64 `cbor:"1,keyasint"`
	// Active is the map of the current step.
	Active Installed `cbor:"2,keyasint"`
	// Armed is the change ahead, or nil. It becomes Active at its step.
	Armed *Change `cbor:"3,keyasint,omitempty"`
	// Maps are the maps whose weights are loaded, the active one among them.
	Maps []Map `cbor:"4,keyasint,omitempty"`
	// Paused says that the engine is not armed and yet won't start some step before
	// Release: what an abort leaves behind at engines of type Holder.
	Paused bool `cbor:"5,keyasint,omitempty"`
}

// HasMap reports whether the engine has a map and may start steps.
func (s Status) HasMap() bool { return !s.Active.Version.IsZero() }

// HasUncommittedChange reports whether the engine will hold at the armed step.
func (s Status) HasUncommittedChange() bool { return s.Armed != nil && !s.Armed.Committed }

// Committed returns the newest map that the engine will use without a further
// order, and its first step.
func (s Status) Committed() Installed {
	if s.Armed != nil && s.Armed.Committed {
		return Installed{Version: s.Armed.Version, FromStep: s.Armed.Step}
	}
	return s.Active
}

// mustDrop reports whether an abort has to drop the change that the engine is armed
// with, given the newest committed map.
func (s Status) mustDrop(present Version) bool {
	return s.Armed != nil && (!s.Armed.Committed || present.Less(s.Armed.Version))
}

// highest returns the highest ballot that the engine shows a trace of.
func (s Status) highest() Ballot {
	if s.Armed == nil {
		return s.Active.Version
	}
	return maxBallot(s.Active.Version, s.Armed.Ballot)
}

// inUse returns the maps that the engine uses, or will unless an order says otherwise.
func (s Status) inUse() []Version {
	if s.Armed == nil {
		return []Version{s.Active.Version}
	}
	return []Version{s.Armed.Version, s.Armed.Base, s.Active.Version}
}

// loaded reports whether the weights of a map are loaded.
func (s Status) loaded(v Version) bool {
	for i := range s.Maps {
		if s.Maps[i].Version == v {
			return true
		}
	}
	return false
}

// Engine is one rank's model engine as the agent sees it. All orders are
// idempotent and return soon; an error means that the order may or may not have
// been taken, which the next Status shows.
type Engine interface {
	// Status reads the engine's state.
	Status(ctx context.Context) (Status, error)
	// Stage starts to load the weights of a map beside the active one and
	// returns without waiting for them; Status lists the map once it is loaded.
	// The engine may drop a loaded map that is neither active nor armed when it
	// needs the room.
	Stage(ctx context.Context, m Map) error
	// Arm makes the engine hold before it starts the change's step, until
	// Commit or Abort. The engine refuses a map that isn't loaded or not newer than the
	// committed one, a ballot below the armed one, a step already started, and
	// any change while a committed one is ahead. An engine armed with the same
	// map and step takes the higher ballot, also while it holds. An engine
	// without a map takes any step, needs the base loaded too, and still starts
	// no step before Commit.
	Arm(ctx context.Context, c Change) error
	// Commit lets the engine use the armed map from the armed step on. The
	// engine refuses any ballot but the armed one. An engine without a map
	// thereby gets the base, or the armed map if there is no base.
	Commit(ctx context.Context, b Ballot) error
	// Abort drops an uncommitted change armed at or below the ballot, and its
	// map.
	Abort(ctx context.Context, b Ballot) error
}

// Releaser is an Engine that holds by an order apart from the one that arms it, so that
// it may be left holding without a change. Such an engine goes on holding at Abort: it
// may start the step only once no rank of the group is armed, which Release tells. An
// order that was given up on and is carried out late finds the engine holding until
// then.
type Releaser interface {
	// Release lets an engine go on that holds without being armed.
	Release(ctx context.Context, b Ballot) error
}

// OrderKind names a call of [Engine].
type OrderKind uint8

// The orders that a participant gives.
const (
	OrderStage OrderKind = iota + 1
	OrderArm
	OrderCommit
	OrderAbort
	OrderRelease
)

// Order is one call to make to one engine.
type Order struct {
	// EngineIndex is the index of the engine at this participant.
	EngineIndex int
	Kind        OrderKind
	// Ballot is that of the request.
	Ballot Ballot
	// Change is set for OrderArm.
	Change Change
	// Map is set for OrderStage.
	Map *Map
}

// Execute gives the order to the engine.
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
