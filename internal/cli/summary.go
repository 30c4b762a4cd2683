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

// hostValue is a metric at one host.
type hostValue struct {
	Host  string  `json:"host"`
	Value float64 `json:"value"`
}

// metricSummary is one metric over many hosts.
type metricSummary struct {
	Metric string  `json:"metric"`
	Hosts  int     `json:"hosts"`
	Sum    float64 `json:"sum"`
	Median float64 `json:"median"`
	// Highest are the hosts with the highest values, the highest first.
	Highest []hostValue `json:"most"`
}

// summaries returns the metrics that are numbers, by name.
func (s *statsTable) summaries() []metricSummary {
	var out []metricSummary
	for _, name := range slices.Sorted(maps.Keys(s.values)) {
		var all []hostValue
		for host, text := range s.values[name] {
			if v, err := strconv.ParseFloat(text, 64); err == nil {
				all = append(all, hostValue{Host: host, Value: v})
			}
		}
		if len(all) > 0 {
			out = append(out, summarise(trimMetricPrefix(name), all))
		}
	}
	return out
}

func summarise(name string, all []hostValue) metricSummary {
	slices.SortFunc(all, func(a, b hostValue) int {
		return cmp.Or(cmp.Compare(b.Value, a.Value), cmp.Compare(a.Host, b.Host))
	})
	out := metricSummary{Metric: name, Hosts: len(all), Median: all[len(all)/2].Value, Highest: all[:min(len(all), maxNamedHosts)]}
	for _, v := range all {
		out.Sum += v.Value
	}
	return out
}

// writeSummary prints a row a metric.
func (s *statsTable) writeSummary(p *printer) error {
	all := s.summaries()
	if p.format == formatJSON {
		return errors.Wrap(json.NewEncoder(p.stdout).Encode(all), "output")
	}
	t := tabwriter.NewWriter(p.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "metric\thosts\tsum\tmedian\tmost")
	for _, m := range all {
		var most []string
		for _, v := range m.Highest {
			most = append(most, fmt.Sprintf("%s=%g", v.Host, v.Value))
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%g\t%g\t%s\n", m.Metric, m.Hosts, m.Sum, m.Median, strings.Join(most, " "))
	}
	return t.Flush()
}
