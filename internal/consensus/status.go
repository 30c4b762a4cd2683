package consensus

// PeerStatus is what a leader knows of another replica.
type PeerStatus struct {
	ID ReplicaID
	// Match is the last index that the replica is known to have persisted.
	Match uint64
	// SilentTicks is how long ago it was heard.
	SilentTicks int
}

// Status describes a replica. Peers is filled on a leader only.
type Status struct {
	SoftState
	ID         ReplicaID
	Commit     uint64
	Applied    uint64
	Last       uint64
	Snapshot   uint64
	Membership Membership
	// MembershipCommitted tells whether Membership is committed.
	MembershipCommitted bool
	Peers               []PeerStatus
}

// Status returns a copy of the replica's state.
func (c *Core) Status() Status {
	s := Status{
		SoftState: c.soft(), ID: c.id, Commit: c.hard.Commit, Applied: c.applied,
		Last: c.log.last(), Snapshot: c.snapshot.Meta.Index, Membership: c.Membership(),
		MembershipCommitted: c.members.latest().index <= c.hard.Commit,
	}
	for _, id := range c.peers {
		p := c.progress[id]
		s.Peers = append(s.Peers, PeerStatus{ID: id, Match: p.match, SilentTicks: p.silent})
	}
	return s
}
