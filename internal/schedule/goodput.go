package schedule

import (
	"time"

	"github.com/sassafraspost/sassafraspost/internal/routetable"
)

const (
	// latePart is what a late answer is worth to its caller, an answer on time being 1.
	latePart = 0.5
	// placeStep is the distance of two numbers of places that are compared.
	placeStep = 0.25
	// hopelessParts is how many of the newest parts have to be beyond what the fewest places
	// bear for a group to count as slow, rather than as one whose map is being changed.
	hopelessParts = 3
)

// places returns how many requests a rank should work on at once, on the mean: the number
// at which the group would serve most, late answers counting by latePart, if passes go on as
// they are remembered. More places serve more callers and make passes longer; fewer keep
// passes inside the gap when popularity jumps, but only where there is a number that does.
// Passes that even the fewest places don't bear decide nothing. The fewest, which bear the
// worst that is expected of popularity, are returned where nothing else is known, and while
// no number keeps passes inside the gap.
func (p *passes) places(e *routetable.Engine, gap, now time.Duration) float64 {
	least := float64(ConcurrencyLimit(e, gap))
	if gap <= 0 || e.Stride <= 0 || e.StepTimePerRequest <= 0 || !p.isBegun || now-p.began < leastSeen {
		return least
	}
	if p.shape == e && p.chosenPart == p.part {
		return p.chosen
	}
	p.shape, p.chosenPart, p.chosen = e, p.part, least
	limit := passPart * float64(gap)
	bearable := limit / float64(evenPass(e, least))
	seen, mean := p.remembered(bearable, now)
	if mean == 0 || p.isSlow(bearable) {
		return least
	}
	best := 0.0
	for n := least; n <= float64(e.Slots); n += placeStep {
		pass := float64(evenPass(e, n))
		stay := readTime(e).Seconds() + (e.Answer/float64(e.Stride)+2)*mean*pass/float64(time.Second)
		onTime := shareOnTime(seen, limit/pass, int(stay/peakPart.Seconds())+1)
		if good := n / stay * (onTime + latePart*(1-onTime)); good > best {
			best, p.chosen = good, n
		}
	}
	return p.chosen
}

// remembered returns the stretches of the parts that are remembered and not longer than
// bearable, the oldest first, and their mean, 0 if there are none.
func (p *passes) remembered(bearable float64, now time.Duration) (seen []float64, mean float64) {
	for n := max(int64(now/peakPart)-peakParts+1, 0); n < p.part; n++ {
		if s := p.stretch[n%peakParts]; s > 0 && s <= bearable {
			seen = append(seen, s)
			mean += s
		}
	}
	if len(seen) > 0 {
		mean /= float64(len(seen))
	}
	return seen, mean
}

// isSlow reports whether the newest parts that are known are all longer than bearable.
func (p *passes) isSlow(bearable float64) bool {
	known := 0
	for n := p.part - 1; n >= max(p.part-peakParts+1, 0) && known < hopelessParts; n-- {
		s := p.stretch[n%peakParts]
		if s > 0 && s <= bearable {
			return false
		}
		if s > 0 {
			known++
		}
	}
	return known == hopelessParts
}

// shareOnTime returns the share of streams that would see no pass over the gap: a stream
// meets that many parts in a row, and a part is too long from the stretch most on.
func shareOnTime(seen []float64, most float64, parts int) float64 {
	good, run := 0, 0
	for _, s := range seen {
		run++
		if s > most {
			run = 0
		}
		if run >= min(parts, len(seen)) {
			good++
		}
	}
	return float64(good) / float64(max(len(seen)-parts+1, 1))
}

// readTime is how long an engine reads a usual prompt.
func readTime(e *routetable.Engine) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(e.Prompt / e.PrefillRate * float64(time.Second))
}
