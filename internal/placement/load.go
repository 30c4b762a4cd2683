// Package placement plans which experts of a mixture-of-experts model the ranks of a
// group hold, from the observed load by expert and the measured time by rank. It has
// no state and no side effects: equal inputs give equal plans.
//
// The skew of a group is the highest step time of a rank divided by the mean step
// time. A rank's step time is the sum of its experts' tokens over all layers, times
// its slowness. An expert's tokens are split evenly among its replicas.
package placement

import (
	"math"
	"slices"
)

// Load is the number of tokens by layer and expert in one interval, as a moving
// average.
type Load [][]float64

// Observe updates the moving average with the tokens of a new interval and returns
// it. Weight is the weight of the new interval, in (0, 1]. A nil load, and one of other
// layers or experts, becomes the new interval.
func (l Load) Observe(tokens Load, weight float64) Load {
	if l == nil || !l.hasShapeOf(tokens) {
		weight = 1
		l = make(Load, len(tokens))
		for i := range l {
			l[i] = make([]float64, len(tokens[i]))
		}
	}
	for i := range l {
		for e := range l[i] {
			l[i][e] += weight * (tokens[i][e] - l[i][e])
		}
	}
	return l
}

// hasShapeOf reports whether two loads have the same numbers of layers and experts.
func (l Load) hasShapeOf(other Load) bool {
	return slices.EqualFunc(l, other, func(a, b []float64) bool { return len(a) == len(b) })
}

// Slowness returns each rank's time per token divided by the median of the ranks,
// from the measured step times and the tokens of each rank. It is 1 for a rank
// without tokens.
func Slowness(stepTimes, tokens []float64) []float64 {
	perToken := make([]float64, len(stepTimes))
	for r := range stepTimes {
		if tokens[r] > 0 {
			perToken[r] = stepTimes[r] / tokens[r]
		}
	}
	mid := median(perToken)
	for r := range perToken {
		if perToken[r] == 0 || mid == 0 {
			perToken[r] = 1
			continue
		}
		perToken[r] /= mid
	}
	return perToken
}

// Distance returns the total variation distance between the distributions of tokens over
// experts of the load and of another interval, averaged over the layers, in [0, 1].
func (l Load) Distance(tokens Load) float64 {
	if len(l) == 0 || !l.hasShapeOf(tokens) {
		return 0
	}
	sum := 0.0
	for i := range l {
		sum += distance(l[i], tokens[i])
	}
	return sum / float64(len(l))
}

func distance(a, b []float64) float64 {
	sumA, sumB := total(a), total(b)
	if sumA == 0 || sumB == 0 {
		return 0
	}
	d := 0.0
	for i := range a {
		d += math.Abs(a[i]/sumA - b[i]/sumB)
	}
	return d / 2
}

func total(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum
}

// Sum returns the total number of tokens of an interval.
func Sum(tokens Load) float64 {
	sum := 0.0
	for i := range tokens {
		sum += total(tokens[i])
	}
	return sum
}
