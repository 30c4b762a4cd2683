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

// outcome is the result of one seed. OnTime, Late, Refused, Interrupted and Retried are fractions
// of the callers, from 0 to 1.
type outcome struct {
	Seed    uint64 `json:"seed"`
	Callers int    `json:"asked"`
	// OnTime is the fraction of callers with a complete response that was on time throughout, Late
	// with a complete response that was not. Refused callers got no response, Interrupted callers
	// only a part of one. Retried callers were refused and sent the request once more.
	OnTime      float64 `json:"inAim"`
	Late        float64 `json:"late"`
	Refused     float64 `json:"refused"`
	Interrupted float64 `json:"cut"`
	// Abandoned is the fraction of callers that left because nothing reached them for too long.
	Abandoned float64 `json:"left"`
	Retried   float64 `json:"returned"`
	// LongestRefusalSeconds is the longest time from a try to its refusal, in seconds.
	LongestRefusalSeconds float64 `json:"heldSeconds"`
	// MaxLoadRatio is the number of requests of the busiest engine divided by the mean of all engines.
	MaxLoadRatio float64 `json:"busiest"`
	// MaxMeanLoad is the highest mean number of requests at the engines at any time.
	MaxMeanLoad float64 `json:"fullest"`
}

func outcomeOf(seed uint64, r *emulator.Report) outcome {
	return outcome{
		Seed: seed, Callers: r.Callers, OnTime: r.Fraction(r.OnTime), Late: r.Fraction(r.Late), Refused: r.Fraction(r.Refused),
		Interrupted: r.Fraction(r.Interrupted), Abandoned: r.Fraction(r.Abandoned), Retried: r.Fraction(r.Retried), LongestRefusalSeconds: r.LongestRefusalTime(0).Seconds(), MaxLoadRatio: r.MaxLoadRatio, MaxMeanLoad: r.MaxMeanLoad,
	}
}

// metrics are the values that the command prints for all outcomes, one row each.
var metrics = []struct {
	name string
	of   func(outcome) float64
}{
	{"asked", func(o outcome) float64 { return float64(o.Callers) }},
	{"in aim", func(o outcome) float64 { return o.OnTime }},
	{"late", func(o outcome) float64 { return o.Late }},
	{"refused", func(o outcome) float64 { return o.Refused }},
	{"cut", func(o outcome) float64 { return o.Interrupted }},
	{"left", func(o outcome) float64 { return o.Abandoned }},
	{"returned", func(o outcome) float64 { return o.Retried }},
	{"longest held, s", func(o outcome) float64 { return o.LongestRefusalSeconds }},
	{"requests an engine, most", func(o outcome) float64 { return o.MaxMeanLoad }},
	{"busiest engine", func(o outcome) float64 { return o.MaxLoadRatio }},
}

// interval is a mean and the half-width of its 95 % confidence interval. The half-width is
// infinite if there is only one value.
type interval struct{ mean, halfWidth float64 }

func (i interval) String() string { return fmt.Sprintf("%.4g ± %.2g", i.mean, i.halfWidth) }

// intervalOf returns the mean of values and its confidence interval by Student's t-distribution.
func intervalOf(values []float64) interval {
	mean, deviation := stat.MeanStdDev(values, nil)
	n := float64(len(values))
	if n < 2 {
		return interval{mean, math.Inf(1)}
	}
	t := distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975)
	return interval{mean, t * deviation / math.Sqrt(n)}
}

// writeTable prints the mean of each metric over all seeds. If before is not nil it also prints
// the means of before, and the means of the differences between the outcomes of the same seed.
func writeTable(w io.Writer, all, before []outcome) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := "figure\tmean"
	if before != nil {
		header += "\tbefore\tdifference"
	}
	fmt.Fprintln(t, header)
	for _, metric := range metrics {
		row := fmt.Sprintf("%s\t%s", metric.name, intervalOf(values(all, metric.of)))
		if before != nil {
			row += fmt.Sprintf("\t%s\t%s", intervalOf(values(before, metric.of)), intervalOf(differences(all, before, metric.of)))
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

// differences returns, for each seed, the value of a metric minus its value in before.
func differences(all, before []outcome, of func(outcome) float64) []float64 {
	out := values(all, of)
	for i, o := range before {
		out[i] -= of(o)
	}
	return out
}
