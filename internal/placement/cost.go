package placement

import "slices"

// Weights say what a service document values, as factors without unit.
type Weights struct {
	// Skew weighs the steps that a lower skew saves. Default 1.
	Skew float64
	// Rebalance weighs the steps that a change costs. Default 1.
	Rebalance float64
}

// Params are the planner's parameters.
type Params struct {
	Weights Weights
	// HorizonSteps is the number of steps over which a gain is counted. Longer
	// than the popularity holds still, it overrates changes. Default 2000.
	HorizonSteps float64
	// FixedSteps is what one change costs whatever it moves, in steps. Default 4.
	FixedSteps float64
	// StepSeconds is the time of a step. Default 0.005.
	StepSeconds float64
	// LoadsPerSecond is the weight store's rate. Default 50.
	LoadsPerSecond float64
	// LoadSlowdown is the share of a step's speed lost while a load runs, in
	// [0, 1]. Default 0.1.
	LoadSlowdown float64
	// CacheSteps is the cost of the prefix cache that one move loses, in steps.
	// Default 0.5.
	CacheSteps float64
	// MaxLoads bounds the weight loads of one change. Default 32.
	MaxLoads int
}

// DefaultParams returns the defaults.
func DefaultParams() Params {
	return Params{
		Weights:        Weights{Skew: 1, Rebalance: 1},
		HorizonSteps:   2000,
		FixedSteps:     4,
		StepSeconds:    0.005,
		LoadsPerSecond: 50,
		LoadSlowdown:   0.1,
		CacheSteps:     0.5,
		MaxLoads:       32,
	}
}

// cost returns what a change with so many loads costs, in steps.
func (p Params) cost(loads int) float64 {
	perLoad := p.LoadSlowdown/(p.LoadsPerSecond*p.StepSeconds) + p.CacheSteps
	return p.FixedSteps + float64(loads)*perLoad
}

// netGain returns the weighed gain less the weighed cost, in steps, of a change that
// lowers the skew by so much.
func (p Params) netGain(skewGain float64, loads int) float64 {
	return p.Weights.Skew*skewGain*p.HorizonSteps - p.Weights.Rebalance*p.cost(loads)
}

func median(v []float64) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	return s[len(s)/2]
}
