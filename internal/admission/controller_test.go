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

const testWait = 20 * time.Second

func newController(capacity, queue int) (*Controller, metrics.Registry) {
	start := time.Now()
	reg := metrics.NewRegistry()
	return New(Config{
		QueueLimit: queue,
		Hosts:      1,
		Usage:      func(string) Usage { return Usage{Capacity: capacity} },
		Live:       func() int { return 1 },
		Now:        func() time.Duration { return time.Since(start) },
		Rand:       func() float64 { return 0.5 },
		Metrics:    reg,
	}), reg
}

func request(workspace string) Request {
	return Request{Service: "s", Workspace: workspace, Pool: "p", Cost: 1, Deadline: testWait}
}

func TestControllerNeverExceedsTheCapacityAndLetsAllIn(t *testing.T) {
	c, _ := newController(3, 1000)
	var running, most, done atomic.Int64
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			release, err := c.Admit(context.Background(), request(fmt.Sprint(i%4)))
			if err != nil {
				return
			}
			if n := running.Add(1); n > most.Load() {
				most.Store(n)
			}
			done.Add(1)
			running.Add(-1)
			release()
		}()
	}
	wg.Wait()
	require.EqualValues(t, 60, done.Load())
	require.LessOrEqual(t, most.Load(), int64(3))
}

func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	c, reg := newController(1, 10)
	release, err := c.Admit(context.Background(), request("a"))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	left := make(chan error, 1)
	go func() {
		_, err := c.Admit(ctx, request("b"))
		left <- err
	}()
	waits := func() bool { c.Update(); return reg.Get("admission.queued").(metrics.Gauge).Value() == 1 }
	require.Eventually(t, waits, testWait, time.Millisecond)
	cancel()
	require.Equal(t, verdict.NotRun, verdict.FromError(<-left).Verdict)
	c.Update()
	require.Zero(t, reg.Get("admission.queued").(metrics.Gauge).Value())
	release()
	release, err = c.Admit(context.Background(), request("c"))
	require.NoError(t, err)
	release()
}

func TestQueuedRequestIsRefusedWhenItBecomesHopeless(t *testing.T) {
	c, reg := newController(1, 10)
	release, err := c.Admit(context.Background(), request("a"))
	require.NoError(t, err)
	defer release()
	r := request("b")
	r.Deadline = 50 * time.Millisecond
	_, err = c.Admit(context.Background(), r)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Equal(t, verdict.CodeOverloaded, verdict.FromError(err).Code)
	require.EqualValues(t, 1, reg.Get("admission.refused.queued").(metrics.Counter).Count())
}

func TestNoUpstreamIsToldAtOnce(t *testing.T) {
	c, _ := newController(0, 10)
	_, err := c.Admit(context.Background(), request("a"))
	require.Equal(t, verdict.CodeNoUpstream, verdict.FromError(err).Code)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

func TestLimitedWorkspaceIsRefusedAndRefunded(t *testing.T) {
	c, _ := newController(1, 0)
	r := request("a")
	r.Limits = Limits{Concurrent: 1}
	hold, err := c.Admit(context.Background(), request("b"))
	require.NoError(t, err)
	_, err = c.Admit(context.Background(), r)
	require.Equal(t, verdict.CodeOverloaded, verdict.FromError(err).Code, "the queue is full")
	hold()
	release, err := c.Admit(context.Background(), r)
	require.NoError(t, err, "what the queue refused does not count against the limit")
	_, err = c.Admit(context.Background(), r)
	require.Equal(t, verdict.CodeLimited, verdict.FromError(err).Code)
	release()
	require.Empty(t, c.Demands(), "one host has the whole limit without asking")
}

func TestDemandAndGrantOverTheWire(t *testing.T) {
	start := time.Now()
	now := func() time.Duration { return leaseSpan + time.Since(start) }
	cfg := Config{
		QueueLimit: 10, Hosts: 4,
		Usage: func(string) Usage { return Usage{Capacity: 1000} },
		Live:  func() int { return 4 },
		Rand:  func() float64 { return 0 },
		Now:   func() time.Duration { return 0 },
	}
	owner := New(cfg)
	owner.cfg.Now = now
	cfg.Now = now
	host := New(cfg)
	r := request("a")
	r.Limits = Limits{Concurrent: 40}
	admitted := func() (n int) {
		for range 60 {
			if _, err := host.Admit(context.Background(), r); err == nil {
				n++
			}
		}
		return n
	}
	require.Equal(t, 1, admitted(), "the floor")
	d := &wire.Demand{Seq: 7, Items: host.Demands()}
	require.Len(t, d.Items, 1)
	g := owner.Divide("host", d)
	require.EqualValues(t, 7, g.Seq)
	host.Granted(now(), g)
	require.Equal(t, 35, admitted(), "what the owner hands out of forty")
}

// TestReportsAreBoundedAndReachAll lets more workspaces want more than one report may
// carry.
func TestReportsAreBoundedAndReachAll(t *testing.T) {
	c, _ := newController(10_000, 0)
	c.cfg.Hosts = 8
	const workspaces = 3 * maxDemands
	seen := make(map[uint64]bool)
	for range 3 {
		for i := range workspaces {
			r := request(fmt.Sprint(i))
			r.Limits = Limits{Requests: 10}
			for range 5 {
				_, _ = c.Admit(context.Background(), r)
			}
		}
		items := c.Demands()
		require.LessOrEqual(t, len(items), maxDemands)
		for _, item := range items {
			seen[item.Workspace] = true
		}
	}
	require.Len(t, seen, workspaces)
}
