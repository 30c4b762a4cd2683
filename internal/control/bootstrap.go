package control

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
)

const (
	// bootstrapInterval is how often a host checks whether it should propose the first membership.
	bootstrapInterval = 50 * time.Millisecond
	// bootstrapPatience is how long a host waits for all initial voters before it proposes a membership
	// without those that are missing. It covers the start of all hosts. Each host waits once more for
	// each one that comes before it.
	bootstrapPatience = 3 * time.Second
)

// bootstrap forms the cluster from the initial voters and returns once this replica has a committed
// log. Usually the host with the lowest address proposes all of them as voters. A host that is lost
// before that must not prevent it, so after some time the others go on without it; it or its successor
// joins like any new host.
//
// Hosts may propose different memberships at the same time. Since a majority of each is a majority of
// the initial voters, only one can be committed, see consensus.Core.Bootstrap.
func (h *Host) bootstrap(ctx context.Context) {
	began := time.Now()
	var proposed []consensus.ReplicaID
	for ctx.Err() == nil && len(h.cfg.InitialVoters) > 0 {
		st := h.replica.Status()
		if st.Commit > 0 {
			return
		}
		voters := h.firstVoters(time.Since(began))
		if st.LastIndex == 0 && st.Leader == "" && len(voters) > 0 && !slices.Equal(voters, proposed) && h.tryBootstrap(ctx, voters) {
			proposed = voters
		}
		pause.For(ctx, bootstrapInterval)
	}
}

// tryBootstrap proposes the first membership and reports whether this replica campaigns with it now. If
// not, there is a leader or a log already.
func (h *Host) tryBootstrap(ctx context.Context, voters []consensus.ReplicaID) bool {
	h.cfg.Log.Info("first membership is proposed", "voters", voters, "of", len(h.cfg.InitialVoters))
	err := h.replica.Bootstrap(ctx, consensus.Membership{Voters: voters})
	if err != nil {
		h.cfg.Log.Info("cluster bootstrap failed", "error", err)
	}
	return err == nil
}

// firstVoters returns the voters that this host should propose after having waited for some time; none
// if it should wait on.
func (h *Host) firstVoters(waited time.Duration) []consensus.ReplicaID {
	connected := map[string]consensus.ReplicaID{h.cfg.Address: h.id}
	for _, address := range h.cfg.InitialVoters {
		if s := h.cfg.Pool.LiveSession(address); s != nil && s.Remote().Replica != "" {
			connected[address] = consensus.ReplicaID(s.Remote().Replica)
		}
	}
	return chooseFirstVoters(h.cfg.Address, h.cfg.InitialVoters, connected, waited)
}

// chooseFirstVoters returns the replicas of the initial voters that a host should propose, given those
// with which it is connected, including itself; none if it should wait on.
func chooseFirstVoters(self string, initial []string, connected map[string]consensus.ReplicaID, waited time.Duration) []consensus.ReplicaID {
	var present []string
	for _, address := range initial {
		if connected[address] != "" {
			present = append(present, address)
		}
	}
	// A majority of the voters must be a majority of the initial ones.
	if len(present)/2 < len(initial)/2 {
		return nil
	}
	slices.Sort(present)
	rank := slices.Index(present, self)
	isComplete := len(present) == len(initial)
	if !(isComplete && rank == 0) && waited < time.Duration(1+rank)*bootstrapPatience {
		return nil
	}
	var voters []consensus.ReplicaID
	for _, address := range present {
		voters = append(voters, connected[address])
	}
	slices.Sort(voters)
	return voters
}
