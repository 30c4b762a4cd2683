package group

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/expertmap"
)

func TestPace(t *testing.T) {
	var p pace
	at := time.Unix(0, 0)
	for step := range uint64(20) {
		p.observe(step, at.Add(time.Duration(step)*50*time.Millisecond))
	}
	require.Equal(t, 50*time.Millisecond, p.mean())
	last := at.Add(19 * 50 * time.Millisecond)
	p.observe(20, last.Add(150*time.Millisecond))
	p.observe(21, last.Add(300*time.Millisecond))
	require.Equal(t, 150*time.Millisecond, p.mean(), "it follows within two steps")
	p.observe(41, last.Add(400*time.Millisecond))
	p.observe(61, last.Add(500*time.Millisecond))
	require.Equal(t, 5*time.Millisecond, p.mean(), "several steps between two looks")
	p.observe(61, at.Add(3*time.Second))
	require.Zero(t, p.mean(), "no steps, no pace")
	p.observe(2, at.Add(5*time.Second))
	require.Zero(t, p.mean(), "another epoch")
}

// A change is armed at the first step that begins once the round of orders is over, and
// further ahead after changes that were given up.
func TestAheadCoversTheRoundOfOrders(t *testing.T) {
	r := New(Config{ArmAhead: 6, MaxArmAhead: 12, NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry()})
	began := time.Unix(100, 0)
	require.EqualValues(t, 6, r.ahead(began), "no pace is known")
	for _, c := range []struct {
		step, since time.Duration
		extra       uint64
		want        uint64
	}{
		{150 * time.Millisecond, 10 * time.Millisecond, 0, 1},
		{150 * time.Millisecond, 100 * time.Millisecond, 0, 2},
		{60 * time.Millisecond, 10 * time.Millisecond, 0, 2},
		{60 * time.Millisecond, 40 * time.Millisecond, 0, 3},
		{60 * time.Millisecond, time.Second, 0, 3},
		{5 * time.Millisecond, 0, 0, 6},
		{60 * time.Millisecond, 40 * time.Millisecond, 4, 7},
		{5 * time.Millisecond, 0, 64, 12},
	} {
		r.pace = pace{changed: began, took: [2]time.Duration{c.step, c.step}}
		r.extra = c.extra
		require.Equal(t, c.want, r.ahead(began.Add(c.since)), c)
	}
}

func TestStepThatIsLateAnywayIsFollowedByTheChange(t *testing.T) {
	r := New(Config{
		ArmAhead: 6, NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry(),
		MaxStepTime: func() time.Duration { return 120 * time.Millisecond },
	})
	began := time.Unix(100, 0)
	late := began.Add(110 * time.Millisecond)
	r.pace = pace{changed: began, took: [2]time.Duration{100 * time.Millisecond, 120 * time.Millisecond}}
	require.EqualValues(t, 2, r.ahead(late), "streams are in time, and must not wait")
	r.pace.took = [2]time.Duration{130 * time.Millisecond, 130 * time.Millisecond}
	require.EqualValues(t, 1, r.ahead(late))
}

// What a change cost the ranks is how much later the armed step began than others do.
func TestHeldTimeIsCountedOnceAChange(t *testing.T) {
	h := holds{held: metrics.NewCounter()}
	var p pace
	at := time.Unix(0, 0)
	look := func(step uint64, after time.Duration, armed uint64) (uint64, time.Duration) {
		s := expertmap.Status{Step: step}
		if armed != 0 {
			s.Armed = &expertmap.Change{Step: armed}
		}
		at = at.Add(after)
		in, late := h.observe(s, &p, at)
		p.observe(step, at)
		return in, late
	}
	for step := range uint64(5) {
		look(step, 50*time.Millisecond, 0)
	}
	look(5, 50*time.Millisecond, 6)
	step, late := look(6, 200*time.Millisecond, 0)
	require.EqualValues(t, 6, step)
	require.Equal(t, 150*time.Millisecond, late)
	step, _ = look(7, 400*time.Millisecond, 0)
	require.Zero(t, step, "no change is ahead")
	require.EqualValues(t, 150, h.held.Count())
	look(8, 50*time.Millisecond, 9)
	look(8, 10*time.Millisecond, 0)
	step, _ = look(9, 400*time.Millisecond, 0)
	require.Zero(t, step, "the change was given up")
}

// How far ahead a change is armed follows from what the orders took: small groups don't
// wait for the time of large ones, and large ones don't hold.
func TestTimeOfOrdersIsMeasured(t *testing.T) {
	var o orderTime
	require.Equal(t, firstOrders, o.expect())
	for range 30 {
		o.observe(20 * time.Millisecond)
	}
	require.Less(t, o.expect(), 25*time.Millisecond)
	for range 30 {
		o.observe(200 * time.Millisecond)
	}
	require.InDelta(t, 200, o.expect().Milliseconds(), 40)
	for i := range 60 {
		took := time.Duration(60+40*(i%2)) * time.Millisecond
		require.True(t, i < 30 || took <= o.expect(), "%v, expected %v", took, o.expect())
		o.observe(took)
	}
}

// Orders that took long since messages of theirs were lost don't make the next ones wait
// longer for what is lost: each round would then be longer than the one before.
func TestOrdersThatTookLongAreNotAskedAgainLater(t *testing.T) {
	r := New(Config{NewID: func() uint64 { return 1 }, Metrics: metrics.NewRegistry()})
	require.Equal(t, retryTicks, r.heldTicks(), "nothing is known")
	r.orders.observe(10 * time.Millisecond)
	require.Equal(t, leastHeld, r.heldTicks())
	for range 20 {
		r.orders.observe(2 * time.Second)
	}
	require.Equal(t, retryTicks, r.heldTicks())
	require.Less(t, r.heldTicks(), basePatience/2, "who waits hears of the ballot before its patience ends")
}
