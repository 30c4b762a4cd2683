package memory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func take(t require.TestingT, c *Connection, n int64, now time.Duration) {
	outcome, victim := c.Take(Body, n, now)
	require.Equal(t, Taken, outcome)
	require.Nil(t, victim)
}

// Guards against shedding a connection that holds much but makes progress, or one that has stalled
// for long but holds next to nothing.
func TestVictimHoldsMostAndStalledLongest(t *testing.T) {
	b := NewBudget(Limits{Total: 134, Connection: 80}) // of it 100 for bodies
	small, large, moving, other := b.Open(nil), b.Open(nil), b.Open(nil), b.Open(nil)
	take(t, small, 1, 0)
	small.Progress(0)
	take(t, large, 40, 0)
	large.Progress(4 * time.Second)
	take(t, moving, 59, 0)
	moving.Progress(6 * time.Second)
	outcome, victim := other.Take(Body, 10, 6*time.Second+minStall/2)
	require.Equal(t, HostFull, outcome)
	require.Same(t, large, victim)
	outcome, victim = other.Take(Body, 10, 6*time.Second)
	require.Equal(t, HostFull, outcome)
	require.Nil(t, victim, "the bytes of the connection that was shed suffice")
	large.Close()
	take(t, other, 10, 6*time.Second)
}

// Guards against shedding a connection for which the host waits for an upstream, not the caller.
func TestConnectionThatIsNotWaitedForIsKept(t *testing.T) {
	b := NewBudget(Limits{Total: 100, Connection: 100})
	running, answering, other := b.Open(nil), b.Open(nil), b.Open(nil)
	running.Progress(0)
	take(t, running, 75, 0)
	running.StopWaiting()
	outcome, victim := answering.Take(Response, 25, 0)
	require.Equal(t, Taken, outcome)
	require.Nil(t, victim)
	outcome, victim = other.Take(Body, 1, time.Hour)
	require.Equal(t, HostFull, outcome)
	require.Nil(t, victim)
}

// Guards against a connection that needs more memory being kept although it is the worst itself.
func TestConnectionMayBeItsOwnVictim(t *testing.T) {
	b := NewBudget(Limits{Total: 134, Connection: 200}) // of it 100 for bodies
	c := b.Open(nil)
	take(t, c, 100, 0)
	c.Progress(0)
	outcome, victim := c.Take(Body, 1, time.Hour)
	require.Equal(t, IsShed, outcome)
	require.Same(t, c, victim)
	outcome, _ = c.Take(Body, 0, time.Hour)
	require.Equal(t, IsShed, outcome)
}

// Guards against aborting a connection that has ended, which may serve the next request by then.
func TestClosedConnectionIsNotAborted(t *testing.T) {
	b := NewBudget(LimitsFor(0))
	aborted := 0
	c := b.Open(func() { aborted++ })
	c.Abort()
	c.Abort()
	require.Equal(t, 1, aborted)
	c = b.Open(func() { aborted++ })
	c.Close()
	c.Abort()
	require.Equal(t, 1, aborted)
}

// Guards against responses to slow callers taking the memory that new requests need.
func TestResponsesLeaveMemoryForBodies(t *testing.T) {
	b := NewBudget(Limits{Total: 100, Connection: 100})
	slow, other := b.Open(nil), b.Open(nil)
	outcome, _ := slow.Take(Response, 76, 0)
	require.Equal(t, HostFull, outcome)
	outcome, _ = slow.Take(Response, 75, 0)
	require.Equal(t, Taken, outcome)
	take(t, other, 25, 0)
}

// Guards against slow senders holding up all responses.
func TestBodiesLeaveMemoryForResponses(t *testing.T) {
	b := NewBudget(Limits{Total: 100, Connection: 100})
	slow, other := b.Open(nil), b.Open(nil)
	outcome, _ := slow.Take(Body, 76, 0)
	require.Equal(t, HostFull, outcome)
	take(t, slow, 75, 0)
	outcome, _ = other.Take(Response, 25, 0)
	require.Equal(t, Taken, outcome)
}

// Guards against a caller being kept because it sends a byte now and then, while it holds what others need.
func TestSlowSenderIsShedAlthoughBytesArrive(t *testing.T) {
	b := NewBudget(Limits{Total: 134, Connection: 100})
	slow, honest, other := b.Open(nil), b.Open(nil), b.Open(nil)
	for _, c := range []*Connection{slow, honest} {
		take(t, c, 50, 0)
		c.Progress(0)
	}
	now := time.Duration(0)
	for range 10 {
		now += 100 * time.Millisecond
		slow.Advance(1, now)
		honest.Advance(minPace/10, now)
	}
	outcome, victim := other.Take(Body, 10, now)
	require.Equal(t, HostFull, outcome)
	require.Same(t, slow, victim)
}

// Guards against a place that is not made free because the connection that has stalled holds nothing.
func TestShedStalledTakesTheSlowest(t *testing.T) {
	b := NewBudget(LimitsFor(136))
	first, second := b.Open(nil), b.Open(nil)
	first.Progress(0)
	second.Progress(time.Second)
	take(t, second, 100, 0)
	require.Nil(t, b.ShedStalled(minStall/2))
	require.Same(t, first, b.ShedStalled(2*time.Second))
	require.Same(t, second, b.ShedStalled(2*time.Second))
	require.Nil(t, b.ShedStalled(2*time.Second))
}

func TestLimitsFollowFromMemory(t *testing.T) {
	l := LimitsFor(136)
	require.InDelta(t, 40.8*(1<<20), float64(l.Total), 1)
	require.InDelta(t, 20.4*(1<<20), float64(l.Connection), 1)
}

// Guards against counts that drift: whatever is taken, released, shed and closed, the total is the
// sum over the connections and within the limits, and nothing is left at the end.
func TestCountsAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBudget(Limits{Total: 100, Connection: 60})
		var open []*Connection
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(rt, "ms")) * time.Millisecond
			if len(open) == 0 || rapid.IntRange(0, 4).Draw(rt, "open") == 0 {
				open = append(open, b.Open(func() {}))
			}
			i := rapid.IntRange(0, len(open)-1).Draw(rt, "connection")
			c := open[i]
			switch rapid.IntRange(0, 4).Draw(rt, "operation") {
			case 0, 1:
				_, victim := c.Take(Use(rapid.IntRange(0, 1).Draw(rt, "use")), int64(rapid.IntRange(0, 50).Draw(rt, "bytes")), now)
				require.True(rt, victim == nil || victim.isShed && now-victim.stalledSince >= minStall)
			case 2:
				use := Use(rapid.IntRange(0, 1).Draw(rt, "released use"))
				c.Release(use, int64(rapid.IntRange(0, int(c.heldFor[use])).Draw(rt, "released")))
			case 3:
				c.Progress(now)
			case 4:
				c.Close()
				open = append(open[:i], open[i+1:]...)
			}
			sum, leaving := int64(0), int64(0)
			for _, c := range open {
				require.LessOrEqual(rt, c.Held(), int64(60))
				sum += c.Held()
				if c.IsShed() {
					leaving += c.Held()
				}
			}
			require.Equal(rt, sum, b.Held())
			require.Equal(rt, leaving, b.leaving)
			require.LessOrEqual(rt, sum, int64(100))
		}
		for _, c := range open {
			c.Close()
		}
		require.Zero(rt, b.Held())
	})
}
