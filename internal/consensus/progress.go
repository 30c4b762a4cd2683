package consensus

import "slices"

// progressState is the way in which the leader sends entries to a replica.
type progressState uint8

const (
	// probing sends one append at a time to find the last entry at which the logs agree.
	probing progressState = iota
	// replicating sends appends before earlier ones are acknowledged, up to
	// MaxInflightAppends.
	replicating
	// snapshotting sends no appends until the replica has acknowledged a snapshot.
	snapshotting
)

// progress is what a leader knows about one replica. matchIndex never decreases.
type progress struct {
	matchIndex uint64
	nextIndex  uint64
	state      progressState
	// probeSent is set while the answer to a probe is outstanding.
	probeSent bool
	// forceAppend causes an append even if there is nothing new to send. The replica
	// rejects it if entries before it are missing, which reveals a lost append.
	forceAppend bool
	// sentCommitIndex is the commit index in the latest append to the replica.
	sentCommitIndex uint64
	// inflight holds the last index of each unacknowledged append, oldest first.
	inflight []uint64
	// ticksSinceContact counts the ticks since the replica's last response.
	ticksSinceContact int
	// snapshotWaitTicks counts the ticks since the leader sent a snapshot.
	snapshotWaitTicks int
	// heartbeatRound is the latest heartbeat round that the replica has answered.
	heartbeatRound uint64
}

func (p *progress) resetToProbing() {
	p.state = probing
	p.nextIndex = p.matchIndex + 1
	p.probeSent = false
	p.inflight = nil
}

func (p *progress) acknowledge(index uint64) {
	p.matchIndex = max(p.matchIndex, index)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.matchIndex {
		p.inflight = p.inflight[1:]
	}
	if p.state == snapshotting && p.matchIndex < p.nextIndex-1 {
		return
	}
	p.state = replicating
	p.probeSent = false
}

// quorumValue returns the highest value that a majority of the voters has reached.
func (c *Core) quorumValue(valueOf func(*progress) uint64) uint64 {
	voters := c.memberships.latest().membership.Voters
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		values = append(values, valueOf(c.progress[id]))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// ticksSinceQuorumContact returns the least number of ticks within which a majority of the
// voters was heard. The leader counts itself as heard.
func (c *Core) ticksSinceQuorumContact() int {
	m := c.memberships.latest().membership
	values := make([]int, 0, len(m.Voters))
	for _, id := range m.Voters {
		values = append(values, c.progress[id].ticksSinceContact)
	}
	slices.Sort(values)
	return values[m.Quorum()-1]
}

// trackMembers keeps one progress for each member of the membership and for the leader
// itself.
func (c *Core) trackMembers() {
	m := c.memberships.latest().membership
	old := c.progress
	c.progress = make(map[ReplicaID]*progress, len(m.Voters)+len(m.Learners)+1)
	c.peers = c.peers[:0]
	for _, id := range slices.Concat(m.Voters, m.Learners, []ReplicaID{c.id}) {
		if c.progress[id] != nil {
			continue
		}
		p := old[id]
		if p == nil {
			p = &progress{nextIndex: c.log.lastIndex() + 1}
		}
		c.progress[id] = p
		if id != c.id {
			c.peers = append(c.peers, id)
		}
	}
}
