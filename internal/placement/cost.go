package placement

import "slices"

// Weights are the factors by which a service document weighs gains against costs.
type Weights struct {
	// Skew is the weight of the steps that a lower skew saves. Default 1.
	Skew float64
	// Rebalance is the weight of the steps that a change costs. Default 1.
	Rebalance float64
}

// Params are the parameters of MakePlan.
type Params struct {
	Weights Weights
	// HorizonSteps is the number of steps over which a gain is counted. A horizon
	// longer than the popularity of the experts stays stable overestimates the
	// gain of changes. Default 2000.
	HorizonSteps float64
	// FixedSteps is the cost of a change that does not depend on its moves, in
	// steps. Default 4.
	FixedSteps float64
	// StepSeconds is the duration of a step in seconds. Default 0.005.
	StepSeconds float64
	// LoadsPerSecond is how many experts per second the weight store can load.
	// Default 50.
	LoadsPerSecond float64
	// LoadSlowdown is the fraction of the step rate lost while an expert's
	// weights are loaded, in [0, 1]. Default 0.1.
	LoadSlowdown float64
	// CacheSteps is the cost of the prefix cache entries lost by one move, in
	// steps. Default 0.5.
	CacheSteps float64
	// MaxLoads is the maximum number of weight loads in one change. Default 32.
	MaxLoads int
}

// DefaultParams returns the default parameters.
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

// cost returns the cost of a change with a number of weight loads, in steps.
func (p Params) cost(loads int) float64 {
	perLoad := p.LoadSlowdown/(p.LoadsPerSecond*p.StepSeconds) + p.CacheSteps
	return p.FixedSteps + float64(loads)*perLoad
}

// netGain returns the weighted gain minus the weighted cost, in steps, of a change
// that lowers the skew by skewGain.
func (p Params) netGain(skewGain float64, loads int) float64 {
	return p.Weights.Skew*skewGain*p.HorizonSteps - p.Weights.Rebalance*p.cost(loads)
}

func median(v []float64) float64 {
	s := slices.Clone(v)
	slices.Sort(s)
	return s[len(s)/2]
}
