package expertmap

import "slices"

// CurrentMap is the map that a group uses, as a coordinator has found or decided
// it.
type CurrentMap struct {
	// Installed is the newest committed map. Its version is zero for a group
	// without any map.
	Installed Installed `cbor:"1,keyasint"`
	// Base is the map in use before Installed.FromStep; zero if no rank uses it any more.
	Base Version `cbor:"2,keyasint"`
}

// groupState summarises the states of all ranks of a group.
type groupState struct {
	current CurrentMap
	// paused: some rank is paused without being armed.
	paused bool
	// mustAbort: some rank is armed with a change that no rank has committed, or is paused
	// without being armed.
	mustAbort bool
	// isBehind: some rank has no map, or hasn't committed the group's newest committed map.
	isBehind bool
}

// needsRecovery reports whether an unfinished change has to be completed or aborted.
func (g groupState) needsRecovery() bool { return g.mustAbort || g.isBehind }

// evaluateRanks applies the recovery rule to the states of all ranks: if any rank has committed a
// map, all ranks have to commit it; if none has, the change is aborted. It needs the state of
// every rank of the group, because a missing rank may be the one that has committed.
func evaluateRanks(ranks []Status) groupState {
	g := groupState{paused: slices.ContainsFunc(ranks, func(r Status) bool { return r.Paused })}
	for _, r := range ranks {
		if c := g.committedMap(r); g.current.Installed.Version.Less(c.Version) {
			g.current.Installed = c
		}
	}
	for _, r := range ranks {
		g.addRank(r)
	}
	return g
}

// committedMap returns the map that counts as committed at a rank. If some rank is paused without
// being armed, that rank was never armed or its abort has begun. The change that other ranks are
// armed with then isn't committed, even if a delayed order has made it look so.
func (g groupState) committedMap(r Status) Installed {
	if g.paused {
		return r.Active
	}
	return r.Committed()
}

// addRank adds the state of one rank to the summary, given the newest committed map.
func (g *groupState) addRank(r Status) {
	newest := g.current.Installed.Version
	hasOpenChange := r.HasUncommittedChange() && r.Armed.Version != newest
	if r.Paused || hasOpenChange || g.paused && r.mustDropChange(newest) {
		g.mustAbort = true
	}
	if !r.HasMap() || g.committedMap(r).Version != newest {
		g.isBehind = true
	}
	if r.HasMap() && r.Active.Version != newest {
		g.current.Base = r.Active.Version
	}
}
