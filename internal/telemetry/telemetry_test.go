package telemetry

import (
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
