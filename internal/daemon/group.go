package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/sassafraspost/sassafraspost/internal/group"
	"github.com/sassafraspost/sassafraspost/internal/settings"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// groupRanks returns how many ranks of a group the host serves, zero if it has no group.
func groupRanks(set settings.Agent) uint32 {
	if set.Group == "" {
		return 0
	}
	return uint32(set.Ranks)
}

func shapeOf(o *wire.Order) *wire.GroupShape {
	if o == nil {
		return nil
	}
	return o.Group
}

// newGroup creates the runner through which the agent takes part in its group of ranks. shape holds
// the shape of the group according to the last order.
func (d *Daemon) newGroup(set settings.Agent, shape *atomic.Pointer[wire.GroupShape]) *group.Runner {
	var ranks []group.Rank
	for i := range set.Ranks {
		ranks = append(ranks, group.NewEngine(set.UpstreamURL, uint32(set.FirstRank+i)))
	}
	entries := addresses(set.Entries)
	return group.New(group.Config{
		Group:        set.Group,
		FirstRank:    uint32(set.FirstRank),
		Ranks:        ranks,
		Pool:         d.pool,
		Members:      func(ctx context.Context) ([]wire.GroupMember, error) { return d.queryMembers(ctx, set.Group, entries) },
		Shape:        shape.Load,
		NewID:        rand.Uint64,
		PlanInterval: set.PlanInterval,
		Log:          d.log,
		Metrics:      d.metrics,
	})
}

// queryMembers requests the members of a group from the entry hosts, one after the other, until one
// of them answers.
func (d *Daemon) queryMembers(ctx context.Context, name string, entries []string) ([]wire.GroupMember, error) {
	lastErr := errors.New("no entry hosts")
	for _, address := range entries {
		s, err := d.pool.Get(ctx, address)
		if err != nil {
			lastErr = err
			continue
		}
		reply, _, err := s.Call(ctx, &wire.GroupQuery{Group: name})
		if err != nil {
			lastErr = err
			continue
		}
		if a, ok := reply.(*wire.GroupAnswer); ok {
			return a.Members, nil
		}
	}
	return nil, lastErr
}
