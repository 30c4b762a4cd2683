package expertmap

import "slices"

// CurrentMap is the map that a group uses, as a coordinator has found or decided
// it.
type CurrentMap struct {
	// Installed is the newest committed map. Its version is zero for a group
	// without any map.
	Installed Installed `cbor:"1,keyasint"`
	// Base is the map in use before Installed.From; zero if no rank uses it
	// any more.
	Base Version `cbor:"2,keyasint"`
}

// finding is what the states of all ranks of a group say together.
type finding struct {
	present CurrentMap
	// holding: a rank holds without being armed.
	holding bool
	// abort: a rank is armed with a change that no rank has committed, or holds
	// without one.
	abort bool
	// behind: a rank has no map, or hasn't committed the present one.
	behind bool
}

// open reports whether there is anything to recover.
func (f finding) open() bool { return f.abort || f.behind }

// resolve applies the rule of recovery to the states of all ranks: if one has
// committed a map, all have to; if none has, the change is aborted. It must be
// given every rank of the group: one rank left out may be the one that has
// committed.
func resolve(ranks []Status) finding {
	f := finding{holding: slices.ContainsFunc(ranks, func(r Status) bool { return r.Paused })}
	for _, r := range ranks {
		if c := f.committed(r); f.present.Installed.Version.Less(c.Version) {
			f.present.Installed = c
		}
	}
	for _, r := range ranks {
		f.add(r)
	}
	return f
}

// committed returns what counts as committed at a rank. Where some rank holds without
// being armed, it was never armed or has begun to abort: the change ahead of the others
// is not committed, whatever an order that came late has made of it.
func (f finding) committed(r Status) Installed {
	if f.holding {
		return r.Active
	}
	return r.Committed()
}

// add takes one rank's state into account, given the newest committed map.
func (f *finding) add(r Status) {
	newest := f.present.Installed.Version
	isAhead := r.HasUncommittedChange() && r.Armed.Version != newest
	if r.Paused || isAhead || f.holding && r.mustDrop(newest) {
		f.abort = true
	}
	if !r.HasMap() || f.committed(r).Version != newest {
		f.behind = true
	}
	if r.HasMap() && r.Active.Version != newest {
		f.present.Base = r.Active.Version
	}
}
