package telemetry

import (
	"regexp"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

func TestTextFormat(t *testing.T) {
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("entry.requests", reg).Inc(3)
	metrics.GetOrRegisterGauge("replica.commit", reg).Update(9)
	metrics.GetOrRegisterHistogram("entry.first-byte-us", reg, metrics.NewUniformSample(10)).Update(5)
	text := Text(reg)
	require.Contains(t, text, "# TYPE sassafraspost_entry_requests counter\nsassafraspost_entry_requests 3\n")
	require.Contains(t, text, "sassafraspost_replica_commit 9\n")
	require.Contains(t, text, "sassafraspost_entry_first_byte_us{quantile=\"0.5\"} 5\n")
	require.Contains(t, text, "sassafraspost_entry_first_byte_us_count 1\n")
}

// Guards against a page that no reader accepts, since a metric has the name of a host in its own.
func TestMetricNamesHaveNoOtherCharacters(t *testing.T) {
	reg := metrics.NewRegistry()
	for _, host := range []string{"control-1", "größe 1", "a\xff\xfe", "x\n# TYPE y counter\ny 1", `a{b="c"}`} {
		metrics.GetOrRegisterCounter("consensus.peer."+host+".sent", reg).Inc(1)
	}
	text := Text(reg)
	require.Contains(t, text, "sassafraspost_consensus_peer_control_1_sent 1\n")
	for line := range strings.Lines(text) {
		require.Regexp(t, `^(# TYPE sassafraspost_[a-zA-Z0-9_]+ counter|sassafraspost_[a-zA-Z0-9_]+ 1)\n$`, line)
	}
	require.Equal(t, 10, strings.Count(text, "\n"))
}

// Guards against a metrics page that no reader accepts: some names contain that of another host or a code that
// another host sent, which may hold any text.
func TestNamesOfMetricsAreClean(t *testing.T) {
	reg := metrics.NewRegistry()
	for _, name := range []string{"control 1", "a\nb 7", "a\"{x=\"y\"}", "côte-1", "a\xff", "9a", ""} {
		metrics.GetOrRegisterCounter("consensus.peer."+name+".sent", reg).Inc(1)
	}
	line := regexp.MustCompile(`^(# TYPE [a-z_][a-zA-Z0-9_]* counter|[a-z_][a-zA-Z0-9_]* 1)$`)
	for _, l := range strings.Split(strings.TrimSuffix(Text(reg), "\n"), "\n") {
		require.Regexp(t, line, l)
	}
}

// Guards against two series of the same name, which a reader refuses together with the whole page.
func TestNamesOfMetricsAreDistinct(t *testing.T) {
	reg := metrics.NewRegistry()
	for _, name := range []string{"a.b", "a-b", "a b", "ä", "ö", "a\xff", "a\xfe"} {
		metrics.GetOrRegisterCounter(name, reg).Inc(1)
	}
	seen := make(map[string]bool)
	for _, l := range strings.Split(strings.TrimSuffix(Text(reg), "\n"), "\n") {
		require.False(t, seen[l], l)
		seen[l] = true
	}
}
