// Package soak runs a whole system of real processes under a seeded series of faults, and
// checks its promises by what callers, operators and stand-ins see. Faults come from outside
// the processes: signals, and proxies on their links. Tests only; the product does not use it.
package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a fault does to a host.
type Kind string

// The kinds. All but Terminate are unplanned: they may cost requests that are on their way.
const (
	// Kill ends the process at once; it starts again when the fault is over.
	Kill Kind = "kill"
	// Terminate lets the process shut down; it starts again once it has ended.
	Terminate Kind = "terminate"
	// Pause stops the process without ending it.
	Pause Kind = "pause"
	// Cut ends all connections of the host and refuses new ones.
	Cut Kind = "cut"
	// Silence holds all bytes to and from the host, without ending a connection.
	Silence Kind = "silence"
	// Delay holds each piece that the host sends, and none that it gets.
	Delay Kind = "delay"
	// Reset ends all connections of the host once, and each upstream breaks off its next
	// answers.
	Reset Kind = "reset"
	// Poison asks for a completion that ends the engine which runs it, again and again, at one
	// entry host after the other.
	Poison Kind = "poison"
)

// Kinds are all of them.
var Kinds = []Kind{Kill, Terminate, Pause, Cut, Silence, Delay, Reset, Poison}

// IsPlanned reports whether a fault must cost no request.
func (k Kind) IsPlanned() bool { return k == Terminate }

// Fault is one fault of a run.
type Fault struct {
	Kind Kind
	Host string
	// At is when it begins, from the start of the faults, For how long it lasts.
	At, For time.Duration
}

// String is one line of a timeline.
func (f Fault) String() string {
	return fmt.Sprintf("%s of %s for %s", f.Kind, f.Host, f.For.Round(time.Millisecond))
}

const (
	// minFaultTime and longest bound how long a fault lasts: from less than any timeout of the
	// product to more than a lease and an election.
	minFaultTime, maxFaultTime = 100 * time.Millisecond, 4 * time.Second
	// meanFaultInterval is the mean pause between the beginnings of two faults, so that two or three
	// overlap at most times.
	meanFaultInterval = 800 * time.Millisecond
	// minFaultGap is for how long a host is left alone after a fault.
	minFaultGap = time.Second
)

// Plan draws a series of faults of these kinds on hosts. A host has one fault at a time; of the control
// hosts a majority has none, since nothing is promised to go on without.
func Plan(seed uint64, kinds []Kind, control, others []string, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, seed))
	free := map[string]time.Duration{}
	var busyControl []time.Duration
	var out []Fault
	for at := time.Duration(0); at < length; at += time.Duration(rng.Float64() * 2 * float64(meanFaultInterval)) {
		isControl := rng.IntN(4) == 0
		hosts := others
		if isControl {
			hosts = control
		}
		f := Fault{
			Kind: kinds[rng.IntN(len(kinds))], Host: hosts[rng.IntN(len(hosts))], At: at,
			For: minFaultTime + time.Duration(rng.Float64()*float64(maxFaultTime-minFaultTime)),
		}
		end := f.At + f.For + minFaultGap
		busyControl = slices.DeleteFunc(busyControl, func(until time.Duration) bool { return until <= at })
		if free[f.Host] > at || isControl && len(busyControl) >= (len(control)-1)/2 {
			continue
		}
		if isControl {
			busyControl = append(busyControl, end)
		}
		free[f.Host] = end
		out = append(out, f)
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}
