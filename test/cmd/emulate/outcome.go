package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"github.com/sassafraspost/sassafraspost/internal/emulator"
)

// outcome is what came of one seed. All but Callers, LongestRefusalSeconds and
// MaxLoadRatio are fractions of the callers.
type outcome struct {
	Seed    uint64 `json:"seed"`
	Callers int    `json:"asked"`
	// OnTime, Late, Refused, Interrupted and Retried are as in emulator.Report.
	OnTime      float64 `json:"inAim"`
	Late        float64 `json:"late"`
	Refused     float64 `json:"refused"`
	Interrupted float64 `json:"cut"`
	Retried     float64 `json:"returned"`
	// LongestRefusalSeconds is the longest time from a try to its refusal, in seconds.
	LongestRefusalSeconds float64 `json:"heldSeconds"`
	// MaxLoadRatio is how many requests the busiest engine was given, over the mean.
	MaxLoadRatio float64 `json:"busiest"`
}

func outcomeOf(seed uint64, r *emulator.Report) outcome {
	return outcome{
		Seed: seed, Callers: r.Callers, OnTime: r.Fraction(r.OnTime), Late: r.Fraction(r.Late), Refused: r.Fraction(r.Refused),
		Interrupted: r.Fraction(r.Interrupted), Retried: r.Fraction(r.Retried), LongestRefusalSeconds: r.LongestRefusalTime(0).Seconds(), MaxLoadRatio: r.MaxLoadRatio,
	}
}

// figures are what is told of outcomes.
var figures = []struct {
	name string
	of   func(outcome) float64
}{
	{"asked", func(o outcome) float64 { return float64(o.Callers) }},
	{"in aim", func(o outcome) float64 { return o.OnTime }},
	{"late", func(o outcome) float64 { return o.Late }},
	{"refused", func(o outcome) float64 { return o.Refused }},
	{"cut", func(o outcome) float64 { return o.Interrupted }},
	{"returned", func(o outcome) float64 { return o.Retried }},
	{"longest held, s", func(o outcome) float64 { return o.LongestRefusalSeconds }},
	{"busiest engine", func(o outcome) float64 { return o.MaxLoadRatio }},
}

// interval is a mean, and by how much it may be off with 95 in 100; that is infinite for one
// value.
type interval struct{ mean, off float64 }

func (i interval) String() string { return fmt.Sprintf("%.4g ± %.2g", i.mean, i.off) }

// intervalOf returns the mean of values by Student's distribution.
func intervalOf(values []float64) interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	if n < 2 {
		return interval{mean, math.Inf(1)}
	}
	t := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return interval{mean, t * deviation / math.Sqrt(n)}
}

// write tells the means, and the differences to an earlier answer, seed by seed, if there is
// one.
func write(w io.Writer, all, before []outcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := "figure\tmean"
	if before != nil {
		head += "\tbefore\tdifference"
	}
	fmt.Fprintln(t, head)
	for _, f := range figures {
		row := fmt.Sprintf("%s\t%s", f.name, intervalOf(values(all, f.of)))
		if before != nil {
			row += fmt.Sprintf("\t%s\t%s", intervalOf(values(before, f.of)), intervalOf(differences(all, before, f.of)))
		}
		fmt.Fprintln(t, row)
	}
	return t.Flush()
}

func values(all []outcome, of func(outcome) float64) []float64 {
	out := make([]float64, len(all))
	for i, o := range all {
		out[i] = of(o)
	}
	return out
}

func differences(all, before []outcome, of func(outcome) float64) []float64 {
	out := values(all, of)
	for i, o := range before {
		out[i] -= of(o)
	}
	return out
}
