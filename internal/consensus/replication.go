package consensus

import "github.com/pkg/errors"

func (c *Core) appendOrStepDown(kind EntryKind, data []byte) {
	if _, err := c.appendLeaderEntry(kind, data); err != nil {
		c.becomeFollower(c.hardState.Term, "")
	}
}

// appendLeaderEntry appends a new entry to the leader's own log.
func (c *Core) appendLeaderEntry(kind EntryKind, data []byte) (uint64, error) {
	e := Entry{Term: c.hardState.Term, Index: c.log.lastIndex() + 1, Kind: kind, Data: data}
	if err := c.memberships.truncateAndAppend([]Entry{e}); err != nil {
		return 0, err
	}
	c.log.truncateAndAppend([]Entry{e})
	c.uncommittedBytes += e.size()
	if kind == EntryMembership {
		c.trackMembers()
	}
	c.needsReplication = true
	return e.Index, nil
}

// replicate sends each replica the entries that it lacks.
func (c *Core) replicate() {
	c.needsReplication = false
	if c.role != Leader {
		return
	}
	for _, id := range c.peers {
		c.replicateTo(id, c.progress[id])
	}
}

func (c *Core) replicateTo(id ReplicaID, p *progress) {
	for c.canSendAppend(p) {
		p.forceAppend = false
		if !c.sendAppend(id, p) {
			return
		}
	}
}

func (c *Core) canSendAppend(p *progress) bool {
	switch p.state {
	case probing:
		return !p.probeSent
	case snapshotting:
		return false
	}
	if len(p.inflight) >= c.cfg.MaxInflightAppends {
		return false
	}
	return p.nextIndex <= c.log.lastIndex() || p.sentCommitIndex < c.hardState.Commit || p.forceAppend
}

// sendAppend sends one append and reports whether it did. If the log no longer contains the
// entry before the append, it sends the snapshot instead.
func (c *Core) sendAppend(id ReplicaID, p *progress) bool {
	prevTerm, ok := c.log.term(p.nextIndex - 1)
	if !ok {
		c.sendSnapshot(id, p)
		return false
	}
	entries := c.log.entriesFrom(p.nextIndex, c.cfg.MaxAppendBytes)
	c.send(Message{Type: MessageAppend, To: id, Term: c.hardState.Term, Index: p.nextIndex - 1, LogTerm: prevTerm, Entries: entries, Commit: c.hardState.Commit})
	p.sentCommitIndex = c.hardState.Commit
	if p.state == probing {
		p.probeSent = true
		return true
	}
	if n := len(entries); n > 0 {
		p.nextIndex += uint64(n)
		p.inflight = append(p.inflight, p.nextIndex-1)
	}
	return true
}

func (c *Core) sendSnapshot(id ReplicaID, p *progress) {
	snap := c.snapshot
	p.state = snapshotting
	p.nextIndex = snap.Meta.Index + 1
	p.snapshotWaitTicks = 0
	p.inflight = nil
	c.send(Message{Type: MessageSnapshot, To: id, Term: c.hardState.Term, Snapshot: &snap})
}

// SnapshotLost tells a leader that the snapshot that it has sent to a replica may not arrive, because the
// connection has ended. The leader sends it again once the replica answers, instead of after
// Config.SnapshotRetryTicks. There is no effect if no snapshot is awaited.
func (c *Core) SnapshotLost(id ReplicaID) {
	p := c.progress[id]
	if p == nil || p.state != snapshotting {
		return
	}
	p.resetToProbing()
	p.probeSent = true
}

func (c *Core) broadcastHeartbeat() {
	c.heartbeatElapsed = 0
	for _, id := range c.peers {
		commit := min(c.progress[id].matchIndex, c.hardState.Commit)
		c.send(Message{Type: MessageHeartbeat, To: id, Term: c.hardState.Term, Commit: commit, Round: c.heartbeatRound})
	}
}

// hasContiguousEntries reports whether the entries of an append follow its Index without a
// gap.
func hasContiguousEntries(m Message) bool {
	for i := range m.Entries {
		if m.Entries[i].Index != m.Index+1+uint64(i) {
			return false
		}
	}
	return true
}

func (c *Core) handleAppend(m Message) error {
	if !hasContiguousEntries(m) {
		return nil
	}
	c.acceptLeader(m.From)
	if c.isDiskBacklogFull() {
		return nil
	}
	response := Message{Type: MessageAppendResponse, To: m.From, Term: c.hardState.Term}
	if m.Index < c.hardState.Commit {
		response.Index = c.hardState.Commit
		c.send(response)
		return nil
	}
	if !c.log.matchesTerm(m.Index, m.LogTerm) {
		response.Reject = true
		response.Index = m.Index
		response.HintIndex, response.HintTerm = c.log.lastWithTermAtMost(m.Index, m.LogTerm)
		c.send(response)
		return nil
	}
	if err := c.storeEntries(m.Entries); err != nil {
		return err
	}
	response.Index = m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, response.Index))
	c.send(response)
	return nil
}

// storeEntries adds the entries of an append to the log and replaces those that conflict
// with them. Entries that agree are never removed. A conflict with a committed entry can
// only come from a damaged log and is an error.
func (c *Core) storeEntries(entries []Entry) error {
	missing := entries[c.log.firstMissing(entries):]
	if len(missing) == 0 {
		return nil
	}
	if missing[0].Index <= c.hardState.Commit {
		return errors.Wrapf(ErrCorrupt, "entry %d conflicts with a committed one", missing[0].Index)
	}
	if err := c.memberships.truncateAndAppend(missing); err != nil {
		return err
	}
	c.log.truncateAndAppend(missing)
	c.writes.truncate(missing[0].Index)
	return nil
}

func (c *Core) commitTo(i uint64) {
	c.hardState.Commit = max(c.hardState.Commit, min(i, c.log.lastIndex()))
}

func (c *Core) handleAppendResponse(m Message) {
	p := c.progress[m.From]
	if p == nil {
		return
	}
	p.ticksSinceContact = 0
	c.needsReplication = true
	if m.Reject {
		c.handleReject(p, m)
		return
	}
	p.acknowledge(m.Index)
	c.advanceCommit()
	if c.role == Leader && m.From == c.transferee {
		c.sendTimeoutNowIfCaughtUp()
	}
}

// handleReject moves nextIndex back to the entry after the last one at which the logs may
// agree.
func (c *Core) handleReject(p *progress, m Message) {
	stale := m.Index <= p.matchIndex || (p.state == probing && m.Index != p.nextIndex-1) || p.state == snapshotting
	if stale {
		return
	}
	agreed, _ := c.log.lastWithTermAtMost(m.HintIndex, m.HintTerm)
	p.resetToProbing()
	p.nextIndex = max(p.matchIndex, min(agreed, m.Index-1)) + 1
}

// advanceCommit commits the entries that a majority of the voters has persisted, if the
// last of them is of the leader's own term.
func (c *Core) advanceCommit() {
	quorumIndex := c.quorumValue(func(p *progress) uint64 { return p.matchIndex })
	if quorumIndex <= c.hardState.Commit || !c.log.matchesTerm(quorumIndex, c.hardState.Term) {
		return
	}
	for _, e := range c.log.slice(c.hardState.Commit+1, quorumIndex) {
		c.uncommittedBytes -= e.size()
	}
	c.hardState.Commit = quorumIndex
	c.needsReplication = true
	c.assignReadRound()
	c.stepDownIfRemoved()
}

// stepDownIfRemoved ends the leadership of a replica whose removal from the voters is
// committed. It sends the commit index to the other replicas first.
func (c *Core) stepDownIfRemoved() {
	latest := c.memberships.latest()
	if latest.index > c.hardState.Commit || latest.membership.IsVoter(c.id) {
		return
	}
	c.replicate()
	c.becomeFollower(c.hardState.Term, "")
}

func (c *Core) handleHeartbeat(m Message) {
	c.acceptLeader(m.From)
	c.commitTo(m.Commit)
	c.send(Message{Type: MessageHeartbeatResponse, To: m.From, Term: c.hardState.Term, Round: m.Round})
}

func (c *Core) handleHeartbeatResponse(m Message) {
	p := c.progress[m.From]
	if p == nil {
		return
	}
	p.ticksSinceContact = 0
	p.heartbeatRound = max(p.heartbeatRound, m.Round)
	p.probeSent = false
	if p.matchIndex < c.log.lastIndex() {
		p.forceAppend = true
		c.needsReplication = true
		if len(p.inflight) >= c.cfg.MaxInflightAppends {
			p.inflight = p.inflight[1:]
		}
	}
	c.confirmReads()
}

func (c *Core) handleSnapshot(m Message) {
	c.acceptLeader(m.From)
	if m.Snapshot == nil || c.isDiskBacklogFull() {
		return
	}
	c.installSnapshot(*m.Snapshot)
	c.send(Message{Type: MessageAppendResponse, To: m.From, Term: c.hardState.Term, Index: c.hardState.Commit})
}

func (c *Core) installSnapshot(s Snapshot) {
	if s.Meta.Index <= c.hardState.Commit {
		return
	}
	if c.log.matchesTerm(s.Meta.Index, s.Meta.Term) {
		c.commitTo(s.Meta.Index)
		return
	}
	c.log.reset(s.Meta)
	c.writes.truncate(s.Meta.Index + 1)
	c.memberships = newMemberships(s.Meta)
	c.hardState.Commit = s.Meta.Index
	c.appliedIndex = s.Meta.Index
	c.snapshot = s
	c.pendingSnapshot = &s
}

// SnapshotMeta returns the metadata for a snapshot of the state after the entry at index.
// This entry must be applied and not be older than the last snapshot.
func (c *Core) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.appliedIndex || index < c.snapshot.Meta.Index {
		return SnapshotMeta{}, errors.Errorf("cannot take a snapshot at index %d", index)
	}
	return SnapshotMeta{Index: index, Term: term, Membership: c.memberships.at(index).Clone()}, nil
}

// Compact records a persisted snapshot and removes the log entries that it covers, except
// the last Config.TrailingEntries, or fewer of them with Config.TrailingBytes of data. A snapshot that is not newer than the recorded one is
// ignored.
func (c *Core) Compact(s Snapshot) {
	if s.Meta.Index <= c.snapshot.Meta.Index || s.Meta.Index > c.appliedIndex {
		return
	}
	c.snapshot = s
	c.memberships.compact(s.Meta.Index)
	c.log.compact(c.lastToCompact(s.Meta.Index))
}

// lastToCompact returns the last entry to be removed after a snapshot at index.
func (c *Core) lastToCompact(index uint64) uint64 {
	left := c.cfg.TrailingBytes
	for last := index; last > c.log.baseIndex; last-- {
		left -= c.log.slice(last, last)[0].size()
		if index-last >= c.cfg.TrailingEntries || left < 0 {
			return last
		}
	}
	return c.log.baseIndex
}
