package consensus

// ReadState is the answer to a ReadIndex call. A state machine that has applied the entry
// at Index contains everything that was committed when ReadIndex was called.
type ReadState struct {
	Context uint64
	Index   uint64
}

// pendingRead waits until a majority has answered a heartbeat round that began after the
// read was requested. heartbeatRound is zero while the leader has not committed an entry of
// its own term.
type pendingRead struct {
	context        uint64
	index          uint64
	heartbeatRound uint64
}

// ReadIndex asks for the index that a state machine must have applied to serve a
// linearizable read. The answer is a ReadState with the same context in a later Ready, once
// a majority has answered a heartbeat round that began after this call. There is no answer
// if the replica loses the leadership. ReadIndex fails with ErrNotLeader.
func (c *Core) ReadIndex(context uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.pendingReads = append(c.pendingReads, pendingRead{context: context})
	c.assignReadRound()
	return nil
}

// assignReadRound starts one heartbeat round for all reads that have none.
func (c *Core) assignReadRound() {
	if !c.hasCommittedInTerm() || len(c.pendingReads) == 0 || c.pendingReads[len(c.pendingReads)-1].heartbeatRound != 0 {
		return
	}
	c.heartbeatRound++
	for i := range c.pendingReads {
		if c.pendingReads[i].heartbeatRound == 0 {
			c.pendingReads[i].index = c.hardState.Commit
			c.pendingReads[i].heartbeatRound = c.heartbeatRound
		}
	}
	c.broadcastHeartbeat()
	c.confirmReads()
}

func (c *Core) confirmReads() {
	c.progress[c.id].heartbeatRound = c.heartbeatRound
	confirmed := c.quorumValue(func(p *progress) uint64 { return p.heartbeatRound })
	for len(c.pendingReads) > 0 && c.pendingReads[0].heartbeatRound != 0 && c.pendingReads[0].heartbeatRound <= confirmed {
		c.readStates = append(c.readStates, ReadState{c.pendingReads[0].context, c.pendingReads[0].index})
		c.pendingReads = c.pendingReads[1:]
	}
}

// hasCommittedInTerm reports whether this replica leads and has committed an entry of its
// own term.
func (c *Core) hasCommittedInTerm() bool {
	return c.role == Leader && c.hardState.Commit >= c.termStartIndex
}
