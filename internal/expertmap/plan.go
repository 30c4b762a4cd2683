package expertmap

// plan returns the orders that bring the engines closer to what the request asks for, none if
// they have reached it, or the reason to refuse. It is called again with the new states after the
// orders have been executed.
func plan(m Message, ranks []Status) ([]Order, Reason) {
	var orders []Order
	for i, r := range ranks {
		rankOrders, reason := planRank(m, r)
		if reason != 0 {
			return nil, reason
		}
		for _, o := range rankOrders {
			o.EngineIndex = i
			orders = append(orders, o)
		}
	}
	return orders, 0
}

func planRank(m Message, r Status) ([]Order, Reason) {
	switch {
	case m.Promise != nil:
		return planPromise(m.Promise, r), 0
	case m.Stage != nil:
		return planStage(m.Stage, r), 0
	case m.Arm != nil:
		return planArm(m.Arm, r)
	case m.Commit != nil:
		return planCommit(m.Commit, r)
	case m.Abort != nil:
		return planAbort(m.Abort, r), 0
	case m.Release != nil:
		return planRelease(m.Release, r), 0
	}
	return nil, ReasonState
}

// planPromise arms an armed engine again under the new ballot, so that the engine refuses a
// commit of the old ballot that is still in transit.
func planPromise(m *Promise, r Status) []Order {
	if !r.HasUncommittedChange() || r.Armed.Ballot == m.Ballot {
		return nil
	}
	c := *r.Armed
	c.Ballot = m.Ballot
	return []Order{{Kind: OrderArm, Change: c}}
}

func planStage(m *Stage, r Status) []Order {
	if m.OnlyRanksWithoutMap && r.HasMap() {
		return nil
	}
	var orders []Order
	for i := range m.Maps {
		if r.hasLoaded(m.Maps[i].Version) {
			continue
		}
		orders = append(orders, Order{Kind: OrderStage, Ballot: m.Ballot, Map: &m.Maps[i]})
	}
	return orders
}

func planArm(m *Arm, r Status) ([]Order, Reason) {
	isArmed := r.HasUncommittedChange() && r.Armed.Version == m.Version && r.Armed.Ballot == m.Ballot
	switch {
	case isArmed && r.Armed.Step != m.Step:
		return nil, ReasonStep
	case isArmed, r.Committed().Version == m.Version:
		return nil, 0
	case !r.HasMap(), !r.hasLoaded(m.Version):
		return nil, ReasonState
	case m.Step <= r.Step:
		return nil, ReasonStep
	}
	c := Change{Version: m.Version, Ballot: m.Ballot, Step: m.Step}
	return []Order{{Kind: OrderArm, Change: c}}, 0
}

func planCommit(m *Commit, r Status) ([]Order, Reason) {
	target := m.Current.Installed
	isArmed := r.HasUncommittedChange() && r.Armed.Version == target.Version && r.Armed.Ballot == m.Ballot
	switch {
	case r.Committed().Version == target.Version:
		return nil, 0
	case isArmed:
		return []Order{{Kind: OrderCommit, Ballot: m.Ballot}}, 0
	case r.HasMap(), !r.hasLoaded(target.Version):
		return nil, ReasonState
	case !m.Current.Base.IsZero() && !r.hasLoaded(m.Current.Base):
		return nil, ReasonState
	}
	c := Change{Version: target.Version, Ballot: m.Ballot, Step: target.FromStep, Base: m.Current.Base}
	return []Order{{Kind: OrderArm, Change: c}}, 0
}

func planAbort(m *Abort, r Status) []Order {
	if !r.mustDropChange(m.Current) {
		return nil
	}
	return []Order{{Kind: OrderAbort, Ballot: m.Ballot}}
}

// planRelease first removes a change that a delayed order has armed since the abort.
func planRelease(m *Release, r Status) []Order {
	switch {
	case r.mustDropChange(m.Current):
		return []Order{{Kind: OrderAbort, Ballot: m.Ballot}}
	case r.Paused:
		return []Order{{Kind: OrderRelease, Ballot: m.Ballot}}
	}
	return nil
}
