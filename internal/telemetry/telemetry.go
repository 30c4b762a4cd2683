// Package telemetry provides the daemon's loggers and serves its metrics.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/rcrowley/go-metrics"
)

// ContentType is the media type of the Prometheus text format.
const ContentType = "text/plain; version=0.0.4; charset=utf-8"

const namePrefix = "sassafraspost_"

var quantiles = []float64{0.5, 0.95, 0.99}

// NewLogger returns a logger that writes JSON or text lines to w. Long texts in its lines are cut.
func NewLogger(w io.Writer, isJSON bool, level slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: boundText}
	if isJSON {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// Handler serves the metrics of the registry in the Prometheus text format.
func Handler(reg metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", ContentType)
		_, _ = io.WriteString(w, Text(reg))
	})
}

// Text returns all metrics of the registry in the Prometheus text format, sorted by name.
func Text(reg metrics.Registry) string {
	all := make(map[string]any)
	reg.Each(func(name string, metric any) { all[name] = metric })
	var lines []string
	used := make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		name, metric := distinct(metricName(name), used), all[name]
		lines = append(lines, formatMetric(name, metric))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// metricName returns a name that the text format allows. Some names contain those of other hosts, which may
// hold any text.
func metricName(name string) string {
	return namePrefix + strings.Map(func(r rune) rune {
		if r < utf8.RuneSelf && (unicode.IsLetter(r) || unicode.IsDigit(r)) {
			return r
		}
		return '_'
	}, name)
}

// distinct returns the name, with a number if it is used already, and marks it as used. Readers refuse a page
// with two series of the same name.
func distinct(name string, used map[string]bool) string {
	out := name
	for n := 2; used[out]; n++ {
		out = fmt.Sprintf("%s_%d", name, n)
	}
	used[out] = true
	return out
}

func formatMetric(name string, metric any) string {
	switch m := metric.(type) {
	case metrics.Counter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case metrics.Gauge:
		return fmt.Sprintf("# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case metrics.GaugeFloat64:
		return fmt.Sprintf("# TYPE %s gauge\n%s %g\n", name, name, m.Value())
	case metrics.Meter:
		return fmt.Sprintf("# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case *Latency:
		values, sum, count := m.snapshot()
		return formatFloatSummary(name+"_seconds", values, sum, count)
	case metrics.Histogram:
		s := m.Snapshot()
		return formatSummary(name, s.Percentiles(quantiles), s.Sum(), s.Count())
	case metrics.Timer:
		s := m.Snapshot()
		return formatSummary(name, s.Percentiles(quantiles), s.Sum(), s.Count())
	}
	return ""
}

func formatSummary(name string, values []float64, sum, count int64) string {
	return formatFloatSummary(name, values, float64(sum), count)
}

func formatFloatSummary(name string, values []float64, sum float64, count int64) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# TYPE %s summary\n", name)
	for i, q := range quantiles {
		fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, q, values[i])
	}
	fmt.Fprintf(&b, "%s_sum %g\n%s_count %d\n", name, sum, name, count)
	return b.String()
}
