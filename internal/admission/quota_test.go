package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestHostsTogetherStayWithinTheLimit runs the quotas of several hosts against one owner,
// with arbitrary demands and with grants that are delayed or lost. At any time the hosts
// together must stay within the limit, plus one burst and one request per host.
func TestHostsTogetherStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "hosts")
		limits := Limits{
			Requests:   float64(rapid.IntRange(5, 200).Draw(t, "requests")),
			Tokens:     rapid.SampledFrom([]float64{50, 500, 20_000}).Draw(t, "tokens"),
			Concurrent: rapid.IntRange(n, 60).Draw(t, "concurrent"),
		}
		const step, span = 100 * time.Millisecond, 15 * time.Second
		const maxCost = 200.0
		allocator := NewAllocator(-leaseDuration, n)
		quotas := make([]*Quota, n)
		for i := range quotas {
			quotas[i] = NewQuota(0, limits, n)
		}
		type delayedGrant struct {
			host              int
			sentAt, arrivesAt time.Duration
			amounts           Amounts
		}
		var replies []delayedGrant
		var requests, tokens float64
		running := 0
		endTimes := make([][]time.Duration, n)
		for now := time.Duration(0); now < span; now += step {
			for i, q := range quotas {
				for len(endTimes[i]) > 0 && endTimes[i][0] <= now {
					endTimes[i] = endTimes[i][1:]
					q.Done()
					running--
				}
				for range rapid.SampledFrom([]int{0, 1, 4, 40}).Draw(t, "arrivals") {
					cost := rapid.Float64Range(1, maxCost).Draw(t, "cost")
					if q.Take(now, cost, time.Second, 0) != nil {
						break
					}
					requests++
					tokens += cost
					running++
					endTimes[i] = append(endTimes[i], now+500*time.Millisecond)
				}
				if now%demandInterval == 0 {
					if u, ok := q.Demand(now); ok {
						r := delayedGrant{host: i, sentAt: now, amounts: allocator.Allocate(now, fmt.Sprint(i), 1, limits, u, q.RunningAboveFloor())}
						r.arrivesAt = now + time.Duration(rapid.SampledFrom([]int{0, 1, 25, 100}).Draw(t, "delay"))*step
						replies = append(replies, r)
					}
					q.ResetDemand(now)
				}
			}
			for _, r := range replies {
				if r.arrivesAt == now {
					quotas[r.host].Grant(r.sentAt, r.amounts)
				}
			}
			require.LessOrEqual(t, running, limits.Concurrent+n, "concurrency over all hosts")
			seconds := now.Seconds()
			require.LessOrEqual(t, requests, limits.Requests*(seconds+burstWindow.Seconds())+float64(n), "requests over all hosts")
			require.LessOrEqual(t, tokens, limits.Tokens*(seconds+burstWindow.Seconds())+maxCost*float64(n), "tokens over all hosts")
		}
	})
}

// TestBusyHostGetsWhatIdleHostsLeaveOfALimit has demand on one of eight hosts only. That
// host must get nearly the whole limit: all but the floors of the other hosts.
func TestBusyHostGetsWhatIdleHostsLeaveOfALimit(t *testing.T) {
	const hosts = 8
	l := Limits{Requests: 80}
	allocator := NewAllocator(-leaseDuration, hosts)
	q := NewQuota(0, l, hosts)
	admitted := 0
	for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
		if now%demandInterval == 0 {
			if u, ok := q.Demand(now); ok {
				q.Grant(now, allocator.Allocate(now, "one", 1, l, u, 0))
			}
			q.ResetDemand(now)
		}
		if now >= 10*time.Second && q.Take(now, 1, 0, 0) == nil {
			admitted++
		} else if now < 10*time.Second {
			_ = q.Take(now, 1, 0, 0)
		}
	}
	require.InDelta(t, 80*(1-floorFraction+floorFraction/hosts), float64(admitted)/10, 3)
}

func TestAllocatorIsMaxMinFair(t *testing.T) {
	l := Limits{Requests: 80}
	allocator := NewAllocator(-leaseDuration, 4)
	var got [3]Amounts
	for now := time.Duration(0); now < 10*time.Second; now += demandInterval {
		for i, want := range []float64{5, 100, 100} {
			got[i] = allocator.Allocate(now, fmt.Sprint(i), 1, l, Amounts{Requests: want}, 0)
		}
	}
	require.InDelta(t, 5, got[0].Requests, 0.01)
	require.InDelta(t, 32.5, got[1].Requests, 0.01)
	require.InDelta(t, 32.5, got[2].Requests, 0.01)
	allocator.Expire(time.Hour)
	require.Empty(t, allocator.shares)
}

func TestNewOwnerGrantsNothingUntilOldGrantsExpire(t *testing.T) {
	allocator := NewAllocator(0, 4)
	require.Zero(t, allocator.Allocate(leaseDuration-1, "a", 1, Limits{Requests: 10}, Amounts{Requests: 5}, 0))
	require.NotZero(t, allocator.Allocate(leaseDuration, "a", 1, Limits{Requests: 10}, Amounts{Requests: 5}, 0))
}

func TestRetryAfterIsWhenTheLimitAllowsTheRequest(t *testing.T) {
	q := NewQuota(0, Limits{Requests: 2}, 1)
	require.Nil(t, q.Take(0, 1, 0, 0))
	require.Nil(t, q.Take(0, 1, 0, 0))
	err := q.Take(0, 1, 0, 0)
	require.NotNil(t, err)
	require.Equal(t, 500*time.Millisecond, err.RetryAfter)
	require.Nil(t, q.Take(500*time.Millisecond, 1, 0, 0))
}

// TestHostsWithTheSameReportBorrowNoMoreThanIsFree checks CapacityShare: if all hosts act on
// one load report, the capacity that they borrow must not exceed what the report shows free.
func TestHostsWithTheSameReportBorrowNoMoreThanIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "hosts")
		capacity := rapid.IntRange(0, 500).Draw(t, "capacity")
		running := make([]int, n)
		parts := make([]CapacityShare, n)
		for round := range 30 {
			inUse := 0
			for _, r := range running {
				inUse += r
			}
			bound := max(inUse, 0)
			for _, r := range running {
				bound = max(bound, r)
			}
			now := time.Duration(round) * borrowInterval
			borrowed := 0
			for i := range parts {
				limit := parts[i].Update(now, Usage{Capacity: capacity, InUse: inUse}, running[i], n)
				require.LessOrEqual(t, limit, capacity)
				require.Equal(t, limit, parts[i].Update(now+borrowInterval/2, Usage{Capacity: capacity, InUse: inUse}, running[i]+1, n), "a host borrows twice on one report")
				equalShare := (capacity + n - 1) / n
				require.GreaterOrEqual(t, limit, min(equalShare, capacity), "less than an equal share")
				borrowed += max(0, limit-max(equalShare, running[i]))
				running[i] = min(limit, rapid.IntRange(0, capacity).Draw(t, "demand"))
			}
			require.LessOrEqual(t, borrowed, max(0, capacity-inUse), "borrowed more than was free")
		}
	})
}

func TestOnlyBusyHostBorrowsNearlyAllCapacity(t *testing.T) {
	var share CapacityShare
	running := 0
	for round := range 40 {
		running = share.Update(time.Duration(round)*borrowInterval, Usage{Capacity: 400, InUse: running}, running, 4)
	}
	require.GreaterOrEqual(t, running, 396)
	require.Equal(t, 100, share.Update(time.Hour, Usage{Capacity: 400, InUse: 800}, 40, 4), "the others use their share again")
}

func TestOwnerCountsAGrantUntilItExpires(t *testing.T) {
	l := Limits{Requests: 80}
	allocator := NewAllocator(-leaseDuration, 2)
	require.InDelta(t, 70, allocator.Allocate(0, "a", 1, l, Amounts{Requests: 80}, 0).Requests, 1e-9)
	require.InDelta(t, 10, allocator.Allocate(time.Second, "a", 1, l, Amounts{Requests: 10}, 0).Requests, 1e-9)
	require.Zero(t, allocator.Allocate(time.Second, "b", 1, l, Amounts{Requests: 80}, 0), "the smaller grant may not have reached host a")
	require.InDelta(t, 60, allocator.Allocate(leaseDuration, "b", 1, l, Amounts{Requests: 80}, 0).Requests, 1e-9)
}

func TestGrantExpires(t *testing.T) {
	q := NewQuota(0, Limits{Requests: 80}, 8)
	floor := q.allowance(0)
	q.Grant(time.Second, Amounts{Requests: 50})
	require.InDelta(t, floor.Requests+50, q.allowance(2*time.Second).Requests, 1e-9)
	q.Grant(0, Amounts{Requests: 70})
	require.InDelta(t, floor.Requests+50, q.allowance(2*time.Second).Requests, 1e-9, "a grant for an earlier demand is ignored")
	require.Equal(t, floor, q.allowance(time.Second+leaseDuration))
}

// TestHostsReturnCapacityBorrowedOnStaleReports makes all hosts busy at the same time while
// the load reports still show an idle pool. After up to two such reports the hosts must not
// exceed the capacity. After four current reports they must use exactly all of it.
func TestHostsReturnCapacityBorrowedOnStaleReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 9).Draw(t, "hosts")
		capacity := n * rapid.IntRange(1, 60).Draw(t, "a host")
		staleReports := rapid.IntRange(0, 6).Draw(t, "reports that come late")
		running := make([]int, n)
		parts := make([]CapacityShare, n)
		total := 0
		for round := range staleReports + 4 {
			inUse := total
			if round < staleReports {
				inUse = 0
			}
			total = 0
			for i := range parts {
				running[i] = parts[i].Update(time.Duration(round)*borrowInterval, Usage{Capacity: capacity, InUse: inUse}, running[i], n)
				total += running[i]
			}
			if staleReports <= 2 {
				require.LessOrEqual(t, total, capacity, "hosts exceed the capacity after two stale reports")
			}
		}
		require.Equal(t, capacity, total, "the hosts together must use the whole capacity")
	})
}
