package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Guards against an engine that states an impossibly short step, and thereby makes all others of its service look so
// slow that they get no requests.
func TestWrongStepTimeOfAnEngineCostsNoOther(t *testing.T) {
	for _, wrong := range []float64{1e-9, 0.1, 0.4} {
		l := newTestCluster(1, 3, 1)
		l.engine.Slots, l.engine.StepTimePerRequest = 10, 500*time.Microsecond
		l.report("0/0", func(load *wire.EngineLoad) { load.Slowdown = wrong })
		l.report("0/1", func(load *wire.EngineLoad) { load.Slowdown = 1 })
		l.report("0/2", func(load *wire.EngineLoad) { load.Slowdown = 1 })
		admitted := l.admitUntilFull()
		require.Equal(t, 10, admitted["0/1"], "%v: %v", wrong, admitted)
		require.Equal(t, 10, admitted["0/2"], "%v: %v", wrong, admitted)
	}
}
