package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sassafraspost/sassafraspost/internal/wire"
)

const (
	// A service has a crowd while one host gets minCrowdPart of its demand and minCrowdFactor times as
	// much as an equal part, or at any rate if it gets sureCrowdPart. Smaller differences between hosts
	// even out by the slots that are left free.
	minCrowdPart   = 0.1
	minCrowdFactor = 2.5
	sureCrowdPart  = 0.75
	// crowdHold is how long the total demand is told on after a crowd. It is longer than maxDemandAge, so
	// that no host keeps its part of the crowd's time.
	crowdHold = 6 * time.Second
)

// CrowdTotals sums the demands of hosts for the services that have a crowd or had one lately. The zero
// value is ready to use.
type CrowdTotals struct {
	// until holds when the total of a service is no longer told.
	until map[string]time.Duration
}

// Sum returns the sums of the demands of all hosts, by service in the order of their names.
func (t *CrowdTotals) Sum(hosts [][]wire.ServiceDemand, now time.Duration) []wire.ServiceDemand {
	sums, highest := make(map[string]float64), make(map[string]float64)
	for _, demands := range hosts {
		for _, d := range demands {
			sums[d.Service] += d.PerSecond
			highest[d.Service] = max(highest[d.Service], d.PerSecond)
		}
	}
	if t.until == nil {
		t.until = make(map[string]time.Duration)
	}
	var out []wire.ServiceDemand
	for name, sum := range sums {
		if highest[name] >= min(max(minCrowdPart, minCrowdFactor/float64(len(hosts))), sureCrowdPart)*sum {
			t.until[name] = now + crowdHold
		}
		if now < t.until[name] {
			out = append(out, wire.ServiceDemand{Service: name, PerSecond: sum})
		}
	}
	for name, until := range t.until {
		if now >= until {
			delete(t.until, name)
		}
	}
	slices.SortFunc(out, func(a, b wire.ServiceDemand) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
