package control

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
)

// bootstrapInterval is how often a host checks whether all initial voters are connected.
const bootstrapInterval = 50 * time.Millisecond

// bootstrap forms the cluster from the initial voters and returns once this replica knows
// the voters. The host with the lowest address proposes the first membership as soon as it
// knows the replica IDs of all initial voters. The others receive the membership with the
// first log entry. This entry needs a majority of the initial voters, so only one of two
// competing proposals can be committed.
func (h *Host) bootstrap(ctx context.Context) {
	for ctx.Err() == nil && len(h.cfg.InitialVoters) > 0 {
		if len(h.replica.Status().Membership.Voters) > 0 {
			return
		}
		if slices.Min(h.cfg.InitialVoters) == h.cfg.Address {
			h.tryBootstrap(ctx)
		}
		pause.For(ctx, bootstrapInterval)
	}
}

// tryBootstrap proposes the first membership if all initial voters are connected.
func (h *Host) tryBootstrap(ctx context.Context) {
	voters, isComplete := h.initialVoters()
	if !isComplete {
		return
	}
	h.cfg.Log.Info("cluster is founded", "voters", voters)
	if err := h.replica.Bootstrap(ctx, consensus.Membership{Voters: voters}); err != nil {
		h.cfg.Log.Info("cluster bootstrap failed", "error", err)
	}
}

// initialVoters returns the replica IDs of the initial voters. The second result is false
// if one of them is not connected.
func (h *Host) initialVoters() ([]consensus.ReplicaID, bool) {
	voters := []consensus.ReplicaID{h.id}
	for _, address := range h.cfg.InitialVoters {
		if address == h.cfg.Address {
			continue
		}
		s := h.cfg.Pool.LiveSession(address)
		if s == nil || s.Remote().Replica == "" {
			return nil, false
		}
		voters = append(voters, consensus.ReplicaID(s.Remote().Replica))
	}
	slices.Sort(voters)
	return voters, true
}
