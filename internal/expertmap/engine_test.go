package expertmap

import "slices"

// fakeEngine is an in-memory model engine that follows the rules of the Engine interface. The
// engines of a group run in lockstep.
type fakeEngine struct {
	status       Status
	inStep       bool
	finishedStep uint64
	loading      []Map
	stalled      bool
}

func (e *fakeEngine) loadAll() {
	if e.stalled {
		return
	}
	e.status.Maps = append(e.status.Maps, e.loading...)
	e.loading = nil
}

// restart loses the engine's state, except for the number of the last finished step, on which the
// engines agree among themselves. A step that hasn't finished is discarded.
func (e *fakeEngine) restart() {
	*e = fakeEngine{status: Status{Step: e.finishedStep}, finishedStep: e.finishedStep}
}

func (e *fakeEngine) execute(o Order) {
	switch o.Kind {
	case OrderStage:
		e.stage(*o.Map)
	case OrderArm:
		e.arm(o.Change)
	case OrderCommit:
		e.commit(o.Ballot)
	case OrderAbort:
		if e.status.HasUncommittedChange() && !o.Ballot.Less(e.status.Armed.Ballot) {
			e.status.Armed = nil
		}
	}
}

func (e *fakeEngine) stage(m Map) {
	same := func(o Map) bool { return o.Version == m.Version }
	if !e.status.hasLoaded(m.Version) && !slices.ContainsFunc(e.loading, same) {
		e.loading = append(e.loading, m)
	}
}

func (e *fakeEngine) arm(c Change) {
	a := e.status.Armed
	switch {
	case a != nil && (a.Committed || c.Ballot.Less(a.Ballot)):
		return
	case a != nil && a.Version == c.Version && a.Step == c.Step:
		a.Ballot = c.Ballot
		return
	case !e.status.hasLoaded(c.Version), !c.Base.IsZero() && !e.status.hasLoaded(c.Base):
		return
	case !e.status.Active.Version.Less(c.Version):
		return
	case e.status.HasMap() && c.Step <= e.status.Step:
		return
	}
	c.Committed = false
	e.status.Armed = &c
}

func (e *fakeEngine) commit(b Ballot) {
	a := e.status.Armed
	if !e.status.HasUncommittedChange() || a.Ballot != b {
		return
	}
	a.Committed = true
	switch {
	case e.status.HasMap():
	case a.Base.IsZero():
		e.activate()
	default:
		e.status.Active = Installed{Version: a.Base}
	}
}

func (e *fakeEngine) activate() {
	e.status.Active = Installed{Version: e.status.Armed.Version, FromStep: e.status.Armed.Step}
	e.status.Armed = nil
	e.status.Maps = slices.DeleteFunc(slices.Clone(e.status.Maps), func(m Map) bool {
		return m.Version != e.status.Active.Version
	})
}

// startStep starts the next step and reports whether it did: an engine without a map and a paused
// engine don't.
func (e *fakeEngine) startStep() bool {
	next := e.finishedStep + 1
	if e.inStep || !e.status.HasMap() {
		return false
	}
	if a := e.status.Armed; a != nil && a.Step <= next {
		if !a.Committed {
			return false
		}
		e.activate()
	}
	e.status.Step = next
	e.inStep = true
	return true
}

// snapshot returns a copy of the status that doesn't change with the engine.
func (e *fakeEngine) snapshot() Status {
	s := e.status
	s.Maps = slices.Clone(s.Maps)
	if s.Armed != nil {
		c := *s.Armed
		s.Armed = &c
	}
	return s
}
