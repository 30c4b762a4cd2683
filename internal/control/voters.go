package control

import (
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
)

// voterPlacement decides which replicas may vote, so that the loss of a data centre leaves a quorum
// of the voters.
type voterPlacement struct {
	// maxVoters is Config.Voters; zero means that all replicas vote.
	maxVoters int
	voters    []consensus.ReplicaID
	// reachable are the replicas that could become voters.
	reachable []consensus.ReplicaID
	// dataCentre returns the data centre of a replica, empty if it is not known.
	dataCentre func(consensus.ReplicaID) string
}

// mayVote reports whether a replica may become a voter. A data centre that holds as many voters as
// the cluster can lose gets no further one while there is a replica elsewhere that could vote
// instead.
func (p voterPlacement) mayVote(id consensus.ReplicaID) bool {
	own := p.dataCentre(id)
	if p.maxVoters == 0 || own == "" {
		return true
	}
	limit, votersIn := p.limit(), p.votersIn()
	if votersIn[own] < limit {
		return true
	}
	return !slices.ContainsFunc(p.reachable, func(other consensus.ReplicaID) bool {
		dataCentre := p.dataCentre(other)
		return !slices.Contains(p.voters, other) && dataCentre != "" && votersIn[dataCentre] < limit
	})
}

// limit returns how many voters one data centre may hold, as many as the cluster can lose.
func (p voterPlacement) limit() int { return (p.maxVoters - 1) / 2 }

// votersIn counts the voters in each data centre.
func (p voterPlacement) votersIn() map[string]int {
	count := make(map[string]int)
	for _, v := range p.voters {
		count[p.dataCentre(v)]++
	}
	return count
}

// improves reports whether a replica should vote in place of one in a data centre that holds too many voters. That is
// so after the data centre of the replica was cut off or lost for a time in which others took its votes.
func (p voterPlacement) improves(id consensus.ReplicaID) bool {
	own, votersIn := p.dataCentre(id), p.votersIn()
	if own == "" || votersIn[own] >= p.limit() {
		return false
	}
	for dataCentre, count := range votersIn {
		if dataCentre != "" && count > p.limit() {
			return true
		}
	}
	return false
}

// surplus returns the voter to go if there are more than maxVoters: a silent one or, if there is none, one of the data
// centre with the most voters, but not the leader. The result is empty if there is no surplus.
func (p voterPlacement) surplus(leader consensus.ReplicaID, silent []consensus.ReplicaID) consensus.ReplicaID {
	if p.maxVoters == 0 || len(p.voters) <= p.maxVoters {
		return ""
	}
	if len(silent) > 0 {
		return silent[0]
	}
	votersIn := p.votersIn()
	var chosen consensus.ReplicaID
	for _, v := range p.voters {
		if v != leader && (chosen == "" || votersIn[p.dataCentre(v)] > votersIn[p.dataCentre(chosen)]) {
			chosen = v
		}
	}
	return chosen
}

// placeVoters returns the decision about voters other than the given one, which is to be replaced;
// none is if it is empty.
func (h *Host) placeVoters(st consensus.Status, replaced consensus.ReplicaID) voterPlacement {
	voters := slices.DeleteFunc(slices.Clone(st.Membership.Voters), func(v consensus.ReplicaID) bool { return v == replaced })
	// A learner can be silent, or not store the log, although its host has a session. It could not become a
	// voter.
	reachable := slices.DeleteFunc(h.cfg.Transport.replicas(), func(id consensus.ReplicaID) bool {
		return st.Membership.IsLearner(id) && (!h.hasRecentContact(st, id) || h.joins.isLate(id, time.Now()))
	})
	return voterPlacement{
		maxVoters: h.cfg.Voters, voters: voters, reachable: reachable,
		dataCentre: func(id consensus.ReplicaID) string {
			if id == h.id {
				return h.cfg.DataCentre
			}
			return h.cfg.Transport.dataCentre(id)
		},
	}
}
