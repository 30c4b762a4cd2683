package emulator

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sassafraspost/sassafraspost/internal/retrybudget"
	"github.com/sassafraspost/sassafraspost/internal/routetable"
	"github.com/sassafraspost/sassafraspost/internal/schedule"
)

// capacity is how many callers per second two groups of eight ranks can serve with twelve
// running requests per rank: an answer takes 32 passes of 44 ms.
const capacity = 2 * 8 * 12 / (32 * 0.044)

// baseConfig is a deployment of two groups with the given number of callers per second. The
// scheduler allows twelve requests per rank: with more, the time between events could exceed
// MaxEventGap if the most loaded rank had 2.4 times the mean load.
func baseConfig(seed uint64, rate float64) Config {
	return Config{
		Seed: seed, ArrivalPeriod: 20 * time.Second, Hosts: 9, Groups: 2, Ranks: 8,
		Engine: routetable.Engine{
			Slots: 20, StepTime: 5 * time.Millisecond, StepTimePerRequest: 500 * time.Microsecond, StepsPerPass: 4, MeanPromptTokens: 200, MeanAnswerTokens: 128, PrefillRate: 10_000,
			Experts: routetable.Experts{LayerSetCount: 1, ExpertsPerSet: 16, Slots: 4, WorkShare: 0.5},
		},
		ArrivalRate: func(time.Duration) float64 { return rate },
		Target:      500 * time.Millisecond, MaxEventGap: 80 * time.Millisecond, CallerTimeout: 7500 * time.Millisecond,
		RetryBudget: retrybudget.Params{Ratio: 0.2, Extra: 10, Window: 10 * time.Second},
	}
}

// mustRun runs a simulation and checks that each caller has exactly one outcome.
func mustRun(t require.TestingT, cfg Config) *Report {
	r, err := Run(cfg)
	require.NoError(t, err)
	require.Equal(t, r.Callers, r.OnTime+r.Late+r.Refused+r.Interrupted+r.Abandoned, "%+v", r)
	return r
}

// Guards against simulations that depend on anything but their configuration and seed.
func TestSameSeedGivesTheSameReport(t *testing.T) {
	for seed := range uint64(3) {
		cfg := baseConfig(seed, 2*capacity)
		cfg.Outages = []Outage{{Group: 0, From: 4 * time.Second, To: 6 * time.Second}}
		require.Equal(t, mustRun(t, cfg), mustRun(t, cfg))
	}
	require.NotEqual(t, mustRun(t, baseConfig(1, capacity)), mustRun(t, baseConfig(2, capacity)))
}

// Guards against late answers and uneven load when callers need only half of the capacity.
func TestAllCallersAreServedOnTimeBelowCapacity(t *testing.T) {
	for seed := range uint64(5) {
		r := mustRun(t, baseConfig(seed, capacity/2))
		require.Equal(t, r.Callers, r.OnTime, "%+v", r)
		require.Less(t, r.MaxLoadRatio, 1.5)
	}
}

// Guards against overload that reduces the number of answers on time: four times as many
// callers arrive as the engines can serve.
func TestOverloadDoesNotReduceThroughput(t *testing.T) {
	for seed := range uint64(3) {
		requireThroughputUnderOverload(t, baseConfig(seed, 4*capacity))
	}
}

// As TestOverloadDoesNotReduceThroughput, but the scheduler may use all slots of an engine.
func TestOverloadDoesNotReduceThroughputWithAllSlotsUsable(t *testing.T) {
	for seed := range uint64(3) {
		cfg := baseConfig(seed, 4*capacity)
		cfg.Engine.Slots = 12
		requireThroughputUnderOverload(t, cfg)
	}
}

// requireThroughputUnderOverload checks that at least 75 % of the capacity is used for answers
// on time, and that no caller waits longer for a refusal than the scheduler's longest wait.
func requireThroughputUnderOverload(t *testing.T, cfg Config) {
	t.Helper()
	r := mustRun(t, cfg)
	require.Greater(t, float64(r.OnTime), 0.75*capacity*cfg.ArrivalPeriod.Seconds(), "%+v", r)
	require.LessOrEqual(t, r.LongestRefusalTime(0), schedule.MaxQueueWait)
}

// Guards against requests that are sent to a group after its outage has become known. The other
// group has to serve all callers, since it has enough capacity.
func TestOtherGroupServesDuringOutage(t *testing.T) {
	cfg := baseConfig(1, capacity/4)
	cfg.Outages = []Outage{{Group: 1, From: 5 * time.Second, To: 15 * time.Second}}
	r := mustRun(t, cfg)
	require.Zero(t, r.Refused, "%+v", r)
	require.Greater(t, r.Fraction(r.OnTime), 0.95, "%+v", r)
}

// Guards against callers that are lost in an outage of all groups that is shorter than their
// timeout: they have to retry after it and be served.
func TestCallersRetryAfterShortOutage(t *testing.T) {
	cfg := baseConfig(1, capacity/3)
	cfg.Outages = []Outage{{Group: 0, From: 5 * time.Second, To: 7 * time.Second}, {Group: 1, From: 5 * time.Second, To: 7 * time.Second}}
	r := mustRun(t, cfg)
	callersDuringOutage := 2 * capacity / 3
	require.Greater(t, float64(r.Retried), 0.8*callersDuringOutage, "%+v", r)
	require.Less(t, float64(r.Refused), 0.1*callersDuringOutage, "%+v", r)
	require.LessOrEqual(t, r.LongestRefusalTime(0), schedule.MaxQueueWait)
}

// Guards against requests that wait in a long outage. Once it has lasted much longer than the
// scheduler's longest wait, requests have to be refused at once.
func TestLongOutageRefusesWithoutWaiting(t *testing.T) {
	cfg := baseConfig(1, capacity/3)
	cfg.Outages = []Outage{{Group: 0, To: time.Minute}, {Group: 1, To: time.Minute}}
	r := mustRun(t, cfg)
	require.Equal(t, r.Callers, r.Refused, "%+v", r)
	require.LessOrEqual(t, r.LongestRefusalTime(10*schedule.MaxQueueWait), 100*time.Millisecond)
}

// Guards against callers that get no outcome, or more than one, and against callers that never
// leave, in any deployment and with any outages. mustRun compares the number of outcomes with
// the number of callers.
func TestEveryCallerGetsOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := baseConfig(rapid.Uint64().Draw(t, "seed"), rapid.Float64Range(1, 3*capacity).Draw(t, "rate"))
		cfg.ArrivalPeriod = 4 * time.Second
		cfg.Hosts = rapid.IntRange(1, 40).Draw(t, "hosts")
		cfg.Groups = rapid.IntRange(1, 3).Draw(t, "groups")
		cfg.Ranks = rapid.IntRange(1, 16).Draw(t, "ranks")
		cfg.Skew = rapid.Float64Range(1, 4).Draw(t, "skew")
		cfg.SkewPeriods = []SkewPeriod{{From: time.Second, To: 2 * time.Second, Skew: rapid.Float64Range(1, 6).Draw(t, "period skew")}}
		cfg.SilenceTimeout = time.Duration(rapid.IntRange(0, 3000).Draw(t, "silence")) * time.Millisecond
		for range rapid.IntRange(0, 3).Draw(t, "outages") {
			from := time.Duration(rapid.IntRange(0, 4000).Draw(t, "from")) * time.Millisecond
			length := time.Duration(rapid.IntRange(1, 3000).Draw(t, "for")) * time.Millisecond
			cfg.Outages = append(cfg.Outages, Outage{Group: rapid.IntRange(0, cfg.Groups-1).Draw(t, "group"), From: from, To: from + length})
		}
		r := mustRun(t, cfg)
		require.LessOrEqual(t, r.Retried, r.Callers)
		require.Less(t, r.Ended, cfg.ArrivalPeriod+cfg.CallerTimeout+time.Minute)
	})
}

// Guards against callers that wait forever in the model, and against answers that count although
// their caller has left: passes take longer than the callers' silence timeout.
func TestCallersLeaveSilentStreams(t *testing.T) {
	cfg := baseConfig(1, capacity/2)
	cfg.SilenceTimeout = 700 * time.Millisecond
	cfg.SkewPeriods = []SkewPeriod{{From: 5 * time.Second, To: 9 * time.Second, Skew: 200}}
	r := mustRun(t, cfg)
	require.Positive(t, r.Abandoned, "%+v", r)
	cfg.SkewPeriods[0].Skew = 1
	require.Zero(t, mustRun(t, cfg).Abandoned)
}

func TestInvalidConfigsAreRejected(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
		"no arrivals":    func(c *Config) { c.ArrivalRate = nil },
		"no hosts":       func(c *Config) { c.Hosts = 0 },
		"no slots":       func(c *Config) { c.Engine.Slots = 0 },
		"short timeout":  func(c *Config) { c.CallerTimeout = c.Target / 2 },
		"unknown group":  func(c *Config) { c.Outages = []Outage{{Group: 2, To: time.Second}} },
		"empty outage":   func(c *Config) { c.Outages = []Outage{{From: time.Second, To: time.Second}} },
		"no skew":        func(c *Config) { c.SkewPeriods = []SkewPeriod{{To: time.Second}} },
		"empty period":   func(c *Config) { c.SkewPeriods = []SkewPeriod{{From: time.Second, To: time.Second, Skew: 2}} },
		"negative group": func(c *Config) { c.Outages = []Outage{{Group: -1, To: time.Second}} },
	} {
		cfg := baseConfig(1, capacity)
		invalidate(&cfg)
		_, err := Run(cfg)
		require.Error(t, err, name)
	}
}

func Benchmark16Ranks(b *testing.B) {
	for range b.N {
		cfg := baseConfig(1, capacity)
		cfg.ArrivalPeriod = time.Minute
		mustRun(b, cfg)
	}
}

// Benchmark600Ranks runs the largest deployment that the product has to support: 600 engines in
// groups of 120 ranks, and 330 hosts.
func Benchmark600Ranks(b *testing.B) {
	for range b.N {
		cfg := baseConfig(1, 600.0/16*capacity)
		cfg.ArrivalPeriod, cfg.Hosts, cfg.Groups, cfg.Ranks = 5*time.Second, 330, 5, 120
		mustRun(b, cfg)
	}
}

// Guards against callers that are missing from the counts of their phase and class, or counted in
// those of another.
func TestPhasesAndClassesAddUpToTheReport(t *testing.T) {
	cfg := baseConfig(1, 0)
	rate := func(time.Duration) float64 { return capacity }
	cfg.Classes = []Class{{Target: cfg.Target, ArrivalRate: rate}, {Priority: 2, Target: time.Second, ArrivalRate: rate}}
	cfg.Phase = func(at time.Duration) string {
		if at < 5*time.Second {
			return "first"
		}
		return "second"
	}
	r := mustRun(t, cfg)
	require.Len(t, r.Phases, 4)
	var sum Counts
	for key, c := range r.Phases {
		require.Positive(t, c.Callers, key)
		sum.Callers, sum.OnTime, sum.Late = sum.Callers+c.Callers, sum.OnTime+c.OnTime, sum.Late+c.Late
		sum.Refused, sum.RefusedAgain = sum.Refused+c.Refused, sum.RefusedAgain+c.RefusedAgain
	}
	require.Equal(t, Counts{Callers: r.Callers, OnTime: r.OnTime, Late: r.Late, Refused: r.Retried, RefusedAgain: r.Refused}, sum)
	require.Less(t, r.Phases[PhaseKey{"first", 0}].Callers, r.Phases[PhaseKey{"second", 0}].Callers)
}

// requireMoreOnTimeWithPlannedReturns checks that Config.PlanReturns serves more callers on time
// in a load, over three seeds. In the deployment of the test quotas apply, and the passes allow all
// slots to be used. It serves about 65 callers per second.
func requireMoreOnTimeWithPlannedReturns(t *testing.T, length time.Duration, rate func(time.Duration) float64) {
	t.Helper()
	onTime := map[bool]float64{}
	for seed := range uint64(3) {
		for _, plansReturns := range []bool{false, true} {
			cfg := baseConfig(seed, 0)
			cfg.ArrivalRate, cfg.ArrivalPeriod, cfg.PlanReturns = rate, length, plansReturns
			cfg.Hosts, cfg.Skew = 20, 1.3
			cfg.Engine.Slots, cfg.Engine.StepTime, cfg.Engine.StepTimePerRequest, cfg.Engine.StepsPerPass = 10, 5850*time.Microsecond, time.Millisecond, 5
			cfg.Target, cfg.MaxEventGap, cfg.CallerTimeout = 400*time.Millisecond, 120*time.Millisecond, 8*time.Second
			r := mustRun(t, cfg)
			onTime[plansReturns] += r.Fraction(r.OnTime)
		}
	}
	require.Greater(t, onTime[true], onTime[false])
}

// Guards against first events that are late because engines queue what hosts admit beyond their
// slots, under steady overload.
func TestPlannedReturnsServeMoreOnTimeUnderSteadyOverload(t *testing.T) {
	requireMoreOnTimeWithPlannedReturns(t, 20*time.Second, func(time.Duration) float64 { return 90 })
}

// Guards against callers that return while a peak lasts and displace others, in a load that
// oscillates with a period that the hosts don't know.
func TestPlannedReturnsServeMoreOnTimeUnderPeriodicLoad(t *testing.T) {
	requireMoreOnTimeWithPlannedReturns(t, 39*time.Second, func(at time.Duration) float64 {
		return 55 * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13))
	})
}
