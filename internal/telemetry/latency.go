package telemetry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxLatency is the longest duration that a histogram can record.
	maxLatency = time.Minute
	// significantDigits is the precision of recorded durations. With two digits a histogram
	// takes about 20 KB.
	significantDigits = 2
)

// Latency is a histogram of durations with a precision of two digits. It is safe for concurrent
// use.
type Latency struct {
	// NilHistogram makes Latency a metrics.Histogram, which the registry requires. Its methods
	// are not used.
	metrics.NilHistogram

	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
	// sum is the sum of all durations.
	sum time.Duration
}

// GetOrRegisterLatency returns the histogram of that name, and registers a new one if there is
// none.
func GetOrRegisterLatency(name string, reg metrics.Registry) *Latency {
	return reg.GetOrRegister(name, newLatency).(*Latency)
}

func newLatency() *Latency {
	return &Latency{histogram: hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)}
}

// Add records a duration. Durations above maxLatency are recorded as maxLatency.
func (l *Latency) Add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sum += d
	// RecordValue fails only for values out of range, which min and max prevent.
	_ = l.histogram.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

// AddSince records the duration since then.
func (l *Latency) AddSince(then time.Time) { l.Add(time.Since(then)) }

// snapshot returns the quantiles and the sum in seconds, and the number of durations.
func (l *Latency) snapshot() (values []float64, sum float64, count int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, q := range quantiles {
		us := l.histogram.ValueAtQuantile(100 * q)
		values = append(values, (time.Duration(us) * time.Microsecond).Seconds())
	}
	return values, l.sum.Seconds(), l.histogram.TotalCount()
}
