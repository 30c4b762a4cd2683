package control

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// never is the age of what has not happened since the start of the process.
const never = time.Duration(-1)

// memberView is what this host knows of one member.
type memberView struct {
	ID     consensus.ReplicaID
	IsSelf bool
	// IsHeard reports whether the member counts as present.
	IsHeard    bool
	HasSession bool
	// HeardAge is the time since the last message of any kind, ConsensusAge since the last one of the
	// consensus; never if there was none. They are zero for the host itself.
	HeardAge, ConsensusAge time.Duration
}

// quorumView is what this host knows of the members at one time.
type quorumView struct {
	Now  time.Time
	Role consensus.Role
	Term uint64
	// LastLeader is the present leader or, without one, the last one that this host heard; empty if none.
	LastLeader consensus.ReplicaID
	Voters     []memberView
	Learners   []memberView
	// Quorum is how many voters are needed, Heard how many count as present.
	Quorum, Heard int
	// LeaderlessFor is the time since a leader was heard, zero while there is one.
	LeaderlessFor time.Duration
	// TickedFor is the part of LeaderlessFor that the replica has counted. It is much shorter if the
	// replica got too little processor time. Zero while there is a leader.
	TickedFor time.Duration
	// DiskWait is how long the oldest write of the log has waited for the disk of this host.
	DiskWait time.Duration
}

func (v quorumView) hasLeader() bool { return v.LeaderlessFor == 0 }

// lossesLeft returns how many more voters can be lost without the loss of the quorum.
func (v quorumView) lossesLeft() int {
	if !v.hasLeader() {
		return 0
	}
	return max(v.Heard-v.Quorum, 0)
}

// missing returns the voters that don't count as present.
func (v quorumView) missing() []consensus.ReplicaID {
	var out []consensus.ReplicaID
	for _, voter := range v.Voters {
		if !voter.IsHeard {
			out = append(out, voter.ID)
		}
	}
	return out
}

func (w *quorumWatch) view(in quorumInput) quorumView {
	st := in.status
	v := quorumView{
		Now: in.now, Role: st.Role, Term: st.Term, LastLeader: w.lastLeader, Quorum: st.Membership.Quorum(),
		DiskWait: diskWait(in),
	}
	if unheard := in.now.Sub(w.leaderSeen); st.Leader == "" || unheard >= w.limits.election {
		v.LeaderlessFor = max(unheard, 1)
		v.TickedFor = time.Duration(st.Ticks-w.ticksSeen) * in.tick
	}
	for _, id := range st.Membership.Voters {
		voter := w.viewMember(in, id, v.hasLeader())
		if voter.IsHeard {
			v.Heard++
		}
		v.Voters = append(v.Voters, voter)
	}
	for _, id := range st.Membership.Learners {
		v.Learners = append(v.Learners, w.viewMember(in, id, v.hasLeader()))
	}
	return v
}

// viewMember returns what is known of a member. The leader judges by the responses to its heartbeats. Without
// a leader the voters ask each other for votes, unless their own votes wait for the disk. Otherwise followers
// exchange no messages of the consensus, and only the sessions tell that a member is there.
func (w *quorumWatch) viewMember(in quorumInput, id consensus.ReplicaID, hasLeader bool) memberView {
	st := in.status
	if id == st.ID {
		return memberView{ID: id, IsSelf: true, IsHeard: true}
	}
	known := in.contacts[id]
	member := memberView{ID: id, HasSession: known.hasSession, HeardAge: age(known.received, in.now), ConsensusAge: age(known.consensus, in.now)}
	if st.Role == consensus.Leader {
		member.IsHeard = leaderSilence(in, id) < w.limits.silence
		return member
	}
	member.IsHeard = isWithin(member.HeardAge, w.limits.silence)
	isAsked := !hasLeader && st.Membership.IsVoter(st.ID) && st.Membership.IsVoter(id) && diskWait(in) < w.limits.election
	if isAsked && !isWithin(member.ConsensusAge, w.limits.votes) {
		member.IsHeard = false
	}
	return member
}

// diskWait returns how long the oldest write of the log has waited for the disk.
func diskWait(in quorumInput) time.Duration { return time.Duration(in.status.DiskWaitTicks) * in.tick }

// age returns the time since t, never if t is zero.
func age(t, now time.Time) time.Duration {
	if t.IsZero() {
		return never
	}
	return max(now.Sub(t), 0)
}

func isWithin(age, limit time.Duration) bool { return age != never && age < limit }
