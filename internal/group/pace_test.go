package group

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestPace(t *testing.T) {
	var p pace
	at := time.Unix(0, 0)
	for step := range uint64(20) {
		p.observe(step, at.Add(time.Duration(step)*50*time.Millisecond))
	}
	require.Equal(t, 50*time.Millisecond, p.step())
	p.observe(19, at.Add(3*time.Second))
	p.observe(19, at.Add(4*time.Second))
	require.Zero(t, p.step(), "no steps, no pace")
	p.observe(2, at.Add(5*time.Second))
	require.Zero(t, p.step(), "another epoch")
}

// Long steps need few of them, and changes that were given up some more.
func TestAheadCoversTheRoundOfOrders(t *testing.T) {
	r := New(Config{ArmAhead: 6, MostAhead: 12, Unique: func() uint64 { return 1 }, Metrics: metrics.NewRegistry()})
	require.EqualValues(t, 6, r.ahead(), "no pace is known")
	for _, c := range []struct {
		step  time.Duration
		extra uint64
		want  uint64
	}{
		{150 * time.Millisecond, 0, 2}, {60 * time.Millisecond, 0, 3}, {5 * time.Millisecond, 0, 6},
		{60 * time.Millisecond, 4, 7}, {5 * time.Millisecond, 64, 12},
	} {
		r.pace.last, r.extra = c.step, c.extra
		require.Equal(t, c.want, r.ahead(), c)
	}
}
