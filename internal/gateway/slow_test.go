package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// paced tells an idle engine's pace.
func (l *lab) paced(id string, pace float64) { l.tell(id, wire.EngineLoad{IsOpen: true, Pace: pace}) }

// All ranks of a group wait for the slowest in every pass, so a slow one gets fewer
// requests, or none. Where all are as slow, none counts as slow.
func TestSlowEngineGetsWhatLetsItKeepUp(t *testing.T) {
	l := newLab(t)
	l.table(engine)
	for _, id := range []string{"u1", "u2"} {
		l.upstream(id, func(http.ResponseWriter, *http.Request) {})
	}
	g := l.gateway
	filled := func(slow, fast float64) map[string]int {
		l.paced("u1", slow)
		l.paced("u2", fast)
		g.mu.Lock()
		defer g.mu.Unlock()
		s := g.service("s")
		s.places, s.engine = 10, &routetable.Engine{Step: 5 * time.Millisecond, PerRequest: 500 * time.Microsecond}
		require.InDelta(t, float64(10+g.placesAt(s, &g.serving["s"][0], g.leastPace("s", g.now()), g.now())), g.free("s", s), 0.01)
		got := map[string]int{}
		for {
			u, hold, ok := g.place("s", s, nil)
			if !ok {
				break
			}
			got[u.ID]++
			defer func() { g.upstreams[hold.id].inflight-- }()
		}
		return got
	}
	require.Equal(t, map[string]int{"u1": 10, "u2": 10}, filled(1, 1))
	require.Equal(t, map[string]int{"u1": 2, "u2": 10}, filled(1.6, 1))
	require.Equal(t, map[string]int{"u2": 10}, filled(12, 1))
	require.Equal(t, map[string]int{"u1": 10, "u2": 10}, filled(12, 12))
	require.Equal(t, map[string]int{"u1": 10, "u2": 10}, filled(0, 0), "no pace is told")
}
