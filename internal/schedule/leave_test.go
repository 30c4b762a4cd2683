package schedule

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// reportInterval is the time between two load reports of an engine.
const reportInterval = 100 * time.Millisecond

// frozenCluster is a cluster in which the host of one engine has frozen, so that its reports are missing.
type frozenCluster struct {
	*testCluster
	frozen string
}

// freeze makes the reports of an engine go missing.
func freeze(l *testCluster, engine string) *frozenCluster {
	delete(l.loads, engine)
	return &frozenCluster{testCluster: l, frozen: engine}
}

// passTime lets time pass, in which the other engines report, and returns the attempts to be ended.
func (f *frozenCluster) passTime(span time.Duration) []StalledAttempt {
	var out []StalledAttempt
	for ; span > 0; span -= reportInterval {
		f.now += reportInterval
		_, stalled := f.report("", nil)
		out = append(out, stalled...)
	}
	return out
}

// newFreezeCluster returns a cluster of one group of four ranks with ten slots each, and n attempts at
// rank 0/1.
func newFreezeCluster(t *testing.T, n int) (*testCluster, []*Ticket) {
	l := newSlowRankCluster(1)
	var at []*Ticket
	for range 4 * n {
		d := l.Admit(l.onTimeRequest(), l.now)
		require.NotNil(t, d.Ticket)
		if d.Ticket.ID() == "0/1" {
			at = append(at, d.Ticket)
		}
	}
	require.Len(t, at, n, "requests are spread evenly")
	return l, at
}

// Guards against attempts that wait for the response of an engine whose host is frozen until their
// callers leave. Each takes one retry, and leaves once.
func TestAttemptsLeaveUnresponsiveEngine(t *testing.T) {
	l, at := newFreezeCluster(t, 4)
	for _, ticket := range at {
		l.AwaitHeader(ticket, l.now, true)
	}
	f := freeze(l, "0/1")
	require.Empty(t, f.passTime(maxTrustedAge-reportInterval), "reports may be late")
	left := f.passTime(reportInterval)
	require.Len(t, left, 4)
	for _, a := range left {
		_, hasRetry := a.Ticket.TakeLeaveRetry()
		require.True(t, a.HasOtherEngine && hasRetry)
		require.Equal(t, EngineUnresponsive, a.Reason)
	}
	require.Empty(t, f.passTime(2*StalledAttemptTimeout), "an attempt leaves once")
}

// Guards against attempts that leave an engine which works while the reports of its host are missing.
func TestAttemptsStayAtEngineThatSendsEvents(t *testing.T) {
	l, at := newFreezeCluster(t, 2)
	l.AwaitHeader(at[0], l.now, true)
	l.AllowMove(at[1], l.now+time.Minute)
	f := freeze(l, "0/1")
	for range 20 {
		l.RecordEventGap(at[1], reportInterval, l.now)
		require.Empty(t, f.passTime(reportInterval))
		require.Empty(t, f.TakeMoves(f.now))
	}
}

// Guards against streams that wait at the engine of a frozen host although they can be continued
// elsewhere.
func TestStreamsLeaveUnresponsiveEngine(t *testing.T) {
	l, at := newFreezeCluster(t, 3)
	for _, ticket := range at {
		l.RecordFirstEvent(ticket, l.now)
		l.AllowMove(ticket, l.now+time.Minute)
	}
	f := freeze(l, "0/1")
	f.passTime(maxTrustedAge - reportInterval)
	require.Empty(t, f.TakeMoves(f.now))
	f.passTime(reportInterval)
	moves := f.TakeMoves(f.now)
	require.Len(t, moves, 3)
	require.Equal(t, EngineUnresponsive, moves[0].Reason)
	require.Empty(t, f.TakeMoves(f.now), "a stream is moved once")
}

// Guards against attempts that leave an engine because it drains or is evacuated: they may end there.
func TestAttemptsStayAtEngineThatIsNotListed(t *testing.T) {
	l, at := newFreezeCluster(t, 2)
	l.AwaitHeader(at[0], l.now, true)
	l.AllowMove(at[1], l.now+time.Minute)
	l.ids = slices.DeleteFunc(l.ids, func(id string) bool { return id == "0/1" })
	l.announce(0)
	f := freeze(l, "0/1")
	require.Empty(t, f.passTime(StalledAttemptTimeout+time.Second))
	require.Empty(t, f.TakeMoves(f.now))
}

// Guards against attempts that leave all engines at once when the reporting itself has failed.
func TestAttemptsStayIfMostReportsAreMissing(t *testing.T) {
	l, at := newFreezeCluster(t, 1)
	l.AwaitHeader(at[0], l.now, true)
	l.AllowMove(at[0], l.now+time.Minute)
	f := freeze(l, "0/1")
	delete(f.loads, "0/2")
	require.Empty(t, f.passTime(StalledAttemptTimeout+time.Second))
	require.Empty(t, f.TakeMoves(f.now))
}

// Guards against attempts that leave for slots which are not there, or beyond the budget of retries or
// the limit on attempts. They are ended shortly before their callers would leave.
func TestAttemptsWithoutOtherEngineAreEndedInTime(t *testing.T) {
	for name, prepare := range map[string]func(l *testCluster) (mayResend bool){
		"no slot is free": func(l *testCluster) bool {
			for _, id := range []string{"0/0", "0/2", "0/3"} {
				l.report(id, func(load *wire.EngineLoad) { load.Running = 10 })
			}
			return true
		},
		"the budget is used up": func(l *testCluster) bool {
			l.cfg.RetryBudget.Ratio, l.cfg.RetryBudget.Extra = 0, 0
			return true
		},
		"no attempt is left": func(*testCluster) bool { return false },
	} {
		t.Run(name, func(t *testing.T) {
			l, at := newFreezeCluster(t, 1)
			l.AwaitHeader(at[0], l.now, prepare(l))
			f := freeze(l, "0/1")
			require.Empty(t, f.passTime(StalledAttemptTimeout-reportInterval))
			left := f.passTime(reportInterval)
			require.Len(t, left, 1)
			require.False(t, left[0].HasOtherEngine)
			require.Positive(t, left[0].RetryAfter)
		})
	}
}

// newTwoGroups returns a cluster of two groups of two ranks with ten slots each, and attempts without a
// response at the ranks of the first group.
func newTwoGroups(t *testing.T) (l *testCluster, at []*Ticket) {
	l = newTestCluster(2, 2, 1)
	l.engine.Slots, l.engine.StepTimePerRequest = 10, 500*time.Microsecond
	l.slowDownAll(1)
	for range 8 {
		d := l.Admit(l.onTimeRequest(), l.now)
		require.NotNil(t, d.Ticket)
		if d.Ticket.upstream.group.name == "0" {
			at = append(at, d.Ticket)
		}
	}
	require.Len(t, at, 4, "requests are spread evenly")
	return l, at
}

// stall makes the ranks of the first group report that it makes no progress.
func stall(l *testCluster) *frozenCluster {
	for _, id := range []string{"0/0", "0/1"} {
		load := l.loads[id]
		load.IsStalled = true
		l.loads[id] = load
	}
	return &frozenCluster{testCluster: l}
}

// Guards against attempts that wait in a group which stands, because one of its hosts is frozen, while
// another group has free slots.
func TestAttemptsLeaveGroupThatStaysStalled(t *testing.T) {
	l, at := newTwoGroups(t)
	l.AwaitHeader(at[0], l.now, true)
	l.AwaitHeader(at[1], l.now, true)
	l.AllowMove(at[2], l.now+time.Minute)
	l.AllowMove(at[3], l.now+time.Minute)
	f := stall(l)
	require.Empty(t, f.passTime(maxBriefStall), "the group may continue soon")
	require.Empty(t, f.TakeMoves(f.now))
	require.Len(t, f.passTime(reportInterval), 2)
	require.Len(t, f.TakeMoves(f.now), 2)
}

// Guards against callers who wait in a group that stands until they leave by themselves, while another
// group serves and is full.
func TestAttemptsInStalledGroupAreEndedInTime(t *testing.T) {
	l, at := newTwoGroups(t)
	for _, id := range []string{"1/0", "1/1"} {
		l.report(id, func(load *wire.EngineLoad) { load.Running = 10 })
	}
	l.AwaitHeader(at[0], l.now, true)
	f := stall(l)
	require.Empty(t, f.passTime(StalledAttemptTimeout-reportInterval))
	left := f.passTime(reportInterval)
	require.Len(t, left, 1)
	require.False(t, left[0].HasOtherEngine)
	require.Positive(t, left[0].RetryAfter)
}

// Guards against more attempts that leave at once than there are free slots: attempts without a response
// and streams count together.
func TestNoMoreAttemptsLeaveThanThereAreSlots(t *testing.T) {
	l, at := newTwoGroups(t)
	l.report("1/0", func(load *wire.EngineLoad) { load.Running = 9 })
	l.report("1/1", func(load *wire.EngineLoad) { load.Running = 8 })
	l.AwaitHeader(at[0], l.now, true)
	l.AwaitHeader(at[1], l.now, true)
	l.AllowMove(at[2], l.now+time.Minute)
	l.AllowMove(at[3], l.now+time.Minute)
	f := stall(l)
	left := len(f.passTime(maxBriefStall + reportInterval))
	require.Equal(t, 3, left+len(f.TakeMoves(f.now)))
}
