package consensus

// PeerStatus is what a leader knows of another replica.
type PeerStatus struct {
	ID ReplicaID
	// MatchIndex is the last index that the replica is known to have persisted.
	MatchIndex uint64
	// TicksSinceContact is how long ago it was heard.
	TicksSinceContact int
}

// Status describes a replica. Peers is filled on a leader only.
type Status struct {
	SoftState
	ID            ReplicaID
	Commit        uint64
	Applied       uint64
	LastIndex     uint64
	SnapshotIndex uint64
	Membership    Membership
	// MembershipCommitted tells whether Membership is committed.
	MembershipCommitted bool
	Peers               []PeerStatus
}

// Status returns a copy of the replica's state.
func (c *Core) Status() Status {
	s := Status{
		SoftState: c.soft(), ID: c.id, Commit: c.hard.Commit, Applied: c.applied,
		LastIndex: c.log.last(), SnapshotIndex: c.snapshot.Meta.Index, Membership: c.Membership(),
		MembershipCommitted: c.members.latest().index <= c.hard.Commit,
	}
	for _, id := range c.peers {
		p := c.progress[id]
		s.Peers = append(s.Peers, PeerStatus{ID: id, MatchIndex: p.match, TicksSinceContact: p.silent})
	}
	return s
}
