package emulator

import "time"

// Report is what came of a run. Each caller that asked is in one of InAim, Late, Refused and
// Cut.
type Report struct {
	Asked int
	// InAim were answered whole and on time throughout, Late whole. Refused were told at each
	// try that nothing ran, Cut had a part of the answer when their group broke.
	InAim, Late, Refused, Cut int
	// Returned were refused once and came back.
	Returned int
	// RefusalTimes is the longest time from a try to its refusal, by the second of the try.
	RefusalTimes []time.Duration
	// Busiest is how many requests the engine with the most of them was given, over the mean.
	Busiest float64
	// Ended is when the last caller left.
	Ended time.Duration
}

// Fraction is the part of those who asked, without unit.
func (r *Report) Fraction(n int) float64 { return float64(n) / float64(max(r.Asked, 1)) }

// LongestRefusalTime is the longest time from a try to its refusal, of those who asked from then on.
func (r *Report) LongestRefusalTime(from time.Duration) time.Duration {
	longest := time.Duration(0)
	for second := int(from / time.Second); second < len(r.RefusalTimes); second++ {
		longest = max(longest, r.RefusalTimes[second])
	}
	return longest
}

// onRefusal notes a try that was refused.
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
		r.Busiest = float64(highest) * float64(len(simulation.engines)) / float64(sum)
	}
}
