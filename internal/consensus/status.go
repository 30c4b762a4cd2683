package consensus

// PeerStatus is what a leader knows about another replica.
type PeerStatus struct {
	ID ReplicaID
	// MatchIndex is the last log index that the replica is known to have persisted.
	MatchIndex uint64
	// TicksSinceContact is the number of ticks since the replica's last response.
	TicksSinceContact int
}

// Status describes a replica. Only a leader fills Peers.
type Status struct {
	SoftState
	ID            ReplicaID
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Membership    Membership
	// MembershipCommitted reports whether the entry that contains Membership is committed.
	MembershipCommitted bool
	Peers               []PeerStatus
	// Ticks is the number of ticks since the start of the replica. It lags behind the clock if the replica
	// gets too little processor time.
	Ticks uint64
	// DiskWaitTicks is the number of ticks for which the oldest write has waited for the disk.
	DiskWaitTicks uint64
}

// Status returns a copy of the replica's current state.
func (c *Core) Status() Status {
	s := Status{
		SoftState: c.softState(), ID: c.id, Commit: c.hardState.Commit, Applied: c.appliedIndex,
		LastIndex: c.log.lastIndex(), SnapshotIndex: c.snapshot.Meta.Index, Membership: c.Membership(),
		MembershipCommitted: c.memberships.latest().index <= c.hardState.Commit,
		Ticks:               c.ticks, DiskWaitTicks: c.writes.age(c.ticks),
	}
	for _, id := range c.peers {
		p := c.progress[id]
		s.Peers = append(s.Peers, PeerStatus{ID: id, MatchIndex: p.matchIndex, TicksSinceContact: p.ticksSinceContact})
	}
	return s
}
