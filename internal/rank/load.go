package rank

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Load returns what the rank's requests chose since the last call, and the experts that
// it holds.
func (e *Engine) Load(ctx context.Context) (wire.RankLoad, error) {
	var out wire.RankLoad
	err := e.inState(ctx, func(r Report) error {
		if err := e.readExperts(ctx, r.Map); err != nil {
			return err
		}
		_, counts, err := e.client.Picks(ctx)
		if err != nil {
			return err
		}
		out = wire.RankLoad{Version: e.heldMap, Held: e.held, Pace: r.Pace, Picks: e.since(counts)}
		return nil
	})
	return out, err
}

// readExperts reads which experts the rank holds, unless those of the version are known.
// The caller holds mu.
func (e *Engine) readExperts(ctx context.Context, version uint64) error {
	if e.known && e.heldMap == version {
		return nil
	}
	var err error
	e.heldMap, e.held, err = e.client.Experts(ctx)
	e.known = err == nil
	return err
}

// since returns the counts of each set since the last call. The caller holds mu.
func (e *Engine) since(counts []uint64) [][]uint32 {
	out := make([][]uint32, e.sets)
	if e.sets == 0 || len(counts)%e.sets != 0 {
		return out
	}
	per := len(counts) / e.sets
	for i, n := range counts {
		before := uint64(0)
		if i < len(e.picks) && e.picks[i] <= n {
			before = e.picks[i]
		}
		out[i/per] = append(out[i/per], uint32(n-before))
	}
	e.picks = counts
	return out
}
