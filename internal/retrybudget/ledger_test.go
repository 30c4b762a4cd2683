package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const service = "s"

// reserve proposes and confirms up to n retries in a log with the given total, and returns how many may be
// granted.
func reserve(l *Ledger, total *uint64, n int, now time.Duration) int {
	l.Observe(service, *total, 0, now)
	proposed := l.Propose(service, n, now)
	*total += uint64(proposed)
	l.Observe(service, *total, 0, now)
	return l.Confirm(service, proposed, now)
}

func TestLedgerGrantsTheExtraOnceInHold(t *testing.T) {
	l, total := NewLedger(params), uint64(0)
	require.Equal(t, 60, reserve(l, &total, 60, time.Second))
	require.Equal(t, 30, reserve(l, &total, 60, 2*time.Second))
	require.Zero(t, reserve(l, &total, 60, time.Second+params.Hold()))
	later := time.Second + params.Hold() + params.Hold()/spanBuckets
	require.Equal(t, 60, reserve(l, &total, 90, later))
	require.Equal(t, 90, l.Usage(service, later))
}

// Guards against a leader that doesn't count what the leader before it has granted.
func TestNewLeaderCountsWhatTheOneBeforeItHasGranted(t *testing.T) {
	old, follower, total := NewLedger(params), NewLedger(params), uint64(0)
	require.Equal(t, 80, reserve(old, &total, 80, time.Second))
	require.Equal(t, 10, reserve(follower, &total, 80, 2*time.Second))

	restarted := NewLedger(params)
	require.Zero(t, reserve(restarted, &total, 80, 3*time.Second), "it does not know when the retries were reserved")
	require.Equal(t, 80, reserve(restarted, &total, 80, 4*time.Second+params.Hold()))
}

// Guards against two leaders that each believe what the other reserves to be free.
func TestReservationsOfTwoLeadersShareTheExtra(t *testing.T) {
	a, b, total := NewLedger(params), NewLedger(params), uint64(0)
	a.Observe(service, total, 0, 0)
	b.Observe(service, total, 0, 0)
	require.Equal(t, 60, a.Propose(service, 60, 0))
	require.Equal(t, 60, b.Propose(service, 60, 0))
	total += 60
	a.Observe(service, total, 0, 0)
	require.Equal(t, 60, a.Confirm(service, 60, 0))
	total += 60
	b.Observe(service, total, 0, 0)
	require.Equal(t, 30, b.Confirm(service, 60, 0))
}

func TestAbandonedProposalIsFreeUnlessItWasReserved(t *testing.T) {
	l := NewLedger(params)
	l.Observe(service, 0, 0, 0)
	require.Equal(t, 90, l.Propose(service, 90, 0))
	require.Zero(t, l.Propose(service, 1, 0))
	l.Abandon(service, 90)
	require.Equal(t, 90, l.Propose(service, 90, 0))
	l.Abandon(service, 90)
	l.Observe(service, 90, 0, 0)
	require.Zero(t, l.Propose(service, 1, 0))
}

// Guards against a control host that starts anew and counts retries that were granted long ago.
func TestSettledRetriesDoNotCountAfterARestart(t *testing.T) {
	l, total := NewLedger(params), uint64(0)
	_, ok := l.Unsettled(service, 0)
	require.False(t, ok)
	require.Equal(t, 80, reserve(l, &total, 80, time.Second))
	_, ok = l.Unsettled(service, time.Second+params.Hold())
	require.False(t, ok, "they may still count elsewhere")
	later := time.Second + params.Hold() + params.Hold()/spanBuckets
	settled, ok := l.Unsettled(service, later)
	require.True(t, ok)
	require.Equal(t, uint64(80), settled)
	l.Observe(service, total, settled, later)
	_, ok = l.Unsettled(service, later)
	require.False(t, ok, "it is recorded")

	require.Equal(t, 7, reserve(l, &total, 7, later))
	restarted := NewLedger(params)
	restarted.Observe(service, total, settled, later)
	require.Equal(t, 7, restarted.Usage(service, later))
}

// Guards against an extra that is divided among so many hosts that none of them can retry more than once
// or twice, although few of them need to.
func TestFewOfManyHostsMayUseTheWholeExtra(t *testing.T) {
	const hosts, needing, wanted = 529, 13, 80
	p := Params{Ratio: 0.2, Extra: 1040, Window: 10 * time.Second}
	budgets, l, total := make([]Budget, hosts), NewLedger(p), uint64(0)
	for i := range budgets {
		budgets[i].AddRequest(p, time.Second)
	}
	taken := 0
	for i := range needing {
		b := &budgets[i*hosts/needing]
		for done := 0; done < wanted; {
			if _, ok := b.Take(time.Second); ok {
				done++
				taken++
				continue
			}
			n := b.Ask(p, time.Second)
			if n == 0 {
				break
			}
			b.Granted(reserve(l, &total, n, time.Second), time.Second, 0, time.Second)
		}
	}
	require.Equal(t, needing*wanted, taken)
}
