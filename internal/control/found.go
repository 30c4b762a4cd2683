package control

import (
	"context"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/consensus"
	"github.com/sassafraspost/sassafraspost/internal/pause"
)

// bootstrapInterval is how often a founder looks whether all the others are there.
const bootstrapInterval = 50 * time.Millisecond

// bootstrap takes part in founding the cluster, until there is one. The founder with the
// lowest address proposes all founders as voters as soon as each of them has said which
// disk it has. The others join by its first entry, which needs a majority of the
// founders, so that of two proposals one wins.
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

// tryBootstrap starts the cluster if all founders are known by now.
func (h *Host) tryBootstrap(ctx context.Context) {
	voters, isWhole := h.initialVoters()
	if !isWhole {
		return
	}
	h.cfg.Log.Info("cluster is founded", "voters", voters)
	if err := h.replica.Bootstrap(ctx, consensus.Membership{Voters: voters}); err != nil {
		h.cfg.Log.Info("founding refused", "error", err)
	}
}

// initialVoters returns the replicas of the founders, and whether all are known.
func (h *Host) initialVoters() ([]consensus.ReplicaID, bool) {
	voters := []consensus.ReplicaID{h.id}
	for _, address := range h.cfg.InitialVoters {
		if address == h.cfg.Address {
			continue
		}
		s := h.cfg.Pool.Live(address)
		if s == nil || s.Remote().Replica == "" {
			return nil, false
		}
		voters = append(voters, consensus.ReplicaID(s.Remote().Replica))
	}
	slices.Sort(voters)
	return voters, true
}
