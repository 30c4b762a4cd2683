// Package consensus implements the Raft consensus protocol as a pure state machine that
// elects a leader and replicates a log.
//
// The core does no I/O, reads no clock and creates no random numbers of its own. Time comes
// in as Tick calls and messages as Step calls. What has to be persisted, sent and applied
// comes out as a Ready. Tests can therefore run it step by step.
package consensus

import "slices"

// ReplicaID identifies one replica of the log: a host together with the identity of the
// disk that stores its log. A host that lost its disk becomes another replica.
type ReplicaID string

// NewReplicaID combines the name of a host and the identity of its disk.
func NewReplicaID(host, disk string) ReplicaID {
	return ReplicaID(host + "/" + disk)
}

// EntryKind is the kind of data in an Entry.
type EntryKind uint8

const (
	// EntryCommand marks a command for the state machine. A new leader starts its term with
	// an entry of this kind without data.
	EntryCommand EntryKind = iota
	// EntryMembership marks an encoded Membership, which replaces the current one.
	EntryMembership
)

// Entry is one entry of the replicated log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint,omitempty"`
	Data  []byte    `cbor:"4,keyasint,omitempty"`
}

// HardState is the part of a replica's state that must be synced to disk before the replica
// sends any message that depends on it.
type HardState struct {
	Term   uint64    `cbor:"1,keyasint"`
	Vote   ReplicaID `cbor:"2,keyasint,omitempty"`
	Commit uint64    `cbor:"3,keyasint,omitempty"`
}

// Membership is the set of replicas that store the log. Voters count towards a quorum.
// Learners receive the log but don't vote.
type Membership struct {
	Voters   []ReplicaID `cbor:"1,keyasint,omitempty"`
	Learners []ReplicaID `cbor:"2,keyasint,omitempty"`
}

// IsVoter reports whether id counts towards a quorum.
func (m Membership) IsVoter(id ReplicaID) bool { return slices.Contains(m.Voters, id) }

// IsLearner reports whether id receives the log but doesn't vote.
func (m Membership) IsLearner(id ReplicaID) bool { return slices.Contains(m.Learners, id) }

// Quorum returns how many voters make a majority.
func (m Membership) Quorum() int { return len(m.Voters)/2 + 1 }

// Clone returns a copy that shares no memory with m.
func (m Membership) Clone() Membership {
	return Membership{Voters: slices.Clone(m.Voters), Learners: slices.Clone(m.Learners)}
}

// SnapshotMeta holds the index and term of the last entry that a snapshot covers, and the
// membership in effect at that entry.
type SnapshotMeta struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
}

// Snapshot is the encoded state of the state machine after the entry at Meta.Index.
type Snapshot struct {
	Meta SnapshotMeta `cbor:"1,keyasint"`
	Data []byte       `cbor:"2,keyasint,omitempty"`
}
