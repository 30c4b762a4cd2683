package schedule

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// newSlowRankCluster returns a cluster of one group of equally fast ranks, in which rank 0/0 can
// become too slow to run any request.
func newSlowRankCluster(hosts int) *testCluster {
	l := newTestCluster(1, 4, hosts)
	l.engine.Slots, l.engine.StepTimePerRequest = 10, 500*time.Microsecond
	l.slowDownAll(1)
	return l
}

func (l *testCluster) slowDownAll(slowdown float64) {
	for _, id := range l.ids {
		l.slowDown(id, slowdown)
	}
}

// admitMovable admits n requests whose streams may be moved, and returns how many of them are at
// each rank.
func (l *testCluster) admitMovable(t *testing.T, n int) map[string]int {
	t.Helper()
	at := make(map[string]int)
	for range n {
		d := l.Admit(l.onTimeRequest(), l.now)
		require.NotNil(t, d.Ticket)
		l.AllowMove(d.Ticket, l.now+time.Minute)
		at[d.Ticket.ID()]++
	}
	return at
}

func (l *testCluster) slowDown(rank string, slowdown float64) {
	l.report(rank, func(load *wire.EngineLoad) { load.Slowdown = slowdown })
}

// Load pattern: one rank of a group turns slow while it runs streams. In every pass the whole
// group waits for it until the last of them has ended, so they have to leave.
func TestStreamsLeaveRankThatTurnsSlow(t *testing.T) {
	l := newSlowRankCluster(1)
	at := l.admitMovable(t, 12)
	require.Positive(t, at["0/0"])
	require.Empty(t, l.TakeMoves(l.now), "no rank is slow")
	l.slowDown("0/0", 5)
	moves := l.TakeMoves(l.now)
	require.Len(t, moves, at["0/0"])
	for _, m := range moves {
		require.Equal(t, "0/0", m.ID())
	}
	require.Empty(t, l.TakeMoves(l.now), "a stream is moved once")
}

// Guards against streams that leave a slow rank for no slot, or beyond the budget of retries:
// such a stream would be lost. Other hosts need slots for their streams too.
func TestNoMoreStreamsLeaveSlowRankThanCanContinue(t *testing.T) {
	l := newSlowRankCluster(1)
	at := l.admitMovable(t, 38)
	l.slowDown("0/0", 5)
	// Ranks 0/1 to 0/3 have 30 slots.
	free := 30 - (38 - at["0/0"])
	require.Less(t, free, at["0/0"])
	require.Len(t, l.TakeMoves(l.now), free)

	l = newSlowRankCluster(1)
	l.cfg.RetryBudget.Ratio, l.cfg.RetryBudget.Extra = 0, 1.5
	require.Greater(t, l.admitMovable(t, 12)["0/0"], 1)
	l.slowDown("0/0", 5)
	require.Len(t, l.TakeMoves(l.now), 1)

	l = newSlowRankCluster(40)
	l.admitMovable(t, 8)
	l.slowDown("0/0", 5)
	require.Empty(t, l.TakeMoves(l.now), "this host's share of the free slots is less than one")
}

// Guards against moves that gain nothing: all ranks are equally slow, the group does not serve,
// the stream has ended, or too little of the caller's time is left.
func TestStreamsStayWhereMovesGainNothing(t *testing.T) {
	for name, prepare := range map[string]func(*testCluster){
		"all are slow": func(l *testCluster) { l.slowDownAll(5) },
		"group is broken": func(l *testCluster) {
			l.slowDown("0/0", 5)
			l.report("0/1", func(load *wire.EngineLoad) { load.IsOpen = false })
		},
		"little time is left": func(l *testCluster) {
			l.slowDown("0/0", 5)
			l.now += 2 * time.Minute
			l.report("", nil)
		},
		"streams have ended": func(l *testCluster) {
			for ticket := range l.service("s").movable {
				l.Release(ticket, Success, l.now)
			}
			l.slowDown("0/0", 5)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := newSlowRankCluster(1)
			require.Positive(t, l.admitMovable(t, 12)["0/0"])
			prepare(l)
			require.Empty(t, l.TakeMoves(l.now))
		})
	}
}
