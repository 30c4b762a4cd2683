// Package telemetry provides the daemon's loggers and serves its metrics.
package telemetry

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"

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
	var lines []string
	reg.Each(func(name string, metric any) {
		lines = append(lines, formatMetric(metricName(name), metric))
	})
	slices.Sort(lines)
	return strings.Join(lines, "")
}

// metricName returns the name in the text format, which allows ASCII letters, digits and underscores only. The name
// of a metric may have that of a host in it.
func metricName(name string) string {
	return namePrefix + strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, name)
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
