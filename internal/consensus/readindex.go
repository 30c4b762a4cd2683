package consensus

// ReadState answers a ReadIndex: whatever was committed when the question came
// is contained in the state after the entry Index.
type ReadState struct {
	Context uint64
	Index   uint64
}

// pendingRead waits for a heartbeat round that began after the question. Its
// round is zero while the leader has committed nothing of its own term.
type pendingRead struct {
	context uint64
	index   uint64
	round   uint64
}

// ReadIndex asks up to where a linearizable read must wait. The answer comes as a
// ReadState with the same context, once a majority has answered a heartbeat round
// that began after this call; it never comes when the replica steps down. It is
// refused with ErrNotLeader.
func (c *Core) ReadIndex(context uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.reads = append(c.reads, pendingRead{context: context})
	c.startReads()
	return nil
}

// startReads opens one round for all reads that have none.
func (c *Core) startReads() {
	if !c.committedInTerm() || len(c.reads) == 0 || c.reads[len(c.reads)-1].round != 0 {
		return
	}
	c.round++
	for i := range c.reads {
		if c.reads[i].round == 0 {
			c.reads[i].index = c.hard.Commit
			c.reads[i].round = c.round
		}
	}
	c.broadcastHeartbeat()
	c.finishReads()
}

func (c *Core) finishReads() {
	c.progress[c.id].round = c.round
	confirmed := c.quorumValue(func(p *progress) uint64 { return p.round })
	for len(c.reads) > 0 && c.reads[0].round != 0 && c.reads[0].round <= confirmed {
		c.readStates = append(c.readStates, ReadState{c.reads[0].context, c.reads[0].index})
		c.reads = c.reads[1:]
	}
}

// committedInTerm reports whether an entry of the leader's own term is committed.
func (c *Core) committedInTerm() bool {
	return c.role == Leader && c.hard.Commit >= c.firstIndex
}
