package consensus

import "slices"

// campaign starts a pre-vote (PreCandidate) or a real election (Candidate).
func (c *Core) campaign(role Role, transfer bool) {
	term := c.hard.Term + 1
	kind := MessagePreVote
	if role == Candidate {
		kind = MessageVote
		c.hard.Term = term
		c.hard.Vote = c.id
	}
	c.campaigns++
	c.becomeFollower(c.hard.Term, "")
	c.role = role
	c.votes = map[ReplicaID]bool{c.id: true}
	if c.tally() {
		return
	}
	for _, id := range c.members.latest().membership.Voters {
		if id == c.id {
			continue
		}
		c.send(Message{Type: kind, To: id, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer})
	}
}

// mayCampaign reports whether this replica is a voter by its own log.
func (c *Core) mayCampaign() bool { return c.members.latest().membership.IsVoter(c.id) }

// tally counts the votes of the membership's voters, and of nobody else. It
// reports whether the campaign is over.
func (c *Core) tally() bool {
	m := c.members.latest().membership
	granted, rejected := 0, 0
	for id, ok := range c.votes {
		switch {
		case !m.IsVoter(id):
		case ok:
			granted++
		default:
			rejected++
		}
	}
	switch {
	case granted >= m.Quorum() && c.role == PreCandidate:
		c.campaign(Candidate, false)
	case granted >= m.Quorum():
		c.becomeLeader()
	case rejected >= m.Quorum():
		c.becomeFollower(c.hard.Term, "")
	default:
		return false
	}
	return true
}

// handleVote answers a candidate. Only voters of the candidate's membership are
// asked, by ReplicaID, so a replica with a new disk is asked only after a
// membership names it; it may then vote before it has that membership itself.
func (c *Core) handleVote(m Message) {
	grant := c.mayVote(m) && c.log.upToDate(m.Index, m.LogTerm)
	answer := Message{Type: MessageVoteResponse, To: m.From, Term: c.hard.Term, Reject: !grant}
	if m.Type == MessagePreVote {
		answer.Type = MessagePreVoteResponse
		if grant {
			answer.Term = m.Term
		}
	} else if grant {
		c.hard.Vote = m.From
		c.electionElapsed = 0
	}
	c.send(answer)
}

func (c *Core) mayVote(m Message) bool {
	if m.Type == MessagePreVote {
		return m.Term > c.hard.Term
	}
	return c.hard.Vote == m.From || (c.hard.Vote == "" && c.leader == "")
}

func (c *Core) handleVoteResponse(m Message) {
	switch {
	case m.Type == MessagePreVoteResponse && c.role != PreCandidate:
		return
	case m.Type == MessagePreVoteResponse && !m.Reject && m.Term != c.hard.Term+1:
		return
	case m.Type == MessageVoteResponse && c.role != Candidate:
		return
	}
	if _, known := c.votes[m.From]; !known {
		c.votes[m.From] = !m.Reject
	}
	c.tally()
}

// heardLeader reports whether a leader was heard within an election timeout;
// then nobody else may be elected but by a transfer.
func (c *Core) heardLeader() bool {
	return c.role == Leader || (c.leader != "" && c.electionElapsed < c.cfg.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term != c.hard.Term {
		c.hard.Term = term
		c.hard.Vote = ""
	}
	c.role = Follower
	c.leader = leader
	c.votes = nil
	c.progress = nil
	c.peers = nil
	c.reads = nil
	c.transferee = ""
	c.electionElapsed = 0
	c.timeout = c.drawTimeout()
}

const (
	// startPart is the part of an election timeout that a replica waits for a leader when it
	// has just started: where all have stopped at once, nobody leads, and callers wait. A
	// leader that lives is not disturbed, since those that hear it refuse a pre-vote.
	startPart = 4
	// leastTimeout is the shortest election timeout in ticks, a round of messages.
	leastTimeout = 2
)

// drawTimeout returns the next election timeout, in ticks. Until a leader was known since
// the start it begins short and doubles with each campaign, so that replicas which are
// further apart than that still elect one. The first is staggered by the order of the
// voters: replicas that start together would vote for themselves at the same tick.
func (c *Core) drawTimeout() int {
	span := c.cfg.ElectionTicks
	first := max(span/startPart, leastTimeout)
	switch {
	case c.hasHeard || c.campaigns >= startPart:
	case c.campaigns == 0:
		voters := c.members.latest().membership.Voters
		return min(first+leastTimeout*max(slices.Index(voters, c.id), 0), span)
	default:
		span = min(first<<c.campaigns, span)
	}
	return span + c.cfg.Rand.IntN(span)
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.hasHeard = true
	c.votes = nil
	c.heartbeatElapsed = 0
	c.round = 0
	c.trackMembers()
	c.progress[c.id].match = c.log.stable
	c.uncommitted = 0
	for _, e := range c.log.slice(c.hard.Commit+1, c.log.last()) {
		c.uncommitted += e.size()
	}
	c.firstIndex = c.log.last() + 1
	c.appendFirst()
}

// appendFirst appends the entry that opens a term: only by an entry of its own
// term can a leader learn what is committed.
func (c *Core) appendFirst() {
	first := c.members.latest()
	if c.log.last() > 0 {
		c.mustAppend(EntryCommand, nil)
		return
	}
	data, err := EncodeMembership(first.membership)
	if err != nil {
		c.becomeFollower(c.hard.Term, "")
		return
	}
	c.mustAppend(EntryMembership, data)
}

// TransferLeadership hands the leadership over to a voter, or to the voter with
// the longest log where to is empty. Proposals are refused until it succeeds or
// an election timeout has passed.
func (c *Core) TransferLeadership(to ReplicaID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if to == "" {
		to = c.bestPeer()
	}
	if to == c.id || !c.members.latest().membership.IsVoter(to) {
		return ErrNoTransferee
	}
	c.transferee = to
	c.transferElapsed = 0
	c.dirty = true
	c.finishTransfer()
	return nil
}

func (c *Core) bestPeer() ReplicaID {
	var best ReplicaID
	for _, id := range c.peers {
		if !c.members.latest().membership.IsVoter(id) || c.progress[id].silent >= c.cfg.ElectionTicks {
			continue
		}
		if best == "" || c.progress[id].match > c.progress[best].match {
			best = id
		}
	}
	return best
}

func (c *Core) finishTransfer() {
	p := c.progress[c.transferee]
	if p == nil || p.match < c.log.last() {
		return
	}
	c.send(Message{Type: MessageTimeoutNow, To: c.transferee, Term: c.hard.Term})
}

func (c *Core) handleTimeoutNow(m Message) {
	if c.role == Follower && m.From == c.leader && c.mayCampaign() {
		c.campaign(Candidate, true)
	}
}
