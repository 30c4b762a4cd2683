package emulator

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

// Report is the result of a simulation. Each caller is counted in exactly one of OnTime, Late,
// Refused, Interrupted and Abandoned; Callers counts all of them.
type Report struct {
	Callers int
	// OnTime counts complete answers of which every event was on time, and Late complete answers
	// with a late event. Refused counts callers that were refused on both tries; their requests
	// never ran. Interrupted counts callers that lost the rest of a begun answer when the group
	// failed. Abandoned counts callers that got nothing for Config.SilenceTimeout on their last
	// try.
	OnTime, Late, Refused, Interrupted, Abandoned int
	// Retried counts callers that were refused once and then retried.
	Retried int
	// RefusalTimes holds, for each second of the simulation, the longest time between a try in
	// that second and its refusal.
	RefusalTimes []time.Duration
	// MaxLoadRatio is the number of requests that the busiest engine has started, divided by the
	// mean over all engines.
	MaxLoadRatio float64
	// MaxMeanLoad is the highest mean number of requests at the engines at any time.
	MaxMeanLoad float64
	// Ended is the time at which the last caller left.
	Ended time.Duration
	// Phases holds the counts of each phase and class in which callers have arrived.
	Phases map[PhaseKey]*Counts
}

// PhaseKey names the callers of one priority that first tried in one phase.
type PhaseKey struct {
	Phase    string
	Priority int
}

// Counts counts the outcomes of a part of the callers, as Report does for all. Refused counts
// those that were refused once and told to return, and RefusedAgain those that were refused
// again when they returned.
type Counts struct {
	Callers, OnTime, Late, Refused, RefusedAgain, Interrupted, Abandoned int
}

// phase returns the name of the phase at a given time.
func (c *Config) phase(at time.Duration) string {
	if c.Phase == nil {
		return ""
	}
	return c.Phase(at)
}

// countsOf returns the counts of a phase and class, which are created when needed.
func (r *Report) countsOf(phase string, priority int) *Counts {
	key := PhaseKey{Phase: phase, Priority: priority}
	if r.Phases == nil {
		r.Phases = make(map[PhaseKey]*Counts)
	}
	if r.Phases[key] == nil {
		r.Phases[key] = &Counts{}
	}
	return r.Phases[key]
}

// Fraction returns n divided by the number of callers.
func (r *Report) Fraction(n int) float64 { return float64(n) / float64(max(r.Callers, 1)) }

// LongestRefusalTime returns the longest time between a try and its refusal, over all tries
// from the given second on.
func (r *Report) LongestRefusalTime(from time.Duration) time.Duration {
	longest := time.Duration(0)
	for second := int(from / time.Second); second < len(r.RefusalTimes); second++ {
		longest = max(longest, r.RefusalTimes[second])
	}
	return longest
}

// recordLoads records the loads of all engines at one time.
func (r *Report) recordLoads(loads []wire.EngineLoad) {
	sum := 0
	for i := range loads {
		sum += loads[i].Running + loads[i].Waiting
	}
	r.MaxMeanLoad = max(r.MaxMeanLoad, float64(sum)/float64(len(loads)))
}

// onRefusal records how long a try waited until it was refused.
func (r *Report) onRefusal(triedAt, waited time.Duration) {
	second := int(triedAt / time.Second)
	for len(r.RefusalTimes) <= second {
		r.RefusalTimes = append(r.RefusalTimes, 0)
	}
	r.RefusalTimes[second] = max(r.RefusalTimes[second], waited)
}

func (r *Report) finish(simulation *simulation) {
	r.Ended = simulation.clock.now
	highest, sum := 0, 0
	for _, e := range simulation.engines {
		highest = max(highest, e.started)
		sum += e.started
	}
	if sum > 0 {
		r.MaxLoadRatio = float64(highest) * float64(len(simulation.engines)) / float64(sum)
	}
}
