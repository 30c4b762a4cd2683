// Package soak runs a whole system of real processes under a seeded series of faults, and
// checks the promises of the system with what callers, operators and stand-ins observe. Faults
// are injected from outside the processes, by signals and by proxies on their links. For tests
// only; the product does not use it.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The kinds of faults. All but Terminate are unplanned: they may interrupt requests in progress.
const (
	// Kill ends the process with SIGKILL, and starts it again when the fault is over.
	Kill Kind = "kill"
	// Terminate sends SIGTERM, and starts the process again once it has shut down.
	Terminate Kind = "terminate"
	// Pause suspends the process with SIGSTOP until the fault is over.
	Pause Kind = "pause"
	// Cut closes all connections of the host, and refuses new ones until the fault is over.
	Cut Kind = "cut"
	// Silence delays all bytes to and from the host until the fault is over, without closing a
	// connection.
	Silence Kind = "silence"
	// Delay delays what the host sends by sendDelay, and nothing that it receives.
	Delay Kind = "delay"
	// Reset closes all connections of the host once, and makes each upstream abort its next
	// responses.
	Reset Kind = "reset"
	// Poison sends a completion request that crashes the engine which executes it, again and
	// again, to one entry host after the other.
	Poison Kind = "poison"
	// SlowDisk writes and syncs large files beside the system's data, so that its syncs take long.
	// All hosts share the disk, so the fault meets all control hosts.
	SlowDisk Kind = "slow-disk"
)

// Kinds lists the kinds that a run plays by default. SlowDisk is not among them: it also slows
// whatever else uses the machine.
var Kinds = []Kind{Kill, Terminate, Pause, Cut, Silence, Delay, Reset, Poison}

// IsPlanned reports whether a fault of this kind must not interrupt any request.
func (k Kind) IsPlanned() bool { return k == Terminate }

// Fault is one fault of a run, injected into one host.
type Fault struct {
	Kind Kind
	Host string
	// At is the time of the fault since the start of the fault injection, For its duration.
	At, For time.Duration
}

// String returns the text of the fault in a timeline.
func (f Fault) String() string {
	return fmt.Sprintf("%s of %s for %s", f.Kind, f.Host, f.For.Round(time.Millisecond))
}

const (
	// minFaultTime and maxFaultTime bound the duration of a fault. The minimum is shorter than
	// any timeout of the product, the maximum longer than a lease and an election together.
	minFaultTime, maxFaultTime = 100 * time.Millisecond, 4 * time.Second
	// meanFaultInterval is the mean time between the starts of two faults. It makes two or three
	// faults overlap most of the time.
	meanFaultInterval = 800 * time.Millisecond
	// minFaultGap is the minimum time between two faults of one host.
	minFaultGap = time.Second
)

// Plan draws a random series of faults of these kinds. The same arguments give the same series. A
// host has at most one fault at a time. A majority of the control hosts has none at any time,
// because the system does not promise to work without a majority.
func Plan(seed uint64, kinds []Kind, control, others []string, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, seed))
	freeAt := map[string]time.Duration{}
	var controlFaultEnds []time.Duration
	var out []Fault
	for start := time.Duration(0); start < length; start += time.Duration(rng.Float64() * 2 * float64(meanFaultInterval)) {
		isControl := rng.IntN(4) == 0
		hosts := others
		if isControl {
			hosts = control
		}
		f := Fault{
			Kind: kinds[rng.IntN(len(kinds))], Host: hosts[rng.IntN(len(hosts))], At: start,
			For: minFaultTime + time.Duration(rng.Float64()*float64(maxFaultTime-minFaultTime)),
		}
		end := f.At + f.For + minFaultGap
		controlFaultEnds = slices.DeleteFunc(controlFaultEnds, func(until time.Duration) bool { return until <= start })
		if freeAt[f.Host] > start || isControl && len(controlFaultEnds) >= (len(control)-1)/2 {
			continue
		}
		if isControl {
			controlFaultEnds = append(controlFaultEnds, end)
		}
		freeAt[f.Host] = end
		out = append(out, f)
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}
