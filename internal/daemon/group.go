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

// groupRanks is how many ranks of a group the host serves, zero without a group.
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

// newGroup assembles an agent's part in its group of ranks. shape holds what the last
// order said of the group.
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
		Members:      func(ctx context.Context) ([]wire.GroupMember, error) { return d.askMembers(ctx, set.Group, entries) },
		Shape:        shape.Load,
		NewID:        rand.Uint64,
		PlanInterval: set.PlanInterval,
		Log:          d.log,
		Metrics:      d.metrics,
	})
}

// askMembers asks the entry hosts, one after another, for the hosts of a group.
func (d *Daemon) askMembers(ctx context.Context, name string, entries []string) ([]wire.GroupMember, error) {
	last := errors.New("no entry hosts")
	for _, address := range entries {
		s, err := d.pool.Get(ctx, address)
		if err != nil {
			last = err
			continue
		}
		reply, _, err := s.Call(ctx, &wire.GroupQuery{Group: name})
		if err != nil {
			last = err
			continue
		}
		if a, ok := reply.(*wire.GroupAnswer); ok {
			return a.Members, nil
		}
	}
	return nil, last
}
