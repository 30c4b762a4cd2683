package emulator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// crowdFrom and crowdTo are when most callers come to one host.
	crowdFrom, crowdTo = 10 * time.Second, 20 * time.Second
	// contactTime is the time after which the host must have adapted.
	contactTime = 3 * time.Second
	// minServedRatio is how often callers must then be served at their first try, compared with before.
	minServedRatio = 0.75
)

// crowdConfig is a deployment with one group in which most callers come to one host for a while.
func crowdConfig(seed uint64, hosts int, rate float64) Config {
	cfg := baseConfig(seed, rate)
	cfg.Hosts, cfg.Groups, cfg.Ranks, cfg.Skew = hosts, 1, 12, 1.2
	cfg.Engine = routetable.Engine{
		Slots: 12, StepTime: 4840 * time.Microsecond, StepTimePerRequest: 362 * time.Microsecond, StepsPerPass: 6,
		MeanPromptTokens: 835, MeanAnswerTokens: 158, PrefillRate: 74_800, Experts: routetable.Experts{LayerSetCount: 4, ExpertsPerSet: 72, Slots: 8, WorkShare: 0.85},
	}
	cfg.Target, cfg.MaxEventGap, cfg.CallerTimeout = 400*time.Millisecond, 120*time.Millisecond, 8*time.Second
	cfg.ArrivalPeriod = crowdTo
	cfg.Crowds = []Crowd{{Host: 0, From: crowdFrom, To: crowdTo, Share: 0.9}}
	cfg.Phase = func(at time.Duration) string {
		switch {
		case at < crowdFrom/2:
			return "start"
		case at < crowdFrom:
			return "before"
		case at < crowdFrom+contactTime:
			return "learning"
		}
		return "crowd"
	}
	return cfg
}

// servedShare returns the share of the callers of a phase that were served at their first try.
func (r *Report) servedShare(phase string) float64 {
	c := r.Phases[PhaseKey{Phase: phase}]
	return 1 - float64(c.Refused+c.Interrupted+c.Abandoned)/float64(c.Callers)
}

// Guards against a host that refuses callers, or makes them wait, by an equal share of the slots while
// most callers come to it and the other hosts leave their shares unused.
func TestHostWithMostCallersServesThem(t *testing.T) {
	for _, hosts := range []int{4, 9, 40} {
		for _, rate := range []float64{30, 60, 90, 120, 180} {
			t.Run(fmt.Sprintf("%d hosts, %g callers a second", hosts, rate), func(t *testing.T) {
				shares := map[string]float64{}
				const seeds = 3
				onTime := 0.0
				for seed := range uint64(seeds) {
					r := mustRun(t, crowdConfig(seed, hosts, rate))
					for _, phase := range []string{"before", "learning", "crowd"} {
						shares[phase] += r.servedShare(phase) / seeds
					}
					c := r.Phases[PhaseKey{Phase: "crowd"}]
					onTime += float64(c.OnTime) / float64(c.Callers) / seeds
				}
				t.Logf("served at first try: %.3f before, %.3f while learning, %.3f then; on time %.3f", shares["before"], shares["learning"], shares["crowd"], onTime)
				require.GreaterOrEqual(t, shares["crowd"], minServedRatio*shares["before"])
			})
		}
	}
}
