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
	threeControl = []string{"control-1", "control-2", "control-3"}
	someOthers   = []string{"entry-1", "entry-2", "engine-1", "group-0"}
)

// A seed plays the same faults each time. A host has one fault at a time, and a majority of
// the control hosts has none.
func TestPlanIsBoundedAndRepeats(t *testing.T) {
	for seed := range uint64(50) {
		plan := Plan(seed, Kinds, threeControl, someOthers, time.Minute)
		require.Equal(t, plan, Plan(seed, Kinds, threeControl, someOthers, time.Minute))
		require.Greater(t, len(plan), 20)
		for i, f := range plan {
			for _, g := range plan[:i] {
				isOver := g.At+g.For+settling <= f.At
				require.True(t, isOver || g.Host != f.Host, "%s while %s", f, g)
				isControl := func(f Fault) bool { return f.Host < "d" }
				require.True(t, isOver || !isControl(f) || !isControl(g), "%s while %s", f, g)
			}
		}
	}
}

func TestPlanKeepsToTheKinds(t *testing.T) {
	for _, f := range Plan(3, []Kind{Terminate}, threeControl, someOthers, time.Minute) {
		require.Equal(t, Terminate, f.Kind)
	}
}

// Each way to break a promise that only shows in what was carried out is seen.
func TestWhatWasCarriedOutIsComparedWithWhatCallersWereTold(t *testing.T) {
	ran := func(begun, finished int) standin.Executions {
		return standin.Executions{Started: begun, Finished: finished}
	}
	for name, c := range map[string]struct {
		told func(*callers)
		done standin.Report
		want Promise
	}{
		"ran twice":                 {done: standin.Report{ByKey: map[string]standin.Executions{"k": ran(2, 1)}}, want: Once},
		"confirmed, not made":       {told: func(c *callers) { c.booked["k"] = true }, want: Whole},
		"refused, and ran":          {told: func(c *callers) { c.refused["k"] = true }, done: standin.Report{ByKey: map[string]standin.Executions{"k": ran(1, 1)}}, want: NotRun},
		"refused, and was streamed": {told: func(c *callers) { c.refused["s"] = true }, done: standin.Report{ByRequest: map[string]standin.Executions{"s": ran(1, 0)}}, want: NotRun},
		"cut while it ran":          {told: func(c *callers) { c.lost["s"] = "cut" }, done: standin.Report{ByRequest: map[string]standin.Executions{"s": ran(1, 0)}}, want: Shutdown},
		"crossed the close":         {told: func(c *callers) { c.lost["s"] = "cut" }},
		"all is well": {told: func(c *callers) { c.booked["k"], c.refused["r"] = true, true },
			done: standin.Report{ByKey: map[string]standin.Executions{"k": ran(1, 1)}}},
	} {
		heard := newCallers(nil, newRecord())
		if c.told != nil {
			c.told(heard)
		}
		heard.checkExecutions(c.done)
		if c.want == "" {
			require.Empty(t, heard.r.broken, name)
			continue
		}
		require.Len(t, heard.r.broken, 1, name)
		require.Equal(t, c.want, heard.r.broken[0].Promise, name)
	}
}

// Only what was cut while no unplanned fault went on, or had just ended, counts as a cut.
func TestCutsCountInCalmTimesOnly(t *testing.T) {
	c := newCallers(nil, newRecord())
	cut := local.Response{Err: os.ErrDeadlineExceeded, Verdict: verdict.MayHaveRun}
	end := c.r.begin("terminate", false)
	c.lose("calm", time.Now(), cut)
	end()
	end = c.r.begin("kill", true)
	c.lose("during", time.Now(), cut)
	end()
	c.lose("just after", time.Now(), cut)
	require.Len(t, c.lost, 1)
	require.Contains(t, c.lost, "calm")
	require.True(t, c.r.isCalm(time.Now().Add(2*aftermath), time.Now().Add(3*aftermath), aftermath))
}

// A larger size is the same system with more hosts, and its changes of maps are passed on by
// some of them.
func TestLayoutGrowsWithTheSize(t *testing.T) {
	for size := 1; size <= MaxSize; size++ {
		l := Layout(size)
		s, err := local.New(t.TempDir(), t.TempDir(), l)
		require.NoError(t, err)
		require.Len(t, s.Entries, 3*size)
		require.Len(t, s.Agents, 9*size)
		require.Contains(t, document(1, size), fmt.Sprintf("ranks = %d\n", l.GroupHosts*l.RanksPerHost))
		require.LessOrEqual(t, len(s.Daemons())+len(s.StandIns), 200)
		s.Stop()
	}
}

// A short run of each: all faults together, the same at a size at which some hosts pass
// messages on to others, and shutdowns alone, which must cost nothing.
// Longer ones are started by hand with test/cmd/soak.
func TestPromisesHoldUnderSeededFaults(t *testing.T) {
	bin := t.TempDir()
	require.NoError(t, local.Build(bin))
	for name, cfg := range map[string]Config{
		"all":       {Seed: 7, Length: 15 * time.Second},
		"at size":   {Seed: 9, Length: 8 * time.Second, Size: 4},
		"shutdowns": {Seed: 8, Length: 10 * time.Second, Only: []Kind{Terminate}},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), cfg.Length+3*time.Minute)
			defer cancel()
			cfg.Dir, cfg.Bin = t.TempDir(), bin
			r, err := Run(ctx, cfg)
			require.NoError(t, err)
			t.Log(r)
			if len(r.Broken) > 0 {
				r.Write(os.Stderr)
			}
			require.Empty(t, r.Broken)
			require.Positive(t, r.Counts["streams whole"])
			require.Positive(t, r.Counts["bookings made"])
			require.Positive(t, r.Counts["changes accepted"])
			require.Positive(t, r.Counts["maps"])
		})
	}
}
