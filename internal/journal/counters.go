package journal

import "github.com/rcrowley/go-metrics"

// Names of the metrics.
const (
	metricAppended  = "journal.appended"
	metricBytes     = "journal.bytes"
	metricLatency   = "journal.append.microseconds"
	metricSnapshots = "journal.snapshots"
)

// Parameters of the latency histogram's exponentially decaying sample, which favours
// the last five minutes.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// counters holds the metrics of a journal.
type counters struct {
	// appended counts batches; bytes counts the bytes of their frames on disk;
	// snapshots counts saved snapshots.
	appended, bytes, snapshots metrics.Counter
	// latency is the time to write and sync one batch, in microseconds.
	latency metrics.Histogram
}

// newCounters returns counters registered with r. If r is nil, they are registered with
// a private registry.
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
