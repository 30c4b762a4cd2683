package node

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/rank"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

// Guards against a configuration that ends the agents of a service: each makes a map for as many layer sets,
// ranks and slots as it says.
func TestGroupShapeOutOfRangeIsRefused(t *testing.T) {
	good := routetable.Experts{LayerSetCount: 4, ExpertsPerSet: 72, Slots: 8, MaxNewPerSet: 3}
	for name, change := range map[string]func(e *routetable.Experts){
		"many sets":         func(e *routetable.Experts) { e.LayerSetCount = 1 << 40 },
		"many slots":        func(e *routetable.Experts) { e.Slots = 1 << 40 },
		"many in all":       func(e *routetable.Experts) { e.LayerSetCount, e.Slots = 1<<13, 1<<13 },
		"many experts":      func(e *routetable.Experts) { e.ExpertsPerSet = int(rank.NoExpert) + 1 },
		"sets below 0":      func(e *routetable.Experts) { e.LayerSetCount = -1 },
		"slots below 0":     func(e *routetable.Experts) { e.Slots = -1 },
		"experts below 0":   func(e *routetable.Experts) { e.ExpertsPerSet = -1 },
		"new ones below 0":  func(e *routetable.Experts) { e.MaxNewPerSet = -1 },
		"sets, as 32 bits":  func(e *routetable.Experts) { e.LayerSetCount = 1<<32 + 1 },
		"slots, as 32 bits": func(e *routetable.Experts) { e.Slots = 1<<32 + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			e := good
			change(&e)
			require.Nil(t, newGroupShape(3, e))
		})
	}
	shape := newGroupShape(128, good)
	require.NotNil(t, shape)
	require.EqualValues(t, 4, shape.Layers)
	require.NotNil(t, newGroupShape(256, routetable.Experts{LayerSetCount: 64, ExpertsPerSet: 512, Slots: 64}), "a group larger than any that is planned for")
}
