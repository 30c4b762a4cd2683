package admission

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// testTimeout bounds waits in these tests, and is the deadline of their requests.
const testTimeout = 20 * time.Second

func newTestController(capacity, queue int) (*Controller, metrics.Registry) {
	start := time.Now()
	reg := metrics.NewRegistry()
	return New(Config{
		QueueLimit: queue,
		Hosts:      1,
		Usage:      func(string) Usage { return Usage{Capacity: capacity} },
		LiveHosts:  func() int { return 1 },
		Now:        func() time.Duration { return time.Since(start) },
		Rand:       func() float64 { return 0.5 },
		Metrics:    reg,
	}), reg
}

func newRequest(workspace string) Request {
	return Request{Service: "s", Workspace: workspace, Pool: "p", Cost: 1, Deadline: testTimeout}
}

func TestControllerAdmitsAllWithoutExceedingTheCapacity(t *testing.T) {
	c, _ := newTestController(3, 1000)
	var running, peak, done atomic.Int64
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			release, err := c.Admit(context.Background(), newRequest(fmt.Sprint(i%4)))
			if err != nil {
				return
			}
			if n := running.Add(1); n > peak.Load() {
				peak.Store(n)
			}
			done.Add(1)
			running.Add(-1)
			release()
		}()
	}
	wg.Wait()
	require.EqualValues(t, 60, done.Load())
	require.LessOrEqual(t, peak.Load(), int64(3))
}

func TestCancelledCallerLeavesTheQueue(t *testing.T) {
	c, reg := newTestController(1, 10)
	release, err := c.Admit(context.Background(), newRequest("a"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	refusal := make(chan error, 1)
	go func() {
		_, err := c.Admit(ctx, newRequest("b"))
		refusal <- err
	}()
	isQueued := func() bool { c.Update(); return reg.Get("admission.queued").(metrics.Gauge).Value() == 1 }
	require.Eventually(t, isQueued, testTimeout, time.Millisecond)
	cancel()
	require.Equal(t, verdict.NotRun, verdict.FromError(<-refusal).Verdict)
	c.Update()
	require.Zero(t, reg.Get("admission.queued").(metrics.Gauge).Value())
	release()
	release, err = c.Admit(context.Background(), newRequest("c"))
	require.NoError(t, err)
	release()
}

func TestQueuedRequestIsRefusedWhenItsDeadlineIsTooClose(t *testing.T) {
	c, reg := newTestController(1, 10)
	release, err := c.Admit(context.Background(), newRequest("a"))
	require.NoError(t, err)
	defer release()
	r := newRequest("b")
	r.Deadline = 50 * time.Millisecond
	_, err = c.Admit(context.Background(), r)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Equal(t, verdict.CodeOverloaded, verdict.FromError(err).Code)
	require.EqualValues(t, 1, reg.Get("admission.refused.queued").(metrics.Counter).Count())
}

func TestRequestIsRefusedAtOnceWithoutUpstreams(t *testing.T) {
	c, _ := newTestController(0, 10)
	_, err := c.Admit(context.Background(), newRequest("a"))
	require.Equal(t, verdict.CodeNoUpstream, verdict.FromError(err).Code)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

func TestLimitedWorkspaceIsRefusedAndRefunded(t *testing.T) {
	c, _ := newTestController(1, 0)
	r := newRequest("a")
	r.Limits = Limits{Concurrent: 1}
	releaseOther, err := c.Admit(context.Background(), newRequest("b"))
	require.NoError(t, err)
	_, err = c.Admit(context.Background(), r)
	require.Equal(t, verdict.CodeOverloaded, verdict.FromError(err).Code, "the queue is full")
	releaseOther()
	release, err := c.Admit(context.Background(), r)
	require.NoError(t, err, "what the queue refused does not count against the limit")
	_, err = c.Admit(context.Background(), r)
	require.Equal(t, verdict.CodeLimited, verdict.FromError(err).Code)
	release()
	require.Empty(t, c.Demands(), "one host has the whole limit without asking")
}

func TestDemandAndGrantOverTheWire(t *testing.T) {
	start := time.Now()
	now := func() time.Duration { return leaseDuration + time.Since(start) }
	cfg := Config{
		QueueLimit: 10, Hosts: 4,
		Usage:     func(string) Usage { return Usage{Capacity: 1000} },
		LiveHosts: func() int { return 4 },
		Rand:      func() float64 { return 0 },
		Now:       func() time.Duration { return 0 },
	}
	owner := New(cfg)
	owner.cfg.Now = now
	cfg.Now = now
	host := New(cfg)
	r := newRequest("a")
	r.Limits = Limits{Concurrent: 40}
	countAdmitted := func() (n int) {
		for range 60 {
			if _, err := host.Admit(context.Background(), r); err == nil {
				n++
			}
		}
		return n
	}
	require.Equal(t, 1, countAdmitted(), "the floor")
	demand := &wire.Demand{Seq: 7, Items: host.Demands()}
	require.Len(t, demand.Items, 1)
	grant := owner.Allocate("host", demand)
	require.EqualValues(t, 7, grant.Seq)
	host.ApplyGrant(now(), grant)
	require.Equal(t, 35, countAdmitted(), "what the owner hands out of forty")
}

// TestDemandReportsAreBoundedAndCoverAllWorkspaces has more workspaces with a demand than
// fit into one report. Each report must stay within the bound, and successive reports must
// cover all workspaces.
func TestDemandReportsAreBoundedAndCoverAllWorkspaces(t *testing.T) {
	c, _ := newTestController(10_000, 0)
	c.cfg.Hosts = 8
	const workspaces = 3 * maxDemandsPerReport
	seen := make(map[uint64]bool)
	for range 3 {
		for i := range workspaces {
			r := newRequest(fmt.Sprint(i))
			r.Limits = Limits{Requests: 10}
			for range 5 {
				_, _ = c.Admit(context.Background(), r)
			}
		}
		items := c.Demands()
		require.LessOrEqual(t, len(items), maxDemandsPerReport)
		for _, item := range items {
			seen[item.Workspace] = true
		}
	}
	require.Len(t, seen, workspaces)
}
