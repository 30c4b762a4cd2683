package cli

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// maxNamedHosts is how many hosts a summary names for each metric.
const maxNamedHosts = 5

// hostValue is the value of a metric at one host.
type hostValue struct {
	Host  string  `json:"host"`
	Value float64 `json:"value"`
}

// metricSummary summarises one metric across hosts.
type metricSummary struct {
	Metric string  `json:"metric"`
	Hosts  int     `json:"hosts"`
	Sum    float64 `json:"sum"`
	Median float64 `json:"median"`
	// Highest are the hosts with the highest values, in descending order.
	Highest []hostValue `json:"most"`
}

// summaries returns a summary of each metric with numeric values, sorted by name.
func (s *statsTable) summaries() []metricSummary {
	var out []metricSummary
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		var values []hostValue
		for host, text := range s.values[name] {
			if v, err := strconv.ParseFloat(text, 64); err == nil {
				values = append(values, hostValue{Host: host, Value: v})
			}
		}
		if len(values) > 0 {
			out = append(out, summarise(trimMetricPrefix(name), values))
		}
	}
	return out
}

func summarise(name string, values []hostValue) metricSummary {
	slices.SortFunc(values, func(a, b hostValue) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Host, b.Host))
	})
	out := metricSummary{Metric: name, Hosts: len(values), Median: values[len(values)/2].Value, Highest: values[:min(len(values), maxNamedHosts)]}
	for _, v := range values {
		out.Sum += v.Value
	}
	return out
}

// writeSummary prints one row per metric.
func (s *statsTable) writeSummary(p *printer) error {
	metrics := s.summaries()
	if p.format == formatJSON {
		return errors.Wrap(json.NewEncoder(p.stdout).Encode(metrics), "output")
	}
	t := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "metric\thosts\tsum\tmedian\tmost")
	for _, m := range metrics {
		var highest []string
		for _, v := range m.Highest {
			highest = append(highest, fmt.Sprintf("%s=%g", v.Host, v.Value))
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%g\t%g\t%s\n", m.Metric, m.Hosts, m.Sum, m.Median, strings.Join(highest, " "))
	}
	return t.Flush()
}
