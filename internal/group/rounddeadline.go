package group

import "github.com/sassafraspost/sassafraspost/internal/expertmap"

const (
	// baseDeadlineTicks is how many ticks a round of a ballot may take at first.
	baseDeadlineTicks = 50
	// maxDeadlineDoublings limits how often the deadline is doubled. The longest deadline is
	// 40 seconds.
	maxDeadlineDoublings = 5
)

// roundDeadline is the deadline for the rounds of a host's next ballot. It doubles after each
// ballot that ran out of time and halves after each change. With a fixed deadline, a group whose
// hosts need longer than that for a round would never change its map, however often it tries.
// The zero value is ready to use.
type roundDeadline struct{ doublings int }

// ticks returns the deadline in ticks.
func (d *roundDeadline) ticks() int { return baseDeadlineTicks << d.doublings }

// record adapts the deadline to the outcome of a ballot. An aborted ballot counts as one that
// ran out of time, because some hosts got its arm order too late or not at all.
func (d *roundDeadline) record(o expertmap.Outcome) {
	switch o {
	case expertmap.OutcomeTimedOut, expertmap.OutcomeAborted:
		d.doublings = min(d.doublings+1, maxDeadlineDoublings)
	case expertmap.OutcomeChanged, expertmap.OutcomeSettled:
		d.doublings = max(d.doublings-1, 0)
	}
}
