package consensus

import "slices"

// campaign starts a pre-vote (PreCandidate) or an election (Candidate).
func (c *Core) campaign(role Role, transfer bool) {
	term := c.hardState.Term + 1
	messageType := MessagePreVote
	if role == Candidate {
		messageType = MessageVote
		c.hardState.Term = term
		c.hardState.Vote = c.id
	}
	c.campaignCount++
	c.becomeFollower(c.hardState.Term, "")
	c.role = role
	c.votes = map[ReplicaID]bool{}
	if role == PreCandidate {
		c.votes[c.id] = true
		if c.tallyVotes() {
			return
		}
	}
	for _, id := range c.memberships.latest().membership.Voters {
		if id == c.id {
			continue
		}
		c.send(Message{Type: messageType, To: id, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Transfer: transfer})
	}
}

// countOwnVote counts a candidate's vote for itself once it is on disk. A replica that led
// without that could forget the term in a crash and lead it again with other entries.
func (c *Core) countOwnVote() {
	if c.syncedTerm == c.hardState.Term && !c.votes[c.id] {
		c.votes[c.id] = true
		c.tallyVotes()
	}
}

// voteSynced records that this replica's vote is on disk. The election that it takes part in can go on only
// now, so the election timeout begins anew.
func (c *Core) voteSynced() {
	c.unsyncedVote = 0
	if c.leader != "" {
		return
	}
	c.voteSyncTicks = int(c.ticks - c.voteTick)
	c.electionElapsed = 0
	c.electionTimeout = c.randomElectionTimeout()
}

// recordLateElection is called when a campaign has timed out.
func (c *Core) recordLateElection() {
	switch {
	case c.role == Candidate && !c.isRejected():
		// The others answered the pre-vote, so their disks may need longer for their votes.
		c.lateElections = min(c.lateElections+1, maxTimeoutDoublings)
	case c.role == PreCandidate && len(c.votes) <= 1:
		// Nobody answers, so this replica is cut off.
		c.lateElections = 0
	}
}

// canCampaign reports whether this replica is a voter according to its own log.
func (c *Core) canCampaign() bool { return c.memberships.latest().membership.IsVoter(c.id) }

// tallyVotes counts the votes of the current membership's voters and ignores all others. It
// reports whether the campaign is over.
func (c *Core) tallyVotes() bool {
	m := c.memberships.latest().membership
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
		c.becomeFollower(c.hardState.Term, "")
	default:
		return false
	}
	return true
}

// isRejected reports whether a voter has rejected this candidate.
func (c *Core) isRejected() bool {
	for _, granted := range c.votes {
		if !granted {
			return true
		}
	}
	return false
}

// handleVote answers a vote request or pre-vote. It does not check whether this replica is
// a voter by its own log. A candidate asks only the voters in its membership, by ReplicaID,
// so a replica with a new disk is asked only after a membership contains it. That replica
// may vote before it has received that membership itself.
func (c *Core) handleVote(m Message) {
	grant := c.canVote(m) && c.log.isUpToDate(m.Index, m.LogTerm)
	response := Message{Type: MessageVoteResponse, To: m.From, Term: c.hardState.Term, Reject: !grant}
	if m.Type == MessagePreVote {
		response.Type = MessagePreVoteResponse
		if grant {
			response.Term = m.Term
		}
	} else if grant {
		if c.role == PreCandidate {
			c.becomeFollower(c.hardState.Term, "")
		}
		c.hardState.Vote = m.From
		c.candidate = m.From
		c.electionElapsed = 0
	}
	c.send(response)
}

func (c *Core) canVote(m Message) bool {
	if c.cfg.HasLostDisk && m.Index == 0 {
		return false
	}
	if m.Type == MessagePreVote {
		return m.Term > c.hardState.Term && !c.hasElectionUnderWay(m.From)
	}
	return c.hardState.Vote == m.From || (c.hardState.Vote == "" && c.leader == "")
}

// hasElectionUnderWay reports whether this replica waits for the end of an election, its own or that of a
// candidate that it has voted for. Another candidate would end that election, and if disks are slow, so
// would one after the other.
func (c *Core) hasElectionUnderWay(other ReplicaID) bool {
	takesPart := c.role == Candidate || c.leader == "" && c.candidate != "" && c.candidate != other
	return takesPart && (c.unsyncedVote != 0 || c.electionElapsed < c.electionDuration())
}

func (c *Core) handleVoteResponse(m Message) {
	switch {
	case m.Type == MessagePreVoteResponse && c.role != PreCandidate:
		return
	case m.Type == MessagePreVoteResponse && !m.Reject && m.Term != c.hardState.Term+1:
		return
	case m.Type == MessageVoteResponse && c.role != Candidate:
		return
	}
	if _, known := c.votes[m.From]; !known {
		c.votes[m.From] = !m.Reject
	}
	c.tallyVotes()
}

// hasRecentLeader reports whether this replica leads or has heard a leader within an
// election timeout. Until that timeout has passed, only a leadership transfer may elect
// another leader.
func (c *Core) hasRecentLeader() bool {
	return c.role == Leader || (c.leader != "" && c.electionElapsed < c.cfg.ElectionTicks)
}

func (c *Core) becomeFollower(term uint64, leader ReplicaID) {
	if term != c.hardState.Term {
		c.hardState.Term = term
		c.hardState.Vote = ""
	}
	c.role = Follower
	c.leader = leader
	c.candidate = ""
	c.votes = nil
	c.progress = nil
	c.peers = nil
	c.pendingReads = nil
	c.transferee = ""
	c.electionElapsed = 0
	c.electionTimeout = c.randomElectionTimeout()
}

const (
	// startupTimeoutDivisor shortens the election timeout of a replica that has just
	// started: if all replicas stopped at once, no leader exists and callers wait. A live
	// leader is not disturbed, since the replicas that hear it refuse a pre-vote. After this
	// many campaigns without a leader, the timeout is a full one.
	startupTimeoutDivisor = 4
	// minElectionTimeoutTicks is the shortest election timeout in ticks. It allows for one
	// round of messages.
	minElectionTimeoutTicks = 2
	// maxTimeoutDoublings bounds how often the election timeout doubles while elections are late. Lost
	// messages look the same, and a replica that waits much longer than others are out of reach would
	// delay the election after that.
	maxTimeoutDoublings = 2
	// maxElectionTimeouts bounds, in election timeouts, what is added for this replica's own slow disk.
	maxElectionTimeouts = 16
	// votesPerSync is how many syncs of its own disk a replica allows the other disks for their votes: one
	// may be under way when the request arrives.
	votesPerSync = 2
)

// randomElectionTimeout returns the next election timeout in ticks. Until a leader is known
// after the start, the timeout begins short and doubles with each campaign, so that
// replicas with longer delays between them still elect a leader. The first timeout is
// staggered by the order of the voters instead of drawn: replicas that start together would
// otherwise campaign at the same tick and each vote for itself.
func (c *Core) randomElectionTimeout() int {
	minTicks := c.cfg.ElectionTicks
	startupTicks := max(minTicks/startupTimeoutDivisor, minElectionTimeoutTicks)
	switch {
	case c.hasSeenLeader || c.campaignCount >= startupTimeoutDivisor:
	case c.campaignCount == 0:
		voters := c.memberships.latest().membership.Voters
		return min(startupTicks+minElectionTimeoutTicks*max(slices.Index(voters, c.id), 0), minTicks)
	default:
		minTicks = min(startupTicks<<c.campaignCount, minTicks)
	}
	return c.electionDuration() - c.cfg.ElectionTicks + minTicks + c.cfg.Rand.IntN(minTicks)
}

// electionDuration returns the ticks that an election is given at least, counted from the time at which the
// vote of this replica is on disk. It is ElectionTicks unless disks are slow.
func (c *Core) electionDuration() int {
	slowest := maxElectionTimeouts * c.cfg.ElectionTicks
	return c.cfg.ElectionTicks<<c.lateElections + min(votesPerSync*c.voteSyncTicks, slowest)
}

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.id
	c.hasSeenLeader = true
	c.lateElections = 0
	c.votes = nil
	c.heartbeatElapsed = 0
	c.heartbeatRound = 0
	c.trackMembers()
	c.progress[c.id].matchIndex = c.log.stableIndex
	c.uncommittedBytes = 0
	for _, e := range c.log.slice(c.hardState.Commit+1, c.log.lastIndex()) {
		c.uncommittedBytes += e.size()
	}
	c.termStartIndex = c.log.lastIndex() + 1
	c.appendTermStart()
}

// appendTermStart appends the first entry of a new leader's term. A leader learns what is
// committed only by committing an entry of its own term. The entry carries the bootstrap
// membership if the log is empty, and is an empty command otherwise.
func (c *Core) appendTermStart() {
	latest := c.memberships.latest()
	if c.log.lastIndex() > 0 {
		c.appendOrStepDown(EntryCommand, nil)
		return
	}
	data, err := EncodeMembership(latest.membership)
	if err != nil {
		c.becomeFollower(c.hardState.Term, "")
		return
	}
	c.appendOrStepDown(EntryMembership, data)
}

// TransferLeadership hands the leadership over to the given voter. If to is empty, it picks
// the voter with the longest log among those heard recently. Proposals are refused until
// the transfer succeeds or an election timeout has passed.
func (c *Core) TransferLeadership(to ReplicaID) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if to == "" {
		to = c.mostUpToDateVoter()
	}
	if to == c.id || !c.memberships.latest().membership.IsVoter(to) {
		return ErrNoTransferee
	}
	c.transferee = to
	c.transferElapsed = 0
	c.needsReplication = true
	c.sendTimeoutNowIfCaughtUp()
	return nil
}

func (c *Core) mostUpToDateVoter() ReplicaID {
	var best ReplicaID
	for _, id := range c.peers {
		if !c.memberships.latest().membership.IsVoter(id) || c.progress[id].ticksSinceContact >= c.cfg.ElectionTicks {
			continue
		}
		if best == "" || c.progress[id].matchIndex > c.progress[best].matchIndex {
			best = id
		}
	}
	return best
}

func (c *Core) sendTimeoutNowIfCaughtUp() {
	p := c.progress[c.transferee]
	if p == nil || p.matchIndex < c.log.lastIndex() {
		return
	}
	c.send(Message{Type: MessageTimeoutNow, To: c.transferee, Term: c.hardState.Term})
}

func (c *Core) handleTimeoutNow(m Message) {
	if c.role == Follower && m.From == c.leader && c.canCampaign() {
		c.campaign(Candidate, true)
	}
}
