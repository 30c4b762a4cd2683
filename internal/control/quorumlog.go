package control

import (
	"log/slog"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// quorumEvent is something about the quorum that is logged.
type quorumEvent interface {
	logTo(log *slog.Logger)
}

// noQuorum says that this host has known no leader for longer than an election takes.
type noQuorum struct{ view quorumView }

// quorumBack says that this host knows a leader again, after a noQuorum.
type quorumBack struct {
	lasted time.Duration
	view   quorumView
}

// voterSilent says that the leader gets no responses of a voter.
type voterSilent struct {
	voter   memberView
	silence time.Duration
	view    quorumView
}

// voterHeard says that the voter of a voterSilent responds again.
type voterHeard struct {
	voter   memberView
	silence time.Duration
	view    quorumView
}

// loggedContact is the contact with a voter as it is logged, with times in milliseconds; -1 is never.
type loggedContact struct {
	Replica     consensus.ReplicaID `json:"replica"`
	Session     bool                `json:"session"`
	HeardMS     int64               `json:"heard_ms"`
	ConsensusMS int64               `json:"consensus_ms"`
}

func (e noQuorum) logTo(log *slog.Logger) {
	v := e.view
	var voters []consensus.ReplicaID
	var others []loggedContact
	for _, voter := range v.Voters {
		voters = append(voters, voter.ID)
		if !voter.IsSelf {
			others = append(others, voter.logged())
		}
	}
	log.Warn("no quorum", "since", v.Now.Add(-v.LeaderlessFor).UTC(), "ms", v.LeaderlessFor.Milliseconds(), "ticked_ms", v.TickedFor.Milliseconds(), "term", v.Term, "role", v.Role.String(),
		"last_leader", v.LastLeader, "voters", voters, "quorum", v.Quorum, "heard", v.Heard, "missing", v.missing(), "others", others,
		"disk_ms", v.DiskWait.Milliseconds())
}

func (e quorumBack) logTo(log *slog.Logger) {
	log.Info("quorum is back", "ms", e.lasted.Milliseconds(), "leader", e.view.LastLeader, "term", e.view.Term, "losses_left", e.view.lossesLeft())
}

func (e voterSilent) logTo(log *slog.Logger) {
	c := e.voter.logged()
	log.Warn("voter is silent", "replica", c.Replica, "ms", e.silence.Milliseconds(), "session", c.Session, "heard_ms", c.HeardMS, "consensus_ms", c.ConsensusMS,
		"voters", len(e.view.Voters), "quorum", e.view.Quorum, "heard", e.view.Heard, "losses_left", e.view.lossesLeft())
}

func (e voterHeard) logTo(log *slog.Logger) {
	log.Info("voter is heard again", "replica", e.voter.ID, "ms", e.silence.Milliseconds(),
		"voters", len(e.view.Voters), "quorum", e.view.Quorum, "heard", e.view.Heard, "losses_left", e.view.lossesLeft())
}

func (v memberView) logged() loggedContact {
	return loggedContact{Replica: v.ID, Session: v.HasSession, HeardMS: milliseconds(v.HeardAge), ConsensusMS: milliseconds(v.ConsensusAge)}
}

// milliseconds returns an age in milliseconds, -1 for never.
func milliseconds(age time.Duration) int64 {
	if age == never {
		return -1
	}
	return age.Milliseconds()
}
