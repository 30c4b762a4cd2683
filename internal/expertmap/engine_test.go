package expertmap

import "slices"

// fakeEngine is a model engine as the Engine interface describes it, with the
// group's lock-step.
type fakeEngine struct {
	status   Status
	running  bool
	finished uint64
	loading  []Map
	stalled  bool
}

func (e *fakeEngine) loadAll() {
	if e.stalled {
		return
	}
	e.status.Maps = append(e.status.Maps, e.loading...)
	e.loading = nil
}

// restart loses everything but the group's step, which the engines agree on
// among themselves; a step that hasn't finished is void.
func (e *fakeEngine) restart() {
	*e = fakeEngine{status: Status{Step: e.finished}, finished: e.finished}
}

func (e *fakeEngine) do(o Order) {
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
	if !e.status.loaded(m.Version) && !slices.ContainsFunc(e.loading, same) {
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
	case !e.status.loaded(c.Version), !c.Base.IsZero() && !e.status.loaded(c.Base):
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

// start begins the next step unless the engine has no map or holds.
func (e *fakeEngine) start() bool {
	next := e.finished + 1
	if e.running || !e.status.HasMap() {
		return false
	}
	if a := e.status.Armed; a != nil && a.Step <= next {
		if !a.Committed {
			return false
		}
		e.activate()
	}
	e.status.Step = next
	e.running = true
	return true
}

// copied returns the status as a reader gets it.
func (e *fakeEngine) copied() Status {
	s := e.status
	s.Maps = slices.Clone(s.Maps)
	if s.Armed != nil {
		c := *s.Armed
		s.Armed = &c
	}
	return s
}
