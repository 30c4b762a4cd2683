package main

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
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
	// Phases holds the outcome of the callers of each phase and priority, by its name.
	Phases map[string]phaseOutcome `json:"phases,omitempty"`
}

// value returns the value of the responses to all callers, as a fraction of that of responses
// that are all on time. A late response has half the value of one on time, as in package schedule.
func (o outcome) value() float64 { return o.OnTime + o.Late/2 }

// phaseOutcome is the outcome of a part of the callers, as fractions of them. Refused is the
// fraction refused at the first try, RefusedAgain the fraction refused again on its return.
type phaseOutcome struct {
	Callers      int     `json:"asked"`
	OnTime       float64 `json:"inAim"`
	Late         float64 `json:"late"`
	Refused      float64 `json:"refused"`
	RefusedAgain float64 `json:"refusedAgain"`
	Interrupted  float64 `json:"cut"`
}

func phaseOutcomes(r *emulator.Report) map[string]phaseOutcome {
	out := make(map[string]phaseOutcome)
	for key, c := range r.Phases {
		of := func(n int) float64 { return float64(n) / float64(max(c.Callers, 1)) }
		out[strings.TrimSpace(fmt.Sprintf("%s p%d", key.Phase, key.Priority))] = phaseOutcome{
			Callers: c.Callers, OnTime: of(c.OnTime), Late: of(c.Late), Refused: of(c.Refused), RefusedAgain: of(c.RefusedAgain), Interrupted: of(c.Interrupted),
		}
	}
	return out
}

func outcomeOf(seed uint64, r *emulator.Report) outcome {
	return outcome{
		Seed: seed, Callers: r.Callers, OnTime: r.Fraction(r.OnTime), Late: r.Fraction(r.Late), Refused: r.Fraction(r.Refused),
		Interrupted: r.Fraction(r.Interrupted), Abandoned: r.Fraction(r.Abandoned), Retried: r.Fraction(r.Retried), LongestRefusalSeconds: r.LongestRefusalTime(0).Seconds(), MaxLoadRatio: r.MaxLoadRatio, MaxMeanLoad: r.MaxMeanLoad,
		Phases: phaseOutcomes(r),
	}
}

// metric is a value that the command prints in one row for all outcomes.
type metric struct {
	name string
	of   func(outcome) float64
}

// metrics are the values of all callers together.
var metrics = []metric{
	{"value", outcome.value},
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

// phaseMetrics returns the values of each phase that occurs in an outcome. There are none if all
// callers belong to the same phase and class.
func phaseMetrics(all []outcome) []metric {
	names := map[string]bool{}
	for _, o := range all {
		for name := range o.Phases {
			names[name] = true
		}
	}
	if len(names) < 2 {
		return nil
	}
	var out []metric
	for _, name := range slices.Sorted(maps.Keys(names)) {
		add := func(of string, value func(phaseOutcome) float64) {
			out = append(out, metric{name + ": " + of, func(o outcome) float64 { return value(o.Phases[name]) }})
		}
		add("asked", func(p phaseOutcome) float64 { return float64(p.Callers) })
		add("in aim", func(p phaseOutcome) float64 { return p.OnTime })
		add("late", func(p phaseOutcome) float64 { return p.Late })
		add("refused at first", func(p phaseOutcome) float64 { return p.Refused })
		add("refused again", func(p phaseOutcome) float64 { return p.RefusedAgain })
		add("cut", func(p phaseOutcome) float64 { return p.Interrupted })
	}
	return out
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
	for _, metric := range slices.Concat(metrics, phaseMetrics(all)) {
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
