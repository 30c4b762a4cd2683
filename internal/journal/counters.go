package journal

import "github.com/rcrowley/go-metrics"

// The names of the counters.
const (
	metricAppended  = "journal.appended"
	metricBytes     = "journal.bytes"
	metricLatency   = "journal.append.microseconds"
	metricSnapshots = "journal.snapshots"
)

// The histogram of latencies keeps a sample that favours the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// counters count what the journal does.
type counters struct {
	// appended counts batches, bytes what they took on disk.
	appended, bytes, snapshots metrics.Counter
	// latency is that of write and sync of one batch, in microseconds.
	latency metrics.Histogram
}

// newCounters returns counters that are registered with r, unless r is nil.
func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return counters{
		appended:  metrics.GetOrRegisterCounter(metricAppended, r),
		bytes:     metrics.GetOrRegisterCounter(metricBytes, r),
		snapshots: metrics.GetOrRegisterCounter(metricSnapshots, r),
		latency: metrics.GetOrRegisterHistogram(metricLatency, r,
			metrics.NewExpDecaySample(sampleSize, sampleAlpha)),
	}
}
