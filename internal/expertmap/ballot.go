package expertmap

import (
	"cmp"
	"fmt"
)

// Ballot numbers one attempt of a coordinator, as in Paxos: participants refuse every ballot
// lower than the highest one that they have promised. The zero value is lower than any ballot in
// use.
type Ballot struct {
	// Counter is raised by each attempt above the highest counter that its coordinator knows of.
	Counter uint64 `cbor:"1,keyasint"`
	// Coordinator breaks ties. It must be unique for each start of a
	// coordinator (random, not the host's number), because a restarted
	// coordinator doesn't know which counters it has used.
	Coordinator uint64 `cbor:"2,keyasint"`
}

// Version identifies a map by the ballot that proposed it. Zero means no map.
type Version = Ballot

// Compare returns -1, 0 or 1 as b is lower than, equal to or higher than o.
func (b Ballot) Compare(o Ballot) int {
	if c := cmp.Compare(b.Counter, o.Counter); c != 0 {
		return c
	}
	return cmp.Compare(b.Coordinator, o.Coordinator)
}

// Less reports whether b is lower than o.
func (b Ballot) Less(o Ballot) bool { return b.Compare(o) < 0 }

// IsZero reports whether b is the zero value, which means no ballot.
func (b Ballot) IsZero() bool { return b == Ballot{} }

// String returns the ballot as "counter.coordinator", the form used in logs.
func (b Ballot) String() string { return fmt.Sprintf("%d.%x", b.Counter, b.Coordinator) }

// maxBallot returns the higher of two ballots.
func maxBallot(a, b Ballot) Ballot {
	if a.Less(b) {
		return b
	}
	return a
}
