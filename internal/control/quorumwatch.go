package control

import (
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

const (
	// electionsWithoutLeader is after how many minimum election timeouts without a leader the lack of a
	// quorum is logged. A timeout is up to twice the minimum: one passes until the loss of the leader is
	// noticed, another one if the first round of the election fails.
	electionsWithoutLeader = 4
	// electionsWithoutVotes is after how many minimum election timeouts without a leader a voter counts as
	// missing that sends no message of the consensus. Late elections lengthen a timeout to five times the
	// minimum.
	electionsWithoutVotes = 8
	// silencesBeforeWarning is after how many times Config.ReplicaSilenceTimeout a silent voter is logged. A
	// voter that restarts or is replaced in time is not.
	silencesBeforeWarning = 3
	// quorumReportInterval is how often a lack of a quorum that lasts is logged.
	quorumReportInterval = 10 * time.Second
	// maxObservedGap limits what the time between two observations counts. The process may have been
	// stopped in a longer gap, and then knows nothing about the others.
	maxObservedGap = 500 * time.Millisecond
)

// quorumLimits are the times after which something is missing.
type quorumLimits struct {
	// election is longer than it takes to elect a leader.
	election time.Duration
	// votes is how long a voter that counts as heard may send no message of the consensus while there is
	// no leader.
	votes time.Duration
	// silence is how long a voter that counts as heard may be silent.
	silence time.Duration
	// warning is after which time the leader logs a silent voter.
	warning time.Duration
}

func newQuorumLimits(tick time.Duration, electionTicks int, silenceTimeout time.Duration) quorumLimits {
	return quorumLimits{
		election: electionsWithoutLeader * time.Duration(electionTicks) * tick,
		votes:    electionsWithoutVotes * time.Duration(electionTicks) * tick,
		silence:  silenceTimeout,
		warning:  silencesBeforeWarning * silenceTimeout,
	}
}

// quorumInput is what a host knows at one time.
type quorumInput struct {
	now    time.Time
	status consensus.Status
	// tick is the unit of the ticks in status.
	tick     time.Duration
	contacts map[consensus.ReplicaID]contact
}

// quorumWatch decides what an operator is told about the quorum. It has no clock and does no I/O. It is
// not safe for concurrent use.
type quorumWatch struct {
	limits quorumLimits
	// leaderSeen is when this host heard of a leader last, at first the start of the host; as the leader,
	// when a majority was heard last. lastLeader is that leader.
	leaderSeen time.Time
	lastLeader consensus.ReplicaID
	// ticksSeen is the number of ticks of the replica at about leaderSeen.
	ticksSeen uint64
	// observed is the time of the last observation. watched is the time since leaderSeen in which this
	// host knew voters, without the gaps in which the process may have been stopped.
	observed time.Time
	watched  time.Duration
	// lostAt is since when there has been no quorum, reportedAt when that was logged last. Both are zero
	// if it was not logged.
	lostAt, reportedAt time.Time
	// silentSince holds the silent voters that were logged.
	silentSince map[consensus.ReplicaID]time.Time
}

func newQuorumWatch(limits quorumLimits, started time.Time) *quorumWatch {
	return &quorumWatch{limits: limits, leaderSeen: started, observed: started, silentSince: make(map[consensus.ReplicaID]time.Time)}
}

// observe returns the present view and what has to be logged.
func (w *quorumWatch) observe(in quorumInput) (quorumView, []quorumEvent) {
	w.watched += min(in.now.Sub(w.observed), maxObservedGap)
	w.observed = in.now
	if len(in.status.Membership.Voters) == 0 {
		// There is no cluster yet that could lack a leader.
		w.watched = 0
	}
	w.noteLeader(in)
	v := w.view(in)
	events := w.checkQuorum(v)
	return v, append(events, w.checkVoters(in, v)...)
}

// noteLeader updates leaderSeen. A replica that does not vote knows its leader until another one is
// elected, so it must hear the leader too.
func (w *quorumWatch) noteLeader(in quorumInput) {
	st := in.status
	seen := in.contacts[st.Leader].consensus
	if st.Role == consensus.Leader {
		seen = in.now.Add(-quorumSilence(in))
	}
	if st.Leader == "" || !seen.After(w.leaderSeen) {
		return
	}
	w.leaderSeen, w.lastLeader, w.watched, w.ticksSeen = seen, st.Leader, 0, st.Ticks
}

// quorumSilence returns the time within which the leader has heard a majority, including itself.
func quorumSilence(in quorumInput) time.Duration {
	var silences []time.Duration
	for _, id := range in.status.Membership.Voters {
		silences = append(silences, leaderSilence(in, id))
	}
	if len(silences) == 0 {
		return 0
	}
	slices.Sort(silences)
	return silences[in.status.Membership.Quorum()-1]
}

// leaderSilence returns for how long the leader, this host, has had no response from a member.
func leaderSilence(in quorumInput, id consensus.ReplicaID) time.Duration {
	for _, p := range in.status.Peers {
		if p.ID == id {
			return time.Duration(p.TicksSinceContact) * in.tick
		}
	}
	return 0
}

// checkQuorum returns what is to be logged about the quorum.
func (w *quorumWatch) checkQuorum(v quorumView) []quorumEvent {
	switch {
	case v.hasLeader() && w.lostAt.IsZero():
		return nil
	case v.hasLeader():
		lasted := v.Now.Sub(w.lostAt)
		w.lostAt, w.reportedAt = time.Time{}, time.Time{}
		return []quorumEvent{quorumBack{lasted: lasted, view: v}}
	case w.watched < w.limits.election || v.Now.Sub(w.reportedAt) < quorumReportInterval:
		return nil
	}
	if w.lostAt.IsZero() {
		w.lostAt = w.leaderSeen
	}
	w.reportedAt = v.Now
	return []quorumEvent{noQuorum{view: v}}
}

// checkVoters returns what the leader has to log about voters.
func (w *quorumWatch) checkVoters(in quorumInput, v quorumView) []quorumEvent {
	if in.status.Role != consensus.Leader {
		clear(w.silentSince)
		return nil
	}
	var events []quorumEvent
	for _, voter := range v.Voters {
		since, isReported := w.silentSince[voter.ID]
		silence := leaderSilence(in, voter.ID)
		switch {
		case !isReported && silence >= w.limits.warning:
			w.silentSince[voter.ID] = in.now.Add(-silence)
			events = append(events, voterSilent{voter: voter, silence: silence, view: v})
		case isReported && silence < w.limits.silence:
			delete(w.silentSince, voter.ID)
			events = append(events, voterHeard{voter: voter, silence: in.now.Sub(since), view: v})
		}
	}
	for id := range w.silentSince {
		if !in.status.Membership.IsVoter(id) {
			delete(w.silentSince, id)
		}
	}
	return events
}
