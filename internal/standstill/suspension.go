package standstill

import (
	"time"

	"golang.org/x/sys/unix"
)

// minSuspension is the shortest time that counts as a suspension. Shorter differences come from reading
// two clocks one after the other.
const minSuspension = 50 * time.Millisecond

// Suspensions finds out that the machine was suspended. The monotonic clock of package time stands still
// then, so what has ended meanwhile by the clocks of other hosts looks as if it lasted. It is not safe for
// concurrent use.
type Suspensions struct {
	// read returns the time by a clock that also runs while the machine is suspended, and by one that
	// does not.
	read func() (boot, monotonic time.Duration)
	// lead is how far the first of them was ahead at the last check.
	lead time.Duration
}

// NewSuspensions returns Suspensions that know of none up to now.
func NewSuspensions() *Suspensions {
	began := time.Now()
	return newSuspensions(func() (boot, monotonic time.Duration) { return bootTime(), time.Since(began) })
}

func newSuspensions(read func() (boot, monotonic time.Duration)) *Suspensions {
	s := &Suspensions{read: read}
	s.Check()
	return s
}

// Check reports whether the machine was suspended since the last check.
func (s *Suspensions) Check() bool {
	boot, monotonic := s.read()
	before := s.lead
	s.lead = boot - monotonic
	return s.lead-before >= minSuspension
}

// bootTime returns the time since the machine started, suspended times included. It panics without such
// a clock, since leases could then last longer than their grantors assume.
func bootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err)
	}
	return time.Duration(t.Nano())
}
