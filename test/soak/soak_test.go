package soak

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/verdict"
	"github.com/sassafraspost/sassafraspost/test/local"
	"github.com/sassafraspost/sassafraspost/test/standin"
)

var (
	controlNames = []string{"control-1", "control-2", "control-3"}
	otherNames   = []string{"entry-1", "entry-2", "engine-1", "group-0"}
)

// A run could not be repeated if its seed gave different faults the next time. Two faults of one
// host at a time would undo each other, and without a majority of the control hosts the system
// promises nothing.
func TestPlanRepeatsAndOverlapsNoFaultsOfOneHost(t *testing.T) {
	for seed := range uint64(50) {
		plan := Plan(seed, Kinds, controlNames, otherNames, time.Minute)
		require.Equal(t, plan, Plan(seed, Kinds, controlNames, otherNames, time.Minute))
		require.Greater(t, len(plan), 20)
		for i, f := range plan {
			for _, g := range plan[:i] {
				isOver := g.At+g.For+minFaultGap <= f.At
				require.True(t, isOver || g.Host != f.Host, "%s while %s", f, g)
				isControl := func(f Fault) bool { return f.Host < "d" }
				require.True(t, isOver || !isControl(f) || !isControl(g), "%s while %s", f, g)
			}
		}
	}
}

// A run that is limited to shutdowns checks that they interrupt no request. A fault of any other
// kind in its plan would excuse such requests.
func TestPlanDrawsOnlyTheGivenKinds(t *testing.T) {
	for _, f := range Plan(3, []Kind{Terminate}, controlNames, otherNames, time.Minute) {
		require.Equal(t, Terminate, f.Kind)
	}
}

// Some broken promises only show in what the upstreams executed: a request that ran twice, a
// confirmed booking that was not made, a refused request that ran, or a request that a shutdown
// interrupted. Each of them must be recorded.
func TestExecutionsAreComparedWithResponses(t *testing.T) {
	ran := func(begun, finished int) standin.Executions {
		return standin.Executions{Started: begun, Finished: finished}
	}
	for name, c := range map[string]struct {
		setUp      func(*callerPool)
		executions standin.Report
		want       Promise
	}{
		"ran twice":                 {executions: standin.Report{ByKey: map[string]standin.Executions{"k": ran(2, 1)}}, want: AtMostOnce},
		"confirmed, not made":       {setUp: func(c *callerPool) { c.confirmed["k"] = true }, want: CompleteResponse},
		"refused, and ran":          {setUp: func(c *callerPool) { c.notRun["k"] = true }, executions: standin.Report{ByKey: map[string]standin.Executions{"k": ran(1, 1)}}, want: NotRun},
		"refused, and was streamed": {setUp: func(c *callerPool) { c.notRun["s"] = true }, executions: standin.Report{ByRequest: map[string]standin.Executions{"s": ran(1, 0)}}, want: NotRun},
		"cut while it ran":          {setUp: func(c *callerPool) { c.interrupted["s"] = "cut" }, executions: standin.Report{ByRequest: map[string]standin.Executions{"s": ran(1, 0)}}, want: Shutdown},
		"closed before accepted":    {setUp: func(c *callerPool) { c.interrupted["s"] = "cut" }},
		"all is well": {setUp: func(c *callerPool) { c.confirmed["k"], c.notRun["r"] = true, true },
			executions: standin.Report{ByKey: map[string]standin.Executions{"k": ran(1, 1)}}},
	} {
		pool := newCallerPool(nil, newRecord())
		if c.setUp != nil {
			c.setUp(pool)
		}
		pool.checkExecutions(c.executions)
		if c.want == "" {
			require.Empty(t, pool.r.violations, name)
			continue
		}
		require.Len(t, pool.r.violations, 1, name)
		require.Equal(t, c.want, pool.r.violations[0].Promise, name)
	}
}

// An unplanned fault may interrupt requests, also shortly after its end. If such requests counted,
// runs would report failures of shutdown that are none. A planned shutdown excuses nothing.
func TestInterruptedRequestsCountOnlyWithoutUnplannedFaults(t *testing.T) {
	pool := newCallerPool(nil, newRecord())
	interrupted := local.Response{Err: os.ErrDeadlineExceeded, Verdict: verdict.MayHaveRun}
	end := pool.r.beginEvent("terminate", false)
	pool.noteInterrupted("calm", time.Now(), interrupted)
	end()
	end = pool.r.beginEvent("kill", true)
	pool.noteInterrupted("during", time.Now(), interrupted)
	end()
	pool.noteInterrupted("just after", time.Now(), interrupted)
	require.Len(t, pool.interrupted, 1)
	require.Contains(t, pool.interrupted, "calm")
	require.True(t, pool.r.isUndisturbed(time.Now().Add(2*faultEffectTime), time.Now().Add(3*faultEffectTime), faultEffectTime))
}

// A request that began after the bound must be found, unless a host that can have sent it was cut off
// then. If the faults of other hosts excused it too, the check would find nothing.
func TestOnlyFaultsOfSendersExcuseRequests(t *testing.T) {
	r := newRecord()
	end := r.beginFault(Fault{Kind: Cut, Host: "entry-1"})
	now := time.Now().Add(time.Millisecond)
	require.False(t, r.wereConnected([]string{"entry-1", "control-1"}, now, reconnectTime), "during the fault")
	require.True(t, r.wereConnected([]string{"entry-2", "control-1"}, now, reconnectTime), "another host")
	end()
	require.False(t, r.wereConnected([]string{"entry-1"}, time.Now().Add(reconnectTime/2), reconnectTime))
	require.True(t, r.wereConnected([]string{"entry-1"}, time.Now().Add(reconnectTime), reconnectTime))
	require.True(t, r.wereConnected([]string{"entry-1"}, now.Add(-time.Minute), reconnectTime), "before the fault")
}

// A larger size must be the same system with more hosts, and its document must name as many ranks
// as the layout starts: otherwise the group never serves. The number of processes is bounded.
func TestLayoutScalesWithSize(t *testing.T) {
	for size := 1; size <= MaxSize; size++ {
		layout := Layout(size)
		system, err := local.New(t.TempDir(), t.TempDir(), layout)
		require.NoError(t, err)
		require.Len(t, system.Entries, 3*size)
		require.Len(t, system.Agents, 9*size)
		require.Contains(t, document(1, size), fmt.Sprintf("ranks = %d\n", layout.GroupHosts*layout.RanksPerHost))
		require.LessOrEqual(t, len(system.Daemons())+len(system.StandIns), 200)
		system.Stop()
	}
}

// No promise may be broken under faults. There are four short runs: all kinds of faults, the same
// at a size at which some group hosts forward messages to the others, shutdowns alone, which
// must not interrupt any request, and all kinds while data centres are evacuated. Longer runs are started by hand with test/cmd/soak.
func TestPromisesHoldUnderSeededFaults(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, local.Build(bin))
	for name, cfg := range map[string]Config{
		"all":         {Seed: 7, FaultTime: 15 * time.Second},
		"at size":     {Seed: 9, FaultTime: 8 * time.Second, Size: 4},
		"shutdowns":   {Seed: 8, FaultTime: 10 * time.Second, OnlyKinds: []Kind{Terminate}},
		"evacuations": {Seed: 6, FaultTime: 20 * time.Second, Evacuates: true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), cfg.FaultTime+3*time.Minute)
			defer cancel()
			cfg.Dir, cfg.Bin = t.TempDir(), bin
			report, err := Run(ctx, cfg)
			require.NoError(t, err)
			t.Log(report)
			if len(report.Violations) > 0 {
				report.Write(os.Stderr)
			}
			require.Empty(t, report.Violations)
			require.Positive(t, report.Counts["streams whole"])
			require.Positive(t, report.Counts["bookings made"])
			require.Positive(t, report.Counts["changes accepted"])
			require.Positive(t, report.Counts["maps"])
			require.Equal(t, cfg.Evacuates, report.Counts["evacuations"] > 0)
		})
	}
}
