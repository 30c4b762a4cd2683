package consensus

import "slices"

// progressState tells how the leader sends to a replica.
type progressState uint8

const (
	// probing looks for the place where the logs agree, one message at a time.
	probing progressState = iota
	// replicating sends ahead of the acknowledgements, as far as the window allows.
	replicating
	// snapshotting waits until a snapshot is taken in.
	snapshotting
)

// progress is what a leader knows of one replica. match only grows.
type progress struct {
	match uint64
	next  uint64
	state progressState
	// probeSent is set while an answer to a probe is outstanding.
	probeSent bool
	// poke asks for an append even if it carries nothing new, to find a gap.
	poke bool
	// sentCommit is the highest commit index that was sent.
	sentCommit uint64
	// inflight holds the last index of each unanswered append, oldest first.
	inflight []uint64
	// silent counts the ticks since the replica was heard.
	silent int
	// waited counts the ticks since a snapshot was sent.
	waited int
	// round is the latest heartbeat round that the replica answered.
	round uint64
}

func (p *progress) probe() {
	p.state = probing
	p.next = p.match + 1
	p.probeSent = false
	p.inflight = nil
}

func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0] <= p.match {
		p.inflight = p.inflight[1:]
	}
	if p.state == snapshotting && p.match < p.next-1 {
		return
	}
	p.state = replicating
	p.probeSent = false
}

// quorumValue returns the highest value that a majority of the voters reaches.
func (c *Core) quorumValue(of func(*progress) uint64) uint64 {
	voters := c.members.latest().membership.Voters
	if len(voters) == 0 {
		return 0
	}
	values := make([]uint64, 0, len(voters))
	for _, id := range voters {
		values = append(values, of(c.progress[id]))
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// quorumSilence returns how many ticks ago a majority was last heard.
func (c *Core) quorumSilence() int {
	m := c.members.latest().membership
	values := make([]int, 0, len(m.Voters))
	for _, id := range m.Voters {
		values = append(values, c.progress[id].silent)
	}
	slices.Sort(values)
	return values[m.Quorum()-1]
}

// trackMembers keeps one progress for each member and for the leader itself.
func (c *Core) trackMembers() {
	m := c.members.latest().membership
	old := c.progress
	c.progress = make(map[ReplicaID]*progress, len(m.Voters)+len(m.Learners)+1)
	c.peers = c.peers[:0]
	for _, id := range slices.Concat(m.Voters, m.Learners, []ReplicaID{c.id}) {
		if c.progress[id] != nil {
			continue
		}
		p := old[id]
		if p == nil {
			p = &progress{next: c.log.last() + 1}
		}
		c.progress[id] = p
		if id != c.id {
			c.peers = append(c.peers, id)
		}
	}
}
