// Package consensus is the replication core: a pure state machine that elects a
// leader and agrees on a log.
//
// The core does no I/O, reads no clock and draws no randomness of its own. Time
// comes in as Tick calls, messages as Step calls; what has to be persisted,
// sent and applied comes out as a Ready. Tests drive it by hand.
package consensus

import "slices"

// ReplicaID names one replica of the log: a host together with the identity of
// the disk that holds its journal. A host that lost its disk is another replica.
type ReplicaID string

// NewReplicaID joins the name of a host and the identity of its disk.
func NewReplicaID(host, disk string) ReplicaID {
	return ReplicaID(host + "/" + disk)
}

// EntryKind tells what the data of an Entry is.
type EntryKind uint8

const (
	// EntryCommand carries a command for the replicated tables. An entry of this
	// kind without data is the one that a new leader appends to its term.
	EntryCommand EntryKind = iota
	// EntryMembership carries an encoded Membership that replaces the present one.
	EntryMembership
)

// Entry is one position of the replicated log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is what a replica must have synced before it answers a message.
type HardState struct {
	Term   uint64    `cbor:"1,keyasint"`
	Vote   ReplicaID `cbor:"2,keyasint,omitempty"`
	Commit uint64    `cbor:"3,keyasint,omitempty"`
}

// Membership is the set of replicas that hold the log. Voters count towards a
// quorum; learners receive the log without a vote.
type Membership struct {
	Voters   []ReplicaID `cbor:"1,keyasint,omitempty"`
	Learners []ReplicaID `cbor:"2,keyasint,omitempty"`
}

// IsVoter reports whether id counts towards a quorum.
func (m Membership) IsVoter(id ReplicaID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id receives the log without a vote.
func (m Membership) IsLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// Quorum returns how many voters make a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Clone returns a copy that shares no memory with m.
func (m Membership) Clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// SnapshotMeta places a snapshot in the log.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// Snapshot is the state of the replicated tables after the entry Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}
