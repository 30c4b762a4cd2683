package consensus

import "github.com/pkg/errors"

func (c *Core) mustAppend(kind EntryKind, data []byte) {
	if _, err := c.appendOwn(kind, data); err != nil {
		c.becomeFollower(c.hard.Term, "")
	}
}

// appendOwn adds an entry of the leader to its log.
func (c *Core) appendOwn(kind EntryKind, data []byte) (uint64, error) {
	e := Entry{Term: c.hard.Term, Index: c.log.last() + 1, Kind: kind, Data: data}
	if err := c.members.put([]Entry{e}); err != nil {
		return 0, err
	}
	c.log.put([]Entry{e})
	c.uncommitted += e.size()
	if kind == EntryMembership {
		c.trackMembers()
	}
	c.dirty = true
	return e.Index, nil
}

// replicate sends each replica what it lacks.
func (c *Core) replicate() {
	c.dirty = false
	if c.role != Leader {
		return
	}
	for _, id := range c.peers {
		c.replicateTo(id, c.progress[id])
	}
}

func (c *Core) replicateTo(id ReplicaID, p *progress) {
	for c.maySend(p) {
		p.poke = false
		if !c.sendAppend(id, p) {
			return
		}
	}
}

func (c *Core) maySend(p *progress) bool {
	switch p.state {
	case probing:
		return !p.probeSent
	case snapshotting:
		return false
	}
	if len(p.inflight) >= c.cfg.MaxInflightAppends {
		return false
	}
	return p.next <= c.log.last() || p.sentCommit < c.hard.Commit || p.poke
}

// sendAppend sends one append and reports whether it did; where the log no longer
// reaches back far enough it sends the snapshot.
func (c *Core) sendAppend(id ReplicaID, p *progress) bool {
	prevTerm, ok := c.log.term(p.next - 1)
	if !ok {
		c.sendSnapshot(id, p)
		return false
	}
	entries := c.log.from(p.next, c.cfg.MaxAppendBytes)
	c.send(Message{Type: MessageAppend, To: id, Term: c.hard.Term, Index: p.next - 1, LogTerm: prevTerm, Entries: entries, Commit: c.hard.Commit})
	p.sentCommit = c.hard.Commit
	if p.state == probing {
		p.probeSent = true
		return true
	}
	if n := len(entries); n > 0 {
		p.next += uint64(n)
		p.inflight = append(p.inflight, p.next-1)
	}
	return true
}

func (c *Core) sendSnapshot(id ReplicaID, p *progress) {
	snap := c.snapshot
	p.state = snapshotting
	p.next = snap.Meta.Index + 1
	p.waited = 0
	p.inflight = nil
	c.send(Message{Type: MessageSnapshot, To: id, Term: c.hard.Term, Snapshot: &snap})
}

func (c *Core) broadcastHeartbeat() {
	c.heartbeatElapsed = 0
	for _, id := range c.peers {
		commit := min(c.progress[id].match, c.hard.Commit)
		c.send(Message{Type: MessageHeartbeat, To: id, Term: c.hard.Term, Commit: commit, Round: c.round})
	}
}

// contiguous reports whether the entries of an append follow its Index one by one.
func contiguous(m Message) bool {
	for i := range m.Entries {
		if m.Entries[i].Index != m.Index+1+uint64(i) {
			return false
		}
	}
	return true
}

func (c *Core) handleAppend(m Message) error {
	if !contiguous(m) {
		return nil
	}
	c.followLeader(m.From)
	answer := Message{Type: MessageAppendResponse, To: m.From, Term: c.hard.Term}
	if m.Index < c.hard.Commit {
		answer.Index = c.hard.Commit
		c.send(answer)
		return nil
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		answer.Reject = true
		answer.Index = m.Index
		answer.HintIndex, answer.HintTerm = c.log.lastAtOrBelow(m.Index, m.LogTerm)
		c.send(answer)
		return nil
	}
	if err := c.takeEntries(m.Entries); err != nil {
		return err
	}
	answer.Index = m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, answer.Index))
	c.send(answer)
	return nil
}

// takeEntries replaces what conflicts; an entry that agrees is never cut, and a
// committed one can't conflict.
func (c *Core) takeEntries(entries []Entry) error {
	fresh := entries[c.log.firstNew(entries):]
	if len(fresh) == 0 {
		return nil
	}
	if fresh[0].Index <= c.hard.Commit {
		return errors.Wrapf(ErrCorrupt, "entry %d conflicts with a committed one", fresh[0].Index)
	}
	if err := c.members.put(fresh); err != nil {
		return err
	}
	c.log.put(fresh)
	return nil
}

func (c *Core) commitTo(i uint64) {
	c.hard.Commit = max(c.hard.Commit, min(i, c.log.last()))
}

func (c *Core) handleAppendResponse(m Message) {
	p := c.progress[m.From]
	if p == nil {
		return
	}
	p.silent = 0
	c.dirty = true
	if m.Reject {
		c.handleReject(p, m)
		return
	}
	p.acknowledge(m.Index)
	c.advanceCommit()
	if c.role == Leader && m.From == c.transferee {
		c.finishTransfer()
	}
}

// handleReject moves back to the last place at which the logs may agree.
func (c *Core) handleReject(p *progress, m Message) {
	stale := m.Index <= p.match || (p.state == probing && m.Index != p.next-1) || p.state == snapshotting
	if stale {
		return
	}
	at, _ := c.log.lastAtOrBelow(m.HintIndex, m.HintTerm)
	p.probe()
	p.next = max(p.match, min(at, m.Index-1)) + 1
}

// advanceCommit commits what a majority of the voters has persisted, if the last
// of it is of the leader's own term.
func (c *Core) advanceCommit() {
	at := c.quorumValue(func(p *progress) uint64 { return p.match })
	if at <= c.hard.Commit || !c.log.matches(at, c.hard.Term) {
		return
	}
	for _, e := range c.log.slice(c.hard.Commit+1, at) {
		c.uncommitted -= e.size()
	}
	c.hard.Commit = at
	c.dirty = true
	c.startReads()
	c.leaveIfRemoved()
}

// leaveIfRemoved ends the leadership of a replica once its removal is committed;
// the others are told of the commit first.
func (c *Core) leaveIfRemoved() {
	latest := c.members.latest()
	if latest.index > c.hard.Commit || latest.membership.IsVoter(c.id) {
		return
	}
	c.replicate()
	c.becomeFollower(c.hard.Term, "")
}

func (c *Core) handleHeartbeat(m Message) {
	c.followLeader(m.From)
	c.commitTo(m.Commit)
	c.send(Message{Type: MessageHeartbeatResponse, To: m.From, Term: c.hard.Term, Round: m.Round})
}

func (c *Core) handleHeartbeatResponse(m Message) {
	p := c.progress[m.From]
	if p == nil {
		return
	}
	p.silent = 0
	p.round = max(p.round, m.Round)
	p.probeSent = false
	if p.match < c.log.last() {
		p.poke = true
		c.dirty = true
		if len(p.inflight) >= c.cfg.MaxInflightAppends {
			p.inflight = p.inflight[1:]
		}
	}
	c.finishReads()
}

func (c *Core) handleSnapshot(m Message) {
	c.followLeader(m.From)
	if m.Snapshot == nil {
		return
	}
	c.takeSnapshot(*m.Snapshot)
	c.send(Message{Type: MessageAppendResponse, To: m.From, Term: c.hard.Term, Index: c.hard.Commit})
}

func (c *Core) takeSnapshot(s Snapshot) {
	if s.Meta.Index <= c.hard.Commit {
		return
	}
	if c.log.matches(s.Meta.Index, s.Meta.Term) {
		c.commitTo(s.Meta.Index)
		return
	}
	c.log.reset(s.Meta)
	c.members = newMemberships(s.Meta)
	c.hard.Commit = s.Meta.Index
	c.applied = s.Meta.Index
	c.snapshot = s
	c.restored = &s
}

// SnapshotMeta returns the meta of a snapshot of the state after the entry index,
// which must be applied and not older than the last snapshot.
func (c *Core) SnapshotMeta(index uint64) (SnapshotMeta, error) {
	term, ok := c.log.term(index)
	if !ok || index > c.applied || index < c.snapshot.Meta.Index {
		return SnapshotMeta{}, errors.Errorf("no snapshot can be taken at %d", index)
	}
	return SnapshotMeta{Index: index, Term: term, Membership: c.members.at(index).Clone()}, nil
}

// Compact takes over a persisted snapshot and forgets the log before it, but for
// the last Config.KeepEntries entries. An older snapshot than the present one is ignored.
func (c *Core) Compact(s Snapshot) {
	if s.Meta.Index <= c.snapshot.Meta.Index || s.Meta.Index > c.applied {
		return
	}
	c.snapshot = s
	c.members.compact(s.Meta.Index)
	if s.Meta.Index > c.cfg.TrailingEntries {
		c.log.compact(s.Meta.Index - c.cfg.TrailingEntries)
	}
}
