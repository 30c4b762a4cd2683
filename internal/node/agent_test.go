package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against an agent that ends at each start by a configuration with an expert map that it can't keep, which a
// control host of a build without limits has accepted.
func TestAgentKeepsNoExpertMapBeyondTheLimits(t *testing.T) {
	a := &agentRole{n: &Node{settings: Settings{Agent: &AgentSettings{Service: "s"}}}}
	shapeOf := func(e routetable.Experts) *wire.GroupShape {
		table := &routetable.Table{Number: 1, Services: []routetable.Service{{Name: "s", Engine: &routetable.Engine{Experts: e}}}}
		require.NoError(t, table.Build())
		a.table.Store(table)
		return a.groupShape(rank.Report{Group: "g", Size: 8})
	}
	require.Equal(t, &wire.GroupShape{Ranks: 8, Experts: 72, Layers: 4, SlotsPerRank: 12, MaxNewPerSet: 3},
		shapeOf(routetable.Experts{LayerSetCount: 4, ExpertsPerSet: 72, Slots: 12, MaxNewPerSet: 3}))
	for _, e := range []routetable.Experts{
		{LayerSetCount: -1, ExpertsPerSet: 72, Slots: 12}, {LayerSetCount: 2_000_000_000, ExpertsPerSet: 72, Slots: 12},
		{LayerSetCount: 4, ExpertsPerSet: -1, Slots: 12}, {LayerSetCount: 4, ExpertsPerSet: 70_000, Slots: 12},
		{LayerSetCount: 4, ExpertsPerSet: 72, Slots: -1}, {LayerSetCount: 4, ExpertsPerSet: 72, Slots: 2_000_000_000},
		{LayerSetCount: 4, ExpertsPerSet: 72, Slots: 12, MaxNewPerSet: -1},
	} {
		require.Nil(t, shapeOf(e), e)
	}
}
