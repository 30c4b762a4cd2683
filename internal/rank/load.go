package rank

import (
	"context"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Load returns how often the rank's requests chose each expert since the last call, and which
// experts the rank has.
func (e *Engine) Load(ctx context.Context) (wire.RankLoad, error) {
	var out wire.RankLoad
	err := e.withReport(ctx, func(r Report) error {
		if err := e.readExperts(ctx, r.Map); err != nil {
			return err
		}
		_, counts, err := e.client.Selections(ctx)
		if err != nil {
			return err
		}
		out = wire.RankLoad{Version: e.expertsVersion, ExpertsByLayer: e.experts, Slowdown: r.Slowdown, Selections: e.countsSinceLast(counts)}
		return nil
	})
	return out, err
}

// readExperts reads which experts the rank has under the given map version, unless they are
// already known. The caller holds mu.
func (e *Engine) readExperts(ctx context.Context, version uint64) error {
	if e.expertsKnown && e.expertsVersion == version {
		return nil
	}
	var err error
	e.expertsVersion, e.experts, err = e.client.Experts(ctx)
	e.expertsKnown = err == nil
	return err
}

// countsSinceLast returns, by layer set, how often each expert was chosen since the last call. A
// count below the last one means that the engine has started counting again from zero. The caller
// holds mu.
func (e *Engine) countsSinceLast(counts []uint64) [][]uint32 {
	out := make([][]uint32, e.layerSets)
	if e.layerSets == 0 || len(counts)%e.layerSets != 0 {
		return out
	}
	expertsPerSet := len(counts) / e.layerSets
	for i, n := range counts {
		previous := uint64(0)
		if i < len(e.lastCounts) && e.lastCounts[i] <= n {
			previous = e.lastCounts[i]
		}
		out[i/expertsPerSet] = append(out[i/expertsPerSet], uint32(n-previous))
	}
	e.lastCounts = counts
	return out
}
